/** Renders counters and duration summaries in the Prometheus text exposition format. */
import type { DurationSummary } from "./histogram.js";

/** Renders counters (`name` or `name{tag=value,...}`), gauges and duration summaries. */
export function renderMetrics(
    counters: ReadonlyMap<string, number>,
    gauges: Readonly<Record<string, number>>,
    durations: readonly DurationSummary[],
): string {
    const lines: string[] = [];
    for (const [series, value] of [...counters].sort(([left], [right]) => (left < right ? -1 : 1))) {
        lines.push(`${renderSeries(series)} ${value}`);
    }
    for (const [name, value] of Object.entries(gauges)) lines.push(`${metricName(name)} ${value}`);
    for (const { labels, count, p50, p95, p99, mean } of durations) {
        const tags = { account: labels.account, route: labels.pipeline, outcome: labels.kind };
        const name = metricName(`${labels.measure}.milliseconds`);
        for (const [quantile, value] of Object.entries({ "0.5": p50, "0.95": p95, "0.99": p99 })) {
            lines.push(`${name}${renderTags({ ...tags, quantile })} ${value}`);
        }
        lines.push(`${name}_count${renderTags(tags)} ${count}`);
        lines.push(`${name}_sum${renderTags(tags)} ${mean * count}`);
    }
    return `${lines.join("\n")}\n`;
}

function renderSeries(series: string): string {
    const brace = series.indexOf("{");
    if (brace < 0) return metricName(series);
    const tags = series.slice(brace + 1, -1).split(",");
    return metricName(series.slice(0, brace)) + renderTags(Object.fromEntries(tags.map(splitTag)));
}

function splitTag(tag: string): readonly [string, string] {
    const equals = tag.indexOf("=");
    return [tag.slice(0, equals), tag.slice(equals + 1)];
}

function renderTags(tags: Readonly<Record<string, string>>): string {
    return `{${Object.entries(tags)
        .map(([key, value]) => `${key}=${JSON.stringify(value)}`)
        .join(",")}}`;
}

function metricName(name: string): string {
    return `parsleyrun_${name.replace(/[^A-Za-z0-9_]/g, "_")}`;
}
