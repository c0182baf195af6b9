/**
 * Runs open moves on one entry. For each open move, the entry tries to acquire the move's lease. While it holds the
 * lease it controls the move, starting from the stored state.
 *
 * Moves are never removed, and a result is final. What the store shows otherwise, it has lost when it was restored from a
 * copy; each entry that knows of it writes it again.
 */
import type { Membership } from "../membership/index.js";
import { hashText } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { StateLogger } from "../observability/index.js";
import { Lease, type Store, type StoredObject, type StoreEvent } from "../store/index.js";
import { MoveClock } from "./clock.js";
import { decodeMove, encodeMove, type Move, moveId, moveKey, moveLeaseKey } from "./move.js";
import { MoveSession } from "./session.js";

/** Another entry takes over a dead controller's move after 1.25 times this, which is less than the rollback margin. */
export const MOVE_LEASE_MS = 2_000;

/**
 * Entries that try to acquire a move's lease at the same time. A candidate reads the lease five times a second, and the
 * whole fleet shares the store's read capacity.
 */
const CANDIDATES_PER_GROUP = 3;

/** If the stored move does not change for this time, the next group of candidates tries as well. */
const GROUP_INTERVAL_MS = 8_000;

const RETRY_PAUSE_MS = 250;

/** Longest delay before a lost move is written again, in milliseconds; random, so that most entries find it written. */
const REWRITE_DELAY_MS = 1_000;

/** A watched copy of the stored moves. */
export interface MoveView {
    readonly objects: ReadonlyMap<string, StoredObject>;
    subscribe(listener: (event: StoreEvent) => void): () => void;
}

/** Options of an entry's move controller. */
export interface ControllerOptions {
    readonly store: Store;
    /** Follows `moves/`; the caller starts and stops it. */
    readonly view: MoveView;
    /** Name and incarnation of the entry. */
    readonly name: string;
    readonly incarnation: string;
    readonly membership: () => Membership;
    readonly logger: StateLogger;
    /** Runs a move until it ends or the session loses its lease. */
    readonly run: (session: MoveSession) => Promise<void>;
}

interface FollowedMove {
    move: Move;
    /** When the stored move last changed, by local time. */
    changedAt: number;
}

/** Runs open moves on one entry. */
export class MoveController {
    private readonly clock = MoveClock.create();
    private readonly followed = new Map<string, FollowedMove>();
    private readonly ended = new Map<string, Move>();
    private readonly rewritten = new Set<string>();
    private readonly abort = new AbortController();
    private readonly unsubscribe: () => void;
    private readonly tasks = new Set<Promise<void>>();
    private killed = false;

    private constructor(private readonly options: ControllerOptions) {
        for (const object of options.view.objects.values()) this.handleObject(object);
        this.unsubscribe = options.view.subscribe(({ key, object }) => {
            if (object === undefined) this.writeAgain(key);
            else this.handleObject(object);
        });
    }

    /** Starts to follow the moves of a view. */
    static start(options: ControllerOptions): MoveController {
        return new MoveController(options);
    }

    /** Open moves that this entry knows. */
    openMoves(): readonly Move[] {
        return [...this.followed.values()].map(({ move }) => move);
    }

    /** Stops following moves and releases their leases. */
    async stop(): Promise<void> {
        this.close();
        await Promise.allSettled(this.tasks);
    }

    /** Stops without releasing leases, as if the process had died. Sessions end with their leases. */
    kill(): void {
        this.killed = true;
        this.close();
    }

    private close(): void {
        this.unsubscribe();
        this.abort.abort();
        this.followed.clear();
    }

