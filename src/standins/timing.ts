/** Delays of the stand-ins, in milliseconds. */
import { pause } from "../model/pause.js";

/** Waits; resolves without a timer when the delay is 0. */
export function sleep(milliseconds: number): Promise<void> {
    return milliseconds > 0 ? pause(milliseconds) : Promise.resolve();
}

/** Applies a change after a lag, or at once without one. The timer does not keep the process alive. */
export function afterLag(milliseconds: number | undefined, apply: () => unknown): void {
    if (milliseconds === undefined || milliseconds === 0) apply();
    else setTimeout(apply, milliseconds).unref();
}
