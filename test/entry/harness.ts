/** Entries over an in-memory network, with agents that follow a test's script. Uses vitest's fake timers. */
import { vi } from "vitest";
import { Agent } from "../../src/agent/index.js";
import { decodeSlotTable, type SlotTable, slotTableKey } from "../../src/claims/index.js";
import { Configuration, ConfigurationHolder, type ConfigurationRecord } from "../../src/configuration/index.js";
import { type CallerRequest, Entry } from "../../src/entry/index.js";
import {
    type Link,
    type LinkBodyInit,
    MemoryNetwork,
    Role,
    type RunStage,
    type Withdraw,
    Withdrawn_State,
} from "../../src/link/index.js";
import type { Directory, EntryMember, Membership } from "../../src/membership/index.js";
import type { RequestOutcome, Service, Stage, Target } from "../../src/model/index.js";
import { agentSettingsSchema, entrySettingsSchema } from "../../src/settings/schema.js";
import { StandInEngine, StandInStore } from "../../src/standins/index.js";
import { StoreView } from "../../src/store/index.js";

const ignore = (): undefined => undefined;
export const logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

export const stages: Readonly<Record<string, Stage>> = {
    encode: stage("encode", {}),
    generate: stage("generate", { streaming: true, maximumTokens: 8 }),
    book: stage("book", { idempotent: false }),
};

function stage(name: string, options: Partial<Stage>): Stage {
    return {
        name,
        service: `${name}-service`,
        operation: name,
        idempotent: true,
        streaming: false,
        maximumTokens: 0,
        costMilliseconds: 20,
        ...options,
    };
}

function service(name: string): Service {
    return {
        name,
        kind: "plain",
        slots: 4,
        whenStoreUnavailable: "refuse",
        fencing: "ignored",
        concurrency: 8,
        coldConcurrency: 4,
    };
}

/** Pipelines `ask` (encode, generate), `reserve` (encode, book) and `book` (book, encode), for account `a1`. */
export const baseRecords: readonly ConfigurationRecord[] = [
    ...Object.values(stages).map(({ service: name }) => ({ kind: "service", name, value: service(name) }) as const),
    pipeline("ask", ["encode", "generate"]),
    pipeline("reserve", ["encode", "book"]),
    pipeline("book", ["book", "encode"]),
    { kind: "plan", name: "p", value: { name: "p", pipelines: ["ask", "reserve", "book"], stages: [], share: 1 } },
    { kind: "account", name: "a1", value: { name: "a1", plan: "p", keyHash: "" } },
];

function pipeline(name: string, names: readonly string[]): ConfigurationRecord {
    const listed = names.map(each => stages[each] ?? stage(each, {}));
    return { kind: "pipeline", name, value: { name, stages: listed } };
}

/** How a scripted agent answers an attempt. */
export interface Reply {
    readonly message: RunStage;
    accept(): void;
    tokens(firstIndex: number, tokens: readonly string[]): void;
    complete(output?: string, tokens?: number): void;
    refuse(reason: string): void;
    fail(reason: string): void;
    /** Ends the agent: all its links close. */
    die(): void;
    send(body: LinkBodyInit): void;
}

export type Script = (reply: Reply) => void;

/** Completes with an output that contains the stage and the payload, so that a test detects a mixed-up answer. */
export const echo: Script = reply => {
    const { stage: name, payload } = reply.message;
    reply.accept();
    reply.complete(JSON.stringify({ stage: name, payload: JSON.parse(payload) as unknown }));
};

/** An agent that follows a script. */
export class ScriptedAgent {
    readonly runs: RunStage[] = [];
    readonly cancelled: number[] = [];
    readonly links: Link[] = [];
    script: Script = echo;
    withdrawal: (question: Withdraw) => { state: Withdrawn_State; output?: string } = () => ({
        state: Withdrawn_State.WITHDRAWN,
    });

    constructor(
        readonly target: Target,
        private readonly network: MemoryNetwork,
    ) {}

    async listen(incarnation = this.target.incarnation): Promise<void> {
        const { name, service: served, version, zone, vm, address } = this.target;
        const hello = () => ({ role: Role.AGENT, name, service: served, version, zone, vm, address, incarnation });
        await this.network.at(address).listen(address, hello, link => void this.serve(link));
    }

