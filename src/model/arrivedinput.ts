/**
 * Waits until what has arrived on a connection was read.
 *
 * Node reads the end of a connection in a later turn of the event loop than the data before it, however long ago both
 * have arrived, and later still if it pauses reading meanwhile, as it does at a long body that nobody reads yet. Work that
 * begins in between is work for a peer that has left.
 */
import type { Socket } from "node:net";
import { endOfTurn } from "./turn.js";

/** Longest wait in turns of the event loop, for a peer that goes on sending. */
const MAXIMUM_TURNS = 8;

/**
 * Begins to watch what is read of a connection. The function that it returns is to be called in a later turn; it resolves
 * once a turn has ended in which nothing more was read, or `isOver` returns true.
 */
export function watchInput(socket: Socket, isOver: () => boolean): () => Promise<void> {
    let { bytesRead } = socket;
    return async () => {
        for (let turn = 0; turn < MAXIMUM_TURNS; turn += 1) {
            await endOfTurn();
            if (bytesRead === socket.bytesRead || isOver()) return;
            ({ bytesRead } = socket);
        }
    };
}

/** Resolves once everything was read that had arrived on a connection, or `isOver` returns true. */
export async function readArrived(socket: Socket, isOver: () => boolean): Promise<void> {
    const wait = watchInput(socket, isOver);
    // Data was read in this turn; what has arrived behind it is read in the next one.
    await endOfTurn();
    await wait();
}
