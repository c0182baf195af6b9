/**
 * Settings of the daemons, as YAML files hold them. Unknown keys are errors, so that a misspelt key is found at start.
 */
import { z } from "zod";

const address = z
    .string()
    .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be an IPv4 address and port, such as 127.0.0.1:7001")
    .refine(value => {
        const [host = "", port = ""] = value.split(":");
        return host.split(".").every(part => Number(part) <= 255) && Number(port) <= 65_535;
    }, "has a part out of range");

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "must be 1 to 63 letters, digits, '.', '_' or '-'");

const secret = z.string().min(8, "must have at least 8 characters");

const logging = z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    format: z.enum(["json", "pretty"]).default("json"),
});

const metrics = z.strictObject({
    /** UDP address of a StatsD collector. Without it, counters stay in the process. */
    address: address.optional(),
    prefix: z.string().default("parsleyrun."),
});

const tls = z.strictObject({ certificate: z.string(), privateKey: z.string(), authority: z.string() });

const storeSettings = z.strictObject({
    address,
    timeoutMilliseconds: z.int().min(10).max(10_000).default(500),
});

const common = {
    name,
    zone: name,
    vm: name,
    /** Key that all processes of the system share; proves that a peer is one of them. */
    systemKey: secret,
    /** Where links from other processes are accepted. */
    linkAddress: address,
    store: storeSettings,
    logging: logging.prefault({}),
    metrics: metrics.prefault({}),
    tls: tls.optional(),
};

/** Settings of an entry. */
export const entrySettingsSchema = z.strictObject({
    ...common,
    /** Where callers and operators are served. */
    callerAddress: address,
    /** Key of the operators' interface. */
    operatorKey: secret,
    /** Link addresses of other entries, for a start while the store is down. */
    peers: z.array(address).default([]),
    /** This entry's part of each plan's share. */
    seat: z.strictObject({ index: z.int().min(0), count: z.int().min(1) }).refine(seat => seat.index < seat.count, {
        message: "index must be below count",
    }),
    /** Deadline of requests that name none, and the longest that they may name, in milliseconds. */
    defaultDeadlineMilliseconds: z.int().min(1).max(10_000).default(4_000),
    maximumDeadlineMilliseconds: z.int().min(1).max(10_000).default(10_000),
    /** Requests in progress at once. */
    maximumRequests: z.int().min(1).default(2_000),
});

/** Settings of an agent. */
export const agentSettingsSchema = z.strictObject({
    ...common,
    service: name,
    version: name,
    /** Address of the target that this agent guards. */
    targetAddress: address,
    /** Attempts that may wait for the target. */
    maximumQueued: z.int().min(0).default(64),
});

/** Settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
    name,
    zone: name,
    /** Where callers are served. */
    callerAddress: address,
    /** Where the load balancer asks whether this gateway takes new connections. */
    readinessAddress: address,
    /** Where other gateways send pieces of stages. */
    peerAddress: address,
    /** Where counters and histograms are served as text at `/metrics`. */
    metricsAddress: address.optional(),
    store: storeSettings,
    logging: logging.prefault({}),
    /** Time in seconds from the signal to stop until the process is killed. */
    stopGraceSeconds: z.number().min(1).max(600).default(8),
    /** Limits on repeats, for all gateways together. */
    retries: z
        .strictObject({
            /** Repeats for each request to a service. */
            fractionOfRequests: z.number().min(0).max(1).default(0.2),
            /** Repeats beyond that in one window. */
            allowance: z.number().min(0).default(50),
        })
        .prefault({}),
});

/** Settings of a gateway. */
export type GatewaySettings = Readonly<z.infer<typeof gatewaySettingsSchema>>;

/** Settings of an entry. */
export type EntrySettings = Readonly<z.infer<typeof entrySettingsSchema>>;

/** Settings of an agent. */
export type AgentSettings = Readonly<z.infer<typeof agentSettingsSchema>>;
