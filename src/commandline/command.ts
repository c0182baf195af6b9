/** Shared by the operators' commands: context, error output and waiting for a configuration version. */
import { pause } from "../model/pause.js";
import type { OperatorError, StatusBody } from "../operators/index.js";
import type { CallOutcome, OperatorClient } from "./client.js";
import { type Console, ExitCode } from "./console.js";

export interface CommandContext {
    readonly client: OperatorClient;
    readonly console: Console;
    /** Whether output is JSON. */
    readonly json: boolean;
    readonly author: string;
    /** Whether to wait until a change is in force everywhere. */
    readonly wait: boolean;
    /** Longest wait for a change to be in force everywhere. */
    readonly timeoutMilliseconds: number;
}

const STATUS_POLL_INTERVAL_MS = 200;

/** Writes why a call failed and what to do next. */
export function reportFailure(
    { console, json }: CommandContext,
    outcome: Exclude<CallOutcome<unknown>, { kind: "answered" }>,
): ExitCode {
    if (json) console.error(JSON.stringify(outcome));
    switch (outcome.kind) {
        case "refused":
            if (!json) reportError(console, outcome.error);
            return ExitCode.failed;
        case "unreachable":
            if (!json) {
                console.error(`error: no entry can be reached: ${outcome.message}`);
                console.error("next: check the addresses given by --entry and that an entry runs there");
            }
            return ExitCode.unreachable;
        case "noAnswer":
            if (!json) {
                console.error(`error: the entry gave no answer: ${outcome.message}`);
                console.error("next: a change may have been made; look at it with parsleyrun show");
            }
            return ExitCode.failed;
    }
}

function reportError(console: Console, error: OperatorError): void {
    console.error(`error: ${error.message}`);
    for (const { line, path, message } of error.faults ?? []) {
        console.error(`  line ${line}: ${path === "" ? "" : `${path}: `}${message}`);
    }
    for (const { version, author, set, removed } of error.changes ?? []) {
        console.error(`  version ${version} by ${author}:${describeDifference({ set, removed })}`);
    }
    if (error.own !== undefined) console.error(`  yours:${describeDifference(error.own)}`);
    console.error(`next: ${error.next}`);
}

/** The records that a change sets and removes, on one line. */
export function describeDifference(difference: {
    readonly set: readonly string[];
    readonly removed: readonly string[];
}): string {
    const { set, removed } = difference;
    if (set.length === 0 && removed.length === 0) return " nothing";
    return `${set.map(name => ` set ${name}`).join(",")}${removed.map(name => ` removed ${name}`).join(",")}`;
}

/** Waits until every known process has a version. On a timeout, names those that do not. */
export async function waitUntilInForce(context: CommandContext, version: number): Promise<ExitCode> {
    const { client, console, timeoutMilliseconds } = context;
    const deadline = performance.now() + timeoutMilliseconds;
    for (;;) {
        const outcome = await client.status(version);
        if (outcome.kind === "answered" && outcome.body.configuration.inForceEverywhere) {
            if (!context.json) console.out(`version ${version} is in force everywhere`);
            return ExitCode.done;
        }
        if (performance.now() >= deadline) {
            if (outcome.kind !== "answered") return reportFailure(context, outcome);
            reportNotInForce(console, outcome.body, version);
            return ExitCode.failed;
        }
        await pause(STATUS_POLL_INTERVAL_MS);
    }
}

function reportNotInForce(console: Console, status: StatusBody, version: number): void {
    const names = status.configuration.waitingFor.join(", ") || status.entry;
    console.error(`error: version ${version} is accepted, but not in force yet at: ${names}`);
    console.error("next: look at these processes with parsleyrun status; the change remains accepted");
}
