import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { EngineEvent, EngineRequest } from "../../src/agent/engine.js";
import { HttpEngine, MAXIMUM_LINE_LENGTH } from "../../src/agent/engineclient.js";
import {
    expectedOutput,
    expectedTokens,
    serveEngine,
    StandInEngine,
    type StandInServer,
} from "../../src/standins/index.js";

const REQUEST: EngineRequest = {
    id: "1",
    operation: "generate",
    input: '{"text":"ü"}',
    maximumTokens: 10,
    priority: 0,
    prefixHash: "",
    resumeAfter: 0,
    streaming: true,
    idempotencyKey: "",
};

async function collect(client: HttpEngine, part: Partial<EngineRequest> = {}): Promise<EngineEvent[]> {
    const events: EngineEvent[] = [];
    const signal = AbortSignal.timeout(5_000);
    for await (const event of client.execute({ ...REQUEST, ...part }, signal)) events.push(event);
    return events;
}

describe("HttpEngine with a served stand-in", () => {
    let engine: StandInEngine;
    let server: StandInServer;
    let client: HttpEngine;

    beforeEach(async () => {
        const limits = { concurrency: 4, coldConcurrency: 4, timePerCall: 5, timePerToken: 1, startsCold: false };
        engine = StandInEngine.create({ operations: ["generate"], fencing: "enforced", ...limits });
        server = await serveEngine(engine, "127.0.0.1:0");
        client = HttpEngine.create(server.address);
    });
    afterEach(async () => {
        client.close();
        await server.close();
    });

    it("streams all tokens and the output, several times on one connection", async () => {
        for (let call = 0; call < 3; call += 1) {
            const events = await collect(client);
            const tokens = events.flatMap(event => (event.kind === "token" ? [event.token] : []));
            expect(tokens).toEqual(expectedTokens("generate", REQUEST.input, 10));
            const output = expectedOutput("generate", REQUEST.input, 10);
            expect(events.at(-1)).toMatchObject({ kind: "completed", output, tokens: tokens.length });
        }
    });

    it.each<[string, Record<string, unknown[]>, string]>([
        ["failure", { failNext: [1] }, "failed"],
        ["rejection", { rejectNext: [1] }, "rejected"],
        ["truncation", { truncateNext: [1] }, "lost"],
        ["target down", { crash: [60_000] }, "notStarted"],
    ])("reports %s", async (_, faults, kind) => {
        const options = { method: "POST", body: JSON.stringify(faults) };
        expect((await fetch(`http://${server.address}/faults`, options)).status).toBe(204);
        expect((await collect(client)).at(-1)?.kind).toBe(kind);
    });

    it("cancels at the target, through the signal or by leaving the loop", async () => {
        const abort = new AbortController();
        const kinds: string[] = [];
        for await (const event of client.execute({ ...REQUEST, maximumTokens: 5_000 }, abort.signal)) {
            kinds.push(event.kind);
            abort.abort();
        }
        expect(kinds.at(-1)).toBe("lost");
        for await (const event of client.execute({ ...REQUEST, maximumTokens: 5_000 }, AbortSignal.timeout(5_000))) {
            if (event.kind === "token") break;
        }
        await expect.poll(() => engine.counters().cancelled).toBe(2);
    });

    it("reads load and gives orders", async () => {
        expect(await client.load()).toMatchObject({ cold: false, running: 0, capacity: 4 });
        expect(await client.order({ fencing: 2, kind: "loadAdapter", name: "a" })).toEqual({ kind: "applied" });
        expect(await client.order({ fencing: 1, kind: "loadAdapter", name: "b" })).toMatchObject({
            kind: "staleFencing",
        });
        await server.close();
        expect(await client.load()).toBeUndefined();
        expect((await collect(client)).at(-1)?.kind).toBe("notStarted");
    });
});

// Guards against a broken target that makes its agent deliver half an answer or use up its memory.
describe("HttpEngine with a broken target", () => {
    const started = '{"started":true,"bootId":"b","cold":false}\n';
    const tooLong = "x".repeat(MAXIMUM_LINE_LENGTH + 1);
    it.each<[string, string, string[]]>([
        ["no line", "", ["lost"]],
        ["no last line", started, ["started", "lost"]],
        ["half a line", `${started}{"done":tr`, ["started", "lost"]],
        ["an unknown line", `${started}{"other":1}\n`, ["started", "lost"]],
        ["no output", `${started}{"done":true,"tokens":1,"costMilliseconds":1}\n`, ["started", "lost"]],
        ["a line without end", started + tooLong, ["started", "lost"]],
        ["a line that is too long", `${started}{"failed":"${tooLong}"}\n`, ["started", "lost"]],
        ["lines after the last", `${started}{"failed":"f"}\n{"failed":"g"}\n`, ["started", "failed"]],
    ])("reports %s", async (_, body, kinds) => {
        const listener: RequestListener = (_request, response) => void response.end(body);
        const broken = createServer(listener).listen(0, "127.0.0.1");
        await new Promise(resolve => broken.once("listening", resolve));
        const client = HttpEngine.create(`127.0.0.1:${(broken.address() as AddressInfo).port}`);
        expect((await collect(client)).map(event => event.kind)).toEqual(kinds);
        client.close();
        broken.closeAllConnections();
        broken.close();
    });
});
