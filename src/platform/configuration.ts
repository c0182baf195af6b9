/** Decodes the platform's configuration and target registrations into the gateway's types. */
import { z } from "zod";
import type { ConfigurationContent, Route, Service } from "../gateway/configuration.js";
import type { DecodedObject } from "../gateway/feed.js";
import type { Rollout, RolloutState } from "../gateway/rollouts.js";
import type { TargetRegistration } from "../gateway/target.js";
import { parseSocketAddress } from "../model/address.js";
import { parseJson } from "../model/json.js";
import type { StoredObject } from "../store/index.js";
import { KIND } from "./names.js";

const BYTES_PER_MEGABYTE = 1_000_000;

/** Longest message on an invalid object, in characters. */
const MAXIMUM_MESSAGE_LENGTH = 300;

/** Connection limits that a configuration does not set. */
const DEFAULT_LIMITS = {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 5_000,
    IdleTimeoutMs: 10_000,
};

const nonNegative = z.number().min(0);
const count = z.int().min(0);

const routeSchema = z.object({
    Name: z.string(),
    Host: z.string(),
    PathPrefix: z.string(),
    /** `safe`, `unsafe` or `streaming`; decides which requests may be retried. */
    Kind: z.string(),
    TimeoutMs: nonNegative,
    /** Latency objective; for streams, of the first event. */
    TargetLatencyMs: nonNegative.optional(),
    Priority: count.optional(),
    Service: z.string().optional(),
    TrafficSplit: z.array(z.object({ Service: z.string(), Weight: nonNegative })).optional(),
    MaxAttempts: count.optional(),
    /** Stages before the request itself. */
    Phases: z
        .array(z.object({ Service: z.string(), After: z.array(count).optional(), SizeBytes: nonNegative.optional() }))
        .optional(),
    /** Whether requests need no API key. */
    Public: z.boolean().optional(),
    Resumable: z.boolean().optional(),
    /** Maximum time between two events, not the latency of a single token. */
    ItlTargetMs: nonNegative.optional(),
});

const serviceSchema = z.object({
    Name: z.string(),
    HealthPath: z.string().optional(),
    ColdStartS: nonNegative.optional(),
    ColdPerS: nonNegative.optional(),
    /** Capacity of a stage target. Elsewhere the name stands for the pieces of a call. */
    Segments: z
        .object({
            Slots: count,
            Batch: count,
            CallMs: nonNegative,
            ItemMs: nonNegative,
            HeadroomMb: nonNegative,
            HandleTtlS: nonNegative,
        })
        .optional(),
    /** Capacity of a model engine. */
    Backend: z.object({ Slots: count, KvCapacity: nonNegative }).optional(),
    /** Limits of the number of targets in each zone. A form that cannot be read must not cost the configuration. */
    Autoscale: z
        .object({ Min: count, Max: z.int().min(1), BootS: nonNegative.optional() })
        .refine(({ Min, Max }) => Min <= Max)
        .optional()
        .catch(undefined),
});

const configurationSchema = z.object({
    Version: z.int(),
    Routes: z.array(routeSchema),
    Services: z.array(serviceSchema),
    Tenants: z
        .array(z.object({ Name: z.string(), ApiKeys: z.array(z.string()).optional(), Priority: count.optional() }))
        .optional(),
    Limits: z
        .object({
            MaxHeaderBytes: count.optional(),
            MaxBodyBytes: count.optional(),
            HeaderTimeoutMs: nonNegative.optional(),
            IdleTimeoutMs: nonNegative.optional(),
        })
        .optional(),
});

/** Longest name in a registration, in characters; names are part of headers and log lines. */
const MAXIMUM_NAME_LENGTH = 256;

/** Longest duration of what another writer registers, in milliseconds: a day. */
const MAXIMUM_DURATION_MS = 86_400_000;

const name = z.string().max(MAXIMUM_NAME_LENGTH);

/** The id of a target is sent as a header. */
const targetIdSchema = name.regex(/^[\x21-\x2e\x30-\x7e]+$/, "is not a name that can be sent as a header");

const targetSchema = z.object({
    Service: name.min(1),
    Address: z.string().refine(text => parseSocketAddress(text) !== undefined, "is no IPv4 address and port"),
    Zone: name,
    Version: name,
    Slots: count,
    State: z.enum(["available", "draining"]),
    ColdRemainingMs: nonNegative.max(MAXIMUM_DURATION_MS).optional(),
    /** Wall-clock start time of the target in milliseconds. */
    born: z.int().min(0).optional(),
});

const rolloutSchema = z.object({
    Service: name.min(1),
    Target: name.min(1),
    DurationS: nonNegative.max(MAXIMUM_DURATION_MS / 1_000),
});

const ROLLOUT_STATES = { inProgress: "in_progress", completed: "completed", reverted: "reverted" } as const;

const rolloutStatusSchema = z.object({ State: z.enum(ROLLOUT_STATES), Target: z.string() });

