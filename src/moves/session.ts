/**
 * The work of one controller on one move, under the move's lease. Each write of the move is conditional on the version
 * that this controller wrote last and carries its fencing number, so that a controller that was paused past its lease
 * cannot write after its successor has.
 */
import { createRequestId } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { Store, StoredObject } from "../store/index.js";
import type { MoveClock } from "./clock.js";
import { decodeMove, encodeMove, type Move, moveKey, type MoveResult } from "./move.js";

/** The part of a lease that a session needs. */
export interface HeldLease {
    readonly fencing: number;
    /** Name of the entry. */
    readonly holder: string;
    held(): boolean;
}

/** Interval at which the elapsed time is stored. What all entries forget at once is at most this much. */
const CHECKPOINT_MS = 2_000;

const RETRY_PAUSE_MS = 100;

/** A controller's hold on a move. */
export class MoveSession {
    private current: Move;
    private version: number;
    private writtenAt = performance.now();
    private lost = false;

    private constructor(
        private readonly store: Store,
        private readonly lease: HeldLease,
        private readonly clock: MoveClock,
        { move, version }: { readonly move: Move; readonly version: number },
    ) {
        this.current = move;
        this.version = version;
    }

    /**
     * Reads the move and writes it with the lease's fencing number, which makes the writes of earlier controllers fail.
     * Undefined when the lease ends before that, or when the move has its result.
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
                const session = new MoveSession(store, lease, clock, { move, version: read.object.version });
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

    /** Whether this controller may act on the move. To be asked before each action. */
    held(): boolean {
        return !this.lost && this.lease.held();
    }

    /** Time since acceptance, in milliseconds. */
    get elapsed(): number {
        return this.clock.elapsed(this.current);
    }

    /** Whether the move has to be taken back now to end in time. */
    get mustRollBack(): boolean {
        return this.clock.mustRollBack(this.current);
    }

    /** Stores the elapsed time when it is due. */
    async checkpoint(): Promise<void> {
        if (performance.now() - this.writtenAt >= CHECKPOINT_MS) await this.update({});
    }

    /** Begins to take the move back. Returns whether that is stored. */
    startRollback(reason: string): Promise<boolean> {
        return this.update({ state: "takingBack", reason });
    }

    /** Records the result. Returns whether that is stored. */
    async finish(kind: MoveResult["kind"], reason: string): Promise<boolean> {
        const elapsedMilliseconds = Math.round(this.elapsed);
        const late = elapsedMilliseconds > this.current.doneByMilliseconds;
        const told = late ? `${reason}; recorded after the set time, as no entry could write it earlier` : reason;
        return this.update({ state: "ended", result: { kind, reason: told, elapsedMilliseconds, late } });
    }

    /** Writes a change of the move. Returns false when it is not stored; the caller then looks whether it still holds. */
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
        const version = outcome.kind === "written" ? outcome.version : await this.resolve(next, outcome.kind);
        if (version === undefined) return false;
        this.current = next;
        this.version = version;
        this.writtenAt = performance.now();
        return true;
    }

    /** Finds out what a write without a plain answer came to. Returns the version that it wrote, if it took effect. */
    private async resolve(written: Move, kind: "conflict" | "unavailable" | "unknown"): Promise<number | undefined> {
        if (kind === "unavailable") return undefined;
        const read = await this.store.read(moveKey(written));
        if (read.kind !== "found" || read.object.version <= this.version) return undefined;
        const stored = decodeMove(read.object.value);
        if (stored?.writeId === written.writeId) return read.object.version;
        return this.adopt(stored, read.object);
    }

    /** An earlier write of this controller may have taken effect after its answer was given up. */
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
