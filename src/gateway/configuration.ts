/**
 * What operators have put in force for the gateway: routes, services, client accounts and connection limits.
 *
 * A configuration is an immutable value with a version. A gateway only ever moves to a higher version, so a stale read
 * of the store cannot take a change back.
 */

/** Work on a stage service that a request needs before its own service can run it. */
export interface RouteStage {
    readonly service: string;
    /** Indexes of the stages whose results are its inputs. */
    readonly after: readonly number[];
    /** Approximate size of one result in bytes. */
    readonly resultBytes: number;
}

/** A service and its share of a route's traffic. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

/** Requests of one host below one path prefix. */
export interface Route {
    readonly name: string;
    /** Lower case, without a port. */
    readonly host: string;
    readonly pathPrefix: string;
    /** Whether answers are event streams. */
    readonly streaming: boolean;
    /** Whether a request may run more than once from its beginning. */
    readonly idempotent: boolean;
    /** Whether a broken stream may be continued at another target. */
    readonly resumable: boolean;
    /** Longest time in milliseconds that a caller is kept waiting for the end of its answer. */
    readonly timeoutMs: number;
    /** Time in milliseconds within which an answer, or a stream's first event, is on time. */
    readonly latencyObjectiveMs: number;
    /** Rank of the route; 0 is the most urgent. */
    readonly priority: number;
    readonly services: readonly WeightedService[];
    /** Targets to which one request may be sent. */
    readonly maximumAttempts: number;
    readonly stages: readonly RouteStage[];
    /** Whether requests need no key. */
    readonly isPublic: boolean;
    /** Longest pause between two events with which a stream is on time, in milliseconds. */
    readonly eventGapLimitMs: number | undefined;
}

/** Capacity of one target of a stage service. */
export interface StageCapacity {
    /** Calls in progress at once. */
    readonly slots: number;
    /** Pieces in one call. */
    readonly batch: number;
    /** Fixed time of a call in milliseconds. */
    readonly callMs: number;
    /** Approximate time of one piece in milliseconds. */
    readonly pieceMs: number;
    /** Memory for results in bytes. */
    readonly memoryBytes: number;
    /** Time in milliseconds after which an unused result is dropped. */
    readonly resultLifetimeMs: number;
}

/** Capacity of one model engine. */
export interface EngineCapacity {
    /** Requests in one batch. */
    readonly slots: number;
    /** Tokens that fit into memory. */
    readonly tokens: number;
}

/** A service as the operators describe it. */
export interface Service {
    readonly name: string;
    readonly healthPath: string;
    /** Time in milliseconds for which a started target is cold. */
    readonly coldStartMs: number;
    /** Requests a second that a cold target bears, from all gateways together. */
    readonly coldRequestsPerSecond: number;
    readonly stage: StageCapacity | undefined;
    readonly engine: EngineCapacity | undefined;
}

/** Limits of a caller's connection. */
export interface ConnectionLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A client account and the keys that its callers use. */
export interface ClientAccountKeys {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the priority of a route. */
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

/** The caller's account, as its key tells. */
export type Authentication =
    | { readonly kind: "anonymous" }
    | { readonly kind: "account"; readonly account: ClientAccountKeys }
    | { readonly kind: "unknownKey" };

/** A configuration with the indexes that requests need. */
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

    /** The route of a request: of its host's routes, the one with the longest prefix that begins the path. */
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

/** Chooses one of a route's services by weight; `random` is uniform in [0, 1). */
export function chooseService(services: readonly WeightedService[], random: () => number): string | undefined {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    let position = random() * total;
    for (const { service, weight } of services) {
        if (position < weight) return service;
        position -= weight;
    }
    return services.at(-1)?.service;
}
