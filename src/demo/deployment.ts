/**
 * A small deployment on the loopback address in one process, composed as the daemons compose theirs: stand-in store and
 * targets over HTTP, agents beside the targets, and entries, spread over three zones.
 */
import { readFile } from "node:fs/promises";
import { parse } from "yaml";
import { OperatorClient } from "../commandline/client.js";
import { type AgentProcess, type EntryProcess, startAgent, startEntry } from "../daemon/index.js";
import type { Pipeline, Vm } from "../model/index.js";
import { pause } from "../model/pause.js";
import { agentSettingsSchema, entrySettingsSchema } from "../settings/index.js";
import {
    type EngineCounters,
    serveEngine,
    serveStore,
    StandInEngine,
    type StandInEngineOptions,
    StandInStore,
} from "../standins/index.js";

/** Pipelines, plans and accounts are those of the examples. */
const LISTS_URL = new URL("../../examples/lists.yaml", import.meta.url);

const ZONES = ["east", "middle", "west"];
const ENTRIES = 3;
const OPERATOR_KEY = "demo-operator-key";
const SYSTEM_KEY = "demo-system-key";
/** Longest time until the lists are in force everywhere and each slot has an owner. */
const READY_TIMEOUT_MS = 8_000;
const POLL_INTERVAL_MS = 50;
/** Link ports of entries are below the range that the system takes ports of outgoing connections from. */
const FIRST_PORT = 14_000;
const PORT_COUNT = 16_000;
const PORT_ATTEMPTS = 50;

interface DemoService {
    readonly service: string;
    readonly targets: number;
    readonly options: Partial<StandInEngineOptions> & Pick<StandInEngineOptions, "operations" | "timePerCall">;
}

const SERVICES: readonly DemoService[] = [
    { service: "encode", targets: 3, options: { operations: ["encode"], timePerCall: 5 } },
    { service: "retrieve", targets: 3, options: { operations: ["retrieve"], timePerCall: 10 } },
    { service: "rerank", targets: 3, options: { operations: ["rerank"], timePerCall: 15 } },
    {
        service: "generate",
        targets: 4,
        options: { operations: ["generate"], timePerCall: 20, timePerToken: 2, coldConcurrency: 1 },
    },
    {
        service: "book",
        targets: 3,
        options: { operations: ["stock", "book"], nonIdempotent: ["book"], timePerCall: 20 },
    },
];

/** An account of the lists with the key that its caller sends. */
export interface DemoAccount {
    readonly name: string;
    readonly key: string;
}

/** A running deployment. */
export interface Deployment {
    /** Addresses (host:port) of the entries. */
    readonly entries: readonly string[];
    readonly targetCount: number;
    readonly accounts: readonly DemoAccount[];
    /** A pipeline as the lists in force define it. */
    pipeline(name: string): Pipeline;
    /** Runs by idempotency key, summed over the targets of all services. */
    runsByKey(): Promise<ReadonlyMap<string, number>>;
    /** Stops everything as planned. */
    stop(): Promise<void>;
}

type CloseFunction = () => Promise<void>;

/** Starts a deployment and applies the lists. Throws, with nothing left open, when that takes too long. */
export async function startDeployment(): Promise<Deployment> {
    const closers: CloseFunction[] = [];
    const stop = async (): Promise<void> => {
        for (const close of closers.splice(0).reverse()) await close();
    };
    try {
        const store = await startStore(closers);
        const targets = await startTargets(closers, store);
        const entries = await startEntries(closers, store);
        const lists = await readFile(LISTS_URL, "utf8");
        await applyLists(entries, lists);
        return {
            entries: entries.map(({ callerAddress }) => callerAddress),
            targetCount: targets.length,
            accounts: (parse(lists) as { readonly accounts: readonly DemoAccount[] }).accounts,
            pipeline: name => findPipeline(entries, name),
            runsByKey: () => readRunsByKey(targets),
            stop,
        };
    } catch (error) {
        await stop();
        throw error;
    }
}

function listedVms(): readonly Vm[] {
    const names = SERVICES.flatMap(({ service, targets }) =>
        Array.from({ length: targets }, (_, index) => ({ name: `vm-${service}-${index + 1}`, zone: zoneAt(index) })),
    );
    const entries = Array.from({ length: ENTRIES }, (_, index) => ({
        name: `vm-entry-${index + 1}`,
        zone: zoneAt(index),
    }));
    return [...names, ...entries].map(vm => ({ ...vm, state: "live" }));
}

function zoneAt(index: number): string {
    return ZONES[index % ZONES.length] ?? "";
}

async function startStore(closers: CloseFunction[]): Promise<string> {
    const store = StandInStore.create();
    store.setVms(listedVms());
    const served = await serveStore(store, "127.0.0.1:0");
    closers.push(() => served.close());
    return served.address;
}