    /** Ends the agent. */
    die(): void {
        this.network.disconnect(this.target.address);
    }

    private async serve(link: Link): Promise<void> {
        this.links.push(link);
        const load = { running: 0, queued: 0, limit: 8, cold: false };
        link.send({ case: "loadReport", value: { load, configurationVersion: 0 } });
        for await (const body of link.messages) {
            if (body.case === "runStage") {
                this.runs.push(body.value);
                this.script(this.reply(link, body.value));
            } else if (body.case === "cancelStage") {
                this.cancelled.push(body.value.attempt);
            } else if (body.case === "withdraw") {
                link.send({ case: "withdrawn", value: { query: body.value.query, ...this.withdrawal(body.value) } });
            } else if (body.case === "configurationUpdate") {
                link.send({ case: "acknowledge", value: { configurationVersion: body.value.version } });
            }
        }
    }

    private reply(link: Link, message: RunStage): Reply {
        const { attempt } = message;
        const result = (outcome: Extract<LinkBodyInit, { case: "stageResult" }>["value"]["outcome"] & object) =>
            link.send({ case: "stageResult", value: { attempt, outcome } });
        return {
            message,
            accept: () => link.send({ case: "stageAccepted", value: { attempt } }),
            tokens: (firstIndex, tokens) =>
                link.send({ case: "stageTokens", value: { attempt, firstIndex, tokens: [...tokens] } }),
            complete: (output = "{}", tokens = 0) =>
                result({ case: "completed", value: { output, tokens, costMilliseconds: 5 } }),
            refuse: reason => result({ case: "refused", value: { reason, retryAfterMilliseconds: 50 } }),
            fail: reason => result({ case: "failed", value: { reason } }),
            die: () => this.die(),
            send: body => link.send(body),
        };
    }
}

/** Entries and scripted agents that share a directory and a slot table. */
export class Deployment {
    reachable: (from: string, to: string) => boolean = () => true;
    readonly network = MemoryNetwork.create({ reachable: (from, to) => this.reachable(from, to) });
    readonly agents: ScriptedAgent[] = [];
    readonly entries: Entry[] = [];
    readonly holders: ConfigurationHolder[] = [];
    readonly counters = new Map<string, number>();
    readonly tables = new Map<string, SlotTable>();
    readonly store = StandInStore.create();
    readonly bookers: Agent[] = [];
    private slots: StoreView | undefined;
    private membership: Membership = { targets: [], entries: [] };
    private readonly listeners = new Set<(membership: Membership) => void>();

    /** Starts scripted agents, by default two for each service, in zone z1. */
    async startAgents(service: string, count = 2, options: Partial<Target> = {}): Promise<ScriptedAgent[]> {
        const started: ScriptedAgent[] = [];
        for (let index = 1; index <= count; index += 1) {
            const name = `${service}-${options.version ?? "v1"}-${index}`;
            const target: Target = {
                name,
                service,
                version: "v1",
                zone: "z1",
                vm: `vm-${name}`,
                address: name,
                incarnation: `i-${name}`,
                ...options,
            };
            const agent = new ScriptedAgent(target, this.network);
            await agent.listen();
            started.push(agent);
        }
        this.agents.push(...started);
        this.publish({ targets: this.agents.map(agent => agent.target) });
        return started;
    }

    /** Starts real agents of `book-service`, over stand-in targets and a stand-in store that holds the slot table. */
    async startBookingAgents(count: number): Promise<readonly { agent: Agent; engine: StandInEngine }[]> {
        const started = [];
        for (let index = 1; index <= count; index += 1) {
            const engine = StandInEngine.create({
                operations: ["book"],
                nonIdempotent: ["book"],
                concurrency: 8,
                coldConcurrency: 4,
                timePerCall: 50,
                startsCold: false,
            });
            const address = `127.0.0.1:${7_200 + index}`;
            const common = { service: "book-service", version: "v1", zone: "z1", vm: `vm-${index}` };
            const settings = agentSettingsSchema.parse({
                ...common,
                name: `booker-${index}`,
                systemKey: "test-system-key",
                linkAddress: address,
                store: { address: "127.0.0.1:6000" },
                targetAddress: "127.0.0.1:6100",
            });
            const { name } = settings;
            const store = this.store.client(name);
            const network = this.network.at(address);
            const agent = await Agent.start({
                settings,
                network,
                store,
                engine,
                logger,
                metrics: { increment: ignore },
            });
            const target = { ...common, name, address, incarnation: agent.incarnation };
            this.publish({ targets: [...this.membership.targets, target] });
            started.push({ agent, engine });
        }
        this.bookers.push(...started.map(({ agent }) => agent));
        this.slots = StoreView.start({ store: this.store.client("slots"), prefix: "slots/" });
        return started;
    }

