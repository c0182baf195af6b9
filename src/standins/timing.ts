/** Delays of the stand-ins, in milliseconds. */
import { pause } from "../model/pause.js";

/** Waits; does not give up the turn without a delay. */
export function sleep(milliseconds: number): Promise<void> {
    return milliseconds > 0 ? pause(milliseconds) : Promise.resolve();
}

/** Shows a change after a lag; at once without one. The timer holds up no exit. */
export function afterLag(milliseconds: number | undefined, show: () => unknown): void {
    if (milliseconds === undefined || milliseconds === 0) show();
    else setTimeout(show, milliseconds).unref();
}
