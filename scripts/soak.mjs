/** Runs the fault soak by hand: `npm run soak -- --seed 7 --minutes 5 --gateways 6`. */
import meow from "meow";
import { startVitest } from "vitest/node";

const cli = meow(
    `
    Usage
      $ npm run soak -- [--seed N] [--minutes M] [--gateways N]

    Options
      --seed     seed of the run (default: drawn and printed)
      --minutes  length of the run (default 1)
      --gateways gateway processes (default 3)
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number" },
            minutes: { type: "number", default: 1 },
            gateways: { type: "number", default: 3 },
        },
    },
);

const seed = cli.flags.seed ?? Math.floor(Math.random() * 1_000_000);
process.env.SOAK_SEED = String(seed);
process.env.SOAK_MINUTES = String(cli.flags.minutes);
process.env.SOAK_GATEWAYS = String(cli.flags.gateways);
console.log(`seed ${seed}`);
const vitest = await startVitest("test", ["test/soak/soak.test.ts"], { watch: false, testNamePattern: "a soak" });
await vitest?.close();
