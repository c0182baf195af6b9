/**
 * One controller's session on a move, under the move's lease. Each write of the move is conditional on the version that
 * this controller wrote last, and carries its fencing number. A controller that was paused past its lease therefore
 * cannot write after its successor has.
 *
 * If the store was restored from a copy, the controller writes again what it has written.
 */
import { createRequestId } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { ReadOutcome, Store, StoredObject, StoreEra } from "../store/index.js";
import type { MoveClock } from "./clock.js";
import { decodeMove, encodeMove, type Move, moveKey, type MoveResult } from "./move.js";

/** The lease as a session uses it. */
export interface HeldLease {
    readonly fencing: number;
    /** Name of the entry. */
    readonly holder: string;
    held(): boolean;
}

/** Interval at which the elapsed time is stored; if all entries restart at once, at most this much is not counted. */
const CHECKPOINT_MS = 2_000;

const RETRY_PAUSE_MS = 100;

/** The control of a move by one controller. */
export class MoveSession {
    private current: Move;
    private version: number;
    /** Era to which `version` belongs. */
    private era: StoreEra;
    private writtenAt = performance.now();
    private lost = false;

    private constructor(
        private readonly store: Store,
        private readonly lease: HeldLease,
        private readonly clock: MoveClock,
        stored: { readonly move: Move; readonly version: number; readonly era: StoreEra },
    ) {
        this.current = stored.move;
        this.version = stored.version;
        this.era = stored.era;
    }

    /**
     * Reads the move and writes it with the lease's fencing number, after which writes of earlier controllers fail.
     * Returns undefined if the lease ends first, if the move has ended, or if a later controller has written it.
     */
    static async begin(
        store: Store,
        lease: HeldLease,
        clock: MoveClock,
        key: string,
    ): Promise<MoveSession | undefined> {
        while (lease.held()) {
            const read = await store.read(key);
            const move = read.kind === "found" ? decodeMove(read.object.value) : undefined;
            if (read.kind === "found" && move !== undefined) {
                clock.observe(move);
                if (move.state === "ended" || move.fencing > lease.fencing) return undefined;
                const { version } = read.object;
                const session = new MoveSession(store, lease, clock, { move, version, era: read.era });
                if (await session.update({})) return session;
            }
            // The read may have been stale.
            await pause(RETRY_PAUSE_MS);
        }
        return undefined;
    }

    get move(): Move {
        return this.current;
    }

    /** Whether this controller may act on the move. Must be checked before each action. */
    held(): boolean {
        return !this.lost && this.lease.held();
    }

    /** Time since the move was declared, in milliseconds. */
    get elapsed(): number {
        return this.clock.elapsed(this.current);
    }

    /** Whether the move has to be rolled back now to end by its deadline. */
    get mustRollBack(): boolean {
        return this.clock.mustRollBack(this.current);
    }

    /** Stores the elapsed time if the last write is older than the interval. */
    async checkpoint(): Promise<void> {
        if (performance.now() - this.writtenAt >= CHECKPOINT_MS) await this.update({});
    }

    /** Starts to roll the move back. Returns whether that is stored. */
    startRollback(reason: string): Promise<boolean> {
        return this.update({ state: "takingBack", reason });
    }

    /** Records the result of the move. Returns whether that is stored. */
    async finish(kind: MoveResult["kind"], reason: string): Promise<boolean> {
        const elapsedMilliseconds = Math.round(this.elapsed);
        const late = elapsedMilliseconds > this.current.doneByMilliseconds;
        const fullReason = late ? `${reason}; recorded after the set time, as no entry could write it earlier` : reason;
        return this.update({ state: "ended", result: { kind, reason: fullReason, elapsedMilliseconds, late } });
    }

    /** Writes a change of the move. Returns false if it is not stored; the caller then checks `held` and retries. */
    async update(change: Partial<Pick<Move, "state" | "step" | "reason" | "result">>): Promise<boolean> {
        if (!this.held() || this.current.state === "ended") return false;
        const elapsedMilliseconds = Math.round(this.elapsed);
        const { fencing, holder: controller } = this.lease;
        const next = {
            ...this.current,
            ...change,
            fencing,
            controller,
            elapsedMilliseconds,
            writeId: createRequestId(),
        };
        const outcome = await this.store.write(moveKey(next), encodeMove(next), this.version);
        const version = outcome.kind === "written" ? outcome.version : await this.resolveWrite(next, outcome.kind);
        if (version === undefined) return false;
        if (outcome.kind === "written") this.era = outcome.era;
        this.current = next;
        this.version = version;
        this.writtenAt = performance.now();
        return true;
    }

    /** Reads the move after a failed or lost write. Returns the version that the write created, if it took effect. */
    private async resolveWrite(
        written: Move,
        kind: "conflict" | "unavailable" | "unknown",
    ): Promise<number | undefined> {
        if (kind === "unavailable") return undefined;
        const read = await this.store.read(moveKey(written));
        if (read.kind !== "unavailable" && read.era > this.era) this.followRestoration(read);
        if (read.kind !== "found" || read.object.version <= this.version) return undefined;
        const stored = decodeMove(read.object.value);
        if (stored?.writeId === written.writeId) return read.object.version;
        return this.adopt(stored, read.object);
    }

    /** Makes the next write replace what the store has kept, unless a later controller has written it. */
    private followRestoration(read: Exclude<ReadOutcome, { kind: "unavailable" }>): void {
        const stored = read.kind === "found" ? decodeMove(read.object.value) : undefined;
        this.era = read.era;
        this.version = read.kind === "found" ? read.object.version : 0;
        this.lost = stored !== undefined && (stored.fencing > this.lease.fencing || stored.state === "ended");
    }

    /** Continues from an earlier write of this controller that took effect after its answer was given up. */
    private adopt(stored: Move | undefined, object: StoredObject): undefined {
        const own = stored !== undefined && stored.fencing === this.lease.fencing && stored.state !== "ended";
        if (!own) {
            this.lost = true;
            return undefined;
        }
        this.current = stored;
        this.version = object.version;
        return undefined;
    }
}
