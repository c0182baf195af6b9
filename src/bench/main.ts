/** Command line of the bench tool: `bench slopes|verdicts [--json] [--seed n]`. */
import { availableParallelism } from "node:os";
import meow from "meow";
import { measureSlopes } from "./slopes.js";
import type { Figures } from "./statistics.js";
import { measureVerdicts, type VerdictCounts } from "./verdicts.js";

/** Time after which a run is given up. */
const RUN_TIMEOUT_MS = 90_000;

const cli = meow(
    `
    Usage
      $ npm run bench -- slopes|verdicts [--json] [--seed <number>]

    Cases
      slopes    cost of a message, a call, a link and an item of state
      verdicts  wrong verdicts of the version tests, over 300 seeds of each scenario

    Options
      --json  print JSON instead of a table
      --seed  seed of the random data (default 1)
`,
    {
        importMeta: import.meta,
        flags: { json: { type: "boolean", default: false }, seed: { type: "number", default: 1 } },
    },
);

function table(figures: Figures): string {
    const rows = Object.entries(figures).map(
        ([name, figure]) => `${name.padEnd(36)} ${figure.median} ${figure.unit} (${figure.low} to ${figure.high})`,
    );
    return `${rows.join("\n")}\n`;
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
    const { seed, json } = cli.flags;
    const verdicts = measureVerdicts(seed);
    const seconds = Math.round((performance.now() - start) / 1_000);
    const report = { case: "verdicts", seed, node: process.version, seconds, verdicts };
    process.stdout.write(json ? `${JSON.stringify(report, undefined, 4)}\n` : verdictTable(verdicts));
    return 0;
}

async function main(): Promise<number> {
    if (cli.input[0] === "verdicts") return reportVerdicts();
    if (cli.input[0] !== "slopes") {
        cli.showHelp(2);
        return 2;
    }
    const start = performance.now();
    const timer = setTimeout(() => {
        process.stderr.write("the run did not finish in time\n");
        process.exit(1);
    }, RUN_TIMEOUT_MS);
    const figures = await measureSlopes(cli.flags.seed);
    clearTimeout(timer);
    const report = {
        case: "slopes",
        seed: cli.flags.seed,
        node: process.version,
        cores: availableParallelism(),
        seconds: Math.round((performance.now() - start) / 1_000),
        figures,
    };
    process.stdout.write(cli.flags.json ? `${JSON.stringify(report, undefined, 4)}\n` : table(figures));
    return 0;
}

process.exitCode = await main();
