/** A caller that writes bytes to its connection itself, and sees how the connection ends. */
import { connect, type Socket } from "node:net";
import { pause } from "../../src/model/pause.js";

/** A response as it was read from a connection. */
export interface RawResponse {
    readonly status: number;
    /** Names in lower case. */
    readonly headers: ReadonlyMap<string, string>;
    readonly body: string;
}

/** One connection to a gateway. */
export class RawCaller {
    private received = "";
    /** How the connection ended; undefined while it is open. */
    ending: "end" | "reset" | undefined;
    /** Monotonic time in milliseconds at which the connection ended. */
    endedAt = 0;

    private constructor(private readonly socket: Socket) {
        socket.on("data", (chunk: Buffer) => (this.received += chunk.toString("latin1")));
        // Node may report a reset as an orderly end, after which the connection has no peer.
        socket.on("end", () => this.setEnding(socket.remoteAddress === undefined ? "reset" : "end"));
        socket.on("error", () => this.setEnding("reset"));
    }

    static async connect(address: string): Promise<RawCaller> {
        const [host = "", port = ""] = address.split(":");
        const socket = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
        await new Promise<void>((resolve, reject) => {
            socket.once("connect", resolve);
            socket.once("error", reject);
        });
        return new RawCaller(socket);
    }

    write(text: string): void {
        this.socket.write(text, "latin1");
    }

    /** Stops reading, so that a reset discards what has arrived. */
    stopReading(): void {
        this.socket.pause();
    }

    continueReading(): void {
        this.socket.resume();
    }

    close(): void {
        this.socket.destroy();
    }

    /** All that was read. */
    get text(): string {
        return this.received;
    }

    /** Waits until a number of heads was read, or the connection ended. */
    async readHeads(count: number, milliseconds = 3_000): Promise<void> {
        const end = performance.now() + milliseconds;
        const heads = (): number => this.received.split("\r\n\r\n").length - 1;
        while (heads() < count && this.ending === undefined && performance.now() < end) await pause(5);
    }

    /** The whole responses that were read, without provisional ones. */
    get responses(): readonly RawResponse[] {
        const responses: RawResponse[] = [];
        for (let rest = this.received; ;) {
            const headEnd = rest.indexOf("\r\n\r\n");
            if (headEnd < 0) return responses;
            const [statusLine = "", ...lines] = rest.slice(0, headEnd).split("\r\n");
            const headers = new Map(
                lines.map(line => {
                    const colon = line.indexOf(":");
                    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
                }),
            );
            const status = Number(statusLine.split(" ")[1]);
            const length = headers.get("content-length");
            const isUnframed = length === undefined && status >= 200 && status !== 204 && status !== 304;
            const end = isUnframed ? rest.length : headEnd + 4 + Number(length ?? 0);
            if (rest.length < end || (isUnframed && this.ending !== "end")) return responses;
            if (status >= 200) responses.push({ status, headers, body: rest.slice(headEnd + 4, end) });
            rest = rest.slice(end);
        }
    }

    /** Waits until a number of responses was read, or the connection ended, or a time has passed. */
    async read(count: number, milliseconds = 3_000): Promise<readonly RawResponse[]> {
        const end = performance.now() + milliseconds;
        while (this.responses.length < count && this.ending === undefined && performance.now() < end) await pause(5);
        return this.responses;
    }

    async ended(milliseconds = 3_000): Promise<"end" | "reset" | undefined> {
        const end = performance.now() + milliseconds;
        while (this.ending === undefined && performance.now() < end) await pause(5);
        return this.ending;
    }

    private setEnding(ending: "end" | "reset"): void {
        this.ending ??= ending;
        this.endedAt ||= performance.now();
    }
}

/** The head of a caller's request. */
export function requestHead(
    method: string,
    path: string,
    id: string,
    headers: Readonly<Record<string, string | number>> = {},
): string {
    const all = {
        "host": "desk.example",
        "x-parsleyrun-request-id": id,
        "x-parsleyrun-deadline-ms": "2000",
        "authorization": "Token good-key",
        ...headers,
    };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`;
}
