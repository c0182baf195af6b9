/**
 * A link is the one long-lived bidirectional stream between two of the system's processes.
 *
 * Stage attempts, tokens, results, load and configuration all travel on it, because a message on an open stream costs a
 * small part of a call of its own. A link delivers messages in order or not at all; when it closes, everything that was
 * open on it is in doubt and its owner decides what that means.
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Hello, HelloSchema, LinkMessage, LinkMessageSchema } from "./generated/parsleyrun/link_pb.js";

/** Body of a received message: a tagged union over `case`. */
export type LinkBody = LinkMessage["body"];

/** Body of a message to send. */
export type LinkBodyInit = NonNullable<MessageInitShape<typeof LinkMessageSchema>["body"]>;

/** What a process says of itself when a link opens. */
export type HelloInit = MessageInitShape<typeof HelloSchema>;

/** One open stream to another process. */
export interface Link {
    /** What the other end said of itself. */
    readonly peer: Hello;
    /** Queues a message. Returns false when the link is closed or its outgoing queue overflowed, which closes it. */
    send(body: LinkBodyInit): boolean;
    /** Received messages in order, for one reader; ends when the link closes. */
    readonly messages: AsyncIterable<LinkBody>;
    /** Closes the link; messages that are queued may be lost. Idempotent. */
    close(reason: string): void;
    /** Resolves with the reason once the link is closed, from either end. */
    readonly closed: Promise<string>;
}

/** Outcome of an attempt to open a link. */
export type ConnectOutcome =
    { readonly kind: "connected"; readonly link: Link } | { readonly kind: "failed"; readonly message: string };

/** An address that accepts links. */
export interface Listener {
    /** The address in use (host:port). */
    readonly address: string;
    /** Accepts no further links. Open links stay open. */
    close(): Promise<void>;
}

/** How processes reach each other: over TCP in daemons, in memory in tests. */
export interface Network {
    /** Opens a link. Fails when the peer cannot be reached in time or does not hold the same key. */
    connect(address: string, hello: HelloInit): Promise<ConnectOutcome>;
    /** Accepts links at an address; `hello` is asked for each link, since the configuration version in it changes. */
    listen(address: string, hello: () => HelloInit, accept: (link: Link) => void): Promise<Listener>;
}

/** Messages that may wait in a link's outgoing queue before it is closed as stuck. */
export const MAXIMUM_QUEUED_MESSAGES = 8_192;

/** Time for the other end's hello, in milliseconds. */
export const HELLO_TIMEOUT_MS = 2_000;
