/** Runs the stateful fuzz test with a seed and a number of runs: `npm run fuzz -- --seed 7 --runs 500`. */
import meow from "meow";
import { startVitest } from "vitest/node";

const cli = meow(
    `
    Usage
      $ npm run fuzz -- [--seed N] [--runs N] [--path P] [--mutation NAME]

    Options
      --seed      seed of the run (default 1)
      --runs      sequences of commands to try (default 200)
      --path      replays one shrunk counterexample that an earlier run printed, together with its seed
      --mutation  applies one of the deliberate faults of test/fuzz/mutations.ts
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number", default: 1 },
            runs: { type: "number", default: 200 },
            path: { type: "string" },
            mutation: { type: "string" },
        },
    },
);

process.env.FUZZ_SEED = String(cli.flags.seed);
process.env.FUZZ_RUNS = String(cli.flags.runs);
if (cli.flags.path !== undefined) process.env.FUZZ_PATH = cli.flags.path;
if (cli.flags.mutation !== undefined) process.env.FUZZ_MUTATION = cli.flags.mutation;

const vitest = await startVitest("test", ["test/fuzz/fuzz.test.ts"], { watch: false, testTimeout: 3_600_000 });
await vitest.close();