    private handleObject(object: StoredObject): void {
        const move = decodeMove(object.value);
        if (move === undefined) {
            this.options.logger.warn(`the value of ${object.key} is not a move`);
            return;
        }
        this.clock.observe(move);
        const key = moveKey(move);
        const known = this.followed.get(key);
        if (move.state === "ended") {
            this.ended.set(key, move);
            this.followed.delete(key);
            if (known !== undefined) this.options.logger.info(`move ${moveId(move)} ended`, { ...move.result });
        } else if (this.ended.has(key)) {
            this.writeAgain(key);
        } else if (known === undefined) {
            this.followed.set(key, { move, changedAt: performance.now() });
            this.startTask(key);
        } else {
            known.move = move;
            known.changedAt = performance.now();
        }
    }

    /** Writes a move that the store has lost, or of which it has lost the result. */
    private writeAgain(key: string): void {
        if (this.rewritten.has(key)) return;
        this.rewritten.add(key);
        this.startTask(
            key,
            this.rewrite(key).finally(() => this.rewritten.delete(key)),
        );
    }

    private async rewrite(key: string): Promise<void> {
        const { store, logger } = this.options;
        await pause(Math.random() * REWRITE_DELAY_MS);
        while (!this.abort.signal.aborted) {
            const move = this.ended.get(key) ?? this.followed.get(key)?.move;
            const read = await store.read(key);
            const stored = read.kind === "found" ? decodeMove(read.object.value) : undefined;
            if (move === undefined || stored?.state === "ended") return;
            if (read.kind === "found" && move.state !== "ended") return;
            if (read.kind !== "unavailable") {
                const version = read.kind === "found" ? read.object.version : 0;
                const written = await store.write(key, encodeMove(move), version);
                if (written.kind === "written") {
                    logger.warn(`move ${moveId(move)} was lost and is written again`);
                    return;
                }
            }
            await pause(RETRY_PAUSE_MS);
        }
    }

    private startTask(key: string, work = this.followMove(key)): void {
        const task: Promise<void> = work
            .catch((error: unknown) => {
                this.options.logger.error(`the controller of ${key} failed`, error);
            })
            .finally(() => this.tasks.delete(task));
        this.tasks.add(task);
    }

    /** Tries to acquire the move's lease, and runs the move under it, until the move ends. */
    private async followMove(key: string): Promise<void> {
        for (;;) {
            const followed = this.followed.get(key);
            if (followed === undefined || this.abort.signal.aborted) return;
            if (this.isCandidate(followed)) await this.tryToControl(followed.move, key);
            await pause(RETRY_PAUSE_MS);
        }
    }

    private async tryToControl(move: Move, key: string): Promise<void> {
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
        const stopped = (): boolean => this.abort.signal.aborted;
        const heldLease = { fencing: lease.fencing, holder: name, held: () => lease.isHeld() && !stopped() };
        try {
            const session = await MoveSession.begin(store, heldLease, this.clock, key);
            if (session !== undefined) await this.control(session);
        } finally {
            if (this.killed) lease.abandon();
            else await lease.release();
        }
    }

    private async control(session: MoveSession): Promise<void> {
        const id = moveId(session.move);
        this.options.logger.info(`move ${id} is now controlled by this entry`, { fencing: session.move.fencing });
        await this.options.run(session);
        if (session.move.state === "ended") {
            this.ended.set(moveKey(session.move), session.move);
            this.followed.delete(moveKey(session.move));
        } else this.options.logger.info(`move ${id} is no longer controlled by this entry`);
    }

    /**
     * Whether this entry may try now. Entries try in a hash order that differs by move, one more group per interval.
     */
    private isCandidate({ move, changedAt }: FollowedMove): boolean {
        const { name, membership } = this.options;
        const rank = (entry: string): string => hashText(`${moveId(move)}/${entry}`);
        const ownRank = rank(name);
        const rankedBefore = membership().entries.filter(
            entry => entry.name !== name && rank(entry.name) < ownRank,
        ).length;
        const unchangedMilliseconds = performance.now() - changedAt;
        return rankedBefore < CANDIDATES_PER_GROUP * (1 + Math.floor(unchangedMilliseconds / GROUP_INTERVAL_MS));
    }
}
