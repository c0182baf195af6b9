/** Timeouts of a silent peer from which the request can move on at most under conditions that change while it waits. */
import { startTimeout } from "../model/timeout.js";

/** Interval in milliseconds at which a continued silence is judged again. */
const RECHECK_MS = 100;

/**
 * Calls back after a silence, once `mayEnd` agrees; without it, at once. The peer may still go on while it does not.
 * Returns a function that cancels the timeout.
 */
export function startSilenceTimeout(
    callback: () => void,
    milliseconds: number,
    mayEnd: () => boolean = () => true,
): () => void {
    const check = (): void => {
        if (mayEnd()) callback();
        else cancel = startTimeout(check, RECHECK_MS);
    };
    let cancel = startTimeout(check, milliseconds);
    return () => cancel();
}
