/**
 * The controllers of one entry. For each open move, the entry tries to hold the move's lease, and while it holds the
 * lease it works on the move from its stored state.
 */
import type { Membership } from "../membership/index.js";
import { hashText } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { StateLogger } from "../observability/index.js";
import { Lease, type Store, type StoredObject, type StoreEvent } from "../store/index.js";
import { MoveClock } from "./clock.js";
import { decodeMove, type Move, moveId, moveKey, moveLeaseKey } from "./move.js";
import { MoveSession } from "./session.js";

/** Another entry takes a dead controller's move over after 1.25 of this, which is below the margin of moves. */
export const MOVE_LEASE_MS = 2_000;

/**
 * Entries that try to hold a move's lease at the same time. A candidate reads the lease five times a second, and the
 * store's reads are for the whole fleet.
 */
const CANDIDATES = 3;

/** Without a new state of the move for this time, the next group of candidates tries too. */
const QUIET_MS = 8_000;

const RETRY_PAUSE_MS = 250;

/** A watched copy of the moves. */
export interface MoveView {
    readonly objects: ReadonlyMap<string, StoredObject>;
    subscribe(listener: (event: StoreEvent) => void): () => void;
}

/** What the controllers of an entry are started with. */
export interface ControllerOptions {
    readonly store: Store;
    /** Follows `moves/`; the caller starts and stops it. */
    readonly view: MoveView;
    /** Name and incarnation of the entry. */
    readonly name: string;
    readonly incarnation: string;
    readonly membership: () => Membership;
    readonly logger: StateLogger;
    /** Works on a move until it has its result or the session ends. */
    readonly run: (session: MoveSession) => Promise<void>;
}

interface Followed {
    move: Move;
    /** When the stored move last changed, by local time. */
    changedAt: number;
}

/** The controllers of one entry. */
export class MoveController {
    private readonly clock = MoveClock.create();
    private readonly followed = new Map<string, Followed>();
    private readonly abort = new AbortController();
    private readonly unsubscribe: () => void;
    private readonly tasks = new Set<Promise<void>>();
    private killed = false;

    private constructor(private readonly options: ControllerOptions) {
        for (const object of options.view.objects.values()) this.take(object);
        this.unsubscribe = options.view.subscribe(({ object }) => {
            if (object !== undefined) this.take(object);
        });
    }

    /** Starts to look after the moves of a view. */
    static start(options: ControllerOptions): MoveController {
        return new MoveController(options);
    }

    /** The open moves that this entry knows. */
    openMoves(): readonly Move[] {
        return [...this.followed.values()].map(({ move }) => move);
    }

    /** Gives leases back and takes no more. */
    async stop(): Promise<void> {
        this.end();
        await Promise.allSettled(this.tasks);
    }

    /** Ends without giving leases back, as the death of the process would. Sessions end with their leases. */
    kill(): void {
        this.killed = true;
        this.end();
    }

    private end(): void {
        this.unsubscribe();
        this.abort.abort();
        this.followed.clear();
    }

    private take(object: StoredObject): void {
        const move = decodeMove(object.value);
        if (move === undefined) {
            this.options.logger.warn(`the value of ${object.key} is not a move`);
            return;
        }
        this.clock.observe(move);
        const key = moveKey(move);
        const known = this.followed.get(key);
        if (move.state === "ended") {
            this.followed.delete(key);
            if (known !== undefined) this.options.logger.info(`move ${moveId(move)} ended`, { ...move.result });
        } else if (known === undefined) {
            this.followed.set(key, { move, changedAt: performance.now() });
            this.startTask(key);
        } else {
            known.move = move;
            known.changedAt = performance.now();
        }
    }

    private startTask(key: string): void {
        const task: Promise<void> = this.follow(key)
            .catch((error: unknown) => {
                this.options.logger.error(`the controller of ${key} failed`, error);
            })
            .finally(() => this.tasks.delete(task));
        this.tasks.add(task);
    }

    /** Tries again and again to hold the move's lease until the move has its result. */
    private async follow(key: string): Promise<void> {
        for (;;) {
            const followed = this.followed.get(key);
            if (followed === undefined || this.abort.signal.aborted) return;
            if (this.isCandidate(followed)) await this.tryOnce(followed.move, key);
            await pause(RETRY_PAUSE_MS);
        }
    }

    private async tryOnce(move: Move, key: string): Promise<void> {
        const { store, name, incarnation } = this.options;
        const outcome = await Lease.acquire({
            store,
            key: moveLeaseKey(move),
            holder: name,
            incarnation,
            durationMilliseconds: MOVE_LEASE_MS,
            signal: this.abort.signal,
        });
        if (outcome.kind !== "acquired") return;
        const { lease } = outcome;
        const ended = (): boolean => this.abort.signal.aborted;
        const held = { fencing: lease.fencing, holder: name, held: () => lease.isHeld() && !ended() };
        try {
            const session = await MoveSession.begin(store, held, this.clock, key);
            if (session !== undefined) await this.work(session);
        } finally {
            if (this.killed) lease.abandon();
            else await lease.release();
        }
    }

    private async work(session: MoveSession): Promise<void> {
        const id = moveId(session.move);
        this.options.logger.info(`move ${id} is worked on here`, { fencing: session.move.fencing });
        await this.options.run(session);
        if (session.move.state === "ended") this.followed.delete(moveKey(session.move));
        else this.options.logger.info(`move ${id} is no longer worked on here`);
    }

    /** The first entries in an order that differs from move to move; more of them the longer nothing happens. */
    private isCandidate({ move, changedAt }: Followed): boolean {
        const { name, membership } = this.options;
        const rank = (entry: string): string => hashText(`${moveId(move)}/${entry}`);
        const own = rank(name);
        const before = membership().entries.filter(entry => entry.name !== name && rank(entry.name) < own).length;
        const quiet = performance.now() - changedAt;
        return before < CANDIDATES * (1 + Math.floor(quiet / QUIET_MS));
    }
}
