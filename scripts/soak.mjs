/** Runs the fault soak by hand: `npm run soak -- --seed 7 --minutes 5 --gateways 6 --mix silences`. */
import { resolve } from "node:path";
import meow from "meow";
import { startVitest } from "vitest/node";

const cli = meow(
    `
    Usage
      $ npm run soak -- [--seed N] [--minutes M] [--gateways N] [--mix MIX] [--log FILE]

    Options
      --seed     seed of the run (default: drawn and printed)
      --minutes  length of the run (default 1)
      --gateways gateway processes (default 3)
      --mix      disruptions (default), silences, darkness or endless
      --log      file for the output of the gateways if a promise was broken
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number" },
            minutes: { type: "number", default: 1 },
            gateways: { type: "number", default: 3 },
            mix: {
                type: "string",
                default: "disruptions",
                choices: ["disruptions", "silences", "darkness", "endless"],
            },
            log: { type: "string" },
        },
    },
);

const seed = cli.flags.seed ?? Math.floor(Math.random() * 1_000_000);
process.env.SOAK_SEED = String(seed);
process.env.SOAK_MINUTES = String(cli.flags.minutes);
process.env.SOAK_GATEWAYS = String(cli.flags.gateways);
process.env.SOAK_MIX = cli.flags.mix;
if (cli.flags.log !== undefined) process.env.SOAK_LOG = resolve(cli.flags.log);
console.log(`seed ${seed}`);
const vitest = await startVitest("test", ["test/soak/soak.test.ts"], { watch: false, testNamePattern: "a soak" });
await vitest?.close();
