/**
 * Move controllers of several entries on one stand-in store. Fields of the fleet replace the other parts of the
 * entries.
 */
import { vi } from "vitest";
import {
    type ConfigurationChange,
    ConfigurationFeed,
    ConfigurationHolder,
    ConfigurationLog,
} from "../../src/configuration/index.js";
import {
    declareMove,
    type EntryWork,
    listMoves,
    type Move,
    MoveController,
    moveId,
    type MovePlan,
    MOVES_PREFIX,
    reportToControllers,
    runVersionMove,
    runZoneMove,
} from "../../src/moves/index.js";
import { VersionTrials } from "../../src/entry/trials.js";
import type { VersionEvidence, VersionStopped } from "../../src/link/index.js";
import { VersionChooser } from "../../src/routing/index.js";
import { StandInStore } from "../../src/standins/index.js";
import { type Store, StoreView } from "../../src/store/index.js";

const noop = (): undefined => undefined;

/** A store client that can be paused. Calls made during the pause reach the store after it. */
class PausableClient {
    private resume: () => void = noop;
    private paused: Promise<void> | undefined;

    constructor(private readonly inner: Store) {}

    pause(): void {
        this.paused = new Promise(resolve => {
            this.resume = resolve;
        });
    }

    continue(): void {
        this.paused = undefined;
        this.resume();
    }

    get store(): Store {
        const delayed = async <Outcome>(call: () => Promise<Outcome>): Promise<Outcome> => {
            await this.paused;
            const outcome = await call();
            await this.paused;
            return outcome;
        };
        const { inner } = this;
        return {
            read: key => delayed(() => inner.read(key)),
            list: prefix => delayed(() => inner.list(prefix)),
            write: (key, value, version) => delayed(() => inner.write(key, value, version)),
            remove: (key, version) => delayed(() => inner.remove(key, version)),
            watch: (prefix, revision, time) => delayed(() => inner.watch(prefix, revision, time)),
        };
    }
}

/** Outcome of a request. */
export interface Answer {
    readonly failed: boolean;
    readonly milliseconds: number;
}

/** Computes the outcome of each request to a version. */
export type AnswerFunction = (request: { version: string; route: string; share: number; second: number }) => Answer;

interface FleetEntry {
    readonly name: string;
    readonly client: PausableClient;
    readonly holder: ConfigurationHolder;
    readonly log: ConfigurationLog;
    readonly view: StoreView;
    readonly controller: MoveController;
    readonly versions: VersionChooser;
    readonly trials: VersionTrials;
    readonly stop: () => void;
}

/** Entries that run move controllers. */
export class Fleet {
    readonly store = StandInStore.create();
    readonly entries: FleetEntry[] = [];
    /** Names of processes that have not acknowledged the configuration. */
    unacknowledged: string[] = [];
    /** Open work in the zone at each entry. */
    work: EntryWork[] = [];
    /** Owner of the only slot. */
    slotOwner = "book-west";
    /** Maximum number of requests that one entry sent to a candidate beyond its share. */
    maximumExcess = 0;
    /** When an entry first stopped a version, and when the last request went to a candidate. */
    stoppedAt: number | undefined;
    lastCandidateAt = 0;
    private traffic: NodeJS.Timeout | undefined;
    /** Distinct results that were seen in the store, by move id. */
    readonly results = new Map<string, Set<string>>();
    private readonly agent = { service: "book", version: "v1", vm: "vm", address: "127.0.0.1:1", incarnation: "i" };

    static async start(names: readonly string[] = ["e1", "e2", "e3"]): Promise<Fleet> {
        const fleet = new Fleet();
        for (const name of names) fleet.entries.push(fleet.startEntry(name));
        await fleet.advance(500);
        const slots = { kind: "plain", slots: 1, whenStoreUnavailable: "refuse", fencing: "ignored" } as const;
        const value = { name: "book", ...slots, concurrency: 1, coldConcurrency: 1 };
        await fleet.change("operator", { kind: "service", name: "book", value });
        return fleet;
    }

