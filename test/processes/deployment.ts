/** A small deployment of separate processes: stand-ins, agents and entries, with clients for callers and operators. */
import { request as httpRequest } from "node:http";
import { stringify } from "yaml";
import { decodeSlotTable, type SlotTable } from "../../src/claims/index.js";
import { Daemon, freeAddress, pause, ProcessGroup, until } from "./daemons.js";

export const OPERATOR_KEY = "operator-key-1";
export const SYSTEM_KEY = "system-key-1";
export const ACCOUNT_KEY = "kettleby-key-1";
const SLOTS = 8;

const LISTS = {
    budget: { millisecondsPerSecond: 100_000 },
    services: [
        { name: "generate", kind: "engine", concurrency: 16, coldConcurrency: 8 },
        { name: "book", kind: "plain", slots: SLOTS, concurrency: 16, coldConcurrency: 8 },
    ],
    pipelines: [
        {
            name: "question",
            stages: [
                { name: "stock", service: "book", operation: "stock", idempotent: true, costMilliseconds: 5 },
                {
                    ...{ name: "generate", service: "generate", operation: "generate", idempotent: true },
                    ...{ streaming: true, maximumTokens: 20, costMilliseconds: 50 },
                },
            ],
        },
        {
            name: "stock-check",
            stages: [{ name: "stock", service: "book", operation: "stock", idempotent: true, costMilliseconds: 5 }],
        },
        {
            name: "booking",
            stages: [
                { name: "stock", service: "book", operation: "stock", idempotent: true, costMilliseconds: 5 },
                { name: "book", service: "book", operation: "book", idempotent: false, costMilliseconds: 20 },
            ],
        },
    ],
    plans: [{ name: "large", pipelines: ["question", "stock-check", "booking"], share: 1 }],
    accounts: [{ name: "kettleby", plan: "large", key: ACCOUNT_KEY }],
};

/** What a caller read. `broken` is an answer that did not arrive or did not arrive whole. */
export interface CallerAnswer {
    readonly outcome: "done" | "refused" | "failed" | "unknown" | "broken" | "unreachable";
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
    readonly tokens: readonly string[];
}

export interface CallOptions {
    readonly key?: string;
    readonly stream?: boolean;
    readonly deadline?: number;
    readonly input?: unknown;
}

interface AgentPlace {
    readonly settings: Readonly<Record<string, unknown>>;
    readonly targetAddress: string;
}

export interface EngineCounts {
    readonly runs: number;
    readonly runsByKey: Readonly<Record<string, number>>;
}

/** How slow the stand-in targets are; long enough for a fault in the middle of a request. */
export interface DeploymentOptions {
    readonly bookMilliseconds?: number;
    readonly tokenMilliseconds?: number;
    readonly generateAgents?: number;
    readonly bookAgents?: number;
    readonly entries?: number;
}

/** The processes of one deployment. */
export class Deployment {
    readonly group = ProcessGroup.create();
    private readonly daemons = new Map<string, Daemon>();
    private readonly agents = new Map<string, AgentPlace>();
    private readonly entries = new Map<string, Readonly<Record<string, unknown>>>();
    storeAddress = "";

    private constructor(private readonly options: DeploymentOptions) {}

    /** Starts everything, applies the lists, and waits until every kind of request is served by every entry. */
    static async start(options: DeploymentOptions = {}): Promise<Deployment> {
        const deployment = new Deployment(options);
        try {
            await deployment.startAll();
        } catch (error) {
            await deployment.close();
            throw error;
        }
        return deployment;
    }

    async close(): Promise<void> {
        await this.group.close();
    }

    daemon(name: string): Daemon {
        const daemon = this.daemons.get(name);
        if (daemon === undefined) throw new Error(`no process ${name}`);
        return daemon;
    }

    /** Starts a process again with the settings that it had. */
    async restart(name: string): Promise<void> {
        await this.daemon(name).kill();
        await this.startDaemon(name);
    }

    async startDaemon(name: string): Promise<void> {
        const agent = this.agents.get(name);
        const settings = agent?.settings ?? this.entries.get(name);
        if (settings === undefined) throw new Error(`no settings of ${name}`);
        const kind = agent === undefined ? "entry" : "agent";
        const daemon = this.group.spawn(kind, name, settings);
        this.daemons.set(name, daemon);
        await daemon.logged(`${kind} started`);
    }

    /** Settings of one more entry, which `startDaemon` starts. */
    async addEntry(name: string, peers: readonly string[], seat = { index: 0, count: 1 }): Promise<void> {
        const callerAddress = await freeAddress();
        const common = await this.common(name);
        this.entries.set(name, { ...common, callerAddress, operatorKey: OPERATOR_KEY, peers, seat });
    }

    linkAddress(name: string): string {
        return String((this.entries.get(name) ?? this.agents.get(name)?.settings)?.["linkAddress"]);
    }

