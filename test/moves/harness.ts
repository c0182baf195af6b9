/** Move controllers of several entries over one stand-in store, with the rest of the entries replaced by fields. */
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

const silent = (): undefined => undefined;

/** A store client whose calls wait while it is paused, and then reach the store late. */
class PausableClient {
    private resume: () => void = silent;
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
        const late = async <Outcome>(call: () => Promise<Outcome>): Promise<Outcome> => {
            await this.paused;
            const outcome = await call();
            await this.paused;
            return outcome;
        };
        const { inner } = this;
        return {
            read: key => late(() => inner.read(key)),
            list: prefix => late(() => inner.list(prefix)),
            write: (key, value, version) => late(() => inner.write(key, value, version)),
            remove: (key, version) => late(() => inner.remove(key, version)),
            watch: (prefix, revision, time) => late(() => inner.watch(prefix, revision, time)),
        };
    }
}

/** What a request comes to. */
export interface Answer {
    readonly failed: boolean;
    readonly milliseconds: number;
}

/** How versions behave. */
export type Behaviour = (request: { version: string; route: string; share: number; second: number }) => Answer;

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

/** Entries that look after moves. */
export class Fleet {
    readonly store = StandInStore.create();
    readonly entries: FleetEntry[] = [];
    /** Names that have not acknowledged. */
    waiting: string[] = [];
    work: EntryWork[] = [];
    /** Owner of the only slot. */
    slotOwner = "book-west";
    /** Highest excess of a candidate over its share of the requests of one entry, in requests. */
    excess = 0;
    /** When an entry first stopped a version, and when the last request went to a candidate. */
    stoppedAt: number | undefined;
    lastCandidateAt = 0;
    private traffic: NodeJS.Timeout | undefined;
    /** Every different result that was seen in the store, by move. */
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

    /** Lets time pass, and looks at the stored results on the way. */
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

    /** The entry that works on the newest move. */
    holderOf(): FleetEntry {
        const lease = this.store.peek(`leases/moves/${moveId(this.move())}`);
        const name = lease === undefined ? "" : (JSON.parse(lease.value) as { readonly holder: string }).holder;
        const entry = this.entries.find(each => each.name === name);
        if (entry === undefined) throw new Error("nobody holds the move");
        return entry;
    }

    kill(entry: FleetEntry): void {
        this.store.setOutage(true, entry.name);
        entry.stop();
    }

    declare(plan: MovePlan, doneByMilliseconds = 60_000, entry = this.first, author = "operator", subject = "east") {
        const baseVersion = entry.holder.current.version;
        const order = { subject, plan, doneByMilliseconds, author, baseVersion };
        return declareMove(this.store.client("operator"), listMoves(entry.view.objects), order);
    }

    declareZone(direction: "out" | "back", doneByMilliseconds?: number, entry = this.first) {
        const before = entry.holder.current.isZoneInService("east") ? "in" : "out";
        return this.declare({ kind: "zone", direction, before }, doneByMilliseconds, entry);
    }

    /** A change by an operator through the first entry that is alive. */
    async change(author: string, record: ConfigurationChange["set"][number]): Promise<void> {
        const { log, holder } = this.first;
        const accepting = log.accept({ base: holder.current, author, difference: { set: [record], removed: [] } });
        await vi.advanceTimersByTimeAsync(200);
        if ((await accepting).kind !== "accepted") throw new Error("the change was not accepted");
    }

    declareVersion(version: string, doneByMilliseconds = 60_000, share = 0.05) {
        const plan = { kind: "version", version, share, before: "v1" } as const;
        return this.declare(plan, doneByMilliseconds, this.first, "operator", "generate");
    }

    /** Requests at every entry in turn, each 10 ms, on two routes. */
    startTraffic(behave: Behaviour): void {
        const start = performance.now();
        const sent = new Map<string, { total: number; candidate: number }>();
        let number = 0;
        this.traffic = setInterval(() => {
            number += 1;
            const second = (performance.now() - start) / 1_000;
            const route = number % 3 === 0 ? "small" : "large";
            for (const entry of this.entries) {
                if (!this.ended.has(entry.controller)) this.request(entry, route, second, behave, sent);
            }
        }, 10);
    }

    private request(
        { name, holder, versions, trials }: FleetEntry,
        route: string,
        second: number,
        behave: Behaviour,
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
        this.excess = Math.max(this.excess, counts.candidate - share * counts.total);
        const answer = { service: "generate", stage: "generate", account: "kettleby", version, route };
        trials.record({ ...answer, ...behave({ version, route, share, second }) });
    }

    setZone(author: string, state: "in" | "out"): Promise<void> {
        return this.change(author, { kind: "zone", name: "east", value: { name: "east", state } });
    }

    /** Accepted changes by a move, oldest first. */
    ownChanges(): readonly ConfigurationChange[] {
        return this.store
            .keys("configuration/changes/")
            .map(key => JSON.parse(this.store.peek(key)?.value ?? "") as ConfigurationChange)
            .filter(({ author }) => author.startsWith("move "));
    }

    zoneState(): "in" | "out" {
        return this.first.holder.current.isZoneInService("east") ? "in" : "out";
    }

    /** The first entry that was not killed. */
    get first(): FleetEntry {
        const entry = this.entries.find(({ controller }) => !this.ended.has(controller));
        if (entry === undefined) throw new Error("no entry is alive");
        return entry;
    }

    private readonly ended = new Set<MoveController>();

    private others(name: string): readonly FleetEntry[] {
        return this.entries.filter(entry => entry.name !== name && !this.ended.has(entry.controller));
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
            metrics: { increment: silent },
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
            waitingFor: () => this.waiting,
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
            logger: { debug: silent, info: silent, warn: silent, error: silent },
            run: session => {
                const { plan } = session.move;
                return plan.kind === "zone" ? runZoneMove(parts, session) : runVersionMove(parts, session, plan);
            },
        });
        const reporter = {
            name,
            announceOpenWork: silent,
            announceEvidence: (to: string, service: string): void => {
                const own = trials.ownEvidence(service);
                const told = { ...own, incarnation: name } as unknown as VersionEvidence;
                const receiver = this.others(name).find(each => each.name === to);
                if (own !== undefined) receiver?.trials.receiveEvidence(name, told);
            },
        };
        const endReports = reportToControllers(reporter, () => controller.openMoves());
        const stop = (): void => {
            endReports();
            this.ended.add(controller);
            controller.kill();
            view.stop();
            feed.stop();
        };
        return { name, client, holder, log, view, controller, versions, trials, stop };
    }
}
