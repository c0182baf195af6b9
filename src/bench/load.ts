/**
 * A load case: the policy and the baselines on the same arrivals, each in a process of its own and all at the same
 * time, so that other work on the machine disturbs all of them alike.
 */
import { runModule } from "./peer.js";
import { deployments } from "./deployment.js";
import { hasFaults } from "./summary.js";
import { type VariantReport, type VariantRun, variants } from "./variants.js";

/** Timeout of one variant: start, warm-up, measured time, the last deadline and the wait after it. */
const VARIANT_TIMEOUT_MS = 60_000;

/** 99th percentile of the event loop's delay above which processor shortage, not the system, decides the figures. */
const PROCESSOR_SHORT_MS = 50;

/** Reports by variant, for each deployment. */
export interface LoadReport {
    readonly case: string;
    readonly seed: number;
    readonly deployments: Readonly<Record<string, Readonly<Record<string, VariantReport>>>>;
}

/** Runs a case on the named deployments, one after the other. */
export async function runLoadCase(
    caseName: string,
    seed: number,
    names = Object.keys(deployments),
): Promise<LoadReport> {
    const reports: Record<string, Record<string, VariantReport>> = {};
    for (const deployment of names) {
        const runs = Object.keys(variants).map(async variant => {
            const run: VariantRun = { caseName, deployment, variant, seed };
            const output = await runModule("variantend", [JSON.stringify(run)], VARIANT_TIMEOUT_MS);
            return [variant, JSON.parse(output) as VariantReport] as const;
        });
        reports[deployment] = Object.fromEntries(await Promise.all(runs));
    }
    return { case: caseName, seed, deployments: reports };
}

/** Whether any variant doubled, lost or crossed a result, or refused a request that had run. */
export function hasFaultyVariant(report: LoadReport): boolean {
    return Object.values(report.deployments).some(reports => Object.values(reports).some(hasFaults));
}

const columns: readonly (readonly [string, (report: VariantReport) => string])[] = [
    ["attained", report => percent(report.weightedAttainment)],
    ["bound", report => percent(report.bound)],
    ["first token", report => report.firstToken.join("/")],
    ["end", report => report.duration.join("/")],
    ["gap p95", report => String(report.tokenGapP95)],
    ["extra", report => report.extraAttempts.toFixed(3)],
    ["cold+", report => `${report.coldOverrun}/${report.coldOverrunAfterNotice}`],
    ["dbl/lost/crs", report => `${report.doubled}/${report.lost}/${report.crossed}`],
    ["untrue", report => String(report.untrueRefusals)],
    ["unknown", report => percent(report.unknown)],
    ["share+", report => percent(Math.max(0, report.shareExceeded))],
    ["loop p99", report => report.loopDelayP99.toFixed(1)],
];

/** The report as a table for each deployment, with the figures by kind, account and stage below it. */
export function loadTable(report: LoadReport): string {
    const parts = Object.entries(report.deployments).map(([name, reports]) => {
        const head = [["", ...columns.map(([title]) => title)]];
        const rows = Object.entries(reports).map(([variant, each]) => [
            variant,
            ...columns.map(([, cell]) => cell(each)),
        ]);
        const details = Object.entries(reports).map(
            ([variant, each]) =>
                `  ${variant}: kinds ${list(each.attainmentByKind, percent)}; accounts ` +
                `${list(each.attainmentByAccount, percent)}; cost by stage ${list(each.costByStage, cost => `${cost.toFixed(1)} ms`)}; ` +
                `outcomes ${list(each.outcomes, String)}; starts in a zone that is out ${each.startsInZoneOut}`,
        );
        const short = Object.values(reports).some(each => each.loopDelayP99 > PROCESSOR_SHORT_MS);
        const title = `${report.case}, deployment ${name}, seed ${report.seed}${short ? " (processor was short)" : ""}`;
        return `${title}\n${align([...head, ...rows])}\n${details.join("\n")}\n`;
    });
    return parts.join("\n");
}

function percent(fraction: number): string {
    return `${(100 * fraction).toFixed(2)}%`;
}

function list(values: Readonly<Record<string, number>>, format: (value: number) => string): string {
    return Object.entries(values)
        .map(([name, value]) => `${name} ${format(value)}`)
        .join(", ");
}

function align(rows: readonly (readonly string[])[]): string {
    const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")).join("\n");
}
