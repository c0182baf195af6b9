/** Names of the platform occur only in src/platform, and that folder decodes what the platform writes. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { decodeConfiguration, decodeRollout, decodeTarget } from "../../src/platform/configuration.js";
import { platformDialect } from "../../src/platform/dialect.js";
import { CONFIGURATION } from "../gateway/harness.js";

const FOLDER = "src/platform";
/** `/objects/` is not among them, since the project's own store has that path as well. */
const NAMES =
    /[Xx]-[Pp]arsleyrun-|stage-run|stage-free|[Kk]v-([Ff]rom|[Mm]ove|[Ff]etch)|evacuations|"servers"|PathPrefix|ApiKeys/;

function sources(folder: string): readonly string[] {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        return entry.isDirectory() ? sources(path) : path.endsWith(".ts") ? [path] : [];
    });
}

describe("the platform's names", () => {
    it.each(sources("src").filter(path => !path.startsWith(FOLDER)))("are not in %s", path => {
        expect(readFileSync(path, "utf8")).not.toMatch(NAMES);
    });
});

describe("a configuration", () => {
    it("is decoded with its units", () => {
        const decoded = decodeConfiguration(JSON.stringify(CONFIGURATION));
        expect(decoded.kind).toBe("decoded");
        if (decoded.kind !== "decoded") return;
        const [book, check, chat, draft, staged] = decoded.value.routes;
        expect(book).toMatchObject({
            idempotent: false,
            streaming: false,
            services: [{ service: "bookings", weight: 1 }],
        });
        expect(check).toMatchObject({ idempotent: true, maximumAttempts: 2 });
        expect(chat).toMatchObject({ idempotent: true, streaming: true, resumable: true, eventGapLimitMs: 100 });
        expect(draft).toMatchObject({ idempotent: false, streaming: true, resumable: false });
        expect(staged?.stages[1]).toEqual({ service: "rank", after: [0], resultBytes: 1_000 });
        const encode = decoded.value.services.find(({ name }) => name === "encode");
        expect(encode?.stage).toMatchObject({ memoryBytes: 1_000_000, resultLifetimeMs: 4_000, batch: 4 });
    });

    it.each<[string, string]>([
        ["text that is not JSON", "{"],
        ["a route without a host", JSON.stringify({ ...CONFIGURATION, Routes: [{ Name: "r" }] })],
        ["a version that is not a number", JSON.stringify({ ...CONFIGURATION, Version: "7" })],
    ])("is invalid: %s", (_, text) => {
        expect(decodeConfiguration(text).kind).toBe("invalid");
    });
});

describe("a registration", () => {
    const valid = {
        Service: "s",
        Address: "10.0.0.1:80",
        Zone: "z",
        Version: "v1",
        Slots: 4,
        State: "available",
        born: 5,
    };
    it.each<[string, Readonly<Record<string, unknown>>, string]>([
        ["that is complete", {}, "decoded"],
        ["with unknown fields", { Phase: "mixed" }, "decoded"],
        ["without an address", { Address: undefined }, "invalid"],
        ["with a host name", { Address: "host:80" }, "invalid"],
        ["with an unknown state", { State: "resting" }, "invalid"],
        ["with a number of another type", { Slots: "4" }, "invalid"],
        ["with port 0", { Address: "10.0.0.1:0" }, "invalid"],
        ["with port -1", { Address: "10.0.0.1:-1" }, "invalid"],
        ["with port 65535", { Address: "10.0.0.1:65535" }, "decoded"],
        ["with port 65536", { Address: "10.0.0.1:65536" }, "invalid"],
        ["with port 99999", { Address: "10.0.0.1:99999" }, "invalid"],
        ["with an octet out of range", { Address: "999.1.1.1:80" }, "invalid"],
        ["with three octets", { Address: "10.0.1:80" }, "invalid"],
        ["with slots that are too many", { Slots: 1e308 }, "invalid"],
        ["with negative slots", { Slots: -1 }, "invalid"],
        ["with a fraction of a slot", { Slots: 1.5 }, "invalid"],
        ["with a cold period that is too long", { ColdRemainingMs: 1e308 }, "invalid"],
        ["with a negative cold period", { ColdRemainingMs: -1 }, "invalid"],
        ["with a start that is too late", { born: 1e308 }, "invalid"],
        ["with a negative start", { born: -1 }, "invalid"],
        ["with a start as text", { born: "5" }, "invalid"],
        ["with a very long zone", { Zone: "z".repeat(100_000) }, "invalid"],
        ["with a very long service", { Service: "z".repeat(100_000) }, "invalid"],
        ["with an empty service", { Service: "" }, "invalid"],
    ])("%s", (_, change, kind) => {
        expect(decodeTarget("id", JSON.stringify({ ...valid, ...change })).kind).toBe(kind);
    });
});

