/**
 * Watches the store and applies changes of the configuration, targets, closed zones and gateways.
 *
 * While the store is unavailable, the last known state stays in use. Registrations can expire during an outage although
 * their targets are alive; such targets are kept for a short time after the store is available again.
 */
import type { LineFields } from "../observability/index.js";
import {
    type AvailabilityChange,
    type RestorationChange,
    type Store,
    StoreView,
    type StoredObject,
    type StoreEvent,
} from "../store/index.js";
import type { ConfigurationContent } from "./configuration.js";
import type { Gateway } from "./gateway.js";
import { LatestConfiguration } from "./latestconfiguration.js";
import type { GatewayPeers } from "./peers.js";
import type { Rollout } from "./rollouts.js";
import type { TargetRegistration } from "./target.js";

/** Result of decoding an object. */
export type DecodedObject<Value> =
    { readonly kind: "decoded"; readonly value: Value } | { readonly kind: "invalid"; readonly message: string };

/** Key prefixes of the objects and their decoders. */
export interface FeedSource {
    readonly configurationPrefix: string;
    readonly targetPrefix: string;
    readonly closedZonePrefix: string;
    readonly gatewayPrefix: string;
    readonly rolloutPrefix: string;
    readonly decodeConfiguration: (text: string) => DecodedObject<ConfigurationContent>;
    readonly decodeTarget: (id: string, text: string) => DecodedObject<TargetRegistration>;
    readonly decodeRollout: (object: StoredObject) => DecodedObject<Rollout>;
}

/** Dependencies of a feed. */
export interface FeedOptions {
    readonly store: Store;
    readonly source: FeedSource;
    readonly gateway: Gateway;
    readonly peers: GatewayPeers;
    readonly onChange: (change: string, fields: LineFields) => void;
}

/**
 * Timeout in milliseconds of one watch request. Only this timeout detects a connection that died silently, and changes
 * have to be applied within two seconds after the store is reachable again.
 */
const WATCH_TIMEOUT_MS = 2_000;

/** Watch timeout in milliseconds for objects whose changes are less urgent. */
const SLOW_WATCH_TIMEOUT_MS = 10_000;

/** Watch timeout in milliseconds for roll-outs, whose targets start some time after the request. */
const ROLLOUT_WATCH_TIMEOUT_MS = 4_000;

/** Maximum number of keys in one log line. */
const MAXIMUM_LOGGED_KEYS = 8;

/** Time in milliseconds after an outage within which live targets renew their expired registrations. */
const LAPSE_GRACE_MS = 2_300;

/** Watches the store for one gateway. */
export class GatewayFeed {
    /** Resolves when all is known that decides where requests may go. */
    readonly ready: Promise<void>;
    /** Resolves when the other gateways are known. */
    readonly peersReady: Promise<void>;
    private readonly views: readonly StoreView[];
    private readonly removalTimers = new Map<string, NodeJS.Timeout>();
    /** Why objects are ignored, by key, so that a list does not report them again. */
    private readonly ignoredReasons = new Map<string, string>();

    private constructor(private readonly options: FeedOptions) {
        const { source, store } = options;
        const watchPrefix = (
            prefix: string,
            watchMilliseconds: number,
            apply: (event: StoreEvent) => void,
            settleMilliseconds?: number,
        ): StoreView => {
            const view = StoreView.start({
                store,
                prefix,
                watchMilliseconds,
                ...(settleMilliseconds === undefined ? {} : { settleMilliseconds }),
                onAvailability: change => this.reportAvailability(prefix, change),
                onRestoration: change => this.handleRestoration(prefix, change),
                onFull: full => options.onChange("store view full", { prefix, ...full }),
            });
            view.subscribe(apply);
            return view;
        };
        const latest = LatestConfiguration.create(
            event => this.applyConfiguration(event),
            fields => options.onChange("task failed unexpectedly", { ...fields }),
        );
        const configuration = watchPrefix(source.configurationPrefix, WATCH_TIMEOUT_MS, event => latest.put(event));
        const targets: StoreView = watchPrefix(
            source.targetPrefix,
            WATCH_TIMEOUT_MS,
            event => this.applyTarget(event, targets),
            LAPSE_GRACE_MS,
        );
        const closedZones: StoreView = watchPrefix(source.closedZonePrefix, WATCH_TIMEOUT_MS, () =>
            this.applyZones(closedZones),
        );
        const gateways = watchPrefix(source.gatewayPrefix, SLOW_WATCH_TIMEOUT_MS, event => {
            options.peers.apply(event);
            options.gateway.pieceRouter.giveBack();
        });
        const rollouts = options.gateway.followsRollouts
            ? [watchPrefix(source.rolloutPrefix, ROLLOUT_WATCH_TIMEOUT_MS, event => this.applyRollout(event))]
            : [];
        this.views = [configuration, targets, closedZones, gateways, ...rollouts];
        this.peersReady = gateways.ready;
        const required = [configuration, targets, closedZones, ...rollouts];
        this.ready = Promise.all(required.map(view => view.ready)).then(() => latest.settled());
    }

