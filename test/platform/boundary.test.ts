/** Names of the platform occur only in src/platform, and that folder decodes what the platform writes. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { decodeConfiguration, decodeTarget } from "../../src/platform/configuration.js";
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
    ])("%s", (_, change, kind) => {
        expect(decodeTarget("id", JSON.stringify({ ...valid, ...change })).kind).toBe(kind);
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
        ["too few answers", '{"Entries":[{"Handle":"h"}]}', undefined],
        ["text that is not JSON", "x", undefined],
    ])("reads %s of a stage call", (_, body, kinds) => {
        expect(platformDialect.readPieces(body, 2)?.map(({ kind }) => kind)).toEqual(kinds);
    });
});
