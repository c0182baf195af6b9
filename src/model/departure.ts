/**
 * Notices that the peer of a connection leaves.
 *
 * Node closes a response a turn of the event loop after it has read the end of the connection. Work that is given up only
 * then may have gone out in between.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The end of one connection, as its peer causes it. */
export class Departure {
    private readonly listeners = new Set<() => void>();
    private leftAt: number | undefined;

    private constructor(socket: Socket) {
        const record = (): void => this.record();
        socket.once("end", record).once("error", record).once("close", record);
    }

    /** Watches a connection, from the moment at which it is accepted. */
    static of(socket: Socket): Departure {
        return new Departure(socket);
    }

    /** Monotonic time in milliseconds at which the end of the connection was read; undefined until then. */
    get at(): number | undefined {
        return this.leftAt;
    }

    /** Aborts the work for a response that its peer leaves before the response has ended, or that is closed before it was taken. */
    abortWork(response: ServerResponse, work: AbortController): void {
        const onLeft = (): void => {
            if (!response.writableEnded) work.abort();
        };
        if (this.leftAt !== undefined) onLeft();
        this.listeners.add(onLeft);
        response.once("close", () => {
            this.listeners.delete(onLeft);
            if (!response.writableFinished) work.abort();
        });
    }

    private record(): void {
        if (this.leftAt !== undefined) return;
        this.leftAt = performance.now();
        for (const listener of [...this.listeners]) listener();
        this.listeners.clear();
    }
}
