/** A caller on one connection that sees how the connection ends. */
import { connect, type Socket } from "node:net";
import { until } from "./daemons.js";

/** What a caller got for one request. */
export interface RawAnswer {
    /** Undefined if the connection ended without a response. */
    readonly status: number | undefined;
    readonly headers: Readonly<Record<string, string>>;
    readonly complete: boolean;
    /** Whether the connection was reset. */
    readonly reset: boolean;
    /** Time in milliseconds from the last byte of the request to the end of the connection; undefined while it is open. */
    readonly closedAfterMs: number | undefined;
}

/** A connection to a gateway. */
export class RawCaller {
    private received = "";
    private closed = false;
    private closedAt: number | undefined;
    private reset = false;

    private constructor(private readonly socket: Socket) {
        socket.setEncoding("latin1").on("data", (text: string) => (this.received += text));
        socket.on("error", (error: NodeJS.ErrnoException) => (this.reset ||= error.code === "ECONNRESET"));
        socket.once("close", () => {
            this.closed = true;
            this.closedAt = performance.now();
        });
    }

    static async open(address: string): Promise<RawCaller> {
        const [host = "", port = ""] = address.split(":");
        const socket = connect(Number(port), host);
        const caller = new RawCaller(socket);
        await until("connected", () => !socket.connecting || caller.closed);
        return caller;
    }

    /** Sends a request and reads nothing of its response. */
    sendUnread(path: string, id: string): void {
        this.socket.pause();
        this.writeRequest(path, id, 0);
    }

    /** Sends a request with the body "body" up to its last `heldBack` bytes, and waits for the response or the end. */
    async send(path: string, id: string, heldBack = 0): Promise<RawAnswer> {
        this.received = "";
        this.writeRequest(path, id, heldBack);
        const sentAt = performance.now();
        await until(`a response to ${id} or the end`, () => this.closed || this.isComplete());
        const [statusLine = "", ...lines] = (this.received.split("\r\n\r\n")[0] ?? "").split("\r\n");
        const headers = Object.fromEntries(
            lines.map(line => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 2)]),
        );
        const status = this.received === "" ? undefined : Number(statusLine.split(" ")[1]);
        const closedAfterMs = this.closedAt === undefined ? undefined : this.closedAt - sentAt;
        return { status, headers, complete: this.isComplete(), reset: this.reset, closedAfterMs };
    }

    get isClosed(): boolean {
        return this.closed;
    }

    write(text: string): void {
        if (!this.closed) this.socket.write(text);
    }

    /** Waits until data with a text has arrived. */
    async receives(text: string): Promise<void> {
        await until(`"${text}" was received`, () => this.received.includes(text));
    }

    close(): void {
        this.socket.destroy();
    }

    resetConnection(): void {
        this.socket.resetAndDestroy();
    }

    /** Sends a request and waits for nothing. */
    sendRequest(path: string, id: string): void {
        this.writeRequest(path, id, 0);
    }

    private writeRequest(path: string, id: string, heldBack: number): void {
        const head = [
            `POST ${path} HTTP/1.1`,
            "Host: 127.0.0.1",
            `X-Parsleyrun-Request-Id: ${id}`,
            "X-Parsleyrun-Deadline-Ms: 15000",
            "Authorization: Token good-key",
            "Content-Length: 4",
        ];
        this.write(`${head.join("\r\n")}\r\n\r\n${"body".slice(0, 4 - heldBack)}`);
    }

    private isComplete(): boolean {
        const headEnd = this.received.indexOf("\r\n\r\n");
        if (headEnd < 0) return false;
        const length = /^content-length: (\d+)/im.exec(this.received.slice(0, headEnd))?.[1];
        if (length === undefined) return this.received.endsWith("0\r\n\r\n");
        return this.received.length >= headEnd + 4 + Number(length);
    }
}
