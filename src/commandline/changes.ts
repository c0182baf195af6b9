/** The commands that change the configuration: `apply`, `zone` and `traffic`. */
import { readFile } from "node:fs/promises";
import type { ChangeResult } from "../operators/index.js";
import type { CallOutcome } from "./client.js";
import { type CommandContext, describeDifference, reportFailure, waitUntilInForce } from "./command.js";
import { ExitCode } from "./console.js";

/** Options of `apply`. */
export interface ApplyOptions {
    readonly file: string;
    readonly dryRun: boolean;
    /** Version that the file was edited from; by default the current one. */
    readonly base: number | undefined;
}

/** Applies a file of lists. */
export async function applyCommand(context: CommandContext, options: ApplyOptions): Promise<ExitCode> {
    let lists: string;
    try {
        lists = await readFile(options.file, "utf8");
    } catch (error) {
        context.console.error(`error: ${error instanceof Error ? error.message : String(error)}`);
        context.console.error("next: name a file with lists");
        return ExitCode.usage;
    }
    const version = options.base ?? (await readVersion(context));
    if (typeof version !== "number") return reportFailure(context, version);
    const { dryRun } = options;
    return reportChange(context, await context.client.applyLists({ lists, version, dryRun, author: context.author }));
}

/** Takes a zone out of service or brings it back. */
export async function zoneCommand(context: CommandContext, zone: string, state: "out" | "back"): Promise<ExitCode> {
    return reportChange(context, await context.client.changeZone(zone, { state, author: context.author }));
}

/** Options of `traffic`. */
export interface TrafficOptions {
    readonly service: string;
    readonly stable: string;
    readonly candidate: { readonly version: string; readonly fraction: number } | undefined;
}

/** Sets the traffic split of a service. */
export async function trafficCommand(context: CommandContext, options: TrafficOptions): Promise<ExitCode> {
    const { service, stable, candidate } = options;
    const split = candidate === undefined ? { stable } : { stable, candidate };
    return reportChange(context, await context.client.changeTraffic(service, { ...split, author: context.author }));
}

async function readVersion(
    context: CommandContext,
): Promise<number | Exclude<CallOutcome<unknown>, { kind: "answered" }>> {
    const outcome = await context.client.configuration();
    return outcome.kind === "answered" ? outcome.body.version : outcome;
}

async function reportChange(context: CommandContext, outcome: CallOutcome<ChangeResult>): Promise<ExitCode> {
    if (outcome.kind !== "answered") return reportFailure(context, outcome);
    const { body } = outcome;
    if (context.json) context.console.out(JSON.stringify(body));
    else for (const line of describeResult(body)) context.console.out(line);
    if (!context.wait || body.kind === "dryRun") return ExitCode.done;
    return waitUntilInForce(context, body.version);
}

function describeResult({ kind, version, difference, warnings }: ChangeResult): readonly string[] {
    const warningLines = warnings.map(warning => `warning: ${warning}`);
    switch (kind) {
        case "accepted":
            return [`version ${version} accepted:${describeDifference(difference)}`, ...warningLines];
        case "unchanged":
            return [`nothing to change; version ${version} stays`, ...warningLines];
        case "dryRun":
            return [`valid; would change version ${version}:${describeDifference(difference)}`, ...warningLines];
    }
}
