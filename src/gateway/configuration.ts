/**
 * The gateway's configuration: routes, services, client accounts and connection limits.
 *
 * A configuration is an immutable value with a version. A gateway only moves to higher versions, so that a stale read
 * of the store cannot undo a change.
 */
import type { ReplicaBounds } from "../duties/index.js";

/** A stage that has to run before the request's own service can run the request. */
export interface RouteStage {
    readonly service: string;
    /** Indexes of the stages whose results are the inputs of this one. */
    readonly after: readonly number[];
    /** Approximate size of one result in bytes. */
    readonly resultBytes: number;
}

/** A service and its weight in a route's traffic. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

/** How requests to one host and path prefix are served. */
export interface Route {
    readonly name: string;
    /** Lower case, without a port. */
    readonly host: string;
    readonly pathPrefix: string;
    /** Whether responses are event streams. */
    readonly streaming: boolean;
    /** Whether a request may be run again from the start. */
    readonly idempotent: boolean;
    /** Whether a broken stream may be resumed at another target. */
    readonly resumable: boolean;
    /** Maximum time in milliseconds from the request to the end of its response. */
    readonly timeoutMs: number;
    /** Latency objective in milliseconds, for a response or for the first event of a stream. */
    readonly latencyObjectiveMs: number;
    /** Priority of the route; 0 is the most urgent. */
    readonly priority: number;
    readonly services: readonly WeightedService[];
    /** Number of targets that may run one request. */
    readonly maximumAttempts: number;
    readonly stages: readonly RouteStage[];
    /** Whether requests need no API key. */
    readonly isPublic: boolean;
    /** Maximum time in milliseconds between two events of a stream that is on time. */
    readonly eventGapLimitMs: number | undefined;
}

/** Capacity of one target of a stage service. */
export interface StageCapacity {
    /** Concurrent calls. */
    readonly slots: number;
    /** Maximum number of pieces in one call. */
    readonly batch: number;
    /** Fixed time of a call in milliseconds. */
    readonly callMs: number;
    /** Approximate additional time for each piece in milliseconds. */
    readonly pieceMs: number;
    /** Memory for results in bytes. */
    readonly memoryBytes: number;
    /** Time in milliseconds after which an unused result is dropped. */
    readonly resultLifetimeMs: number;
}

/** Capacity of one model engine. */
export interface EngineCapacity {
    /** Maximum number of requests in one batch. */
    readonly slots: number;
    /** Number of tokens that fit into memory. */
    readonly tokens: number;
}

/** A service as operators configure it. */
export interface Service {
    readonly name: string;
    readonly healthPath: string;
    /** Time in milliseconds for which a target is cold after its start. */
    readonly coldStartMs: number;
    /** Maximum requests per second to a cold target, from all gateways together. */
    readonly coldRequestsPerSecond: number;
    readonly stage: StageCapacity | undefined;
    readonly engine: EngineCapacity | undefined;
    /** Limits of the number of targets in each zone; undefined if they are not ordered. */
    readonly scaling?: ReplicaBounds | undefined;
}

/** Limits of a caller's connection. */
export interface ConnectionLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A client account and its API keys. */
export interface ClientAccountKeys {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the priority of a route. */
    readonly priority: number | undefined;
}

/** The content of a configuration. */
export interface ConfigurationContent {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    /** Undefined when requests need no key. */
    readonly accounts: readonly ClientAccountKeys[] | undefined;
    readonly limits: ConnectionLimits;
}

/** Result of authenticating a caller by its API key. */
export type Authentication =
    | { readonly kind: "anonymous" }
    | { readonly kind: "account"; readonly account: ClientAccountKeys }
    | { readonly kind: "unknownKey" };

/** A configuration with indexes for lookups by host, service and key. */
export class GatewayConfiguration {
    private constructor(
        readonly content: ConfigurationContent,
        private readonly routesByHost: ReadonlyMap<string, readonly Route[]>,
        private readonly servicesByName: ReadonlyMap<string, Service>,
        private readonly accountsByKey: ReadonlyMap<string, ClientAccountKeys>,
    ) {}

    static of(content: ConfigurationContent): GatewayConfiguration {
        const routesByHost = new Map<string, Route[]>();
        for (const route of content.routes) {
            const routes = routesByHost.get(route.host) ?? [];
            routes.push(route);
            routesByHost.set(route.host, routes);
        }
        for (const routes of routesByHost.values()) {
            routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
        const services = new Map(content.services.map(service => [service.name, service]));
        const accounts = new Map<string, ClientAccountKeys>();
        for (const account of content.accounts ?? []) {
            for (const key of account.keys) accounts.set(key, account);
        }
        return new GatewayConfiguration(content, routesByHost, services, accounts);
    }

    get version(): number {
        return this.content.version;
    }

    /** The route of a request: among the routes of the host, the one with the longest matching path prefix. */
    matchRoute(host: string, path: string): Route | undefined {
        const name = host.toLowerCase().replace(/:\d+$/, "");
        const queryStart = path.indexOf("?");
        const plainPath = queryStart < 0 ? path : path.slice(0, queryStart);
        return this.routesByHost.get(name)?.find(route => plainPath.startsWith(route.pathPrefix));
    }

    service(name: string): Service | undefined {
        return this.servicesByName.get(name);
    }

    /** The account that holds a key. Without accounts every request is anonymous. */
    authenticate(key: string | undefined): Authentication {
        if (this.content.accounts === undefined) return { kind: "anonymous" };
        const account = key === undefined ? undefined : this.accountsByKey.get(key);
        return account === undefined ? { kind: "unknownKey" } : { kind: "account", account };
    }
}

/** Chooses one of a route's services at random by weight; `random` is uniform in [0, 1). */
export function chooseService(services: readonly WeightedService[], random: () => number): string | undefined {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    let position = random() * total;
    for (const { service, weight } of services) {
        if (position < weight) return service;
        position -= weight;
    }
    return services.at(-1)?.service;
}
