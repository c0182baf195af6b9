/**
 * Links inside one process, for tests and the demo. Messages are encoded and decoded as on a real link, so that the two
 * ends share no object. Delay and reachability are functions of the two addresses, which tests vary.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { pause } from "../model/pause.js";
import { Channel } from "./channel.js";
import { type Hello, HelloSchema, LinkMessageSchema } from "./generated/parsleyrun/link_pb.js";
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

/** Behaviour of the network between two addresses. */
export interface MemoryNetworkOptions {
    /** One-way delay in milliseconds. */
    readonly delay?: (from: string, to: string) => number;
    /**
     * Whether messages get through. One that does not is retransmitted, as on a TCP connection, and delays those behind
     * it; both ends close when it is not delivered within the retransmission timeout.
     */
    readonly reachable?: (from: string, to: string) => boolean;
}

/** Time after which an undelivered message closes the link, in milliseconds. */
const RETRANSMISSION_TIMEOUT_MS = 3_000;
const RETRANSMISSION_INTERVAL_MS = 50;

interface Delivery {
    readonly dueAt: number;
    readonly action: (other: MemoryLink) => void;
}

interface ListenerRegistration {
    readonly hello: () => HelloInit;
    readonly accept: (link: Link) => void;
}

class MemoryLink implements Link {
    readonly closed: Promise<string>;
    private readonly incoming = Channel.create<LinkBody>(MAXIMUM_QUEUED_MESSAGES);
    private otherEnd: MemoryLink | undefined;
    private closeReason: string | undefined;
    private resolveClosed: (reason: string) => void = () => undefined;
    private readonly undelivered: Delivery[] = [];
    private timedOut = false;

    constructor(
        readonly peer: Hello,
        readonly localAddress: string,
        private readonly remoteAddress: string,
        private readonly network: MemoryNetwork,
    ) {
        this.closed = new Promise(resolve => {
            this.resolveClosed = resolve;
        });
    }

    get messages(): AsyncIterable<LinkBody> {
        return this.incoming;
    }

    setOtherEnd(other: MemoryLink): void {
        this.otherEnd = other;
    }

    send(body: LinkBodyInit): boolean {
        if (this.closeReason !== undefined) return false;
        const bytes = toBinary(LinkMessageSchema, create(LinkMessageSchema, { body }));
        this.deliver(other => {
            if (!other.incoming.push(fromBinary(LinkMessageSchema, bytes).body)) other.close("incoming queue is full");
        });
        return true;
    }

    close(reason: string): void {
        if (!this.markClosed(reason)) return;
        this.deliver(other => other.markClosed("closed by the peer"));
    }

    private markClosed(reason: string): boolean {
        if (this.closeReason !== undefined) return false;
        this.closeReason = reason;
        this.incoming.close();
        this.resolveClosed(reason);
        return true;
    }

    private deliver(action: (other: MemoryLink) => void): void {
        const delay = this.network.delay(this.localAddress, this.remoteAddress);
        this.undelivered.push({ dueAt: performance.now() + delay, action });
        if (this.undelivered.length === 1) this.scheduleDelivery();
    }

    /** Delivers the oldest message when it is due. Later ones wait, so that a shorter delay does not reorder them. */
    private scheduleDelivery(): void {
        const oldest = this.undelivered[0];
        if (oldest === undefined) return;
        setTimeout(() => this.tryDelivery(oldest), Math.max(0, oldest.dueAt - performance.now()));
    }

    private tryDelivery(oldest: Delivery): void {
        const other = this.otherEnd;
        if (other === undefined || this.timedOut) return;
        if (this.network.reachable(this.localAddress, this.remoteAddress)) {
            this.undelivered.shift();
            oldest.action(other);
            this.scheduleDelivery();
        } else if (performance.now() - oldest.dueAt < RETRANSMISSION_TIMEOUT_MS) {
            setTimeout(() => this.tryDelivery(oldest), RETRANSMISSION_INTERVAL_MS);
        } else {
            this.timedOut = true;
            this.markClosed("connection timed out");
            other.markClosed("connection timed out");
        }
    }
}

/** A network inside one process. */
export class MemoryNetwork {
    private readonly registrations = new Map<string, ListenerRegistration>();
    private readonly links = new Set<MemoryLink>();

    private constructor(private readonly options: MemoryNetworkOptions) {}

    /** An empty network. Without options there is no delay and every address reaches every other. */
    static create(options: MemoryNetworkOptions = {}): MemoryNetwork {
        return new MemoryNetwork(options);
    }

    /** One-way delay in milliseconds. */
    delay(from: string, to: string): number {
        return this.options.delay?.(from, to) ?? 0;
    }

    /** Whether a message gets through now. */
    reachable(from: string, to: string): boolean {
        return this.options.reachable?.(from, to) ?? true;
    }

    /** The network as the process at `localAddress` sees it. */
    at(localAddress: string): Network {
        return {
            connect: (address, hello) => this.connect(localAddress, address, hello),
            listen: (address, hello, accept) => this.listen(address, { hello, accept }),
        };
    }

    /** Disconnects a process, as its end would: removes its listener and closes both ends of each of its links. */
    disconnect(localAddress: string): void {
        this.registrations.delete(localAddress);
        for (const link of this.links) {
            if (link.localAddress === localAddress) link.close("process ended");
        }
    }

    private async connect(from: string, to: string, hello: HelloInit): Promise<ConnectOutcome> {
        if (!this.reachable(from, to) || !this.reachable(to, from)) {
            await pause(HELLO_TIMEOUT_MS);
            return { kind: "failed", message: `${to} does not answer` };
        }
        await pause(this.delay(from, to) + this.delay(to, from));
        const registration = this.registrations.get(to);
        if (registration === undefined) return { kind: "failed", message: `${to} refused the connection` };
        const clientEnd = new MemoryLink(create(HelloSchema, registration.hello()), from, to, this);
        const serverEnd = new MemoryLink(create(HelloSchema, hello), to, from, this);
        clientEnd.setOtherEnd(serverEnd);
        serverEnd.setOtherEnd(clientEnd);
        this.track(clientEnd);
        this.track(serverEnd);
        registration.accept(serverEnd);
        return { kind: "connected", link: clientEnd };
    }

    private track(link: MemoryLink): void {
        this.links.add(link);
        void link.closed.then(() => this.links.delete(link));
    }

    private listen(address: string, registration: ListenerRegistration): Promise<Listener> {
        this.registrations.set(address, registration);
        const close = (): Promise<void> => {
            if (this.registrations.get(address) === registration) this.registrations.delete(address);
            return Promise.resolve();
        };
        return Promise.resolve({ address, close });
    }
}