function commonSettings(name: string, index: number, store: string) {
    return {
        name,
        zone: zoneAt(index),
        vm: `vm-${name}`,
        systemKey: SYSTEM_KEY,
        linkAddress: "127.0.0.1:0",
        store: { address: store },
        logging: { level: "error" },
    };
}

/** Starts all targets, each with its agent, and returns the targets' addresses. */
async function startTargets(closers: CloseFunction[], store: string): Promise<readonly string[]> {
    const addresses: string[] = [];
    const agents: AgentProcess[] = [];
    closers.push(async () => {
        await Promise.all(agents.map(agent => agent.stop()));
    });
    for (const { service, targets, options } of SERVICES) {
        for (let index = 0; index < targets; index += 1) {
            const engine = StandInEngine.create({
                concurrency: 8,
                coldConcurrency: 2,
                warmAfterCalls: 5,
                ...options,
            });
            const target = await serveEngine(engine, "127.0.0.1:0");
            closers.unshift(() => target.close());
            addresses.push(target.address);
            const settings = agentSettingsSchema.parse({
                ...commonSettings(`${service}-${index + 1}`, index, store),
                service,
                version: "v1",
                targetAddress: target.address,
            });
            agents.push(await startAgent(settings));
        }
    }
    return addresses;
}

async function startEntries(closers: CloseFunction[], store: string): Promise<readonly EntryProcess[]> {
    const entries: EntryProcess[] = [];
    for (let index = 0; index < ENTRIES; index += 1) {
        const entry = await startOneEntry(index, store);
        closers.push(() => entry.stop());
        entries.push(entry);
    }
    return entries;
}

/** Other entries find an entry's link address in the store, so it needs a port that is chosen before the start. */
async function startOneEntry(index: number, store: string): Promise<EntryProcess> {
    for (let attempt = 1; ; attempt += 1) {
        const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
        const settings = entrySettingsSchema.parse({
            ...commonSettings(`entry-${index + 1}`, index, store),
            linkAddress: `127.0.0.1:${port}`,
            callerAddress: "127.0.0.1:0",
            operatorKey: OPERATOR_KEY,
            seat: { index, count: ENTRIES },
        });
        try {
            return await startEntry(settings);
        } catch (error) {
            const inUse = error instanceof Error && "code" in error && error.code === "EADDRINUSE";
            if (!inUse || attempt === PORT_ATTEMPTS) throw error;
        }
    }
}

/** Applies the lists through the operators' interface and waits until they are in force everywhere. */
async function applyLists(entries: readonly EntryProcess[], lists: string): Promise<void> {
    const addresses = entries.map(({ callerAddress }) => callerAddress);
    const client = OperatorClient.create(addresses, OPERATOR_KEY);
    const endsAt = performance.now() + READY_TIMEOUT_MS;
    const body = { lists, version: 0, dryRun: false, author: "demo" };
    const version = await pollUntil(endsAt, "the lists were not accepted", async () => {
        const outcome = await client.applyLists(body);
        if (outcome.kind === "answered") return outcome.body.version;
        if (outcome.kind === "refused" && outcome.error.kind === "starting") return undefined;
        throw new Error(`the lists were not accepted: ${JSON.stringify(outcome)}`);
    });
    for (const address of addresses) {
        const operator = OperatorClient.create([address], OPERATOR_KEY);
        await pollUntil(endsAt, "the lists are not in force everywhere", () => checkReady(operator, version));
    }
}

/** True when all processes are known and have the version, and each slot has an owner; else undefined. */
async function checkReady(operator: OperatorClient, version: number): Promise<true | undefined> {
    const outcome = await operator.status(version);
    if (outcome.kind !== "answered") return undefined;
    const { processes, slots, configuration } = outcome.body;
    const allKnown = processes.length === listedVms().length;
    const allOwned = slots.length > 0 && slots.every(service => service.owned === service.slots);
    return allKnown && allOwned && configuration.inForceEverywhere ? true : undefined;
}

async function pollUntil<Value>(
    endsAt: number,
    message: string,
    attempt: () => Promise<Value | undefined>,
): Promise<Value> {
    while (performance.now() < endsAt) {
        const value = await attempt();
        if (value !== undefined) return value;
        await pause(POLL_INTERVAL_MS);
    }
    throw new Error(`${message} within ${READY_TIMEOUT_MS} ms`);
}

function findPipeline(entries: readonly EntryProcess[], name: string): Pipeline {
    const pipeline = entries[0]?.holder.current.find("pipeline", name);
    if (pipeline === undefined) throw new Error(`the lists have no pipeline ${name}`);
    return pipeline;
}

async function readRunsByKey(targets: readonly string[]): Promise<ReadonlyMap<string, number>> {
    const runs = new Map<string, number>();
    for (const address of targets) {
        const response = await fetch(`http://${address}/counters`);
        const { runsByKey } = (await response.json()) as Pick<EngineCounters, "runsByKey">;
        for (const [key, count] of Object.entries(runsByKey)) runs.set(key, (runs.get(key) ?? 0) + count);
    }
    return runs;
}
