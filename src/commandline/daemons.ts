/** The commands that run processes: `entry`, `agent` and `check-settings`. */
import type { z } from "zod";
import { type RunningProcess, startAgent, startEntry } from "../daemon/index.js";
import {
    agentSettingsSchema,
    entrySettingsSchema,
    formatSettingsErrors,
    gatewaySettingsSchema,
    loadSettings,
    type SettingsOutcome,
} from "../settings/index.js";
import { type Console, ExitCode } from "./console.js";

/** Processes that a command can run. */
export type Role = "entry" | "agent";

/** Runs a process until SIGTERM or SIGINT, then stops it gracefully. */
export async function daemonCommand(
    console: Console,
    role: Role,
    file: string,
    stopRequested: () => Promise<void> = stopSignal,
): Promise<ExitCode> {
    const started = role === "entry" ? await runEntry(console, file) : await runAgent(console, file);
    if (typeof started === "number") return started;
    await stopRequested();
    await started.stop();
    return ExitCode.done;
}

/** Processes whose settings can be checked. */
export type SettingsRole = Role | "gateway";

const SETTINGS_SCHEMAS = {
    entry: entrySettingsSchema,
    agent: agentSettingsSchema,
    gateway: gatewaySettingsSchema,
} as const;

/** Checks a settings file without starting anything. */
export async function checkSettingsCommand(console: Console, role: SettingsRole, file: string): Promise<ExitCode> {
    const schema: z.ZodType = SETTINGS_SCHEMAS[role];
    const outcome = await loadSettings(schema, file);
    if (outcome.kind === "invalid") return reportInvalid(console, file, outcome);
    console.out(`${file}: valid settings of ${role === "gateway" ? "a" : "an"} ${role}`);
    return ExitCode.done;
}

async function runEntry(console: Console, file: string): Promise<RunningProcess | ExitCode> {
    const outcome = await loadSettings(entrySettingsSchema, file);
    if (outcome.kind === "invalid") return reportInvalid(console, file, outcome);
    return start(console, () => startEntry(outcome.settings));
}

async function runAgent(console: Console, file: string): Promise<RunningProcess | ExitCode> {
    const outcome = await loadSettings(agentSettingsSchema, file);
    if (outcome.kind === "invalid") return reportInvalid(console, file, outcome);
    return start(console, () => startAgent(outcome.settings));
}

async function start(console: Console, run: () => Promise<RunningProcess>): Promise<RunningProcess | ExitCode> {
    try {
        return await run();
    } catch (error) {
        console.error(`error: cannot start: ${error instanceof Error ? error.message : String(error)}`);
        console.error("next: check that the addresses and files in the settings can be used");
        return ExitCode.failed;
    }
}

function reportInvalid(
    console: Console,
    file: string,
    { errors }: Extract<SettingsOutcome<unknown>, { kind: "invalid" }>,
): ExitCode {
    for (const line of formatSettingsErrors(file, errors)) console.error(`error: ${line}`);
    console.error("next: correct the settings; docs/settings.md lists the keys");
    return ExitCode.usage;
}

function stopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", () => {
            resolve();
        });
        process.once("SIGINT", () => {
            resolve();
        });
    });
}
