/** A small deployment: a store, replicas and gateways. */
import { freePorts, GatewayProcess, PORTS_OF_GATEWAY, temporaryFolder } from "./gateway.mjs";
import { Replica } from "./replica.mjs";
import { Store } from "./store.mjs";

/** Host of all routes. */
export const HOST = "jepu9.example";

/** A route of a plain service. */
export const routeOf = (name, service, more = {}) => ({
    Name: name,
    Host: HOST,
    PathPrefix: `/${name}/`,
    Kind: "unsafe",
    TimeoutMs: 3_000,
    TargetLatencyMs: 121,
    Priority: 1,
    Service: service,
    MaxAttempts: 1,
    Public: false,
    ...more,
});

export const serviceOf = (name, more = {}) => ({
    Name: name,
    HealthPath: "/healthz",
    MaxConns: 110,
    Protocol: "h1",
    Tls: false,
    ColdStartS: 0,
    ColdPerS: 0,
    ...more,
});

export const LIMITS = {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3_000,
    IdleTimeoutMs: 15_000,
};

/** Starts a deployment and waits until its gateways are ready. */
export async function startDeployment({ configuration, replicas, gateways = 1, endWith }) {
    const directory = temporaryFolder();
    const store = await Store.start();
    endWith(() => store.close());
    store.put("config", "main", configuration);
    const started = [];
    for (const options of replicas) {
        const replica = await Replica.start(options);
        endWith(() => replica.exit());
        replica.register(store);
        started.push(replica);
    }
    const processes = [];
    const ports = await freePorts(gateways * PORTS_OF_GATEWAY);
    for (let index = 0; index < gateways; index += 1) {
        const own = ports.slice(index * PORTS_OF_GATEWAY, (index + 1) * PORTS_OF_GATEWAY);
        const gateway = GatewayProcess.start({
            name: `edge-${index + 1}`,
            storePort: store.port,
            directory,
            ports: own,
        });
        endWith(() => gateway.kill());
        processes.push(gateway);
    }
    await Promise.all(processes.map(gateway => gateway.ready()));
    return { store, replicas: started, gateways: processes, directory };
}
