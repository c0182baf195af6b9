/**
 * How long each move has been under way, by this process's own monotonic clock. Each stored state carries the time that
 * had passed when it was written, so that a process that first sees a move late does not start from zero. Time in which
 * nobody can write is counted by every process that has seen the move.
 */
import { type Move, moveId, rollbackMargin } from "./move.js";

/** Times of the moves that this process has seen. */
export class MoveClock {
    /** Local time of each move's acceptance, by id. */
    private readonly starts = new Map<string, number>();

    private constructor() {}

    static create(): MoveClock {
        return new MoveClock();
    }

    /** Takes note of a stored state. */
    observe(move: Move): void {
        const id = moveId(move);
        if (move.state === "ended") {
            this.starts.delete(id);
            return;
        }
        const start = performance.now() - move.elapsedMilliseconds;
        this.starts.set(id, Math.min(start, this.starts.get(id) ?? start));
    }

    /** Time since acceptance, in milliseconds. */
    elapsed(move: Move): number {
        const now = performance.now();
        return now - (this.starts.get(moveId(move)) ?? now - move.elapsedMilliseconds);
    }

    /** Whether the move has to be taken back now to end in time. */
    mustRollBack(move: Move): boolean {
        return this.elapsed(move) >= move.doneByMilliseconds - rollbackMargin(move.doneByMilliseconds);
    }
}
