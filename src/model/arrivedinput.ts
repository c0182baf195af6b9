/**
 * Waits until what has arrived on a connection was read.
 *
 * What was read of a connection may be followed by its end, which Node reads in a later turn of the event loop, however
 * long ago both have arrived: one turn reads 64 KiB of a connection, and the end on its own. Work that begins in between
 * is work for a peer that has left.
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
