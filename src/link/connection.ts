/**
 * Links over TCP. Each link is a bidirectional Connect stream on its own HTTP/2 connection.
 *
 * The first message from each end is a hello with the system's key. A peer without the key is refused before any other
 * message is read from it.
 */
import { readFileSync } from "node:fs";
import * as http2 from "node:http2";
import type { AddressInfo } from "node:net";
import { create } from "@bufbuild/protobuf";
import { type ConnectRouter, Code, ConnectError, createClient } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { withTimeout } from "../model/pause.js";
import { equalKeys } from "./authentication.js";
import { Channel } from "./channel.js";
import { type Hello, type LinkMessage, LinkMessageSchema, LinkService } from "./generated/parsleyrun/link_pb.js";
import {
    type ConnectOutcome,
    HELLO_TIMEOUT_MS,
    type HelloInit,
    type Link,
    type LinkBody,
    type LinkBodyInit,
    type Listener,
    MAXIMUM_QUEUED_MESSAGES,
    type Network,
} from "./link.js";

/** Maximum message size in bytes; a larger message closes the link. */
const MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Paths of the TLS files for links. Both ends present a certificate signed by the same authority. */
export interface TlsFiles {
    readonly certificate: string;
    readonly privateKey: string;
    readonly authority: string;
}

/** One end of an open stream. The link's user reads `incoming`; the Connect library reads `outgoing`. */
class StreamLink implements Link {
    readonly messages: AsyncIterable<LinkBody>;
    readonly closed: Promise<string>;
    private closeReason: string | undefined;
    private resolveClosed: (reason: string) => void = () => undefined;

    constructor(
        readonly peer: Hello,
        private readonly outgoing: Channel<LinkMessage>,
        incoming: AsyncIterator<LinkMessage>,
        private readonly abort: () => void,
    ) {
        this.closed = new Promise(resolve => {
            this.resolveClosed = resolve;
        });
        this.messages = this.receive(incoming);
    }

    send(body: LinkBodyInit): boolean {
        if (this.closeReason !== undefined) return false;
        if (this.outgoing.push(create(LinkMessageSchema, { body }))) return true;
        this.close("outgoing queue is full");
        return false;
    }

    close(reason: string): void {
        if (this.closeReason !== undefined) return;
        this.closeReason = reason;
        this.outgoing.close();
        // Aborts on the next turn of the event loop, so that a message queued just before the close may still be sent.
        setImmediate(this.abort);
        this.resolveClosed(reason);
    }

    private async *receive(incoming: AsyncIterator<LinkMessage>): AsyncGenerator<LinkBody> {
        try {
            for (;;) {
                const next = await incoming.next();
                if (next.done === true || this.closeReason !== undefined) break;
                yield next.value.body;
            }
            this.close("closed by the peer");
        } catch (error) {
            this.close(error instanceof Error ? error.message : "stream failed");
        }
    }
}

/** Links over TCP between processes that hold the same key. */
export class ConnectNetwork implements Network {
    private constructor(
        private readonly key: string,
        private readonly tls: TlsFiles | undefined,
    ) {}

    /**
     * A network with the system's key, with TLS when `tls` is given. `connect` and `listen` read the TLS files and
     * throw when one cannot be read.
     */
    static create(key: string, tls?: TlsFiles): ConnectNetwork {
        return new ConnectNetwork(key, tls);
    }

    async connect(address: string, hello: HelloInit): Promise<ConnectOutcome> {
        const outgoing = Channel.create<LinkMessage>(MAXIMUM_QUEUED_MESSAGES);
        outgoing.push(helloMessage(hello, this.key));
        const baseUrl = `${this.tls === undefined ? "http" : "https"}://${address}`;
        const sessionManager = new Http2SessionManager(baseUrl, {}, this.tls && readTlsFiles(this.tls));
        const transport = createConnectTransport({
            httpVersion: "2",
            baseUrl,
            sessionManager,
            readMaxBytes: MAXIMUM_MESSAGE_BYTES,
        });
        const controller = new AbortController();
        const abort = (): void => {
            controller.abort();
            sessionManager.abort();
        };
        const timer = setTimeout(abort, HELLO_TIMEOUT_MS);
        try {
            const stream = createClient(LinkService, transport).open(outgoing, { signal: controller.signal });
            const incoming = stream[Symbol.asyncIterator]();
            const peer = await readHello(incoming, this.key);
            return { kind: "connected", link: new StreamLink(peer, outgoing, incoming, abort) };
        } catch (error) {
            outgoing.close();
            abort();
            return { kind: "failed", message: error instanceof Error ? error.message : "connection failed" };
        } finally {
            clearTimeout(timer);
        }
    }

    async listen(address: string, hello: () => HelloInit, accept: (link: Link) => void): Promise<Listener> {
        const key = this.key;
        const handler = connectNodeAdapter({
            readMaxBytes: MAXIMUM_MESSAGE_BYTES,
            routes: (router: ConnectRouter) =>
                router.service(LinkService, {
                    async *open(requests, context) {
                        const incoming = requests[Symbol.asyncIterator]();
                        const peer = await readHello(incoming, key);
                        const outgoing = Channel.create<LinkMessage>(MAXIMUM_QUEUED_MESSAGES);
                        outgoing.push(helloMessage(hello(), key));
                        const link = new StreamLink(peer, outgoing, incoming, () => undefined);
                        context.signal.addEventListener("abort", () => {
                            link.close("stream aborted");
                        });
                        accept(link);
                        yield* outgoing;
                    },
                }),
        });
        const server =
            this.tls === undefined
                ? http2.createServer(handler)
                : http2.createSecureServer({ ...readTlsFiles(this.tls), requestCert: true }, handler);
        const [host, port] = splitAddress(address);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        const bound = server.address() as AddressInfo;
        return {
            address: `${host}:${bound.port}`,
            close: () =>
                new Promise<void>(resolve => {
                    server.close(() => undefined);
                    resolve();
                }),
        };
    }
}

/** Splits an address (host:port). Throws when there is no host or the port is not an integer from 0 to 65535. */
export function splitAddress(address: string): readonly [host: string, port: number] {
    const separator = address.lastIndexOf(":");
    const port = Number(address.slice(separator + 1));
    if (separator < 1 || !Number.isInteger(port) || port < 0 || port > 65_535) {
        throw new Error(`address ${address} is not host:port`);
    }
    return [address.slice(0, separator), port];
}

function helloMessage(hello: HelloInit, key: string): LinkMessage {
    return create(LinkMessageSchema, { body: { case: "hello", value: { ...hello, key } } });
}

/** Reads the first message. Throws when it is late or not a hello with the right key. */
async function readHello(incoming: AsyncIterator<LinkMessage>, key: string): Promise<Hello> {
    const first = await withTimeout(incoming.next(), HELLO_TIMEOUT_MS, undefined);
    if (first === undefined) throw new ConnectError("no hello in time", Code.DeadlineExceeded);
    if (first.done === true) throw new ConnectError("closed before the hello", Code.Aborted);
    const body = first.value.body;
    if (body.case !== "hello") throw new ConnectError("first message is not a hello", Code.InvalidArgument);
    if (!equalKeys(body.value.key, key)) throw new ConnectError("key is not accepted", Code.Unauthenticated);
    return body.value;
}

function readTlsFiles(files: TlsFiles): { cert: Buffer; key: Buffer; ca: Buffer } {
    return {
        cert: readFileSync(files.certificate),
        key: readFileSync(files.privateKey),
        ca: readFileSync(files.authority),
    };
}
