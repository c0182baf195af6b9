/**
 * Schemas of the daemons' YAML settings files. Unknown keys are errors, so that a misspelt key is reported at start.
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
    /** UDP address of a StatsD collector. Without it, metrics are not sent. */
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
    /** Key shared by all processes of the system, which authenticates peers. */
    systemKey: secret,
    /** Address on which links from other processes are accepted. */
    linkAddress: address,
    store: storeSettings,
    logging: logging.prefault({}),
    metrics: metrics.prefault({}),
    tls: tls.optional(),
};

/** Settings of an entry. */
export const entrySettingsSchema = z.strictObject({
    ...common,
    /** Address on which callers and operators are served. */
    callerAddress: address,
    /** Key for the operators' interface. */
    operatorKey: secret,
    /** Link addresses of other entries, for starting while the store is unavailable. */
    peers: z.array(address).default([]),
    /** This entry's part of each plan's share. */
    seat: z.strictObject({ index: z.int().min(0), count: z.int().min(1) }).refine(seat => seat.index < seat.count, {
        message: "index must be below count",
    }),
    /** Deadline of requests that specify none, and the longest that a request may specify. */
    defaultDeadlineMilliseconds: z.int().min(1).max(10_000).default(4_000),
    maximumDeadlineMilliseconds: z.int().min(1).max(10_000).default(10_000),
    /** Maximum number of concurrent requests. */
    maximumRequests: z.int().min(1).default(2_000),
});

/** Settings of an agent. */
export const agentSettingsSchema = z.strictObject({
    ...common,
    service: name,
    version: name,
    /** Address of the target that this agent calls. */
    targetAddress: address,
    /** Maximum number of attempts that wait for the target. */
    maximumQueued: z.int().min(0).default(64),
});

/** Settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
    name,
    zone: name,
    /** Where callers are served. */
    callerAddress: address,
    /** Address of the readiness check, by which the load balancer learns whether this gateway takes new connections. */
    readinessAddress: address,
    /** Address on which other gateways send pieces of stages. */
    peerAddress: address,
    /** Address on which counters and histograms are served as text at `/metrics`. */
    metricsAddress: address.optional(),
    store: storeSettings,
    logging: logging.prefault({}),
    /** Time from the stop signal until the process is killed. */
    stopGraceSeconds: z.number().min(1).max(600).default(8),
    /** What this gateway may use of its machine, by which gateways divide work between them. */
    machine: z
        .strictObject({
            /** Fraction of a core that the process may use. */
            processorShare: z.number().positive().default(1),
            /** Speed of the processor relative to one core. */
            processorCores: z.number().positive().default(1),
            linkMegabits: z.number().positive().default(1_000),
            /** Memory that the process may use, in megabytes (10^6 bytes). */
            memoryMegabytes: z.number().min(64).default(512),
            /** Number of descriptors that the process may have open. */
            descriptors: z.int().min(256).default(4_096),
        })
        .prefault({}),
    /** Retry budget of all gateways together. */
    retries: z
        .strictObject({
            /** Retries allowed per request to a service. */
            fractionOfRequests: z.number().min(0).max(1).default(0.2),
            /** Further retries allowed in one window. */
            allowance: z.number().min(0).default(50),
            /** Length of the window in seconds. */
            windowSeconds: z.number().positive().default(10),
        })
        .prefault({}),
    /** Second copies of slow calls that may be repeated. Without this section, none are sent. */
    hedging: z
        .strictObject({
            /** Copies allowed per request to a service. */
            fractionOfRequests: z.number().min(0).max(1).default(0),
            /** Time of targets that copies may use, relative to that of other attempts; by default the same value. */
            fractionOfTargetTime: z.number().min(0).max(1).optional(),
        })
        .optional(),
    /**
     * Bound on what a new version gets from all gateways together until its roll-out is decided. Without this section, the
     * gateway does not follow roll-outs.
     */
    rollouts: z
        .strictObject({
            /** Fraction of the requests to the service. */
            share: z.number().min(0).max(1).default(0.1),
            /** Requests beyond that. */
            allowance: z.number().min(0).default(50),
        })
        .optional(),
    /** Calls to the platform that are the duty of one gateway at a time. Without an address, no gateway has duties. */
    duties: z
        .strictObject({
            address: address.optional(),
            /** Calls that are accepted from all gateways together. */
            callsPerSecond: z.number().positive().default(50),
            /** Time within which a duty may not return to an earlier holder. */
            leaseMilliseconds: z.number().min(500).max(60_000).default(3_000),
            /** Time after a freeze in which calls do not count against a holder. */
            resumeMilliseconds: z.number().min(0).default(300),
            /** Length of a usage window. Without it, usage is not reported. */
            usageWindowSeconds: z.number().min(1).max(3_600).optional(),
            /** Fraction by which a count may be off. */
            usageTolerance: z.number().min(0).max(1).default(0.05),
            /** Time after the end of a window by which its report is due. */
            usageDueSeconds: z.number().min(3).max(3_600).default(10),
        })
        .optional(),
});

/** Settings of a gateway. */
export type GatewaySettings = Readonly<z.infer<typeof gatewaySettingsSchema>>;

/** Settings of an entry. */
export type EntrySettings = Readonly<z.infer<typeof entrySettingsSchema>>;

/** Settings of an agent. */
export type AgentSettings = Readonly<z.infer<typeof agentSettingsSchema>>;
