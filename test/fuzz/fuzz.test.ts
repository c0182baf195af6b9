/**
 * Stateful fuzzing of the whole system against the oracle. `npm run fuzz -- --seed N --runs N` runs more of it; a
 * failure prints the shrunk commands with the seed and path that replay them.
 */
import { writeFileSync } from "node:fs";
import fc from "fast-check";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, describe, it, vi } from "vitest";
import { commandSequences, type Model } from "./commands.js";
import { ENTITLEMENTS, ENTRIES, PIPELINES } from "./deployment.js";
import { World } from "./world.js";

const SEED = Number(process.env.FUZZ_SEED ?? 1);
const RUNS = Number(process.env.FUZZ_RUNS ?? 10);
/** Path and replay path that an earlier run printed for a failure. */
const PATH = process.env.FUZZ_PATH;
const REPLAY_PATH = process.env.FUZZ_REPLAY_PATH;
/** Without shrinking, the first failing sequence of commands is reported as it is. */
const SHRINK = process.env.FUZZ_SHRINK !== "0";
const MAXIMUM_COMMANDS = 40;

/** Time by which the system has to serve again after the last fault, once leases, backoff and ejection expire. */
const RECOVERY_MS = 60_000;

async function advance(milliseconds: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(milliseconds);
}

/** Ends all faults, waits for recovery, and checks that each entry serves each pipeline. */
async function recover(world: World): Promise<void> {
    world.healCuts();
    world.platform.setOutage(false);
    for (const name of [...ENTRIES, ...world.engines.keys()]) world.platform.setOutage(false, name);
    world.platform.loseWriteAnswers(0);
    world.platform.setStaleReads(false);
    world.platform.setSlow(0);
    for (const engine of world.engines.values()) {
        engine.setSlowFactor(1);
        engine.failNext(0);
        engine.truncateNext(0);
    }
    await advance(15_000);
    await world.restartAll();
    await advance(5_000);
    for (const zone of ["a", "b", "c"]) {
        const accepted = world.setZone(ENTRIES[0], zone, "in");
        await advance(500);
        await accepted;
    }
    await advance(RECOVERY_MS);
    for (const entry of ENTRIES) {
        for (const pipeline of PIPELINES) await checkServed(world, entry, pipeline);
    }
}

async function checkServed(world: World, entry: string, pipeline: string): Promise<void> {
    const key = `after-${entry}-${pipeline}`;
    const outcome = world.submit({ entry, pipeline, key, account: "small", deadline: 4_000 });
    await advance(4_500);
    const read = await outcome;
    if (read?.kind !== "done") {
        world.oracle.violations.push(`recovery: ${entry} ${pipeline} read ${JSON.stringify(read)}`);
    }
}

describe("the whole system", () => {
    beforeEach(() => {
        vi.useFakeTimers({
            toFake: [
                "setTimeout",
                "clearTimeout",
                "setInterval",
                "clearInterval",
                "setImmediate",
                "clearImmediate",
                "performance",
                "Date",
            ],
        });
    });
    afterEach(() => {
        vi.restoreAllMocks();
        vi.useRealTimers();
    });

    it(`keeps its promises (seed ${SEED}, ${RUNS} runs)`, { timeout: 3_600_000 }, async () => {
        let runs = 0;
        const property = fc.asyncProperty(commandSequences(MAXIMUM_COMMANDS, REPLAY_PATH), async commands => {
            runs += 1;
            const generator = xoroshiro128plus(SEED);
            vi.spyOn(Math, "random").mockImplementation(() => uniformFloat64(generator));
            const world = await World.start(advance);
            try {
                const model: Model = { advance };
                await fc.asyncModelRun(() => ({ model, real: world }), commands);
                await advance(5_000);
                await recover(world);
                world.checkAnswered();
                world.oracle.checkShares(ENTITLEMENTS);
                if (world.oracle.violations.length > 0) throw new Error(world.oracle.violations.join("\n"));
            } finally {
                world.killAll();
                vi.clearAllTimers();
            }
        });
        const details = await fc.check(property, {
            seed: SEED,
            numRuns: RUNS,
            endOnFailure: !SHRINK,
            ...(PATH === undefined ? {} : { path: PATH }),
        });
        const violation =
            details.errorInstance instanceof Error ? details.errorInstance.message.split("\n")[0] : undefined;
        const summary = { seed: SEED, runs: details.numRuns, failed: details.failed, executions: runs, violation };
        if (process.env.FUZZ_RESULT !== undefined) writeFileSync(process.env.FUZZ_RESULT, JSON.stringify(summary));
        console.log(`fuzz: ${JSON.stringify(summary)}`);
        if (details.failed) {
            throw new Error(`${String(details.errorInstance)}\n${fc.defaultReportMessage(details) ?? ""}`);
        }
    });
});
