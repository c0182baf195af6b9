/**
 * The connections of an HTTP server, and which of them are idle.
 *
 * Node takes a connection for idle once its response was ended, also if the caller has not taken the response yet, and
 * takes one that has sent nothing for busy. A planned stop needs the opposite of both.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Departure } from "../model/departure.js";

interface OpenConnection {
    readonly departure: Departure;
    /** Requests whose response was not taken over by the operating system. */
    openRequests: number;
    /** Bytes that had been read when the last response ended. */
    endedBytesRead: number;
}

/** Tracks the connections of a server. */
export class OpenConnections {
    private readonly connections = new Map<Socket, OpenConnection>();

    private constructor() {}

    /** Tracks the connections that a server accepts from now on. Node closes idle ones of these only, as they are known here. */
    static of(server: Server): OpenConnections {
        const tracked = new OpenConnections();
        server.on("connection", socket => tracked.add(socket));
        server.on("request", (request: IncomingMessage, response: ServerResponse) => tracked.track(request, response));
        // Called by `Server.close`.
        server.closeIdleConnections = (): void => tracked.closeIdle();
        return tracked;
    }

    /** The end of a connection; undefined if it was closed before. */
    departureOf(socket: Socket): Departure | undefined {
        return this.connections.get(socket)?.departure;
    }

    /** Closes the connections on which nothing is in progress. */
    closeIdle(): void {
        for (const [socket, { openRequests, endedBytesRead }] of this.connections) {
            if (openRequests === 0 && socket.bytesRead === endedBytesRead) socket.destroy();
        }
    }

    /** Closes the connections without a whole request, also those on which a part of one has arrived. */
    closeWithoutRequest(): void {
        for (const [socket, { openRequests }] of this.connections) if (openRequests === 0) socket.destroy();
    }

    private add(socket: Socket): void {
        this.connections.set(socket, { departure: Departure.of(socket), openRequests: 0, endedBytesRead: 0 });
        socket.once("close", () => this.connections.delete(socket));
    }

    private track({ socket }: IncomingMessage, response: ServerResponse): void {
        const connection = this.connections.get(socket);
        if (connection === undefined) return;
        connection.openRequests += 1;
        response.once("close", () => {
            connection.openRequests -= 1;
            connection.endedBytesRead = socket.bytesRead;
        });
    }
}
