/**
 * The gateways that are registered in the store, and those that have left lately.
 *
 * Limits for all gateways together are divided by their number (`gateway/limitshares`). A gateway that crashes stays registered
 * until another one removes its registration (`gateway/registrationcleanup`).
 */
import { z } from "zod";
import { parseSocketAddress } from "../model/address.js";
import { type OnTaskFailure, runInBackground } from "../model/background.js";
import { parseJson } from "../model/json.js";
import { pause } from "../model/pause.js";
import type { Store, StoreEvent } from "../store/index.js";

/** What a gateway's machine can bear. */
export interface GatewayCapacity {
    /** Processor time per second that the gateway may use, in seconds of one core at its usual speed. */
    readonly processors: number;
    /** Bandwidth of the machine's link in megabits per second. */
    readonly linkMegabits: number;
}

/** A registered gateway. */
export interface GatewayPeer {
    readonly name: string;
    readonly zone: string;
    /** Address for calls from other gateways (host:port). */
    readonly address: string;
    readonly capacity: GatewayCapacity;
}

/** Longest name of a gateway or a zone, in characters. */
const MAXIMUM_NAME_LENGTH = 256;

const peerSchema = z.object({
    name: z.string().max(MAXIMUM_NAME_LENGTH),
    zone: z.string().max(MAXIMUM_NAME_LENGTH),
    address: z.string().refine(text => parseSocketAddress(text) !== undefined),
    // Gateways of earlier versions do not register a capacity.
    capacity: z
        .object({ processors: z.number().positive(), linkMegabits: z.number().positive() })
        .default({ processors: 1, linkMegabits: 1_000 }),
    /** The gateway that has asked whether this one is still in touch with the store. */
    questionedBy: z.string().max(MAXIMUM_NAME_LENGTH).optional(),
});

/** A registration as it is stored. */
export interface Registration {
    readonly key: string;
    readonly version: number;
    /** Whether its gateway is asked to write it again. */
    readonly isQuestioned: boolean;
}

/** Number of gateways assumed until this one sees its own registration; about the size of a small deployment. */
export const ASSUMED_GATEWAYS = 5;

/** Time in milliseconds for which a gateway is remembered that has left. */
const MEMORY_MS = 900_000;

const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 2_000;

/** The registered gateways. */
export class GatewayPeers {
    private readonly peers = new Map<string, GatewayPeer>();
    private readonly registrations = new Map<string, Registration>();
    /** Monotonic times in milliseconds at which gateways left, by name. */
    private readonly leftAt = new Map<string, number>();
    private firstRegisteredAt: number | undefined;
    private isRegistering = false;
    /** Repeats the registration; undefined before the first one. */
    private repeatRegistration: (() => void) | undefined;
    private changes = 0;

    private constructor(
        readonly self: GatewayPeer,
        private readonly prefix: string,
    ) {}

    /** `prefix` is the key prefix of the registrations in the store. */
    static create(self: GatewayPeer, prefix: string): GatewayPeers {
        return new GatewayPeers(self, prefix);
    }

    /** All registered gateways. */
    get all(): readonly GatewayPeer[] {
        return [...this.peers.values()];
    }

    /** The registered gateways except this one. */
    get others(): readonly GatewayPeer[] {
        return this.all.filter(({ name }) => name !== this.self.name);
    }

    /** The registration of a gateway; undefined if the store has none. */
    registrationOf(name: string): Registration | undefined {
        return this.registrations.get(name);
    }

    /** Increases with each change of a registered gateway. */
    get revision(): number {
        return this.changes;
    }

    /** Monotonic time in milliseconds at which this process first saw its own registration; undefined until then. */
    get registeredAt(): number | undefined {
        return this.firstRegisteredAt;
    }

    /** Names of the other gateways that are registered, or were so after `time` on the monotonic clock; up to 15 minutes ago. */
    otherNamesSince(time: number): readonly string[] {
        const left = [...this.leftAt].filter(([, leftAt]) => leftAt > time).map(([name]) => name);
        return [...this.peers.keys(), ...left].filter(name => name !== this.self.name);
    }

