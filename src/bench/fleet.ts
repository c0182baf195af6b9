/** A deployment in one process: entries and agents over memory links, with stand-in engines and a stand-in store. */
import { stringify } from "yaml";
import { ConfigurationLog, parseLists } from "../configuration/index.js";
import { type AgentProcess, composeAgent, composeEntry, type EntryProcess } from "../daemon/index.js";
import { MemoryNetwork } from "../link/index.js";
import { pause } from "../model/pause.js";
import type { ChooseTarget } from "../routing/index.js";
import { agentSettingsSchema, entrySettingsSchema } from "../settings/index.js";
import { StandInStore } from "../standins/index.js";
import { type Deployment, configurationLists } from "./deployment.js";
import { ProbedEngine, RunCounter } from "./probe.js";

/** One-way delay between two processes, and between a caller and an entry, in milliseconds. */
export const ONE_WAY_DELAY_MS = 1;

const START_TIMEOUT_MS = 20_000;

/** Time after an accepted change by which a zone that is taken out must get no more new work. */
const ZONE_OUT_MS = 3_000;

/** Options that differ between the variants of a case. */
export interface FleetOptions {
    readonly deployment: Deployment;
    readonly chooseTarget: ChooseTarget;
    /** Whether plans share a common budget. */
    readonly shares: boolean;
}

/** An entry that can be killed. */
export interface FleetEntry {
    readonly process: EntryProcess;
    /** Resolves when the process dies. */
    readonly died: Promise<void>;
    alive: boolean;
    readonly kill: () => void;
}

/** One target with its agent. */
export interface FleetTarget {
    readonly service: string;
    readonly zone: string;
    readonly engine: ProbedEngine;
    readonly agent: AgentProcess;
}

/** A running deployment. */
export class Fleet {
    readonly runCounter = RunCounter.create();
    readonly store = StandInStore.create();
    readonly entries: FleetEntry[] = [];
    readonly targets: FleetTarget[] = [];
    private readonly network = MemoryNetwork.create({ delay: () => ONE_WAY_DELAY_MS });
    private lastPort = 1_000;

    private constructor(private readonly options: FleetOptions) {}

    /** Starts a deployment and waits until its lists are applied, its links are open and its slots are owned. */
    static async start(options: FleetOptions): Promise<Fleet> {
        const fleet = new Fleet(options);
        const { deployment } = options;
        for (let index = 0; index < deployment.entries; index += 1) await fleet.startEntry(index);
        for (const pool of deployment.pools) {
            for (let index = 0; index < pool.replicas; index += 1) await fleet.startTarget(pool.name, index);
        }
        await until(() => fleet.store.keys("members/").length === fleet.entries.length + fleet.targets.length);
        await fleet.applyLists();
        await until(() => fleet.isReady());
        return fleet;
    }

    /** Targets of a service, in order. */
    targetsOf(service: string): readonly FleetTarget[] {
        return this.targets.filter(target => target.service === service);
    }

    /** Takes a zone out of service or brings it back, as operators do. */
    async setZone(name: string, state: "in" | "out"): Promise<void> {
        const value = { name, state };
        await this.change({ set: [{ kind: "zone", name, value }], removed: [] });
        const limit = state === "out" ? performance.now() + ZONE_OUT_MS : Infinity;
        for (const target of this.targets) if (target.zone === name) target.engine.zoneOutAfter = limit;
    }

    /** Kills all processes. */
    stop(): void {
        for (const entry of this.entries) entry.kill();
        for (const { agent } of this.targets) agent.kill();
    }

    private async startEntry(index: number): Promise<void> {
        const { deployment, chooseTarget } = this.options;
        const name = `entry-${index + 1}`;
        const settings = entrySettingsSchema.parse({
            ...this.common(name, index),
            callerAddress: "127.0.0.1:0",
            operatorKey: "operator-key",
            seat: { index, count: deployment.entries },
        });
        const environment = { network: this.network.at(settings.linkAddress), store: this.store.client(name) };
        const process = await composeEntry(settings, { ...environment, chooseTarget });
        let resolveDied: () => void = () => undefined;
        const died = new Promise<void>(resolve => (resolveDied = resolve));
        const kill = (): void => {
            if (!entry.alive) return;
            entry.alive = false;
            resolveDied();
            process.kill();
            this.network.disconnect(settings.linkAddress);
        };
        const entry: FleetEntry = { process, died, alive: true, kill };
        this.entries.push(entry);
    }

    private async startTarget(service: string, index: number): Promise<void> {
        const pool = this.options.deployment.pools.find(each => each.name === service);
        if (pool === undefined) throw new Error(`deployment has no service ${service}`);
        const name = `${service}-${index + 1}`;
        const settings = agentSettingsSchema.parse({
            ...this.common(name, this.targets.length),
            ...{ service, version: "v1", targetAddress: "127.0.0.1:1" },
        });
        const engine = ProbedEngine.create(pool, this.runCounter);
        const environment = { network: this.network.at(settings.linkAddress), store: this.store.client(name), engine };
        const agent = await composeAgent(settings, environment);
        this.targets.push({ service, zone: settings.zone, engine, agent });
    }

    private common(name: string, index: number): Record<string, unknown> {
        const { zones } = this.options.deployment;
        this.lastPort += 1;
        return {
            name,
            zone: zones[index % zones.length],
            vm: `vm-${name}`,
            systemKey: "system-key",
            linkAddress: `127.0.0.1:${this.lastPort}`,
            store: { address: "127.0.0.1:1" },
            logging: { level: "error" },
        };
    }

    private async applyLists(): Promise<void> {
        const lists = stringify(configurationLists(this.options.deployment, this.options.shares));
        const parsed = parseLists(lists, this.holder().current);
        if (parsed.kind === "invalid") throw new Error(`invalid lists: ${JSON.stringify(parsed.errors)}`);
        await this.change(parsed.difference);
    }

    private async change(difference: Parameters<ConfigurationLog["accept"]>[0]["difference"]): Promise<void> {
        const holder = this.holder();
        const log = ConfigurationLog.create({ store: this.store.client("operators"), holder });
        const outcome = await log.accept({ base: holder.current, author: "bench", difference });
        if (outcome.kind !== "accepted") throw new Error(`change was not accepted: ${JSON.stringify(outcome)}`);
    }

    private holder(): EntryProcess["holder"] {
        const entry = this.entries.find(each => each.alive);
        if (entry === undefined) throw new Error("no entry is alive");
        return entry.process.holder;
    }

    private isReady(): boolean {
        const { version } = this.holder().current;
        const slots = this.options.deployment.pools.filter(pool => (pool.engine.nonIdempotent ?? []).length > 0).length;
        const owned = this.targets.reduce((sum, target) => sum + target.agent.agent.ownedSlots.length, 0);
        const processes = this.entries.length + this.targets.length;
        const known = this.entries.every(({ process }) => {
            const versions = process.entry.processVersions();
            return versions.length === processes && versions.every(each => each.configurationVersion === version);
        });
        return known && owned === slots * 64;
    }
}

async function until(condition: () => boolean): Promise<void> {
    const endsAt = performance.now() + START_TIMEOUT_MS;
    while (!condition()) {
        if (performance.now() > endsAt) throw new Error("the deployment did not become ready");
        await pause(20);
    }
}
