/**
 * Waits for turns of the event loop.
 *
 * A turn hands over what has arrived on all sockets in an order that does not depend on when it arrived. What has
 * arrived on one socket is only known for certain to have been read at the end of the turn.
 */

/** Resolves once everything was handed over that this turn of the event loop hands over. */
export function endOfTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
