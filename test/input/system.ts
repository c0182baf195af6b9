/** A small deployment in this process whose links, callers' and operators' interfaces are real sockets. */
import { connect as connectTcp } from "node:net";
import { stringify } from "yaml";
import { type AgentProcess, composeAgent, composeEntry, type EntryProcess } from "../../src/daemon/index.js";
import { ConnectNetwork, type TlsFiles } from "../../src/link/index.js";
import { agentSettingsSchema, entrySettingsSchema } from "../../src/settings/index.js";
import { StandInEngine, StandInStore } from "../../src/standins/index.js";
import { firstPort } from "../ports.js";

/** Seed of all properties in this folder; part of their titles, so that it is printed. */
export const SEED = 20_261_204;

export const SYSTEM_KEY = "system-key-of-the-input-tests";
export const OPERATOR_KEY = "operator-key-of-the-input-tests";
export const ALPHA_KEY = "alpha-account-key";
export const BETA_KEY = "beta-account-key";

export const LISTS = {
    budget: { millisecondsPerSecond: 1_000_000 },
    services: [
        { name: "echo", kind: "engine", concurrency: 16, coldConcurrency: 16 },
        { name: "book", kind: "plain", slots: 4, concurrency: 16, coldConcurrency: 16 },
    ],
    pipelines: [
        {
            name: "ask",
            stages: [
                {
                    ...{ name: "echo", service: "echo", operation: "echo", idempotent: true, streaming: true },
                    ...{ maximumTokens: 4, costMilliseconds: 1 },
                },
            ],
        },
        {
            name: "reserve",
            stages: [{ name: "book", service: "book", operation: "book", idempotent: false, costMilliseconds: 1 }],
        },
    ],
    plans: [
        { name: "both", pipelines: ["ask", "reserve"], share: 0.5 },
        { name: "questions", pipelines: ["ask"], share: 0.5 },
    ],
    accounts: [
        { name: "alpha", plan: "both", key: ALPHA_KEY },
        { name: "beta", plan: "questions", key: BETA_KEY },
    ],
};

