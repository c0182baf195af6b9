/** Command line of the bench tool: `bench <case> [--json] [--seed n] [--deployment name] [--html file]`. */
import { writeFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import meow from "meow";
import { loadCases } from "./cases.js";
import { deployments } from "./deployment.js";
import { hasFaultyVariant, loadTable, runLoadCase } from "./load.js";
import { loadPage } from "./page.js";
import { measurePath } from "./path.js";
import { measureSlopes } from "./slopes.js";
import type { Figures } from "./statistics.js";
import { measureVerdicts, type VerdictCounts } from "./verdicts.js";

const RUN_TIMEOUT_MS = 130_000;

const cases = Object.entries(loadCases).map(([name, { description }]) => `  ${name.padEnd(10)}  ${description}`);

const cli = meow(
    `
    Usage
      $ npm run bench -- <case> [--json] [--seed <number>] [--deployment <name>] [--html <file>]

    Cases
      path        what the system adds to direct calls of the same stand-ins over TCP loopback
      slopes      cost of a message, a call, a link and an item of state
      verdicts    wrong verdicts of the version tests, over 300 seeds of each scenario
    ${cases.join("\n    ")}

    Options
      --json        print JSON instead of a table
      --seed        seed of the random data (default 1)
      --deployment  k or c; both when absent (load cases only)
      --html        write a page with plots to this file (load cases only)

    A load case exits with 1 when a result was doubled, lost or crossed, or a refusal was not true.
`,
    {
        importMeta: import.meta,
        flags: {
            json: { type: "boolean", default: false },
            seed: { type: "number", default: 1 },
            html: { type: "string" },
            deployment: { type: "string", choices: Object.keys(deployments) },
        },
    },
);

function table(figures: Figures): string {
    const rows = Object.entries(figures).map(
        ([name, figure]) => `${name.padEnd(36)} ${figure.median} ${figure.unit} (${figure.low} to ${figure.high})`,
    );
    return `${rows.join("\n")}\n`;
}

function write(report: object, text: string): void {
    process.stdout.write(cli.flags.json ? `${JSON.stringify(report, undefined, 4)}\n` : text);
}

const measurements: Readonly<Record<string, (seed: number) => Promise<Figures>>> = {
    path: measurePath,
    slopes: measureSlopes,
};

async function runMeasurement(name: string, measure: (seed: number) => Promise<Figures>): Promise<number> {
    const start = performance.now();
    const figures = await measure(cli.flags.seed);
    const report = {
        case: name,
        seed: cli.flags.seed,
        node: process.version,
        cores: availableParallelism(),
        seconds: Math.round((performance.now() - start) / 1_000),
        figures,
    };
    write(report, table(figures));
    return 0;
}

function verdictTable(counts: readonly VerdictCounts[]): string {
    const rows = counts.map(({ scenario, runs, promoted, stopped, undecided, wrong, requestsUntilStopped }) => {
        const verdicts = `${promoted} promoted, ${stopped} stopped, ${undecided} undecided`;
        const requests = requestsUntilStopped === undefined ? "" : `, stopped after ${requestsUntilStopped} requests`;
        return `${scenario.padEnd(20)} ${wrong} of ${runs} wrong: ${verdicts}${requests}`;
    });
    return `${rows.join("\n")}\n`;
}

function reportVerdicts(): number {
    const start = performance.now();
    const { seed } = cli.flags;
    const verdicts = measureVerdicts(seed);
    const seconds = Math.round((performance.now() - start) / 1_000);
    const report = { case: "verdicts", seed, node: process.version, seconds, verdicts };
    write(report, verdictTable(verdicts));
    return 0;
}

async function runLoad(name: string): Promise<number> {
    const { seed, deployment, html } = cli.flags;
    const report = await runLoadCase(name, seed, deployment === undefined ? undefined : [deployment]);
    write(report, loadTable(report));
    if (html !== undefined) writeFileSync(html, loadPage(report));
    return hasFaultyVariant(report) ? 1 : 0;
}

async function main(): Promise<number> {
    const [name = ""] = cli.input;
    if (name === "verdicts") return reportVerdicts();
    const measure = Object.hasOwn(measurements, name) ? measurements[name] : undefined;
    if (measure === undefined && !Object.hasOwn(loadCases, name)) {
        cli.showHelp(2);
        return 2;
    }
    const timer = setTimeout(() => {
        process.stderr.write("the run did not finish in time\n");
        process.exit(1);
    }, RUN_TIMEOUT_MS);
    const code = measure === undefined ? await runLoad(name) : await runMeasurement(name, measure);
    clearTimeout(timer);
    return code;
}

process.exitCode = await main();