    callerAddress(entry: string): string {
        return String(this.entries.get(entry)?.["callerAddress"]);
    }

    /** Calls a pipeline on a connection of its own. Never rejects. */
    call(entry: string, pipeline: string, options: CallOptions = {}): Promise<CallerAnswer> {
        const headers: Record<string, string> = {
            "authorization": `Bearer ${ACCOUNT_KEY}`,
            "content-type": "application/json",
            "parsleyrun-deadline-ms": String(options.deadline ?? 4_000),
        };
        if (options.key !== undefined) headers["idempotency-key"] = options.key;
        if (options.stream === true) headers["accept"] = "text/event-stream";
        const body = JSON.stringify({ input: options.input ?? { text: `request ${options.key ?? pipeline}` } });
        return post(`http://${this.callerAddress(entry)}/v1/pipelines/${pipeline}`, headers, body);
    }

    /** Calls the operators' interface. */
    async operate(entry: string, method: "GET" | "POST", path: string, body?: object) {
        const response = await fetch(`http://${this.callerAddress(entry)}/operator/v1/${path}`, {
            method,
            headers: { authorization: `Bearer ${OPERATOR_KEY}`, connection: "close" },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
        return { status: response.status, body: (await response.json()) as Record<string, unknown> };
    }

    async applyLists(entry: string, lists: object): Promise<number> {
        const { body } = await this.operate(entry, "GET", "configuration");
        const version = Number(body["version"]);
        const request = { lists: stringify(lists), version, dryRun: false, author: "test" };
        const applied = await this.operate(entry, "POST", "lists", request);
        if (applied.status !== 200) throw new Error(`lists were not applied: ${JSON.stringify(applied.body)}`);
        return Number(applied.body["version"]);
    }

    /** Switches a fault of the store or of an agent's target on. */
    async fault(where: string, faults: Readonly<Record<string, readonly unknown[]>>): Promise<void> {
        const address = where === "store" ? this.storeAddress : this.targetOf(where);
        const response = await fetch(`http://${address}/faults`, { method: "POST", body: JSON.stringify(faults) });
        if (response.status !== 204) throw new Error(`fault was not applied: ${await response.text()}`);
    }

    /** What the target of an agent has done. */
    async counts(agent: string): Promise<EngineCounts> {
        return (await (await fetch(`http://${this.targetOf(agent)}/counters`)).json()) as EngineCounts;
    }

    /** Runs of a caller's key at all targets of the booking service. */
    async runsOf(key: string): Promise<number> {
        const counts = await Promise.all(this.bookAgents.map(agent => this.counts(agent)));
        return counts.reduce((sum, { runsByKey }) => sum + (runsByKey[targetKey(key)] ?? 0), 0);
    }

    get bookAgents(): readonly string[] {
        return [...this.agents.keys()].filter(name => name.startsWith("book"));
    }

    /** An object of the store. */
    async object(key: string): Promise<{ readonly version: number; readonly value: string } | undefined> {
        const response = await fetch(`http://${this.storeAddress}/objects/${key}`);
        if (response.status !== 200) return undefined;
        return (await response.json()) as { version: number; value: string };
    }

    async objects(prefix: string): Promise<readonly { readonly key: string; readonly value: string }[]> {
        const response = await fetch(`http://${this.storeAddress}/objects?prefix=${encodeURIComponent(prefix)}`);
        return ((await response.json()) as { objects: { key: string; value: string }[] }).objects;
    }

    async writeObject(key: string, value: string): Promise<void> {
        const version = (await this.object(key))?.version ?? 0;
        const condition: Record<string, string> =
            version === 0 ? { "if-none-match": "*" } : { "if-match": String(version) };
        const response = await fetch(`http://${this.storeAddress}/objects/${key}`, {
            method: "PUT",
            headers: condition,
            body: JSON.stringify({ value }),
        });
        if (response.status !== 200) throw new Error(`object was not written: ${response.status}`);
    }

    async slotTable(): Promise<SlotTable> {
        const object = await this.object("slots/book");
        return object === undefined ? { service: "book", slots: [] } : decodeSlotTable(object.value);
    }

    /** Waits until each slot is owned by one of the agents named. */
    async slotsOwnedBy(agents: readonly string[]): Promise<void> {
        await until(`slots owned by ${agents.join(", ")}`, async () => {
            const { slots } = await this.slotTable();
            return slots.length === SLOTS && slots.every(owner => owner && agents.includes(owner.target));
        });
    }

    /** Waits until an entry answers a kind of request with `done`. */
    async serves(entry: string, pipeline: string, key?: () => string): Promise<void> {
        await until(`${entry} serves ${pipeline}`, async () => {
            const answer = await this.call(entry, pipeline, key === undefined ? {} : { key: key() });
            return answer.outcome === "done";
        });
    }

    private targetOf(agent: string): string {
        return this.agents.get(agent)?.targetAddress ?? "";
    }

    private async common(name: string): Promise<Record<string, unknown>> {
        const store = { address: this.storeAddress, timeoutMilliseconds: 1_000 };
        return { name, zone: "east", vm: name, systemKey: SYSTEM_KEY, linkAddress: await freeAddress(), store };
    }

    private async startAll(): Promise<void> {
        this.storeAddress = await freeAddress();
        const { generateAgents = 2, bookAgents = 2, entries = 2 } = this.options;
        for (let index = 1; index <= generateAgents; index += 1) await this.addAgent(`generate-${index}`, "generate");
        for (let index = 1; index <= bookAgents; index += 1) await this.addAgent(`book-${index}`, "book");
        const targets = [...this.agents].map(([name, { targetAddress }]) => this.target(name, targetAddress));
        const standIns = this.group.spawn("standins", "stand-ins", { store: { address: this.storeAddress }, targets });
        this.daemons.set("stand-ins", standIns);
        await standIns.logged("stand-ins: store at");
        for (const agent of this.agents.keys()) await this.fault(agent, { turnWarm: [] });
        for (let index = 1; index <= entries; index += 1) {
            const peers = [...this.entries.values()].map(({ linkAddress }) => String(linkAddress));
            await this.addEntry(`entry-${index}`, peers, { index: index - 1, count: entries });
        }
        await Promise.all([...this.agents.keys(), ...this.entries.keys()].map(name => this.startDaemon(name)));
        await this.becomeReady();
    }

    private async becomeReady(): Promise<void> {
        const [first = ""] = this.entries.keys();
        await until("the first configuration is confirmed", async () => {
            return (await this.operate(first, "GET", "configuration")).status === 200;
        });
        await this.applyLists(first, LISTS);
        await this.slotsOwnedBy(this.bookAgents);
        let number = 0;
        for (const entry of this.entries.keys()) {
            for (const pipeline of ["question", "stock-check"]) await this.serves(entry, pipeline);
            await this.serves(entry, "booking", () => `ready-${entry}-${(number += 1)}`);
        }
    }

    private async addAgent(name: string, service: string): Promise<void> {
        const targetAddress = await freeAddress();
        const settings = { ...(await this.common(name)), service, version: "v1", targetAddress };
        this.agents.set(name, { settings, targetAddress });
    }

    private target(name: string, address: string): object {
        const { bookMilliseconds = 20, tokenMilliseconds = 2 } = this.options;
        const capacity = { address, concurrency: 16, coldConcurrency: 8 };
        return name.startsWith("book")
            ? { ...capacity, operations: ["stock", "book"], nonIdempotent: ["book"], timePerCall: bookMilliseconds }
            : { ...capacity, operations: ["generate"], timePerCall: 20, timePerToken: tokenMilliseconds };
    }
}

/** A caller's key as targets know it. */
export function targetKey(key: string): string {
    return `kettleby/${key}/book`;
}

function post(url: string, headers: Readonly<Record<string, string>>, body: string): Promise<CallerAnswer> {
    return new Promise(resolve => {
        let connected = false;
        let status = 0;
        let text = "";
        const broken = (): void => {
            resolve({ outcome: connected ? "broken" : "unreachable", status, body: {}, tokens: [] });
        };
        const options = { method: "POST", headers: { ...headers, connection: "close" }, agent: false };
        const request = httpRequest(url, options, response => {
            status = response.statusCode ?? 0;
            response.setEncoding("utf8").on("data", (chunk: string) => (text += chunk));
            response.on("error", broken);
            response.on("close", broken);
            response.on("end", () => resolve(readAnswer(status, text, response.headers["content-type"] ?? "")));
        });
        request.on("socket", socket => socket.once("connect", () => (connected = true)));
        request.on("error", broken);
        request.end(body);
    });
}

function readAnswer(status: number, text: string, type: string): CallerAnswer {
    const events = type === "text/event-stream" ? text.split("\n\n").filter(event => event !== "") : [];
    const data = events.map(event => event.slice(event.indexOf("data: ") + "data: ".length));
    const tokens = data.slice(0, -1).map(line => (JSON.parse(line) as { token: string }).token);
    if (events.length > 0 && !(events.at(-1) ?? "").startsWith("event: outcome")) {
        return { outcome: "broken", status, body: {}, tokens };
    }
    const body = JSON.parse(data.at(-1) ?? text) as Record<string, unknown>;
    return { outcome: body["outcome"] as CallerAnswer["outcome"], status, body, tokens };
}

/** Whether an answer is one that the interface allows, whole and consistent. */
export function isTrueOutcome(answer: CallerAnswer): boolean {
    if (answer.outcome === "done") return answer.status === 200 && answer.body["output"] !== undefined;
    if (answer.outcome === "refused") return answer.body["notRun"] === true;
    return answer.outcome === "failed" || answer.outcome === "unknown";
}

export { pause, until };