export async function until(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const endsAt = performance.now() + 15_000;
    while (!(await condition())) {
        if (performance.now() > endsAt) throw new Error(`not reached: ${what}`);
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

/** Collects rejections that nothing handles; vitest fails the run for them as well. */
export function collectUnhandled(): { readonly errors: readonly unknown[]; stop(): void } {
    const errors: unknown[] = [];
    const listener = (error: unknown): void => void errors.push(error);
    process.on("unhandledRejection", listener);
    return { errors, stop: () => process.removeListener("unhandledRejection", listener) };
}

/** Loopback ports below 32768, where the system takes the ports of outgoing connections from. */
let nextPort = firstPort();

export function nextAddress(): string {
    nextPort += 1;
    return `127.0.0.1:${nextPort}`;
}

/** An answer over HTTP. */
export interface Answer {
    readonly status: number;
    readonly text: string;
}

export function bodyOf(answer: Answer): Record<string, unknown> {
    return JSON.parse(answer.text) as Record<string, unknown>;
}

/** Sends raw bytes on a connection of its own and reads until it closes, at most for a time. */
export function sendRaw(
    address: string,
    bytes: Buffer | string,
    options: { readonly end?: boolean; readonly milliseconds?: number } = {},
): Promise<string> {
    const [host = "", port = ""] = address.split(":");
    return new Promise(resolve => {
        let text = "";
        const socket = connectTcp(Number(port), host, () => {
            socket.write(bytes);
            if (options.end === true) socket.end();
        });
        const timer = setTimeout(() => socket.destroy(), options.milliseconds ?? 2_000);
        socket.setEncoding("latin1").on("data", (chunk: string) => (text = (text + chunk).slice(0, 100_000)));
        socket.on("error", () => undefined);
        socket.on("close", () => {
            clearTimeout(timer);
            resolve(text);
        });
    });
}

/** The deployment: one entry, one agent for `echo` and one for `book`. */
export class InputSystem {
    readonly engines = new Map<string, StandInEngine>();
    readonly agents = new Map<string, AgentProcess>();

    private constructor(
        readonly store: StandInStore,
        readonly entry: EntryProcess,
        readonly entryLink: string,
    ) {}

    static async start(tls?: TlsFiles): Promise<InputSystem> {
        const store = StandInStore.create({ writesPerSecond: 100_000, readsPerSecond: 100_000 });
        const network = ConnectNetwork.create(SYSTEM_KEY, tls);
        const linkAddress = nextAddress();
        const settings = entrySettingsSchema.parse({
            ...common("entry", linkAddress),
            callerAddress: nextAddress(),
            operatorKey: OPERATOR_KEY,
            seat: { index: 0, count: 1 },
        });
        const entry = await composeEntry(settings, { network, store: store.client("entry") });
        const system = new InputSystem(store, entry, linkAddress);
        for (const service of ["echo", "book"]) await system.startAgent(service, network);
        await system.becomeReady();
        return system;
    }

    async stop(): Promise<void> {
        for (const agent of this.agents.values()) await agent.stop();
        await this.entry.stop();
    }

    get address(): string {
        return this.entry.callerAddress;
    }

    agentLink(service: string): string {
        return this.agents.get(service)?.agent.address ?? "";
    }

    runsOf(key: string): number {
        return this.engines.get("book")?.counters().runsByKey[key] ?? 0;
    }

    async call(
        pipeline: string,
        headers: Readonly<Record<string, string>> = {},
        body: unknown = { input: 1 },
    ): Promise<Answer> {
        const response = await fetch(`http://${this.address}/v1/pipelines/${pipeline}`, {
            method: "POST",
            headers: { authorization: `Bearer ${ALPHA_KEY}`, ...headers },
            body: typeof body === "string" ? body : JSON.stringify(body),
        });
        return { status: response.status, text: await response.text() };
    }

    async operate(method: string, path: string, body?: string, key = OPERATOR_KEY): Promise<Answer> {
        const response = await fetch(`http://${this.address}/operator/v1/${path}`, {
            method,
            headers: { authorization: `Bearer ${key}` },
            ...(body === undefined ? {} : { body }),
        });
        return { status: response.status, text: await response.text() };
    }

    /** Whether valid requests of both kinds are served at the first try. */
    async servesAtOnce(name: string): Promise<boolean> {
        const ask = await this.call("ask");
        const reserve = await this.call("reserve", { "idempotency-key": name });
        if (ask.status === 200 && reserve.status === 200) return true;
        throw new Error(`not served: ${ask.status} ${ask.text.slice(0, 200)}, ${reserve.status} ${reserve.text}`);
    }

    private async startAgent(service: string, network: ConnectNetwork): Promise<void> {
        const settings = agentSettingsSchema.parse({
            ...common(service, nextAddress()),
            ...{ service, version: "v1", targetAddress: "127.0.0.1:1" },
        });
        const engine = StandInEngine.create({
            operations: [service],
            nonIdempotent: service === "book" ? ["book"] : [],
            concurrency: 16,
            coldConcurrency: 16,
            timePerCall: 1,
            startsCold: false,
        });
        this.engines.set(service, engine);
        const agent = await composeAgent(settings, { network, store: this.store.client(service), engine });
        this.agents.set(service, agent);
    }

    private async becomeReady(): Promise<void> {
        await until("operators are served", async () => (await this.operate("GET", "configuration")).status === 200);
        const body = JSON.stringify({ lists: stringify(LISTS), version: 0 });
        const applied = await this.operate("POST", "lists", body);
        if (applied.status !== 200) throw new Error(applied.text);
        await until("requests are served", async () => (await this.call("ask")).status === 200);
        await until("bookings are served", async () => {
            return (await this.call("reserve", { "idempotency-key": `ready-${performance.now()}` })).status === 200;
        });
    }
}

function common(name: string, linkAddress: string): Record<string, unknown> {
    const logging = { level: "error" };
    const store = { address: "127.0.0.1:1" };
    return { name, zone: "east", vm: name, systemKey: SYSTEM_KEY, linkAddress, store, logging };
}