    end(): void {
        clearInterval(this.traffic);
        for (const entry of this.entries) entry.stop();
    }

    /** Advances the fake time and collects stored results every 50 ms. */
    async advance(milliseconds: number): Promise<void> {
        for (let left = milliseconds; left > 0; left -= 50) {
            await vi.advanceTimersByTimeAsync(Math.min(left, 50));
            for (const move of this.moves()) {
                if (move.result === undefined) continue;
                const seen = this.results.get(moveId(move)) ?? new Set();
                this.results.set(moveId(move), seen.add(JSON.stringify(move.result)));
            }
        }
    }

    moves(): readonly Move[] {
        const objects = this.store.keys(MOVES_PREFIX).map(key => this.store.peek(key));
        return listMoves(new Map(objects.filter(object => object !== undefined).map(object => [object.key, object])));
    }

    move(): Move {
        const move = this.moves().at(-1);
        if (move === undefined) throw new Error("there is no move");
        return move;
    }

    /** The entry that holds the lease of the newest move. */
    controllingEntry(): FleetEntry {
        const lease = this.store.peek(`leases/moves/${moveId(this.move())}`);
        const name = lease === undefined ? "" : (JSON.parse(lease.value) as { readonly holder: string }).holder;
        const entry = this.entries.find(each => each.name === name);
        if (entry === undefined) throw new Error("no entry holds the lease of the move");
        return entry;
    }

    kill(entry: FleetEntry): void {
        this.store.setOutage(true, entry.name);
        entry.stop();
    }

    declare(
        plan: MovePlan,
        doneByMilliseconds = 60_000,
        entry = this.firstAlive,
        author = "operator",
        subject = "east",
    ) {
        const baseVersion = entry.holder.current.version;
        const order = { subject, plan, doneByMilliseconds, author, baseVersion };
        return declareMove(this.store.client("operator"), listMoves(entry.view.objects), order);
    }

    declareZone(direction: "out" | "back", doneByMilliseconds?: number, entry = this.firstAlive) {
        const before = entry.holder.current.zoneInService("east") ? "in" : "out";
        return this.declare({ kind: "zone", direction, before }, doneByMilliseconds, entry);
    }

    /** Changes the configuration as the author through the first entry that is alive. */
    async change(author: string, record: ConfigurationChange["set"][number]): Promise<void> {
        const { log, holder } = this.firstAlive;
        const accepting = log.accept({ base: holder.current, author, difference: { set: [record], removed: [] } });
        await vi.advanceTimersByTimeAsync(200);
        if ((await accepting).kind !== "accepted") throw new Error("the change was not accepted");
    }

    declareVersion(version: string, doneByMilliseconds = 60_000, share = 0.05) {
        const plan = { kind: "version", version, share, before: "v1" } as const;
        return this.declare(plan, doneByMilliseconds, this.firstAlive, "operator", "generate");
    }

    /** Sends a request at every entry each 10 ms, on two routes. */
    startTraffic(behave: AnswerFunction): void {
        const start = performance.now();
        const sent = new Map<string, { total: number; candidate: number }>();
        let number = 0;
        this.traffic = setInterval(() => {
            number += 1;
            const second = (performance.now() - start) / 1_000;
            const route = number % 3 === 0 ? "small" : "large";
            for (const entry of this.entries) {
                if (!this.stoppedControllers.has(entry.controller)) this.request(entry, route, second, behave, sent);
            }
        }, 10);
    }

    private request(
        { name, holder, versions, trials }: FleetEntry,
        route: string,
        second: number,
        behave: AnswerFunction,
        sent: Map<string, { total: number; candidate: number }>,
    ): void {
        const split = holder.current.find("traffic", "generate");
        const version = versions.allowedVersions("generate", split)?.[0] ?? "v1";
        versions.recordSent("generate", split, version);
        const share = split?.candidate?.fraction ?? 0;
        const key = `${name}/${share}`;
        const counts = sent.get(key) ?? { total: 0, candidate: 0 };
        sent.set(key, counts);
        counts.total += 1;
        if (version === split?.candidate?.version) {
            counts.candidate += 1;
            this.lastCandidateAt = performance.now();
        }
        this.maximumExcess = Math.max(this.maximumExcess, counts.candidate - share * counts.total);
        const answer = { service: "generate", stage: "generate", account: "kettleby", version, route };
        trials.record({ ...answer, ...behave({ version, route, share, second }) });
    }

