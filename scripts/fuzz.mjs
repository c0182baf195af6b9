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
      --path      replays the failure that an earlier run printed, together with its seed
      --replay    the replay path of that failure's commands
      --no-shrink reports the first failure as it was found
      --mutation  applies one of the deliberate faults of test/fuzz/mutations.ts
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number", default: 1 },
            runs: { type: "number", default: 200 },
            path: { type: "string" },
            replay: { type: "string" },
            shrink: { type: "boolean", default: true },
            mutation: { type: "string" },
        },
    },
);

process.env.FUZZ_SEED = String(cli.flags.seed);
process.env.FUZZ_RUNS = String(cli.flags.runs);
if (cli.flags.path !== undefined) process.env.FUZZ_PATH = cli.flags.path;
if (cli.flags.replay !== undefined) process.env.FUZZ_REPLAY_PATH = cli.flags.replay;
if (!cli.flags.shrink) process.env.FUZZ_SHRINK = "0";
if (cli.flags.mutation !== undefined) process.env.FUZZ_MUTATION = cli.flags.mutation;

const vitest = await startVitest("test", ["test/fuzz/fuzz.test.ts"], { watch: false, testTimeout: 3_600_000 });
await vitest.close();
