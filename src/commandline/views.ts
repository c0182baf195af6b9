/** The commands `show` and `status`. */
import type { StatusBody } from "../operators/index.js";
import { type CommandContext, reportFailure } from "./command.js";
import { ExitCode, formatTable } from "./console.js";

/** Prints the lists in the format that `apply` accepts. */
export async function showCommand(context: CommandContext): Promise<ExitCode> {
    const outcome = await context.client.configuration();
    if (outcome.kind !== "answered") return reportFailure(context, outcome);
    const { lists, zones, traffic } = outcome.body;
    if (context.json) {
        context.console.out(JSON.stringify(outcome.body));
        return ExitCode.done;
    }
    context.console.out(lists.trimEnd());
    for (const { name, state } of zones) context.console.out(`# zone ${name}: ${state}`);
    for (const { service, stable, candidate } of traffic) {
        const trial = candidate === undefined ? "" : `, ${candidate.version} with a fraction of ${candidate.fraction}`;
        context.console.out(`# traffic of ${service}: ${stable}${trial}`);
    }
    return ExitCode.done;
}

/** Prints the status. Returns `failed` if a known process does not have the current version yet. */
export async function statusCommand(context: CommandContext): Promise<ExitCode> {
    const outcome = await context.client.status();
    if (outcome.kind !== "answered") return reportFailure(context, outcome);
    const lines = context.json ? [JSON.stringify(outcome.body)] : describeStatus(outcome.body);
    for (const line of lines) context.console.out(line);
    return outcome.body.configuration.inForceEverywhere ? ExitCode.done : ExitCode.failed;
}

function describeStatus({ entry, configuration, store, processes, slots, zones }: StatusBody): readonly string[] {
    const { version, inForceEverywhere, waitingFor } = configuration;
    return [
        `entry ${entry}: configuration version ${version}, store ${store.available ? "available" : "not available"}`,
        inForceEverywhere ? "in force everywhere" : `not in force yet at: ${waitingFor.join(", ")}`,
        "",
        ...formatTable([
            ["process", "role", "zone", "vm", "vm state", "version"],
            ...processes.map(({ name, role, zone, vm, vmState, version: reached }) => {
                return [name, role, zone, vm, vmState, reached === undefined ? "-" : String(reached)];
            }),
        ]),
        "",
        ...zones.map(({ name, state, targets }) => `zone ${name}: ${state}, ${targets} targets`),
        ...slots.map(({ service, owned, slots: total }) => `slots of ${service}: ${owned} of ${total} owned`),
    ];
}
