/**
 * Follows a relay while this gateway is none itself.
 *
 * A relay that does not serve, or whose messages are malformed, is left for another one for some time. Until one is
 * followed, the store is asked directly.
 */
import type { GatewayPeer } from "../gateway/peers.js";
import { type OnTaskFailure, runInBackground } from "../model/background.js";
import type { LineFields } from "../observability/index.js";
import { relaysAmong, relaysFor } from "./relays.js";
import type { RelayStream } from "./stream.js";
import { Subscription } from "./subscription.js";

/** Time in milliseconds for which a relay is not followed after it has failed. */
const AVOIDED_MS = 5_000;

/** Interval in milliseconds at which it is checked whether a relay is to be followed, and which one. */
const CHECK_INTERVAL_MS = 250;

/** What a follower depends on. */
export interface FollowerOptions {
    readonly self: GatewayPeer;
    /** The other registered gateways. */
    readonly otherGateways: () => readonly GatewayPeer[];
    /** Changes with each change of a registered gateway. */
    readonly revision: () => number;
    /** Called when this gateway no longer watches the store itself, so that others may not follow it. */
    readonly onFollowing: () => void;
    readonly onChange: (change: string, fields: LineFields) => void;
    /** Opens the stream of a relay. Resolves to the reason when it has ended. */
    readonly open: (relay: GatewayPeer, stream: RelayStream) => Promise<string>;
}

/** Follows one relay at a time. */
export class Follower {
    private current:
        | { readonly relay: GatewayPeer; readonly subscription: Subscription; readonly abort: AbortController }
        | undefined;
    private readonly avoidedUntil = new Map<string, number>();
    private readonly timer: NodeJS.Timeout;
    private known:
        { readonly revision: number; readonly relays: readonly GatewayPeer[]; readonly at: number } | undefined;
    /** A gateway that starts asks the store itself. */
    private isRelayNow = true;
    private isStopped = false;

    private constructor(private readonly options: FollowerOptions) {
        this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
        this.timer.unref();
    }

    static start(options: FollowerOptions): Follower {
        return new Follower(options);
    }

    /** Whether this gateway watches the store itself, so that others may follow it. */
    get isRelay(): boolean {
        return this.isRelayNow;
    }

    /** What the relay passes on that is followed; undefined if there is none. */
    get subscription(): Subscription | undefined {
        this.check();
        return this.current?.subscription;
    }

    stop(): void {
        this.isStopped = true;
        clearInterval(this.timer);
        this.current?.abort.abort();
        this.current = undefined;
    }

    private check(): void {
        if (this.isStopped) return;
        const { self } = this.options;
        const relays = this.relays();
        const isRelay = relays.length === 0 || relays.some(({ name }) => name === self.name);
        if (this.isRelayNow && !isRelay) this.options.onFollowing();
        this.isRelayNow = isRelay;
        const { current } = this;
        if (current !== undefined) {
            if (!isRelay && relays.some(({ name, address }) => isSame(current.relay, name, address))) return;
            current.abort.abort();
            this.current = undefined;
        }
        if (isRelay) return;
        const now = performance.now();
        const relay = relaysFor(self, relays).find(({ name }) => (this.avoidedUntil.get(name) ?? 0) <= now);
        if (relay !== undefined) this.follow(relay);
    }

    private relays(): readonly GatewayPeer[] {
        const { self, otherGateways, revision } = this.options;
        const now = performance.now();
        // Registrations change in bursts when a fleet starts.
        if (
            this.known?.revision !== revision() &&
            now - (this.known?.at ?? Number.NEGATIVE_INFINITY) >= CHECK_INTERVAL_MS
        ) {
            const others = otherGateways();
            // Nothing is known of the others before they were listed.
            const relays = others.length === 0 ? [] : relaysAmong([self, ...others]);
            this.known = { revision: revision(), relays, at: now };
            const names = new Set(others.map(({ name }) => name));
            for (const name of this.avoidedUntil.keys()) if (!names.has(name)) this.avoidedUntil.delete(name);
        }
        return this.known?.relays ?? [];
    }

    private follow(relay: GatewayPeer): void {
        const { onChange, open } = this.options;
        const following = { relay, subscription: Subscription.create(), abort: new AbortController() };
        this.current = following;
        const onFailure: OnTaskFailure = fields => onChange("task failed unexpectedly", fields);
        runInBackground("following a relay", onFailure, async () => {
            const startedAt = performance.now();
            let reason = "";
            try {
                const onOpen = (): void => onChange("relay followed", { peer: relay.name });
                const receive = (part: string): boolean => following.subscription.receive(part);
                reason = await open(relay, { onOpen, receive, signal: following.abort.signal });
            } finally {
                following.subscription.end();
                if (this.current === following) {
                    this.current = undefined;
                    this.avoidedUntil.set(relay.name, performance.now() + AVOIDED_MS);
                    onChange("relay left", {
                        peer: relay.name,
                        reason,
                        afterMs: Math.round(performance.now() - startedAt),
                    });
                }
            }
        });
    }
}

function isSame(relay: GatewayPeer, name: string, address: string): boolean {
    return relay.name === name && relay.address === address;
}