/** Decodes a configuration. */
export function decodeConfiguration(text: string): DecodedObject<ConfigurationContent> {
    const parsed = configurationSchema.safeParse(parseJson(text));
    if (!parsed.success) return invalid(parsed.error);
    const { Version, Routes, Services, Tenants, Limits } = parsed.data;
    const limits = { ...DEFAULT_LIMITS, ...Limits };
    return {
        kind: "decoded",
        value: {
            version: Version,
            routes: Routes.map(decodeRoute),
            services: Services.map(decodeService),
            accounts: Tenants?.map(({ Name, ApiKeys, Priority }) => ({
                name: Name,
                keys: ApiKeys ?? [],
                priority: Priority,
            })),
            limits: {
                headerBytes: limits.MaxHeaderBytes ?? DEFAULT_LIMITS.MaxHeaderBytes,
                bodyBytes: limits.MaxBodyBytes ?? DEFAULT_LIMITS.MaxBodyBytes,
                headerTimeoutMs: limits.HeaderTimeoutMs ?? DEFAULT_LIMITS.HeaderTimeoutMs,
                idleTimeoutMs: limits.IdleTimeoutMs ?? DEFAULT_LIMITS.IdleTimeoutMs,
            },
        },
    };
}

/** Decodes a target's registration; `id` is the name of the stored object. */
export function decodeTarget(id: string, text: string): DecodedObject<TargetRegistration> {
    const named = targetIdSchema.safeParse(id);
    if (!named.success) return invalid(named.error);
    const parsed = targetSchema.safeParse(parseJson(text));
    if (!parsed.success) return invalid(parsed.error);
    const { Service, Address, Zone, Version, Slots, State, ColdRemainingMs, born } = parsed.data;
    return {
        kind: "decoded",
        value: {
            id,
            incarnation: born ?? 0,
            service: Service,
            address: Address,
            zone: Zone,
            version: Version,
            slots: Slots,
            state: State,
            coldRemainingMs: ColdRemainingMs ?? 0,
        },
    };
}

/** Decodes a roll-out. The status of an earlier target version says nothing about this one. */
export function decodeRollout({ key, value, status, version }: StoredObject): DecodedObject<Rollout> {
    const parsed = rolloutSchema.safeParse(parseJson(value));
    if (!parsed.success) return invalid(parsed.error);
    const { Service, Target, DurationS } = parsed.data;
    // The state is written to the object that the service names.
    if (key !== `${KIND.rollouts}/${Service}`) return { kind: "invalid", message: "is named after another service" };
    const reported = status === undefined ? undefined : rolloutStatusSchema.safeParse(parseJson(status)).data;
    const states = Object.entries(ROLLOUT_STATES) as readonly [RolloutState, string][];
    const state = states.find(([, name]) => reported?.Target === Target && reported.State === name)?.[0];
    const durationMs = DurationS * 1_000;
    return { kind: "decoded", value: { service: Service, version: Target, durationMs, state, revision: version } };
}

/** An object that does not match its schema. The message is bounded, since another writer decides on its length. */
function invalid(error: z.ZodError): { readonly kind: "invalid"; readonly message: string } {
    return { kind: "invalid", message: z.prettifyError(error).slice(0, MAXIMUM_MESSAGE_LENGTH) };
}

/** Encodes the status of a roll-out. */
export function encodeRolloutStatus({ version }: Pick<Rollout, "version">, state: RolloutState): unknown {
    return { State: ROLLOUT_STATES[state], Target: version };
}

function decodeRoute(route: z.infer<typeof routeSchema>): Route {
    const streaming = route.Kind === "streaming";
    const resumable = streaming && route.Resumable === true;
    const singleService = route.Service === undefined ? [] : [{ service: route.Service, weight: 1 }];
    return {
        name: route.Name,
        host: route.Host.toLowerCase(),
        pathPrefix: route.PathPrefix,
        streaming,
        idempotent: route.Kind === "safe" || resumable,
        resumable,
        timeoutMs: route.TimeoutMs,
        latencyObjectiveMs: route.TargetLatencyMs ?? route.TimeoutMs,
        priority: route.Priority ?? 0,
        services:
            route.TrafficSplit?.map(({ Service, Weight }) => ({ service: Service, weight: Weight })) ?? singleService,
        maximumAttempts: Math.max(1, route.MaxAttempts ?? 1),
        stages: (route.Phases ?? []).map(({ Service, After, SizeBytes }) => ({
            service: Service,
            after: After ?? [],
            resultBytes: SizeBytes ?? 0,
        })),
        isPublic: route.Public === true,
        eventGapLimitMs: route.ItlTargetMs,
    };
}

/** Time in seconds until a new target serves where the configuration does not say. */
const DEFAULT_BOOT_SECONDS = 30;

function decodeService(service: z.infer<typeof serviceSchema>): Service {
    const { Segments, Backend, Autoscale } = service;
    return {
        name: service.Name,
        healthPath: service.HealthPath ?? "/healthz",
        coldStartMs: (service.ColdStartS ?? 0) * 1_000,
        coldRequestsPerSecond: service.ColdPerS ?? 0,
        stage:
            Segments === undefined
                ? undefined
                : {
                      slots: Math.max(1, Segments.Slots),
                      batch: Math.max(1, Segments.Batch),
                      callMs: Segments.CallMs,
                      pieceMs: Segments.ItemMs,
                      memoryBytes: Segments.HeadroomMb * BYTES_PER_MEGABYTE,
                      resultLifetimeMs: Segments.HandleTtlS * 1_000,
                  },
        scaling:
            Autoscale === undefined
                ? undefined
                : {
                      minimum: Autoscale.Min,
                      maximum: Autoscale.Max,
                      bootMs: (Autoscale.BootS ?? DEFAULT_BOOT_SECONDS) * 1_000,
                  },
        engine: Backend === undefined ? undefined : { slots: Backend.Slots, tokens: Backend.KvCapacity },
    };
}
