/** Waits. */
export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Waits until a condition holds; returns whether it did in time. */
export async function until(condition, milliseconds) {
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        if (await condition()) return true;
        await pause(20);
    }
    return false;
}