    /** Makes an agent the owner of all slots of its service. */
    own(agent: ScriptedAgent, epoch = 1, incarnation = agent.target.incarnation): void {
        const owner = { target: agent.target.name, incarnation, epoch, journals: [] };
        const { service: name } = agent.target;
        this.tables.set(name, { service: name, slots: [owner, owner, owner, owner] });
    }

    /** Starts an entry with the base configuration, or with none for version 0. */
    async startEntry(
        name: string,
        options: { version?: number; records?: readonly ConfigurationRecord[]; settings?: object } = {},
    ): Promise<Entry> {
        const { version = 1, records = [] } = options;
        const holder = ConfigurationHolder.create();
        if (version > 0) holder.replace(Configuration.of(version, [...baseRecords, ...records]));
        const address = `127.0.0.1:${7_100 + this.entries.length}`;
        const settings = entrySettingsSchema.parse({
            name,
            zone: "z1",
            vm: `vm-${name}`,
            systemKey: "test-system-key",
            operatorKey: "test-operator-key",
            linkAddress: address,
            callerAddress: "127.0.0.1:0",
            store: { address: "127.0.0.1:6000" },
            seat: { index: 0, count: 1 },
            ...options.settings,
        });
        const entry = await Entry.start({
            settings,
            network: this.network.at(address),
            configuration: holder,
            directory: this.directory(),
            slots: { find: served => this.tables.get(served) ?? this.storedTable(served) },
            logger,
            metrics: { increment: (counter, by = 1) => this.count(counter, by) },
            recorder: { record: ignore },
        });
        this.entries.push(entry);
        this.holders.push(holder);
        const member: EntryMember = { name, zone: "z1", vm: "", address, incarnation: entry.incarnation };
        this.publish({ entries: [...this.membership.entries, member] });
        return entry;
    }

    /** Lets fake time pass. */
    async pass(milliseconds: number): Promise<void> {
        await vi.advanceTimersByTimeAsync(milliseconds);
    }

    end(): void {
        for (const entry of this.entries) entry.kill();
        for (const agent of this.agents) agent.die();
        for (const agent of this.bookers) agent.kill();
        this.slots?.stop();
    }

    publish(change: Partial<Membership>): void {
        this.membership = { ...this.membership, ...change };
        for (const listener of this.listeners) listener(this.membership);
    }

    private directory(): Directory {
        const current = () => this.membership;
        return {
            get current() {
                return current();
            },
            subscribe: listener => {
                this.listeners.add(listener);
                return () => this.listeners.delete(listener);
            },
        };
    }

    private storedTable(service: string): SlotTable | undefined {
        const stored = this.slots?.objects.get(slotTableKey(service));
        return stored && decodeSlotTable(stored.value);
    }

    private count(counter: string, by: number): void {
        this.counters.set(counter, (this.counters.get(counter) ?? 0) + by);
    }
}

/** A request of account `a1`. */
export function request(pipelineName: string, options: Partial<CallerRequest> = {}): CallerRequest {
    const input = { prompt: "hello" };
    const common = { account: "a1", kind: "chat", deadlineMilliseconds: 4_000, priority: 0, input };
    return { ...common, pipeline: pipelineName, ...options };
}

/** A request in progress: its outcome once it has ended, and its tokens so far. */
export class Submission {
    outcome: RequestOutcome | undefined;
    readonly tokens: string[] = [];
    readonly controller = new AbortController();
    readonly ended: Promise<void>;

    constructor(entry: Entry, caller: CallerRequest) {
        const onToken = (index: number, token: string): void => {
            this.tokens.push(`${index}:${token}`);
        };
        this.ended = entry.handle(caller, this.controller.signal, onToken).then(outcome => {
            this.outcome = outcome;
        });
    }
}
