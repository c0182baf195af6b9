/** Renders a report as a self-contained HTML page: latencies, costs and outcomes, each as a chart and a table. */
import type { DurationLabels, DurationSummary } from "../observability/index.js";
import { barChart, escapeText, formatFigure, type Markup, table } from "./markup.js";
import type { MergedReport } from "./report.js";

const PERCENTILES = ["p50", "p95", "p99"];

const STYLE = `body { font: 14px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; padding: 0 1rem; }
table { border-collapse: collapse; margin: 0.5rem 0 2rem; }
th, td { border-bottom: 1px solid #ccc; padding: 0.15rem 0.7rem; text-align: left; }
.number { text-align: right; font-variant-numeric: tabular-nums; }
svg { display: block; max-width: 100%; height: auto; }
svg text { font: 11px system-ui, sans-serif; fill: #222; }
svg .value { font-size: 9px; fill: #555; }`;

/** A counter with tags, such as `request.outcomes{outcome=done,pipeline=p,reason=}`. */
interface TaggedCounter {
    readonly name: string;
    readonly tags: ReadonlyMap<string, string>;
    readonly count: number;
}

export function renderPage(report: MergedReport, writtenAt: Date): string {
    const sections = [
        latencySection(report, "Latency by account and kind", ["account", "kind"], isWholeRequest),
        latencySection(report, "Latency by pipeline", ["pipeline", "measure"], isRequestLatency),
        latencySection(report, "Latency by pipeline and stage", ["pipeline", "stage"], isStageLatency),
        costSection(report),
        outcomeSection(report, "Requests", "request.outcomes", "pipeline"),
        outcomeSection(report, "Attempts at stages", "attempt.outcomes", "service"),
        counterSection(report),
    ];
    const entries = `Entries: ${report.entries.join(", ")}. Written ${writtenAt.toISOString()}. Times in milliseconds.`;
    return [
        "<!doctype html>",
        '<html lang="en">',
        '<head><meta charset="utf-8"><title>parsleyrun report</title>',
        `<style>\n${STYLE}\n</style></head>`,
        "<body>",
        "<h1>parsleyrun report</h1>",
        `<p>${escapeText(entries)}</p>`,
        ...sections.map(({ markup }) => markup),
        "</body>",
        "</html>",
        "",
    ].join("\n");
}

function isWholeRequest({ measure, stage }: DurationLabels): boolean {
    return measure === "total" && stage === undefined;
}

function isRequestLatency({ measure, stage }: DurationLabels): boolean {
    return stage === undefined && measure !== "cost";
}

function isStageLatency({ measure, stage }: DurationLabels): boolean {
    return measure === "stage" && stage !== undefined;
}

/** Summaries of the durations that pass the filter, merged by the given labels and sorted by them. */
function summarise(
    { histograms }: MergedReport,
    by: readonly (keyof DurationLabels)[],
    includes: (labels: DurationLabels) => boolean,
): readonly DurationSummary[] {
    const keyOf = (labels: DurationLabels): string => by.map(label => labels[label] ?? "").join("\n");
    return histograms
        .regroup(labels => (includes(labels) ? keepLabels(labels, by) : undefined))
        .summary()
        .toSorted((left, right) => (keyOf(left.labels) < keyOf(right.labels) ? -1 : 1));
}

function keepLabels(labels: DurationLabels, by: readonly (keyof DurationLabels)[]): DurationLabels {
    const blank = { account: "", plan: "", kind: "", pipeline: "", measure: "" };
    return { ...blank, ...Object.fromEntries(by.map(label => [label, labels[label] ?? ""])) };
}

function latencySection(
    report: MergedReport,
    title: string,
    by: readonly (keyof DurationLabels)[],
    includes: (labels: DurationLabels) => boolean,
): Markup {
    const summaries = summarise(report, by, includes);
    const names = ({ labels }: DurationSummary): readonly string[] => by.map(label => labels[label] ?? "");
    const chart = summaries.map(summary => ({ label: names(summary).join(" / "), values: percentilesOf(summary) }));
    const rows = summaries.map(summary => [...names(summary), String(summary.count), ...formatFigures(summary)]);
    const head = [...by, "count", ...PERCENTILES, "max"];
    return section(title, chart.length, [barChart(title, PERCENTILES, chart), table(head, rows, by.length)]);
}

function percentilesOf({ p50, p95, p99 }: DurationSummary): readonly number[] {
    return [p50, p95, p99];
}

function formatFigures(summary: DurationSummary): readonly string[] {
    return [...percentilesOf(summary), summary.max].map(formatFigure);
}

function costSection(report: MergedReport): Markup {
    const by = ["pipeline", "stage"] as const;
    const summaries = summarise(report, by, ({ measure, stage }) => measure === "cost" && stage !== undefined);
    const total = ({ mean, count }: DurationSummary): number => mean * count;
    const chart = summaries.map(summary => ({
        label: `${summary.labels.pipeline} / ${summary.labels.stage ?? ""}`,
        values: [total(summary)],
    }));
    const rows = summaries.map(summary => [
        summary.labels.pipeline,
        summary.labels.stage ?? "",
        String(summary.count),
        formatFigure(total(summary)),
        ...formatFigures(summary),
    ]);
    const head = [...by, "runs", "total", ...PERCENTILES, "max"];
    const title = "Cost by stage (target time)";
    return section(title, rows.length, [barChart(title, ["total"], chart), table(head, rows, by.length)]);
}

/** Values of one counter, summed by outcome and reason in the chart, and listed by a further tag in the table. */
function outcomeSection({ counters }: MergedReport, title: string, name: string, tag: string): Markup {
    const counted = readCounters(counters).filter(counter => counter.name === name);
    const sums = new Map<string, number>();
    for (const { tags, count } of counted) {
        const label = [tags.get("outcome") ?? "", tags.get("reason") ?? ""].filter(part => part !== "").join(" / ");
        sums.set(label, (sums.get(label) ?? 0) + count);
    }
    const chart = [...sums].sort().map(([label, count]) => ({ label, values: [count] }));
    const columns = [tag, ...(tag === "service" ? ["version"] : []), "outcome", "reason"];
    const rows = counted.map(({ tags, count }) => [...columns.map(column => tags.get(column) ?? ""), String(count)]);
    const fullTitle = `${title} by outcome and reason`;
    const parts = [barChart(fullTitle, ["count"], chart), table([...columns, "count"], rows.sort(), columns.length)];
    return section(fullTitle, rows.length, parts);
}

function counterSection({ counters }: MergedReport): Markup {
    const rows = Object.entries(counters)
        .sort()
        .map(([name, value]) => [name, String(value)]);
    return section("All counters", rows.length, [table(["counter", "value"], rows, 1)]);
}

function section(title: string, rows: number, parts: readonly Markup[]): Markup {
    const content = rows === 0 ? "<p>Nothing was recorded.</p>" : parts.map(({ markup }) => markup).join("\n");
    return { markup: `<h2>${escapeText(title)}</h2>\n${content}` };
}

function readCounters(counters: Readonly<Record<string, number>>): readonly TaggedCounter[] {
    return Object.entries(counters).map(([series, count]) => {
        const [, name = series, text = ""] = /^([^{]*)\{(.*)\}$/.exec(series) ?? [];
        const pairs = text.split(",").map((pair): [string, string] => {
            const separator = pair.indexOf("=");
            return [pair.slice(0, separator), pair.slice(separator + 1)];
        });
        return { name, tags: new Map(pairs), count };
    });
}
