/**
 * Notices ends of connections that are not the ends of their responses, although Node reports them as such.
 *
 * A response without a length ends with its connection, so a reset must not be taken for that end. If the reset is there
 * when the last bytes are read, libuv takes the hang-up for the end of the stream and no error reaches JavaScript. The
 * kernel still tells them apart: after an orderly end the connection waits for this side to close it, and after a reset
 * it has no peer any more.
 *
 * A reset that follows an orderly end before it was read looks the same, so a whole body may be taken for a broken one.
 *
 * A server that fails may also end the connection in order, and its kernel resets it only as more of the request arrives.
 * So a response without a length that ends while the request is still being sent is not whole either, unless it refuses
 * the request: servers answer a request that is too long in this way. Once the kernel has taken all of the request, such a
 * response cannot be told from a whole one.
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Reason of a body whose connection was reset. */
export const CONNECTION_RESET = "connection was reset";

/** Reason of a body that ended with its connection before the request was sent. */
export const ENDED_DURING_REQUEST = "connection ended while the request was being sent";

/** Lowest status of a response that refuses its request or reports a failure. */
const LOWEST_ERROR_STATUS = 400;

/**
 * Calls `onBroken`, at most once, if the connection of a response is reset before the response has ended, or ends before
 * the request was sent. The call comes before the `end` event of the response. Call this function as soon as the head has
 * arrived. The peer's address must not be read from the socket before that, since Node returns the same address from then
 * on.
 */
export function whenBrokenOff(
    request: ClientRequest,
    response: IncomingMessage,
    onBroken: (error: Error) => void,
): void {
    const { socket } = response;
    const onError = (error: Error): void => finish(error);
    const onEnd = (): void => {
        if (response.complete) return;
        if (hasNoPeer(socket)) finish(new Error(CONNECTION_RESET));
        else if (!request.writableFinished && !isError(response)) finish(new Error(ENDED_DURING_REQUEST));
    };
    const stop = (): void => {
        socket.off("error", onError).off("end", onEnd);
    };
    const finish = (error: Error): void => {
        stop();
        onBroken(error);
    };
    socket.on("error", onError);
    // Before the parser takes the end of the connection for the end of the response.
    socket.prependListener("end", onEnd);
    response.once("close", stop);
}

function isError({ statusCode = 0 }: IncomingMessage): boolean {
    return statusCode >= LOWEST_ERROR_STATUS;
}

/** Whether a connection whose end was reported may have been reset. Known for Linux only; elsewhere it is assumed. */
function hasNoPeer(socket: Socket): boolean {
    return process.platform !== "linux" || socket.remoteAddress === undefined;
}