describe("the name of a registration", () => {
    const spec = { Service: "s", Address: "10.0.0.1:80", Zone: "z", Version: "v1", Slots: 4, State: "available" };
    it.each<[string, string, string]>([
        ["i-7f3a91c2", "of letters and digits", "decoded"],
        ["a\r\nb: c", "with a line break", "invalid"],
        ["a\u0000", "with a control character", "invalid"],
        ["a b", "with a space", "invalid"],
        ["a/b", "with a slash", "invalid"],
        ["\u20ac", "that a header cannot hold", "invalid"],
        ["a".repeat(1_000), "that is very long", "invalid"],
    ])("%j %s", (id, _, kind) => {
        expect(decodeTarget(id, JSON.stringify(spec)).kind).toBe(kind);
    });
});

describe("a roll-out", () => {
    const spec = { Service: "s", Target: "v2", DurationS: 60 };
    it.each<[string, string, Readonly<Record<string, unknown>>, string]>([
        ["that is complete", "rollouts/s", {}, "decoded"],
        ["of another service than its name", "rollouts/t", {}, "invalid"],
        ["of a service that is a path", "rollouts/x", { Service: "../config/main" }, "invalid"],
        ["without a version", "rollouts/s", { Target: "" }, "invalid"],
        ["with a duration that is too long", "rollouts/s", { DurationS: 1e308 }, "invalid"],
        ["with a negative duration", "rollouts/s", { DurationS: -1 }, "invalid"],
    ])("%s", (_, key, change, kind) => {
        const object = { key, version: 1, value: JSON.stringify({ ...spec, ...change }) };
        expect(decodeRollout(object).kind).toBe(kind);
    });
});

describe("the dialect", () => {
    it("reads the metadata of a request", () => {
        const facts = platformDialect.readRequest({
            "x-parsleyrun-request-id": "a",
            "x-parsleyrun-deadline-ms": "1500",
            "authorization": "Token secret",
            "x-parsleyrun-token-count": "1460,80",
            "x-parsleyrun-prefix-hash": "5c1e:800,91bd:410",
            "x-parsleyrun-pieces": "2,0,5",
        });
        expect(facts).toMatchObject({
            requestId: "a",
            deadlineMs: 1_500,
            key: "secret",
            promptTokens: 1_460,
            outputTokens: 80,
            promptParts: [
                { id: "5c1e", tokens: 800 },
                { id: "91bd", tokens: 410 },
            ],
            pieces: [2, 0, 5],
        });
    });

    it.each<[number, Readonly<Record<string, string>>, boolean, boolean]>([
        [200, {}, false, false],
        [503, {}, false, false],
        [503, { "x-parsleyrun-not-executed": "1" }, true, false],
        [421, {}, true, true],
    ])("reads from a response with %d %j whether the request was run", (status, headers, notExecuted, wrongTarget) => {
        expect(platformDialect.readResponse(status, headers)).toMatchObject({ notExecuted, wrongTarget });
    });

    it.each<[string, string, readonly string[] | undefined]>([
        ["results and reasons", '{"Entries":[{"Handle":"h"},{"Reason":"room"}]}', ["made", "noRoom"]],
        ["every reason", '{"Entries":[{"Reason":"late"},{"Reason":"gone"}]}', ["late", "inputGone"]],
        ["a handle with a line break", '{"Entries":[{"Handle":"h\\r\\na: b"},{"Handle":"h"}]}', ["failed", "made"]],
        ["a handle with a comma", '{"Entries":[{"Handle":"h,i"},{"Handle":"h"}]}', ["failed", "made"]],
        ["a handle that no header can hold", '{"Entries":[{"Handle":"\u20ac"},{"Handle":"h"}]}', ["failed", "made"]],
        ["an empty handle", '{"Entries":[{"Handle":""},{"Handle":"h"}]}', ["failed", "made"]],
        ["a very long handle", `{"Entries":[{"Handle":"${"h".repeat(100_000)}"},{"Handle":"h"}]}`, ["failed", "made"]],
        ["answers that are nested very deep", `{"Entries":${"[".repeat(50_000)}${"]".repeat(50_000)}}`, undefined],
        ["too few answers", '{"Entries":[{"Handle":"h"}]}', undefined],
        ["text that is not JSON", "x", undefined],
    ])("reads %s of a stage call", (_, body, kinds) => {
        expect(platformDialect.readPieces(body, 2)?.map(({ kind }) => kind)).toEqual(kinds);
    });
});
