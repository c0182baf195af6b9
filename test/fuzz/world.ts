/**
 * A deployment in one process for the stateful fuzz test: the real entries and agents over memory links, on stand-ins.
 * Time is vitest's fake time. Every process can be killed, stopped, restarted, cut off and paused.
 */
import { Agent, type EngineRequest } from "../../src/agent/index.js";
import {
    type ConfigurationChange,
    ConfigurationFeed,
    ConfigurationHolder,
    ConfigurationLog,
    type ConfigurationRecord,
} from "../../src/configuration/index.js";
import { type CallerRequest, Entry } from "../../src/entry/index.js";
import { MemoryNetwork } from "../../src/link/index.js";
import {
    MemberRegistration,
    MEMBERS_PREFIX,
    MembershipView,
    SLOTS_PREFIX,
    SlotView,
} from "../../src/membership/index.js";
import type { RequestOutcome } from "../../src/model/index.js";
import { agentSettingsSchema, entrySettingsSchema } from "../../src/settings/schema.js";
import { StandInEngine, StandInStore } from "../../src/standins/index.js";
import { type Store, StoreView } from "../../src/store/index.js";
import {
    addressOf,
    baseRecords,
    COLD_CONCURRENCY,
    commonSettings,
    CONCURRENCY,
    connectionKey,
    ENTRIES,
    expectedAnswer,
    processAt,
    serviceOf,
    TARGETS,
    zoneOf,
} from "./deployment.js";
import { ObservedEngine } from "./engine.js";
import { Oracle, type Submission } from "./oracle.js";

const ignore = (): undefined => undefined;
const logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

interface RunningEntry {
    readonly entry: Entry;
    readonly holder: ConfigurationHolder;
    readonly log: ConfigurationLog;
    readonly member: MemberRegistration;
    readonly stopViews: () => void;
}

/** The deployment, and the faults and requests that commands apply to it. */
export class World {
    readonly oracle = new Oracle();
    readonly platform = StandInStore.create();
    readonly engines = new Map<string, StandInEngine>();
    private readonly entries = new Map<string, RunningEntry>();
    private readonly agents = new Map<string, Agent>();
    private readonly cuts = new Set<string>();
    private readonly pausedUntil = new Map<string, number>();
    private readonly coldSince = new Map<string, number>();
    /** When each agent learned that its zone is out. */
    private readonly knownOutSince = new Map<string, number>();
    /** Entries that were killed; nobody reads their answers. */
    private readonly killed = new Set<Entry>();
    private readonly open = new Map<Submission, Promise<void>>();
    private readonly network = MemoryNetwork.create({
        delay: (from, to) => Math.max(1, this.remainingPauseMs(processAt(from)), this.remainingPauseMs(processAt(to))),
        reachable: (from, to) => !this.cuts.has(connectionKey(processAt(from), processAt(to))),
    });
    private submissions = 0;

    /** Starts all processes and puts the first configuration in force. */
    static async start(advance: (milliseconds: number) => Promise<void>): Promise<World> {
        const world = new World();
        for (const target of TARGETS) world.createEngine(target);
        for (const target of TARGETS) await world.startAgent(target);
        for (const name of ENTRIES) await world.startEntry(name);
        await advance(300);
        await world.change(ENTRIES[0], baseRecords);
        await advance(4_000);
        return world;
    }

    private createEngine(target: string): void {
        const engine = StandInEngine.create({
            operations: [serviceOf(target)],
            nonIdempotent: ["book"],
            concurrency: CONCURRENCY,
            coldConcurrency: COLD_CONCURRENCY,
            timePerCall: 10,
            timePerToken: 2,
            warmAfterCalls: 4,
        });
        this.engines.set(target, engine);
        this.coldSince.set(target, performance.now());
    }

