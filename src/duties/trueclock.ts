/**
 * Time since the Unix epoch that does not follow jumps of the machine's clock.
 *
 * Usage windows begin at true times. The clock of a machine is close to them but may jump by some seconds, and a count in the
 * wrong window makes two reports wrong. The monotonic clock does not jump, so what the wall clock gains or loses at once
 * against it is an error; what it gains slowly is the correction of its drift.
 */

/** Change in milliseconds between two checks that counts as a jump. Corrections by slewing are below 1 ms per second. */
const JUMP_MS = 100;

/** Readings of the two clocks, in milliseconds. */
export interface ClockReadings {
    readonly wall: () => number;
    readonly monotonic: () => number;
}

const MACHINE_CLOCKS: ClockReadings = { wall: () => Date.now(), monotonic: () => performance.now() };

/** A clock of true time. */
export class TrueClock {
    private epoch: number;
    /** What the wall clock was found to be wrong by. */
    private error = 0;

    private constructor(
        private readonly onJump: (jumpMs: number) => void,
        private readonly clocks: ClockReadings,
    ) {
        this.epoch = clocks.wall() - clocks.monotonic();
    }

    static create(onJump: (jumpMs: number) => void, clocks: ClockReadings = MACHINE_CLOCKS): TrueClock {
        return new TrueClock(onJump, clocks);
    }

    /** Milliseconds since the Unix epoch. */
    now(): number {
        const epoch = this.clocks.wall() - this.clocks.monotonic() - this.error;
        const change = epoch - this.epoch;
        if (Math.abs(change) < JUMP_MS) this.epoch = epoch;
        else {
            this.error += change;
            this.onJump(Math.round(change));
        }
        return this.clocks.monotonic() + this.epoch;
    }
}
