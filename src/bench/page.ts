/** A self-contained page of a load case's report: attainment over time, latency by kind and cost by stage, as SVG. */
import { loadCases, MEASURED_MS } from "./cases.js";
import type { LoadReport } from "./load.js";
import type { VariantReport } from "./variants.js";

const WIDTH = 720;
const HEIGHT = 240;
const LEFT = 60;
const BOTTOM = 30;
const TOP = 10;
const COLORS = ["#1f5fa8", "#b5541c", "#3b8a3e", "#8a4a9e", "#6b6b6b", "#b8962e"];

type Reports = Readonly<Record<string, VariantReport>>;

/** The page as HTML text. */
export function loadPage(report: LoadReport): string {
    const sections = Object.entries(report.deployments).map(
        ([name, reports]) => `<h2>Deployment ${escape(name)}</h2>
${legend(Object.keys(reports))}
<h3>Weighted attainment of the arrivals of each half second; the fault is shaded</h3>
${timelinePlot(report.case, reports)}
<h3>Time to the end by kind, 95th percentile, in milliseconds</h3>
${barPlot(reports, each => mapValues(each.durationByKind, values => values[1] ?? 0))}
<h3>Target time by stage for each request, in milliseconds</h3>
${barPlot(reports, each => each.costByStage)}`,
    );
    const title = `Load case ${escape(report.case)}, seed ${report.seed}`;
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${title}</title>
<style>body { font: 14px sans-serif; margin: 2em; } svg text { font: 11px sans-serif; }</style></head>
<body><h1>${title}</h1>
<p>${escape(loadCases[report.case]?.description ?? "")}</p>
${sections.join("\n")}
</body></html>
`;
}

function legend(names: readonly string[]): string {
    const items = names.map((name, index) => `<span style="color: ${color(index)}">&#9632;</span> ${escape(name)}`);
    return `<p>${items.join(" &nbsp; ")}</p>`;
}

function timelinePlot(caseName: string, reports: Reports): string {
    const x = (at: number): number => LEFT + (at / MEASURED_MS) * (WIDTH - LEFT);
    const y = (value: number): number => TOP + (1 - value) * (HEIGHT - TOP - BOTTOM);
    const [from, until] = loadCases[caseName]?.fault ?? [0, 0];
    const shade = `<rect x="${x(from)}" y="${TOP}" width="${x(until) - x(from)}" height="${y(0) - TOP}" fill="#f0e0d8"/>`;
    const lines = Object.values(reports).map(({ timeline }, index) => {
        const points = timeline.map(([at, value]) => `${x(at + 250).toFixed(1)},${y(value).toFixed(1)}`).join(" ");
        return `<polyline points="${points}" fill="none" stroke="${color(index)}" stroke-width="1.5"/>`;
    });
    const seconds = Array.from({ length: MEASURED_MS / 2_000 + 1 }, (_, index) => 2 * index);
    const ticks = seconds.map(each => text(x(each * 1_000), HEIGHT - 10, `${each} s`, "middle"));
    const levels = [0, 0.5, 1].map(each => text(LEFT - 6, y(each) + 4, `${100 * each}%`, "end"));
    return svg([shade, axes(y(0)), ...lines, ...ticks, ...levels]);
}

/** A grouped bar chart: one group for each name, with one bar for each variant. */
function barPlot(reports: Reports, valuesOf: (report: VariantReport) => Readonly<Record<string, number>>): string {
    const variants = Object.values(reports).map(valuesOf);
    const names = Object.keys(variants[0] ?? {});
    const highest = Math.max(1, ...variants.flatMap(values => Object.values(values)));
    const base = HEIGHT - BOTTOM;
    const groupWidth = (WIDTH - LEFT) / Math.max(1, names.length);
    const barWidth = (groupWidth * 0.8) / Math.max(1, variants.length);
    const bars = names.flatMap((name, group) =>
        variants.map((values, index) => {
            const height = ((values[name] ?? 0) / highest) * (base - TOP);
            const left = LEFT + group * groupWidth + index * barWidth + groupWidth * 0.1;
            const title = `<title>${escape(name)}: ${(values[name] ?? 0).toFixed(1)} ms</title>`;
            return (
                `<rect x="${left.toFixed(1)}" y="${(base - height).toFixed(1)}" width="${(barWidth - 1).toFixed(1)}" ` +
                `height="${height.toFixed(1)}" fill="${color(index)}">${title}</rect>`
            );
        }),
    );
    const labels = names.map((name, group) => text(LEFT + (group + 0.5) * groupWidth, HEIGHT - 10, name, "middle"));
    const levels = [0, highest].map(each => {
        const y = base - (each / highest) * (base - TOP);
        return text(LEFT - 6, y + 4, each.toFixed(0), "end");
    });
    return svg([axes(base), ...bars, ...labels, ...levels]);
}

function axes(base: number): string {
    return `<path d="M${LEFT} ${TOP}V${base}H${WIDTH}" fill="none" stroke="#444"/>`;
}

function text(x: number, y: number, content: string, anchor: string): string {
    return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${escape(content)}</text>`;
}

function svg(parts: readonly string[]): string {
    return `<svg width="${WIDTH}" height="${HEIGHT}" viewBox="0 0 ${WIDTH} ${HEIGHT}">${parts.join("\n")}</svg>`;
}

function color(index: number): string {
    return COLORS[index % COLORS.length] ?? "#000";
}

function mapValues<From, To>(
    values: Readonly<Record<string, From>>,
    change: (value: From) => To,
): Readonly<Record<string, To>> {
    return Object.fromEntries(Object.entries(values).map(([name, value]) => [name, change(value)]));
}

function escape(content: string): string {
    return content.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}