    static start(options: FeedOptions): GatewayFeed {
        return new GatewayFeed(options);
    }

    /** Stops watching. */
    stop(): void {
        for (const view of this.views) view.stop();
        for (const timer of this.removalTimers.values()) clearTimeout(timer);
    }

    private reportAvailability(prefix: string, change: AvailabilityChange): void {
        const { gateway, source } = this.options;
        if (prefix === source.rolloutPrefix) gateway.setStoreLost(change.kind === "lost");
        if (change.kind === "lost") this.options.onChange("store lost", { prefix, reason: change.message });
        else this.options.onChange("store regained", { prefix, outageMs: Math.round(change.outageMs) });
    }

    /** What this gateway wrote may be lost, so it writes it again. */
    private handleRestoration(prefix: string, { kind, era, missing, reappeared }: RestorationChange): void {
        const { peers, onChange } = this.options;
        onChange(`store ${kind}`, { prefix, era, missing: logged(missing), reappeared: logged(reappeared) });
        if (kind === "restored") peers.registerAgain();
    }

    /** Returns whether the object could be read. One that was removed leaves the version before it in force. */
    private applyConfiguration(event: StoreEvent): boolean {
        const decoded = event.object && this.options.source.decodeConfiguration(event.object.value);
        this.reportIgnored("configuration ignored", event.key, decoded);
        if (decoded?.kind === "decoded") this.options.gateway.applyConfiguration(decoded.value);
        return decoded?.kind === "decoded";
    }

    private applyTarget(event: StoreEvent, view: StoreView): void {
        const { gateway, source } = this.options;
        const id = event.key.slice(source.targetPrefix.length);
        clearTimeout(this.removalTimers.get(id));
        this.removalTimers.delete(id);
        if (event.object === undefined) {
            this.ignoredReasons.delete(event.key);
            this.removeTarget(id, view);
            return;
        }
        const decoded = source.decodeTarget(id, event.object.value);
        this.reportIgnored("registration ignored", event.key, decoded);
        if (decoded.kind === "decoded") gateway.targets.put(decoded.value, event.mayBeOlder);
        else gateway.targets.remove(id);
    }

    private applyRollout({ key, object, mayBeOlder }: StoreEvent): void {
        const { gateway, source, onChange } = this.options;
        const name = key.slice(source.rolloutPrefix.length);
        if (object === undefined) {
            this.ignoredReasons.delete(key);
            gateway.removeRollout(name);
            onChange("rollout removed", { service: name });
            return;
        }
        const decoded = source.decodeRollout(object);
        this.reportIgnored("rollout ignored", key, decoded);
        if (decoded.kind === "decoded") gateway.putRollout(decoded.value, mayBeOlder);
    }

    /** Reports an object that is ignored, once for each reason. */
    private reportIgnored(change: string, key: string, decoded: DecodedObject<unknown> | undefined): void {
        if (decoded?.kind !== "invalid") {
            this.ignoredReasons.delete(key);
        } else if (this.ignoredReasons.get(key) !== decoded.message) {
            this.ignoredReasons.set(key, decoded.message);
            this.options.onChange(change, { key, reason: decoded.message });
        }
    }

    private removeTarget(id: string, view: StoreView): void {
        const { gateway } = this.options;
        const graceMs = LAPSE_GRACE_MS - view.millisecondsSinceOutage;
        if (graceMs <= 0) {
            gateway.targets.remove(id);
            return;
        }
        this.options.onChange("registration lapsed", { target: id, graceMs: Math.round(graceMs) });
        this.removalTimers.set(
            id,
            setTimeout(() => {
                this.removalTimers.delete(id);
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

/** The number of keys, and those that fit into a log line. */
function logged(keys: readonly string[]): LineFields {
    return { count: keys.length, keys: keys.slice(0, MAXIMUM_LOGGED_KEYS) };
}