    /** Starts an agent unless it is running. */
    async startAgent(target: string): Promise<void> {
        if (this.agents.has(target)) return;
        const engine = this.engineOf(target);
        const settings = agentSettingsSchema.parse({
            ...commonSettings(target),
            service: serviceOf(target),
            version: "v1",
            targetAddress: "127.0.0.1:1",
        });
        const agent = await Agent.start({
            settings,
            network: this.network.at(settings.linkAddress),
            store: this.storeOf(target),
            engine: new ObservedEngine(target, engine, this),
            logger,
            metrics: { increment: ignore },
        });
        this.agents.set(target, agent);
        this.trackZoneState(target, agent);
    }

    /** Starts an entry unless it is running. */
    async startEntry(name: string): Promise<void> {
        if (this.entries.has(name)) return;
        const peers = ENTRIES.filter(other => other !== name).map(addressOf);
        const settings = entrySettingsSchema.parse({
            ...commonSettings(name),
            callerAddress: "127.0.0.1:1",
            operatorKey: "operator-key",
            peers,
            seat: { index: ENTRIES.findIndex(entry => entry === name), count: ENTRIES.length },
        });
        const store = this.storeOf(name);
        const holder = ConfigurationHolder.create();
        const members = StoreView.start({ store, prefix: MEMBERS_PREFIX });
        const slots = StoreView.start({ store, prefix: SLOTS_PREFIX });
        const feed = ConfigurationFeed.start({ store, holder });
        const entry = await Entry.start({
            settings,
            network: this.network.at(settings.linkAddress),
            configuration: holder,
            directory: MembershipView.of(members),
            slots: SlotView.of(slots),
            logger,
            metrics: { increment: ignore },
            recorder: { record: ignore },
        });
        const { incarnation } = entry;
        const log = ConfigurationLog.create({ store, holder, isConfirmed: () => feed.confirmed });
        const member = MemberRegistration.startEntry(store, {
            name,
            zone: settings.zone,
            vm: name,
            address: settings.linkAddress,
            incarnation,
        });
        const stopViews = (): void => {
            for (const part of [members, slots, feed]) part.stop();
        };
        holder.subscribe(({ version }) => this.oracle.checkVersion(name, version, true));
        this.entries.set(name, { entry, holder, log, member, stopViews });
    }

    /** Kills a process without cleanup. */
    kill(name: string): void {
        this.agents.get(name)?.kill();
        this.agents.delete(name);
        const running = this.entries.get(name);
        if (running !== undefined) {
            this.killed.add(running.entry);
            running.entry.kill();
            running.member.abandon();
            running.stopViews();
            this.entries.delete(name);
        }
        this.network.disconnect(addressOf(name));
    }

    /** Stops a process gracefully. */
    async stop(name: string): Promise<void> {
        const agent = this.agents.get(name);
        this.agents.delete(name);
        await agent?.stop();
        const running = this.entries.get(name);
        this.entries.delete(name);
        if (running === undefined) return;
        await Promise.all([running.entry.stop(), running.member.deregister()]);
        running.stopViews();
    }

    /** Starts every process that is not running. */
    async restartAll(): Promise<void> {
        for (const target of TARGETS) await this.startAgent(target);
        for (const name of ENTRIES) await this.startEntry(name);
    }

    /** Cuts the connection between two processes, or restores it. */
    cut(first: string, second: string, on: boolean): void {
        for (const key of [connectionKey(first, second), connectionKey(second, first)]) {
            if (on) this.cuts.add(key);
            else this.cuts.delete(key);
        }
        this.oracle.restartZoneClocks(performance.now());
    }

    /** Restores all connections. */
    healCuts(): void {
        this.cuts.clear();
        this.oracle.restartZoneClocks(performance.now());
    }

    /** The last time at which a connection was cut or a process paused, which delays configuration changes. */
    private lastDisturbance(now: number): number {
        if (this.cuts.size > 0) return now;
        return Math.max(0, ...[...this.pausedUntil.values()].map(until => Math.min(until, now)));
    }

    /** Delays all output of a process: messages, and calls to the store and to its target. */
    pause(name: string, milliseconds: number): void {
        this.pausedUntil.set(name, performance.now() + milliseconds);
    }