    setZone(author: string, state: "in" | "out"): Promise<void> {
        return this.change(author, { kind: "zone", name: "east", value: { name: "east", state } });
    }

    /** Accepted configuration changes by moves, oldest first. */
    moveChanges(): readonly ConfigurationChange[] {
        return this.store
            .keys("configuration/changes/")
            .map(key => JSON.parse(this.store.peek(key)?.value ?? "") as ConfigurationChange)
            .filter(({ author }) => author.startsWith("move "));
    }

    zoneState(): "in" | "out" {
        return this.firstAlive.holder.current.zoneInService("east") ? "in" : "out";
    }

    /** The first entry that was not killed. */
    get firstAlive(): FleetEntry {
        const entry = this.entries.find(({ controller }) => !this.stoppedControllers.has(controller));
        if (entry === undefined) throw new Error("no entry is alive");
        return entry;
    }

    private readonly stoppedControllers = new Set<MoveController>();

    private others(name: string): readonly FleetEntry[] {
        return this.entries.filter(entry => entry.name !== name && !this.stoppedControllers.has(entry.controller));
    }

    private startEntry(name: string): FleetEntry {
        const client = new PausableClient(this.store.client(name));
        const { store } = client;
        const holder = ConfigurationHolder.create();
        const log = ConfigurationLog.create({ store, holder });
        const feed = ConfigurationFeed.start({ store, holder });
        const view = StoreView.start({ store, prefix: MOVES_PREFIX });
        const versions = VersionChooser.create();
        const trials = VersionTrials.create({
            versions,
            holder,
            metrics: { increment: noop },
            onStopped: stop => {
                this.stoppedAt ??= performance.now();
                for (const other of this.others(name)) other.trials.receiveStop(stop as VersionStopped);
            },
        });
        holder.subscribe(() => {
            trials.configure();
        });
        const entries = ["e1", "e2", "e3"].map(each => ({ ...this.agent, name: each, zone: "west" }));
        const targets = ["east", "west"].map(zone => ({ ...this.agent, name: `book-${zone}`, zone }));
        const owner = { incarnation: "i", epoch: 1, journals: [] };
        const parts = {
            store,
            holder,
            log,
            slots: { find: () => ({ service: "book", slots: [{ target: this.slotOwner, ...owner }] }) },
            membership: () => ({ entries, targets }),
            waitingFor: () => this.unacknowledged,
            openWork: () => this.work,
            evidence: (service: string) => trials.allEvidence(service),
            stoppedReason: (service: string, version: string) => trials.stoppedReason(service, version),
            stopVersion: (service: string, version: string, reason: string) => {
                trials.stop(service, version, reason);
            },
        };
        const controller = MoveController.start({
            store,
            view,
            name,
            incarnation: name,
            membership: parts.membership,
            logger: { debug: noop, info: noop, warn: noop, error: noop },
            run: session => {
                const { plan } = session.move;
                return plan.kind === "zone" ? runZoneMove(parts, session) : runVersionMove(parts, session, plan);
            },
        });
        const reporter = {
            name,
            announceOpenWork: noop,
            announceEvidence: (to: string, service: string): void => {
                const own = trials.ownEvidence(service);
                const message = { ...own, incarnation: name } as unknown as VersionEvidence;
                const receiver = this.others(name).find(each => each.name === to);
                if (own !== undefined) receiver?.trials.receiveEvidence(name, message);
            },
        };
        const endReports = reportToControllers(reporter, () => controller.openMoves());
        const stop = (): void => {
            endReports();
            this.stoppedControllers.add(controller);
            controller.kill();
            view.stop();
            feed.stop();
        };
        return { name, client, holder, log, view, controller, versions, trials, stop };
    }
}