    /** Number of gateways that are registered at present, or assumed to be. */
    get count(): number {
        return this.firstRegisteredAt !== undefined
            ? Math.max(1, this.peers.size)
            : Math.max(ASSUMED_GATEWAYS, this.peers.size);
    }

    /** Applies a change of a registration. */
    apply(event: StoreEvent): void {
        const { key, object } = event;
        const name = key.slice(this.prefix.length);
        const now = performance.now();
        for (const [left, leftAt] of this.leftAt) if (leftAt < now - MEMORY_MS) this.leftAt.delete(left);
        if (object === undefined && this.peers.delete(name)) this.leftAt.set(name, now);
        // A registration that cannot be read does not replace one that could: fewer gateways would make the parts too large.
        const decoded = object === undefined ? undefined : peerSchema.safeParse(parseJson(object.value)).data;
        const isQuestioned = decoded?.questionedBy !== undefined;
        if (object === undefined) this.registrations.delete(name);
        else this.registrations.set(name, { key, version: object.version, isQuestioned });
        const peer = decoded?.name === name ? withoutQuestion(decoded) : undefined;
        // A question changes the registration and not the gateway.
        const isSame = peer !== undefined && JSON.stringify(peer) === JSON.stringify(this.peers.get(name));
        if (!isSame) this.changes += 1;
        if (peer !== undefined) {
            if (!isSame) this.peers.set(name, peer);
            this.leftAt.delete(name);
        }
        if (this.peers.has(this.self.name)) this.firstRegisteredAt ??= now;
        if (name === this.self.name && (peer === undefined || isQuestioned)) this.registerAgain();
    }

    /**
     * Begins to register this gateway; retries until it succeeds or `isStopped` returns true. From then on the registration
     * is written again whenever the store has lost it. `onFailure` is called after an exception, `onEarlier` if the store has
     * the registration of an earlier process, which has ended without a planned stop.
     */
    register(store: Store, isStopped: () => boolean, onFailure: OnTaskFailure, onEarlier: () => void): void {
        let isFirst = true;
        this.repeatRegistration = () =>
            runInBackground("registration", onFailure, async () => {
                if (this.isRegistering) return;
                this.isRegistering = true;
                const hasEarlier = await this.write(store, isStopped).finally(() => (this.isRegistering = false));
                if (isFirst && hasEarlier) onEarlier();
                isFirst = false;
            });
        this.repeatRegistration();
    }

    /** Writes the registration again if the store lacks it, once this gateway has registered. */
    registerAgain(): void {
        this.repeatRegistration?.();
    }

    /** Writes the registration. Returns whether the store had one of this name. */
    private async write(store: Store, isStopped: () => boolean): Promise<boolean> {
        const key = this.prefix + this.self.name;
        const value = JSON.stringify(this.self);
        for (let retryMs = FIRST_RETRY_MS; !isStopped(); retryMs = Math.min(LONGEST_RETRY_MS, retryMs * 2)) {
            const read = await store.read(key);
            if (read.kind === "found" && read.object.value === value) return true;
            if (isStopped()) return false;
            if (read.kind !== "unavailable") {
                const version = read.kind === "found" ? read.object.version : 0;
                const written = await store.write(key, value, version);
                if (written.kind === "written") return read.kind === "found";
            }
            await pause(retryMs * (0.5 + Math.random() / 2));
        }
        return false;
    }

    /**
     * Removes this gateway's registration before a planned stop. Repeats the attempt until it succeeds or `isEnded` returns
     * true; what is left then, another gateway removes.
     */
    async unregister(store: Store, isEnded: () => boolean): Promise<void> {
        this.repeatRegistration = undefined;
        const key = this.prefix + this.self.name;
        for (let retryMs = FIRST_RETRY_MS; !isEnded(); retryMs = Math.min(LONGEST_RETRY_MS, retryMs * 2)) {
            const read = await store.read(key);
            if (read.kind === "missing") return;
            if (read.kind === "found" && !isEnded()) {
                const removed = await store.remove(key, read.object.version);
                if (removed.kind === "written") return;
            }
            await pause(retryMs);
        }
    }
}

function withoutQuestion({ name, zone, address, capacity }: z.infer<typeof peerSchema>): GatewayPeer {
    return { name, zone, address, capacity };
}
