/** A small deployment: a store, replicas and gateways. */
import { GatewayProcess, temporaryFolder } from "./gateway.mjs";
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
export async function startDeployment({ configuration, replicas, gateways = 1, endWith, storePort }) {
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
    for (let index = 1; index <= gateways; index += 1) {
        const name = `edge-${index}`;
        const port = storePort?.(store) ?? store.port;
        const gateway = await GatewayProcess.start({ name, storePort: port, directory });
        endWith(() => gateway.kill());
        processes.push(gateway);
    }
    await Promise.all(processes.map(gateway => gateway.ready()));
    return { store, replicas: started, gateways: processes, directory };
}
