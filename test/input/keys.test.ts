/** Who may call what: links, operators and callers are told apart by their keys, and accounts from each other. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { equalKeys } from "../../src/link/authentication.js";
import { ConnectNetwork, type HelloInit, type Link, Role, type TlsFiles } from "../../src/link/index.js";
import { createAuthority, type Issuer } from "./certificates.js";
import {
    ALPHA_KEY,
    BETA_KEY,
    bodyOf,
    InputSystem,
    nextAddress,
    OPERATOR_KEY,
    SEED,
    SYSTEM_KEY,
    until,
} from "./system.js";

let system: InputSystem;

beforeAll(async () => {
    system = await InputSystem.start();
});

afterAll(async () => {
    await system.stop();
});

const HELLO = {
    ...{ role: Role.ENTRY, name: "stranger", incarnation: "i", zone: "east", vm: "vm", service: "" },
    ...{ version: "", address: "127.0.0.1:1", configurationVersion: 1_000_000 },
} satisfies HelloInit;

describe("a key", () => {
    // Guards against a key of one interface that opens another.
    it("opens its own interface only", async () => {
        for (const key of [SYSTEM_KEY, ALPHA_KEY, BETA_KEY, "", `${OPERATOR_KEY}x`, OPERATOR_KEY.slice(1)]) {
            for (const path of ["configuration", "status", "report"]) {
                expect((await system.operate("GET", path, undefined, key)).status).toBe(401);
            }
            for (const path of ["lists", "zones/east", "services/echo/traffic"]) {
                expect((await system.operate("POST", path, "{}", key)).status).toBe(401);
            }
        }
        for (const key of [SYSTEM_KEY, OPERATOR_KEY]) {
            expect((await system.call("ask", { authorization: `Bearer ${key}` })).status).toBe(401);
        }
        for (const key of [OPERATOR_KEY, ALPHA_KEY]) {
            for (const address of [system.agentLink("echo"), system.entryLink]) {
                const outcome = await ConnectNetwork.create(key).connect(address, HELLO);
                expect(outcome.kind).toBe("failed");
            }
        }
    });

    // Guards against a key hash that is taken for the key: hashes are shown to operators.
    it("of an account is not its hash", async () => {
        const { lists } = bodyOf(await system.operate("GET", "configuration"));
        const hashes = String(lists).match(/[0-9a-f]{64}/g) ?? [];
        expect(hashes).toHaveLength(2);
        expect(String(lists)).not.toContain(ALPHA_KEY);
        for (const hash of hashes) {
            expect((await system.call("ask", { authorization: `Bearer ${hash}` })).status).toBe(401);
        }
    });

    // Guards against a comparison that accepts a prefix, ignores a character, or fails for other lengths.
    it(`equals itself only (seed ${SEED})`, () => {
        fc.assert(
            fc.property(fc.string(), fc.string(), (left, right) => {
                expect(equalKeys(left, left)).toBe(true);
                expect(equalKeys(left, right)).toBe(left === right);
            }),
            { seed: SEED, numRuns: 500 },
        );
    });
});

describe("an account", () => {
    it("runs the pipelines of its own plan only", async () => {
        const beta = { "authorization": `Bearer ${BETA_KEY}`, "idempotency-key": "plan" };
        expect((await system.call("ask", beta)).status).toBe(200);
        expect((await system.call("reserve", beta)).status).toBe(403);
        expect(system.runsOf("alpha/plan/book") + system.runsOf("beta/plan/book")).toBe(0);
    });

    // Guards against a caller that names another account in its request.
    it("cannot be named by a request", async () => {
        const headers = { "account": "alpha", "x-account": "alpha", "parsleyrun-account": "alpha" };
        const body = { input: { account: "alpha" }, account: "alpha" };
        const answer = await system.call(
            "reserve?account=alpha",
            {
                ...{ ...headers, "authorization": `Bearer ${BETA_KEY}`, "idempotency-key": "named" },
            },
            body,
        );
        expect(answer.status).toBe(403);
    });

    // Guards against an account that reads another's result, or keeps another's key from running.
    it("has idempotency keys of its own, also at the target", async () => {
        const { body } = await applyAccountsInOnePlan();
        expect(body).toMatchObject({ kind: "accepted" });
        const beta = { "authorization": `Bearer ${BETA_KEY}`, "idempotency-key": "shared" };
        await until("beta has the new plan", async () => (await system.call("reserve", beta)).status === 200);
        const other = await system.call("reserve", beta, { input: "of beta" });
        const own = await system.call("reserve", { "idempotency-key": "shared" }, { input: "of alpha" });
        expect([other.status, own.status]).toEqual([200, 200]);
        expect(bodyOf(own)["output"]).not.toEqual(bodyOf(other)["output"]);
        expect(system.runsOf("alpha/shared/book")).toBe(1);
        expect(system.runsOf("beta/shared/book")).toBe(1);
    });
});

async function applyAccountsInOnePlan() {
    const { version } = bodyOf(await system.operate("GET", "configuration"));
    const accounts = [
        { name: "alpha", plan: "both", key: ALPHA_KEY },
        { name: "beta", plan: "both", key: BETA_KEY },
    ];
    const lists = JSON.stringify({ accounts });
    const answer = await system.operate("POST", "lists", JSON.stringify({ lists, version }));
    return { body: bodyOf(answer) };
}

describe("TLS on links", () => {
    const directory = mkdtempSync(join(tmpdir(), "parsleyrun-tls-"));
    const authority = createAuthority("authority");
    const stranger = createAuthority("stranger");

    afterAll(() => {
        rmSync(directory, { recursive: true });
    });

    /** Files of a process whose certificate one authority signed and which trusts another. */
    function files(name: string, issuer: Issuer, trusted: Issuer): TlsFiles {
        const { certificate, privateKey } = issuer.issue("127.0.0.1");
        const paths = ["certificate", "key", "authority"].map(part => join(directory, `${name}-${part}.pem`));
        [certificate, privateKey, trusted.certificate].forEach((text, index) => {
            writeFileSync(paths[index] ?? "", text);
        });
        const [certificateFile = "", keyFile = "", authorityFile = ""] = paths;
        return { certificate: certificateFile, privateKey: keyFile, authority: authorityFile };
    }

    async function connect(listening: TlsFiles | undefined, dialling: TlsFiles | undefined) {
        const accepted: Link[] = [];
        const address = nextAddress();
        const listener = await ConnectNetwork.create(SYSTEM_KEY, listening).listen(
            address,
            () => HELLO,
            link => accepted.push(link),
        );
        const outcome = await ConnectNetwork.create(SYSTEM_KEY, dialling).connect(address, HELLO);
        const count = accepted.length;
        if (outcome.kind === "connected") outcome.link.close("test ended");
        for (const link of accepted) link.close("test ended");
        await listener.close();
        return { kind: outcome.kind, accepted: count };
    }

    // Guards against a link without TLS, without a client certificate, or with one of another authority, although
    // each of these ends holds the right key.
    it("takes processes with a certificate of the same authority, and no others", async () => {
        const first = files("first", authority, authority);
        const second = files("second", authority, authority);
        expect(await connect(first, second)).toEqual({ kind: "connected", accepted: 1 });
        const refused = { kind: "failed", accepted: 0 };
        expect(await connect(first, files("unknown-client", stranger, authority))).toEqual(refused);
        expect(await connect(files("unknown-server", stranger, authority), second)).toEqual(refused);
        expect(await connect(first, undefined)).toEqual(refused);
        expect(await connect(undefined, second)).toEqual(refused);
    });

    it("does not replace the key", async () => {
        const tls = files("keyed", authority, authority);
        const address = nextAddress();
        const listener = await ConnectNetwork.create(SYSTEM_KEY, tls).listen(
            address,
            () => HELLO,
            () => undefined,
        );
        const outcome = await ConnectNetwork.create("another-key", tls).connect(address, HELLO);
        expect(outcome.kind).toBe("failed");
        await listener.close();
    });

    // Guards against a process that starts without TLS when its files cannot be read.
    it("keeps a process from listening when a file cannot be read", async () => {
        const tls = { ...files("missing", authority, authority), authority: join(directory, "none.pem") };
        const listening = ConnectNetwork.create(SYSTEM_KEY, tls).listen(
            nextAddress(),
            () => HELLO,
            () => undefined,
        );
        await expect(listening).rejects.toThrow(/ENOENT/);
    });

    it("carries a deployment", async () => {
        const secured = await InputSystem.start(files("deployment", authority, authority));
        expect(await secured.servesAtOnce("secured")).toBe(true);
        await secured.stop();
    });
});
