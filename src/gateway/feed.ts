/**
 * Brings what the store says into force: configuration, targets, closed zones and gateways.
 *
 * Each kind of object is a watched copy. While the store is away, what is known stays in force. Registrations of targets
 * can lapse in an outage although the targets live; those are kept for a short time after the store's return.
 */
import type { LineFields } from "../observability/index.js";
import { type AvailabilityChange, type Store, StoreView, type StoreEvent } from "../store/index.js";
import type { ConfigurationContent } from "./configuration.js";
import type { Gateway } from "./gateway.js";
import type { GatewayPeers } from "./peers.js";
import type { TargetRegistration } from "./target.js";

/** What decoding an object came to. */
export type DecodedObject<Value> =
    { readonly kind: "decoded"; readonly value: Value } | { readonly kind: "invalid"; readonly message: string };

/** Where the objects lie and how they are read. */
export interface FeedSource {
    readonly configurationPrefix: string;
    readonly targetPrefix: string;
    readonly closedZonePrefix: string;
    readonly gatewayPrefix: string;
    readonly decodeConfiguration: (text: string) => DecodedObject<ConfigurationContent>;
    readonly decodeTarget: (id: string, text: string) => DecodedObject<TargetRegistration>;
}

/** What a feed works with. */
export interface FeedOptions {
    readonly store: Store;
    readonly source: FeedSource;
    readonly gateway: Gateway;
    readonly peers: GatewayPeers;
    readonly onChange: (change: string, fields: LineFields) => void;
}

/**
 * Time in milliseconds of one waiting watch. A connection can go silent without a sign, and only the end of this time
 * shows it; changes have to be in force two seconds after contact is back.
 */
const WATCH_MS = 2_000;

/** The same for objects whose changes are less urgent. */
const SLOW_WATCH_MS = 10_000;

/** Time in milliseconds after the store's return within which lapsed registrations of living targets come back. */
const LAPSE_GRACE_MS = 2_300;

/** Follows the store. */
export class GatewayFeed {
    /** Resolves when configuration and targets are known. */
    readonly ready: Promise<void>;
    private readonly views: readonly StoreView[];
    private readonly lapsed = new Map<string, NodeJS.Timeout>();

    private constructor(private readonly options: FeedOptions) {
        const { source, store } = options;
        const follow = (prefix: string, watchMilliseconds: number, apply: (event: StoreEvent) => void): StoreView => {
            const view = StoreView.start({
                store,
                prefix,
                watchMilliseconds,
                onAvailability: change => this.noteAvailability(prefix, change),
            });
            view.subscribe(apply);
            return view;
        };
        const configuration = follow(source.configurationPrefix, WATCH_MS, event => this.applyConfiguration(event));
        const targets = follow(source.targetPrefix, WATCH_MS, event => this.applyTarget(event, targets));
        const closedZones: StoreView = follow(source.closedZonePrefix, WATCH_MS, () => this.applyZones(closedZones));
        const gateways = follow(source.gatewayPrefix, SLOW_WATCH_MS, event => {
            options.peers.apply(event);
            options.gateway.gathering.giveBack();
        });
        this.views = [configuration, targets, closedZones, gateways];
        this.ready = Promise.all([configuration.ready, targets.ready, closedZones.ready]).then(() => undefined);
    }

    static start(options: FeedOptions): GatewayFeed {
        return new GatewayFeed(options);
    }

    /** Stops following. */
    stop(): void {
        for (const view of this.views) view.stop();
        for (const timer of this.lapsed.values()) clearTimeout(timer);
    }

    private noteAvailability(prefix: string, change: AvailabilityChange): void {
        if (change.kind === "lost") this.options.onChange("store lost", { prefix, reason: change.message });
        else this.options.onChange("store regained", { prefix, outageMs: Math.round(change.outageMs) });
    }

    private applyConfiguration(event: StoreEvent): void {
        if (event.object === undefined) return;
        const decoded = this.options.source.decodeConfiguration(event.object.value);
        if (decoded.kind === "decoded") this.options.gateway.applyConfiguration(decoded.value);
        else this.options.onChange("configuration ignored", { key: event.key, reason: decoded.message });
    }

    private applyTarget(event: StoreEvent, view: StoreView): void {
        const { gateway, source } = this.options;
        const id = event.key.slice(source.targetPrefix.length);
        clearTimeout(this.lapsed.get(id));
        this.lapsed.delete(id);
        if (event.object === undefined) {
            this.removeTarget(id, view);
            return;
        }
        const decoded = source.decodeTarget(id, event.object.value);
        if (decoded.kind === "decoded") {
            gateway.targets.put(decoded.value);
            return;
        }
        this.options.onChange("registration ignored", { target: id, reason: decoded.message });
        gateway.targets.remove(id);
    }

    private removeTarget(id: string, view: StoreView): void {
        const { gateway } = this.options;
        const graceMs = LAPSE_GRACE_MS - view.millisecondsSinceOutage;
        if (graceMs <= 0) {
            gateway.targets.remove(id);
            return;
        }
        this.options.onChange("registration lapsed", { target: id, graceMs: Math.round(graceMs) });
        this.lapsed.set(
            id,
            setTimeout(() => {
                this.lapsed.delete(id);
                gateway.targets.remove(id);
            }, graceMs),
        );
    }

    private applyZones(view: StoreView): void {
        const prefix = this.options.source.closedZonePrefix;
        const zones = [...view.objects.keys()].map(key => key.slice(prefix.length));
        this.options.gateway.targets.closeZones(new Set(zones));
    }
}
