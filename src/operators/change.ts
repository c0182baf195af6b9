/** Configuration changes by operators: lists, zone states and traffic splits. Each is one change of the log. */
import { z } from "zod";
import {
    type AcceptOutcome,
    type ChangeSummary,
    type Configuration,
    type ConfigurationChange,
    type ConfigurationDifference,
    type ConfigurationHolder,
    type ConfigurationLog,
    type ConfigurationRecord,
    parseLists,
    summarizeChange,
} from "../configuration/index.js";
import type { Directory } from "../membership/index.js";
import { MOVE_AUTHOR_PREFIX } from "../moves/index.js";
import type { ChangeResult, DifferenceSummary, OperatorError } from "./message.js";
import { knownZones } from "./status.js";

/** Dependencies of a change. */
export interface ChangeContext {
    readonly holder: ConfigurationHolder;
    readonly log: ConfigurationLog;
    readonly directory: Directory;
    /** Whether the store has confirmed the first configuration of this entry. */
    readonly ready: () => boolean;
}

export type ChangeOutcome =
    | { readonly kind: "changed"; readonly result: ChangeResult }
    | { readonly kind: "error"; readonly error: OperatorError };

export const nameSchema = z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "must be 1 to 63 letters, digits, '.', '_' or '-'");

/** Author of a change. The prefix is reserved: changes made by moves are recognized by their author. */
export const authorSchema = z
    .string()
    .max(100)
    .refine(text => !text.startsWith(MOVE_AUTHOR_PREFIX), `must not begin with "${MOVE_AUTHOR_PREFIX}"`)
    .default("operator");

/** Body of `POST lists`. `version` is the one that the operator read; a version within the lists overrides it. */
export const listsRequestSchema = z.strictObject({
    lists: z.string(),
    version: z.int().min(0),
    dryRun: z.boolean().default(false),
    author: authorSchema,
});

/** Body of `POST zones/<name>`. */
export const zoneRequestSchema = z.strictObject({ state: z.enum(["out", "back"]), author: authorSchema });

/** Body of `POST services/<name>/traffic`. */
export const trafficRequestSchema = z.strictObject({
    stable: nameSchema,
    candidate: z.strictObject({ version: nameSchema, fraction: z.number().min(0).max(1) }).exactOptional(),
    author: authorSchema,
});

/**
 * Attempts to set one record when concurrent changes are accepted first. The record is replaced as a whole, so it can
 * be applied on top of changes to other records.
 */
const MAXIMUM_ATTEMPTS = 8;

/** Applies lists, or only validates them with `dryRun`. */
export async function applyLists(
    context: ChangeContext,
    request: z.infer<typeof listsRequestSchema>,
): Promise<ChangeOutcome> {
    if (!context.ready()) return startingError();
    const base = context.holder.current;
    const parsed = parseLists(request.lists, base);
    if (parsed.kind === "invalid") {
        return errorOutcome({
            kind: "invalidLists",
            message: `the lists have ${parsed.errors.length} fault(s); nothing was changed`,
            next: "correct the lines that are named and apply the file again",
            faults: parsed.errors,
        });
    }
    const version = parsed.version ?? request.version;
    if (version > base.version) return behindError(version, base.version);
    if (version < base.version) return conflictError(changesSince(context.holder, version), parsed.difference);
    if (request.dryRun) return changedOutcome("dryRun", base.version, parsed.difference);
    const outcome = await context.log.accept({ base, author: request.author, difference: parsed.difference });
    return toChangeOutcome(outcome, parsed.difference);
}

/** Takes a zone out of service or brings it back. */
export async function changeZone(
    context: ChangeContext,
    zone: string,
    request: z.infer<typeof zoneRequestSchema>,
): Promise<ChangeOutcome> {
    const zones = knownZones(context.directory.current, context.holder.current);
    if (!zones.includes(zone)) {
        return notFoundError(
            `zone "${zone}" is not known`,
            `name one of: ${zones.join(", ") || "(no zones are known yet)"}`,
        );
    }
    const state = request.state === "out" ? "out" : "in";
    return setRecord(context, request.author, { kind: "zone", name: zone, value: { name: zone, state } });
}

/** Sets the traffic split of a service. */
export async function changeTraffic(
    context: ChangeContext,
    service: string,
    request: z.infer<typeof trafficRequestSchema>,
): Promise<ChangeOutcome> {
    const { stable, candidate } = request;
    const current = context.holder.current;
    if (current.find("service", service) === undefined) {
        const names = current.valuesOf("service").map(known => known.name);
        return notFoundError(
            `service "${service}" is not known`,
            `name one of: ${names.join(", ") || "(no services yet)"}`,
        );
    }
    if (candidate?.version === stable) {
        const message = `version "${stable}" is named as both stable and candidate`;
        return errorOutcome({ kind: "badRequest", message, next: "name two versions, or leave out the candidate" });
    }
    const value = candidate === undefined ? { service, stable } : { service, stable, candidate };
    const outcome = await setRecord(context, request.author, { kind: "traffic", name: service, value });
    return outcome.kind === "error"
        ? outcome
        : withVersionWarnings(context, service, [stable, candidate?.version], outcome);
}

