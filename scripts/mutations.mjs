/**
 * Mutation test of the fuzz oracle: `npm run fuzz:mutations -- --seed 1 --runs 100`. The fuzz test has to find each fault
 * of test/fuzz/mutations.ts within the given number of runs; prints how many runs it took.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import meow from "meow";

const cli = meow(
    `
    Usage
      $ npm run fuzz:mutations -- [--seed N] [--runs N] [--parallel N] [--only TEXT]

    Options
      --seed      seed of the runs (default 1)
      --runs      runs within which each fault has to be found (default 100)
      --parallel  faults that are tried at once (default 3)
      --only      only faults whose name contains the text
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number", default: 1 },
            runs: { type: "number", default: 100 },
            parallel: { type: "number", default: 3 },
            only: { type: "string", default: "" },
        },
    },
);

const folder = mkdtempSync(join(tmpdir(), "mutations-"));
const text = readFileSync(new URL("../test/fuzz/mutations.ts", import.meta.url), "utf8");
const names = [...text.matchAll(/name: "([^"]+)"/g)].map(match => match[1]);
const waiting = names.filter(name => name.includes(cli.flags.only));
const rows = new Map();

function runFuzz(name) {
    const result = join(folder, `${names.indexOf(name)}.json`);
    const env = { ...process.env, FUZZ_SEED: String(cli.flags.seed), FUZZ_RUNS: String(cli.flags.runs) };
    Object.assign(env, { FUZZ_SHRINK: "0", FUZZ_MUTATION: name, FUZZ_RESULT: result });
    const child = spawn(process.execPath, ["node_modules/vitest/vitest.mjs", "run", "test/fuzz/fuzz.test.ts"], { env });
    let output = "";
    for (const stream of [child.stdout, child.stderr]) stream.on("data", data => (output += data));
    return new Promise(resolve => {
        child.on("close", () => {
            try {
                resolve(JSON.parse(readFileSync(result, "utf8")));
            } catch {
                resolve({ error: output.slice(-600) });
            }
        });
    });
}

async function work() {
    for (let name = waiting.shift(); name !== undefined; name = waiting.shift()) {
        const result = await runFuzz(name);
        rows.set(name, result);
        const found = result.error ?? (result.failed ? `found after ${result.runs} runs` : "NOT FOUND");
        console.log(`${name}: ${found}${result.violation === undefined ? "" : ` (${result.violation})`}`);
    }
}

await Promise.all(Array.from({ length: cli.flags.parallel }, work));
rmSync(folder, { recursive: true });
const missed = [...rows].filter(([, result]) => !result.failed);
console.log(
    `${rows.size - missed.length} of ${rows.size} faults found (seed ${cli.flags.seed}, ${cli.flags.runs} runs)`,
);
process.exitCode = missed.length === 0 ? 0 : 1;
