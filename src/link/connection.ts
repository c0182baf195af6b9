/**
 * Links over TCP: one connect-es bidirectional stream on an HTTP/2 connection of its own.
 *
 * Both ends send a hello with the system's key first. A peer without the key is refused before any other message is
 * read from it.
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

/** A message above this size, in bytes, closes the link. */
const MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Files for TLS on links; both ends present a certificate that the same authority signed. */
export interface TlsFiles {
    readonly certificate: string;
    readonly privateKey: string;
    readonly authority: string;
}

/** One end of an open stream: `incoming` is read by the link's user, `outgoing` by connect. */
class StreamLink implements Link {
    readonly messages: AsyncIterable<LinkBody>;
    readonly closed: Promise<string>;
    private reason: string | undefined;
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
        if (this.reason !== undefined) return false;
        if (this.outgoing.push(create(LinkMessageSchema, { body }))) return true;
        this.close("outgoing queue is full");
        return false;
    }

    close(reason: string): void {
        if (this.reason !== undefined) return;
        this.reason = reason;
        this.outgoing.close();
        // The abort waits for one turn, so that a message queued just before the close has a chance to leave.
        setImmediate(this.abort);
        this.resolveClosed(reason);
    }

    private async *receive(incoming: AsyncIterator<LinkMessage>): AsyncGenerator<LinkBody> {
        try {
            for (;;) {
                const next = await incoming.next();
                if (next.done === true || this.reason !== undefined) break;
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

    /** A network for the system's key, with TLS when files are given. Throws when a file cannot be read. */
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
            return { kind: "failed", message: error instanceof Error ? error.message : "connect failed" };
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

/** Splits host:port. Throws when the port is not a number from 0 to 65535. */
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

/** Reads the first message, which has to be a hello with the right key. */
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
