#!/usr/bin/env node
/** Runs the demo: `npm run demo`, or `npm run demo -- --json` for one line of JSON. */
import meow from "meow";
import { startDeployment } from "./deployment.js";
import { formatSummary, type DemoSummary, summarise } from "./summary.js";
import { type SentRequest, sendTraffic } from "./traffic.js";

/** Time after which a run is given up. */
const RUN_TIMEOUT_MS = 20_000;

const { flags } = meow("Usage: npm run demo -- [--json]", {
    importMeta: import.meta,
    flags: { json: { type: "boolean", default: false } },
});

async function runDemo(): Promise<DemoSummary & { readonly sent: readonly SentRequest[] }> {
    const deployment = await startDeployment();
    try {
        if (!flags.json) {
            console.log(`${deployment.entries.length} entries, ${deployment.targetCount} targets with agents\n`);
        }
        const sent = await sendTraffic(deployment);
        return { sent, ...summarise(sent, await deployment.runsByKey()) };
    } finally {
        await deployment.stop();
    }
}

const timer = setTimeout(() => {
    console.error("error: the demo did not end in time");
    process.exit(1);
}, RUN_TIMEOUT_MS);
const { sent, ...summary } = await runDemo();
clearTimeout(timer);
if (flags.json) {
    console.log(JSON.stringify(summary.figures));
    for (const problem of summary.problems) console.error(`problem: ${problem}`);
} else {
    for (const line of formatSummary(sent, summary)) console.log(line);
}
process.exitCode = summary.problems.length === 0 ? 0 : 1;