async function setRecord(context: ChangeContext, author: string, record: ConfigurationRecord): Promise<ChangeOutcome> {
    if (!context.ready()) return startingError();
    const difference = { set: [record], removed: [] };
    let outcome: AcceptOutcome | undefined;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
        const base = context.holder.current;
        if (hasRecord(base, record)) return changedOutcome("unchanged", base.version, { set: [], removed: [] });
        outcome = await context.log.accept({ base, author, difference });
        if (outcome.kind !== "conflict" || changesRecord(outcome.winner, record)) break;
    }
    return outcome === undefined ? startingError() : toChangeOutcome(outcome, difference);
}

function hasRecord(base: Configuration, record: ConfigurationRecord): boolean {
    return JSON.stringify(base.find(record.kind, record.name)) === JSON.stringify(record.value);
}

function changesRecord(change: ConfigurationChange, { kind, name: changedName }: ConfigurationRecord): boolean {
    return [...change.set, ...change.removed].some(other => other.kind === kind && other.name === changedName);
}

function toChangeOutcome(outcome: AcceptOutcome, difference: ConfigurationDifference): ChangeOutcome {
    switch (outcome.kind) {
        case "accepted":
            return changedOutcome("accepted", outcome.change.version, difference, outcome.warning);
        case "unchanged":
            return changedOutcome("unchanged", outcome.version, difference);
        case "conflict":
            return conflictError([summarizeChange(outcome.winner)], difference);
        case "unavailable":
            return errorOutcome({
                kind: "storeUnavailable",
                message: `the store did not take the change (${outcome.message}); nothing was changed`,
                next: "serving continues as configured; try again when status shows the store as available",
            });
        case "tooLarge":
            return errorOutcome({
                kind: "tooLarge",
                message: `the change has ${outcome.bytes} bytes, above ${outcome.maximumBytes}; nothing was changed`,
                next: "apply the sections of the file one by one",
            });
        case "unknown":
            return errorOutcome({
                kind: "unknown",
                message: `the store's answer was lost (${outcome.message}); change ${outcome.version} may be accepted`,
                next: "read the configuration; if its version has not risen, apply again",
            });
    }
}

function withVersionWarnings(
    context: ChangeContext,
    service: string,
    versions: readonly (string | undefined)[],
    outcome: Extract<ChangeOutcome, { kind: "changed" }>,
): ChangeOutcome {
    const { targets } = context.directory.current;
    const warnings = versions
        .filter(version => version !== undefined)
        .filter(version => !targets.some(target => target.service === service && target.version === version))
        .map(version => `no target of service "${service}" has version "${version}" now`);
    const { result } = outcome;
    return { kind: "changed", result: { ...result, warnings: [...result.warnings, ...warnings] } };
}

function changesSince(holder: ConfigurationHolder, version: number): readonly ChangeSummary[] {
    const texts = holder.transferSince(version)?.changes ?? [];
    return texts.map(text => summarizeChange(JSON.parse(text) as ConfigurationChange));
}

function summarize(difference: ConfigurationDifference): DifferenceSummary {
    const { set, removed } = summarizeChange({ version: 0, author: "", ...difference });
    return { set, removed };
}

function changedOutcome(
    kind: ChangeResult["kind"],
    version: number,
    difference: ConfigurationDifference,
    warning?: string,
): ChangeOutcome {
    const warnings = warning === undefined ? [] : [warning];
    return { kind: "changed", result: { kind, version, difference: summarize(difference), warnings } };
}

function errorOutcome(error: OperatorError): ChangeOutcome {
    return { kind: "error", error };
}

function conflictError(changes: readonly ChangeSummary[], difference: ConfigurationDifference): ChangeOutcome {
    return errorOutcome({
        kind: "conflict",
        message: "the configuration was changed since the version that you read; nothing of yours is in force",
        next: "read the configuration again (parsleyrun show), merge your difference into it and apply it again",
        changes,
        own: summarize(difference),
    });
}

function behindError(requestedVersion: number, currentVersion: number): ChangeOutcome {
    return errorOutcome({
        kind: "behind",
        message: `this entry has version ${currentVersion}, not yet ${requestedVersion}; nothing was changed`,
        next: "try again, or ask another entry",
    });
}

function startingError(): ChangeOutcome {
    return errorOutcome({
        kind: "starting",
        message: "this entry has not confirmed its first configuration yet; nothing was changed",
        next: "try again shortly, or ask another entry",
    });
}

function notFoundError(message: string, next: string): ChangeOutcome {
    return errorOutcome({ kind: "notFound", message, next });
}
