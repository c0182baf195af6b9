/**
 * Timeouts of a peer.
 *
 * After a delay of its event loop, a process runs its timers before it reads its sockets. A timeout that ended a wait at
 * once would then count the delay of this process as one of the peer, although the awaited data may have arrived.
 */

/** Calls back after a time, once the data that has arrived by then was read. Returns a function that cancels it. */
export function startTimeout(callback: () => void, milliseconds: number): () => void {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
        // Immediates run after sockets were read.
        immediate = setImmediate(callback);
    }, milliseconds);
    return () => {
        clearTimeout(timer);
        clearImmediate(immediate);
    };
}
