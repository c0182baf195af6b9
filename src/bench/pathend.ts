/** Commands of an endpoint process for the case `path`: stand-ins, the system, and callers of both. */
import { request as httpRequest, Agent as HttpAgent } from "node:http";
import { HttpEngine } from "../agent/engineclient.js";
import { ConfigurationLog, parseLists } from "../configuration/index.js";
import { startAgent, startEntry } from "../daemon/index.js";
import { pause } from "../model/pause.js";
import { agentSettingsSchema, entrySettingsSchema } from "../settings/index.js";
import { serveEngine, serveStore, StandInEngine, StandInStore } from "../standins/index.js";
import { CallCounter, HttpStore } from "../store/index.js";
import { stringify } from "yaml";
import { quantile } from "./statistics.js";

/** Services in the order of the stages. */
export const PATH_SERVICES = ["encode", "retrieve", "generate"] as const;

const KEY = "key-of-bench";
const START_TIMEOUT_MS = 15_000;

/** Measurements of the callers: median times in milliseconds, and the number of tokens received. */
export interface PathTimes {
    readonly duration: number;
    readonly firstToken: number;
    readonly tokens: number;
}

/** Serves the stand-in store and one warm stand-in for each service. Returns the addresses, the store's first. */
export async function listenStandIns(): Promise<readonly string[]> {
    const store = await serveStore(StandInStore.create(), "127.0.0.1:0");
    const addresses = [store.address];
    for (const service of PATH_SERVICES) {
        const options = { operations: [service], concurrency: 16, coldConcurrency: 4, timePerCall: 2 };
        const served = await serveEngine(StandInEngine.create({ ...options, startsCold: false }), "127.0.0.1:0");
        addresses.push(served.address);
    }
    return addresses;
}

/** Runs one entry, and one agent for each service, in this process. Returns the entry's address for callers. */
export async function startSystem(addresses: readonly string[], maximumTokens: number): Promise<string> {
    const [storeAddress = "", ...targets] = addresses;
    for (const [index, service] of PATH_SERVICES.entries()) {
        const more = { service, version: "v1", targetAddress: targets[index] };
        await startAgent(agentSettingsSchema.parse({ ...common(`${service}-1`, storeAddress), ...more }));
    }
    const callers = { callerAddress: "127.0.0.1:0", operatorKey: "operator-key", seat: { index: 0, count: 1 } };
    const entry = await startEntry(entrySettingsSchema.parse({ ...common("entry", storeAddress), ...callers }));
    const parsed = parseLists(stringify(lists(maximumTokens)), entry.holder.current);
    if (parsed.kind === "invalid") throw new Error(JSON.stringify(parsed.errors));
    const store = HttpStore.create({
        address: storeAddress,
        timeoutMilliseconds: 500,
        callCounter: CallCounter.create(),
    });
    const log = ConfigurationLog.create({ store, holder: entry.holder });
    await log.accept({ base: entry.holder.current, author: "bench", difference: parsed.difference });
    const endsAt = performance.now() + START_TIMEOUT_MS;
    while (!(await callOnce(entry.callerAddress, "ready")).done) {
        if (performance.now() > endsAt) throw new Error("the system did not become ready");
        await pause(50);
    }
    return entry.callerAddress;
}

function common(name: string, storeAddress: string): Record<string, unknown> {
    return {
        ...{ name, zone: "east", vm: name, systemKey: "system-key", linkAddress: "127.0.0.1:0" },
        store: { address: storeAddress },
        logging: { level: "error" },
    };
}

function lists(maximumTokens: number): object {
    const stages = PATH_SERVICES.map(service => ({
        ...{ name: service, service, operation: service, idempotent: true, costMilliseconds: 2 },
        ...(service === "generate" ? { streaming: true, maximumTokens } : {}),
    }));
    return {
        services: PATH_SERVICES.map(name => ({ name, kind: "engine", concurrency: 16, coldConcurrency: 4 })),
        pipelines: [{ name: "path", stages }],
        plans: [{ name: "bench", pipelines: ["path"], share: 1 }],
        accounts: [{ name: "bench", plan: "bench", key: KEY }],
    };
}

const connections = new HttpAgent({ keepAlive: true });

interface Call {
    readonly done: boolean;
    readonly duration: number;
    readonly firstToken: number;
    readonly tokens: number;
}

/** One request through the system. */
function callOnce(address: string, id: string): Promise<Call> {
    const [host, port] = address.split(":");
    const headers = {
        "authorization": `Bearer ${KEY}`,
        "content-type": "application/json",
        "accept": "text/event-stream",
    };
    const options = { host, port, agent: connections, method: "POST", path: "/v1/pipelines/path", headers };
    const start = performance.now();
    return new Promise((resolve, reject) => {
        const request = httpRequest(options, response => {
            let text = "";
            let firstToken = 0;
            response.setEncoding("utf8").on("data", (chunk: string) => {
                if (firstToken === 0) firstToken = performance.now() - start;
                text += chunk;
            });
            response.on("end", () => {
                const tokens = text.split("event: token\n").length - 1;
                const done = text.includes(`"outcome":"done"`);
                resolve({ done, duration: performance.now() - start, firstToken, tokens });
            });
        });
        request.on("error", reject).end(JSON.stringify({ input: { id } }));
    });
}

/** Sends requests through the system one after the other. Throws when one is not done. */
export async function callSystem(address: string, count: number, seed: number): Promise<PathTimes> {
    const calls: Call[] = [];
    for (let index = 0; index < count; index += 1) calls.push(await callOnce(address, `${seed}-${index}`));
    if (calls.some(call => !call.done)) throw new Error("a request was not done");
    return timesOf(calls);
}

/** The same stages of the same requests as direct calls to the stand-ins. */
export async function callDirect(
    addresses: readonly string[],
    count: number,
    maximumTokens: number,
    seed: number,
): Promise<PathTimes> {
    const engines = addresses.slice(1).map(address => HttpEngine.create(address));
    const calls: Call[] = [];
    for (let index = 0; index < count; index += 1) {
        calls.push(await directOnce(engines, `${seed}-${index}`, maximumTokens));
    }
    return timesOf(calls);
}

async function directOnce(engines: readonly HttpEngine[], id: string, maximumTokens: number): Promise<Call> {
    const start = performance.now();
    let firstToken = 0;
    let tokens = 0;
    let previous = "null";
    for (const [index, operation] of PATH_SERVICES.entries()) {
        const streaming = operation === "generate";
        const request = {
            id: `${id}-${operation}`,
            operation,
            input: `{"input":{"id":"${id}"},"previous":${previous}}`,
            maximumTokens: streaming ? maximumTokens : 0,
            ...{ priority: 0, prefixHash: "", resumeAfter: 0, streaming, idempotencyKey: "" },
        };
        for await (const event of engines[index]?.execute(request, new AbortController().signal) ?? []) {
            if (event.kind === "token") {
                if (firstToken === 0) firstToken = performance.now() - start;
                tokens += 1;
            } else if (event.kind === "completed") previous = event.output;
            else if (event.kind !== "started") throw new Error(`direct call ended with ${event.kind}`);
        }
    }
    return { done: true, duration: performance.now() - start, firstToken, tokens };
}

function timesOf(calls: readonly Call[]): PathTimes {
    const median = (values: readonly number[]): number =>
        quantile(
            [...values].sort((left, right) => left - right),
            0.5,
        );
    return {
        duration: median(calls.map(call => call.duration)),
        firstToken: median(calls.map(call => call.firstToken)),
        tokens: calls.reduce((sum, call) => sum + call.tokens, 0),
    };
}
