/**
 * A link is the single long-lived bidirectional stream between two processes of the system.
 *
 * It carries stage attempts, tokens, results, load reports and configuration updates, because a message on an open
 * stream costs a fraction of a separate call. Messages are delivered in order or not at all. When a link closes, the
 * outcome of all work in progress on it is unknown; the owner of that work decides how to proceed.
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Hello, HelloSchema, LinkMessage, LinkMessageSchema } from "./generated/parsleyrun/link_pb.js";

/** Body of a received message: a tagged union over `case`. */
export type LinkBody = LinkMessage["body"];

/** Body of a message to send. */
export type LinkBodyInit = NonNullable<MessageInitShape<typeof LinkMessageSchema>["body"]>;

/** The hello by which a process identifies itself when a link opens. */
export type HelloInit = MessageInitShape<typeof HelloSchema>;

/** One open stream to another process. */
export interface Link {
    /** The hello of the other end. */
    readonly peer: Hello;
    /** Queues a message. Returns false when the link is closed; a full outgoing queue closes it. */
    send(body: LinkBodyInit): boolean;
    /** Received messages in order, for one reader; ends when the link closes. */
    readonly messages: AsyncIterable<LinkBody>;
    /** Closes the link; queued messages may be lost. Idempotent. */
    close(reason: string): void;
    /** Resolves with the reason once the link is closed, from either end. */
    readonly closed: Promise<string>;
}

/** Outcome of an attempt to open a link. */
export type ConnectOutcome =
    { readonly kind: "connected"; readonly link: Link } | { readonly kind: "failed"; readonly message: string };

/** Accepts links at an address. */
export interface Listener {
    /** The address in use (host:port). */
    readonly address: string;
    /** Accepts no further links. Open links stay open. */
    close(): Promise<void>;
}

/** Opens and accepts links: over TCP in daemons, in memory in tests. */
export interface Network {
    /** Opens a link. Fails when the peer cannot be reached in time or does not hold the same key. */
    connect(address: string, hello: HelloInit): Promise<ConnectOutcome>;
    /** Accepts links at an address; `hello` is called for each link, since its configuration version changes. */
    listen(address: string, hello: () => HelloInit, accept: (link: Link) => void): Promise<Listener>;
}

/** Maximum length of a link's message queue. A link whose queue overflows counts as stuck and is closed. */
export const MAXIMUM_QUEUED_MESSAGES = 8_192;

/** Time within which the other end has to send its hello, in milliseconds. */
export const HELLO_TIMEOUT_MS = 2_000;
