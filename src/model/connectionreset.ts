/**
 * Notices resets of connections that Node reports as orderly ends.
 *
 * A response without a length ends with its connection, so a reset must not be taken for that end. If the reset is there
 * when the last bytes are read, libuv takes the hang-up for the end of the stream and no error reaches JavaScript. The
 * kernel still tells them apart: after an orderly end the connection waits for this side to close it, and after a reset
 * it has no peer any more.
 *
 * A reset that follows an orderly end before it was read looks the same, so a whole body may be taken for a broken one.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Reason of a body whose connection was reset. */
export const CONNECTION_RESET = "connection was reset";

/**
 * Calls `onReset`, at most once, if the connection of a response is reset before the response has ended. The call comes
 * before the `end` event of the response. Call this function as soon as the head has arrived. The peer's address must not
 * be read from the socket before that, since Node returns the same address from then on.
 */
export function whenReset(response: IncomingMessage, onReset: (error: Error) => void): void {
    const { socket } = response;
    const onError = (error: Error): void => finish(error);
    const onEnd = (): void => {
        if (!response.complete && hasNoPeer(socket)) finish(new Error(CONNECTION_RESET));
    };
    const stop = (): void => {
        socket.off("error", onError).off("end", onEnd);
    };
    const finish = (error: Error): void => {
        stop();
        onReset(error);
    };
    socket.on("error", onError);
    // Before the parser takes the end of the connection for the end of the response.
    socket.prependListener("end", onEnd);
    response.once("close", stop);
}

/** Whether a connection whose end was reported may have been reset. Known for Linux only; elsewhere it is assumed. */
function hasNoPeer(socket: Socket): boolean {
    return process.platform !== "linux" || socket.remoteAddress === undefined;
}