    /** Resolves when a process is not paused. */
    async whenResumed(name: string): Promise<void> {
        for (let left = this.remainingPauseMs(name); left > 0; left = this.remainingPauseMs(name)) {
            await new Promise(resolve => setTimeout(resolve, left));
        }
    }

    delay(milliseconds: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, milliseconds));
    }

    /** Waits until a target of a service runs an operation; returns the busy targets, or none after 300 ms. */
    async whenBusy(service: string): Promise<readonly string[]> {
        for (let waited = 0; waited < 300; waited += 1) {
            const busy = TARGETS.filter(name => serviceOf(name) === service && this.engineOf(name).runningCount > 0);
            if (busy.length > 0) return busy;
            await this.delay(1);
        }
        return [];
    }

    /** Turns a target cold without notice. */
    turnCold(target: string): void {
        if (!this.engineOf(target).cold) this.coldSince.set(target, performance.now());
        this.engineOf(target).turnCold();
    }

    /** Crashes a target; it restarts cold after the given time. */
    crash(target: string, downMilliseconds: number): void {
        this.engineOf(target).crash(downMilliseconds);
        this.coldSince.set(target, performance.now());
    }

    /** The engine of a target. */
    engineOf(target: string): StandInEngine {
        const engine = this.engines.get(target);
        if (engine === undefined) throw new Error(`no target ${target}`);
        return engine;
    }

    /** Makes a change through an entry, as an operator would. Returns whether it was accepted. */
    async change(name: string, set: readonly ConfigurationRecord[]): Promise<boolean> {
        const running = this.entries.get(name);
        if (running === undefined) return false;
        const difference = { set, removed: [] };
        const outcome = await running.log.accept({ base: running.holder.current, author: name, difference });
        return outcome.kind === "accepted";
    }

    /** Takes a zone out of service or back. */
    async setZone(name: string, zone: string, state: "in" | "out"): Promise<void> {
        await this.change(name, [{ kind: "zone", name: zone, value: { name: zone, state } }]);
    }

    /**
     * Reports a zone change to the oracle once it is stored: with concurrent operators the order of the versions
     * decides, and a change counts even if the answer to its write was lost.
     */
    private recordZoneChange(key: string, value: string): void {
        if (!key.startsWith("configuration/changes/") || this.platform.peek(key)?.value !== value) return;
        const { set } = JSON.parse(value) as ConfigurationChange;
        for (const record of set) {
            if (record.kind === "zone") this.oracle.recordZoneState(record.name, record.value.state, performance.now());
        }
    }

    /** Sends a request; the outcome is checked when it comes. */
    submit(request: {
        readonly entry: string;
        readonly account: string;
        readonly pipeline: string;
        readonly key: string;
        readonly deadline: number;
    }): Promise<RequestOutcome | undefined> {
        const running = this.entries.get(request.entry);
        if (running === undefined) return Promise.resolve(undefined);
        const number = ++this.submissions;
        const marker = `m${number}`;
        const input = { marker };
        const submission: Submission = {
            ...request,
            key: `${request.account}/${request.key}/book`,
            number,
            marker,
            sentAt: performance.now(),
            nonIdempotent: request.pipeline === "reserve",
            expected: expectedAnswer(request.pipeline, input),
        };
        this.oracle.recordSubmission(submission);
        const outcome = this.checkOutcome(running.entry, submission, request.key, input);
        const settled = outcome.then(
            () => this.open.delete(submission),
            (error: unknown) => this.oracle.violations.push(`request ${number} threw ${String(error)}`),
        );
        this.open.set(submission, settled.then(ignore));
        return outcome;
    }

    private async checkOutcome(
        entry: Entry,
        submission: Submission,
        key: string,
        input: unknown,
    ): Promise<RequestOutcome | undefined> {
        const request: CallerRequest = {
            account: submission.account,
            pipeline: submission.pipeline,
            kind: submission.pipeline,
            idempotencyKey: key,
            deadlineMilliseconds: submission.deadline,
            priority: 0,
            input,
        };
        const tokens: string[] = [];
        const onToken = (index: number, token: string): void => {
            if (index !== tokens.length) {
                this.oracle.violations.push(`${submission.marker}: token ${index} out of order`);
            }
            tokens.push(token);
        };
        const outcome = await entry.handle(request, new AbortController().signal, onToken);
        if (this.killed.has(entry)) return undefined;
        this.oracle.checkAnswer(submission, outcome, performance.now() - this.pauseAllowance(submission.entry));
        if (outcome.kind === "done" && submission.pipeline === "ask") this.checkTokens(submission, tokens);
        return outcome;
    }

    /** Checks that the tokens make up the answer's text: none lost or doubled, even after a resumed stream. */
    private checkTokens(submission: Submission, tokens: readonly string[]): void {
        const { text } = submission.expected as { readonly text: string };
        if (tokens.join("") !== text) {
            this.oracle.violations.push(`${submission.marker}: tokens differ from the answer`);
        }
    }

    /** Reports requests without an outcome; those of killed entries have to end, too. */
    checkAnswered(): void {
        for (const submission of this.open.keys()) {
            this.oracle.reportUnanswered(submission);
        }
    }

    /** Reports the start of an operation to the oracle. */
    recordStart(target: string, engine: StandInEngine, request: EngineRequest): void {
        const { input } = JSON.parse(request.input) as { readonly input: { readonly marker: string } };
        const at = performance.now();
        this.oracle.restartZoneClocks(this.lastDisturbance(at));
        this.oracle.recordStart({
            at,
            target,
            zone: zoneOf(target),
            operation: request.operation,
            marker: input.marker,
            idempotencyKey: request.idempotencyKey,
            running: engine.runningCount,
            coldFor: engine.cold ? at - (this.coldSince.get(target) ?? at) : undefined,
            coldConcurrency: COLD_CONCURRENCY,
            zoneOutKnownFor: this.zoneOutKnownFor(target, at),
        });
    }

    private zoneOutKnownFor(target: string, now: number): number | undefined {
        const since = this.knownOutSince.get(target);
        if (since === undefined) return undefined;
        return now - Math.max(since, Math.min(this.pausedUntil.get(target) ?? 0, now));
    }

    private trackZoneState(target: string, agent: Agent): void {
        this.knownOutSince.delete(target);
        agent.configurationHolder.subscribe(configuration => {
            if (configuration.isZoneInService(zoneOf(target))) this.knownOutSince.delete(target);
            else if (!this.knownOutSince.has(target)) this.knownOutSince.set(target, performance.now());
        });
    }

    killAll(): void {
        for (const name of [...this.entries.keys(), ...this.agents.keys()]) this.kill(name);
    }

    private remainingPauseMs(name: string): number {
        return Math.max(0, (this.pausedUntil.get(name) ?? 0) - performance.now());
    }

    /** Excuses late answers of an entry that was paused. */
    private pauseAllowance(name: string): number {
        return this.pausedUntil.has(name) ? Infinity : 0;
    }

    /** The store as seen by one process; calls wait while the process is paused. */
    private storeOf(name: string): Store {
        const client = this.platform.client(name);
        const call = async <Result>(action: () => Promise<Result>): Promise<Result> => {
            await this.whenResumed(name);
            const result = await action();
            await this.whenResumed(name);
            return result;
        };
        return {
            read: key => call(() => client.read(key)),
            list: prefix => call(() => client.list(prefix)),
            write: (key, value, version) =>
                call(async () => {
                    const before = this.platform.peek(key)?.version;
                    const outcome = await client.write(key, value, version);
                    if (this.platform.peek(key)?.version !== before) this.recordZoneChange(key, value);
                    return outcome;
                }),
            remove: (key, version) => call(() => client.remove(key, version)),
            watch: (prefix, revision, timeout) => call(() => client.watch(prefix, revision, timeout)),
        };
    }
}
