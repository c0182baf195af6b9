/**
 * Elapsed time of each move, by this process's monotonic clock. Each stored state carries the time elapsed when it was
 * written, so that a process that first sees a move late does not start from zero. While the store cannot be written,
 * every process that has seen the move keeps counting.
 */
import { type Move, moveId, rollbackMargin } from "./move.js";

/** Elapsed times of the moves that this process has seen. */
export class MoveClock {
    /** When each move was declared, by local time; the key is the move's id. */
    private readonly starts = new Map<string, number>();

    private constructor() {}

    static create(): MoveClock {
        return new MoveClock();
    }

    /** Updates the move's start from a stored state, and forgets a move that ended. */
    observe(move: Move): void {
        const id = moveId(move);
        if (move.state === "ended") {
            this.starts.delete(id);
            return;
        }
        const start = performance.now() - move.elapsedMilliseconds;
        this.starts.set(id, Math.min(start, this.starts.get(id) ?? start));
    }

    /** Time since the move was declared, in milliseconds. */
    elapsed(move: Move): number {
        const now = performance.now();
        return now - (this.starts.get(moveId(move)) ?? now - move.elapsedMilliseconds);
    }

    /** Whether the move has to be rolled back now to end by its deadline. */
    mustRollBack(move: Move): boolean {
        return this.elapsed(move) >= move.doneByMilliseconds - rollbackMargin(move.doneByMilliseconds);
    }
}
