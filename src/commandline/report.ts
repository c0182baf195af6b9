/** The command `report`: merged counters and durations of several entries as text, JSON or an HTML page. */
import { writeFile } from "node:fs/promises";
import { type DurationSummary, HistogramSet } from "../observability/index.js";
import type { ReportBody } from "../operators/index.js";
import { type CommandContext, reportFailure } from "./command.js";
import { ExitCode, formatTable } from "./console.js";
import { renderPage } from "./reportpage.js";

/** Limit on the label sets of all entries together. Label sets beyond it share a histogram, as within one entry. */
const MAXIMUM_LABEL_SETS = 20_000;

/** Counters and histograms of several entries. */
export interface MergedReport {
    readonly entries: readonly string[];
    readonly counters: Readonly<Record<string, number>>;
    readonly histograms: HistogramSet;
    /** Names of entries whose histograms are malformed and are not in `histograms`. */
    readonly malformed: readonly string[];
}

/** Prints the merged counters and histograms of the given entries, or writes them to a file as an HTML page. */
export async function reportCommand(context: CommandContext, htmlFile?: string): Promise<ExitCode> {
    const bodies: ReportBody[] = [];
    let exitCode: ExitCode = ExitCode.done;
    for (const outcome of await context.client.reports()) {
        if (outcome.kind === "answered") bodies.push(outcome.body);
        else exitCode = reportFailure(context, outcome);
    }
    if (bodies.length === 0) return exitCode;
    const report = mergeReports(bodies);
    for (const entry of report.malformed) {
        context.console.error(`error: the histograms of entry ${entry} are malformed and are left out`);
        context.console.error("next: check that the entry and this command are of the same version");
        exitCode = ExitCode.failed;
    }
    const written = htmlFile === undefined ? ExitCode.done : await writePage(context, htmlFile, report);
    if (context.json || htmlFile === undefined) print(context, report);
    return written === ExitCode.done ? exitCode : written;
}

/** Adds up the counters of reports and merges their histograms by labels. */
export function mergeReports(bodies: readonly ReportBody[]): MergedReport {
    const counters: Record<string, number> = {};
    const histograms = HistogramSet.create({ maximumLabelSets: MAXIMUM_LABEL_SETS });
    const malformed: string[] = [];
    for (const body of bodies) {
        if (!histograms.merge(body.histograms)) malformed.push(body.entry);
        for (const [name, value] of Object.entries(body.counters)) counters[name] = (counters[name] ?? 0) + value;
    }
    return { entries: bodies.map(({ entry }) => entry), counters, histograms, malformed };
}

async function writePage({ console, json }: CommandContext, file: string, report: MergedReport): Promise<ExitCode> {
    try {
        await writeFile(file, renderPage(report, new Date()));
    } catch (error) {
        console.error(`error: ${error instanceof Error ? error.message : String(error)}`);
        console.error("next: name a file that can be written");
        return ExitCode.failed;
    }
    if (!json) console.out(`${file}: report of ${report.entries.join(", ")}`);
    return ExitCode.done;
}

function print({ console, json }: CommandContext, { entries, counters, histograms }: MergedReport): void {
    const durations = histograms.summary();
    if (json) console.out(JSON.stringify({ entries, counters, durations }));
    else for (const line of describeReport(entries, counters, durations)) console.out(line);
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
