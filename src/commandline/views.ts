/** The commands that only read: `show`, `status` and `report`. */
import { type DurationSummary, HistogramSet } from "../observability/index.js";
import type { ReportBody, StatusBody } from "../operators/index.js";
import { type CommandContext, reportFailure } from "./command.js";
import { ExitCode, formatTable } from "./console.js";

/** Prints the lists in a form that `apply` takes. */
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

/** Prints the status. Ends with `failed` when a known process does not have the version in force yet. */
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

/** Prints counters and histograms, merged over the entries that were named. */
export async function reportCommand(context: CommandContext): Promise<ExitCode> {
    const outcomes = await context.client.reports();
    const bodies: ReportBody[] = [];
    let exitCode: ExitCode = ExitCode.done;
    for (const outcome of outcomes) {
        if (outcome.kind === "answered") bodies.push(outcome.body);
        else exitCode = reportFailure(context, outcome);
    }
    if (bodies.length === 0) return exitCode;
    const { counters, durations } = mergeReports(bodies);
    const entries = bodies.map(({ entry }) => entry);
    if (context.json) context.console.out(JSON.stringify({ entries, counters, durations }));
    else for (const line of describeReport(entries, counters, durations)) context.console.out(line);
    return exitCode;
}

function mergeReports(bodies: readonly ReportBody[]): {
    readonly counters: Readonly<Record<string, number>>;
    readonly durations: readonly DurationSummary[];
} {
    const counters: Record<string, number> = {};
    const histograms = HistogramSet.create();
    for (const body of bodies) {
        histograms.merge(body.histograms);
        for (const [name, value] of Object.entries(body.counters)) counters[name] = (counters[name] ?? 0) + value;
    }
    return { counters, durations: histograms.summary() };
}

function describeReport(
    entries: readonly string[],
    counters: Readonly<Record<string, number>>,
    durations: readonly DurationSummary[],
): readonly string[] {
    const rows = durations.map(({ labels, count, p50, p95, p99, max }) => {
        const { account, plan, kind, pipeline, stage, measure } = labels;
        const figures = [p50, p95, p99, max].map(value => value.toFixed(1));
        return [account, plan, kind, pipeline, stage ?? "-", measure, String(count), ...figures];
    });
    const head = ["account", "plan", "kind", "pipeline", "stage", "measure", "count", "p50", "p95", "p99", "max (ms)"];
    const counts = Object.entries(counters).sort(([left], [right]) => (left < right ? -1 : 1));
    return [
        `entries: ${entries.join(", ")}`,
        "",
        ...formatTable([head, ...rows]),
        "",
        ...formatTable(counts.map(([name, value]) => [name, String(value)])),
    ];
}
