/** Requests, faults and operator actions as fast-check commands. Time advances after each command. */
import fc from "fast-check";
import { ACCOUNTS, ENTRIES, PIPELINES, TARGETS, ZONES } from "./deployment.js";
import type { World } from "./world.js";

/** The model only advances the time; the oracle checks the results. */
export interface Model {
    advance(milliseconds: number): Promise<void>;
}

type Step = fc.AsyncCommand<Model, World>;

/** One command: its action, and the time that passes after it. */
class Action implements Step {
    constructor(
        private readonly name: string,
        private readonly wait: number,
        private readonly act: (world: World) => unknown,
    ) {}

    check(): boolean {
        return true;
    }

    async run(model: Model, world: World): Promise<void> {
        // Not awaited: some actions, such as a graceful stop, end only when the time advances.
        void Promise.resolve(this.act(world)).catch((error: unknown) => {
            world.oracle.violations.push(`${this.name} threw ${String(error)}`);
        });
        await model.advance(this.wait);
    }

    toString(): string {
        return `${this.name}+${this.wait}ms`;
    }
}

const entry = fc.constantFrom(...ENTRIES);
const target = fc.constantFrom(...TARGETS);
const process = fc.constantFrom<string>(...ENTRIES, ...TARGETS);
const zone = fc.constantFrom(...ZONES);
const account = fc.constantFrom(...ACCOUNTS);
const pipeline = fc.constantFrom(...PIPELINES);
/** Few keys, so that duplicates are frequent. */
const key = fc.integer({ min: 0, max: 5 }).map(number => `key-${number}`);
const deadline = fc.constantFrom(200, 1_000, 2_500);
const wait = fc.oneof(
    { weight: 6, arbitrary: fc.integer({ min: 0, max: 40 }) },
    { weight: 2, arbitrary: fc.integer({ min: 40, max: 1_000 }) },
    { weight: 1, arbitrary: fc.integer({ min: 1_000, max: 9_000 }) },
);

function command<Arguments>(
    name: string,
    values: fc.Arbitrary<Arguments>,
    act: (world: World, values: Arguments) => unknown,
): fc.Arbitrary<Step> {
    return fc
        .tuple(values, wait)
        .map(([chosen, time]) => new Action(`${name}(${JSON.stringify(chosen)})`, time, world => act(world, chosen)));
}

const request = fc.record({ entry, account, pipeline, key, deadline });
const burst = fc.record({ request, count: fc.integer({ min: 2, max: 12 }) });

const submit = command("submit", request, (world, values) => void world.submit(values));
const submitBurst = command("burst", burst, (world, { request: values, count }) => {
    for (let index = 0; index < count; index += 1) {
        void world.submit({ ...values, key: values.pipeline === "ask" ? `${values.key}-${index}` : values.key });
    }
});
/** The same key through two entries at almost the same time. */
const submitConcurrently = command("submitTwice", fc.record({ request, other: entry }), (world, values) => {
    void world.submit({ ...values.request, pipeline: "reserve" });
    void world.submit({ ...values.request, pipeline: "reserve", entry: values.other });
});
/** Time by which the slots of a dead owner have a new one: its lease, and the polls of the lease. */
const TAKEOVER_MS = 13_000;

/** A booking whose owner dies in the middle of it, and the same key again after the takeover. */
const killOwner = command("killOwner", request, async (world, values) => {
    const booking = { ...values, pipeline: "reserve", deadline: 2_500 };
    void world.submit(booking);
    for (const name of await world.whenBusy("book")) world.kill(name);
    await world.delay(TAKEOVER_MS);
    void world.submit(booking);
});
/** A booking whose owner is paused beyond its lease during the run, and the same key again after the takeover. */
const pauseOwner = command(
    "pauseOwner",
    fc.record({
        request,
        target: fc.constantFrom("book-a", "book-b", "book-c"),
        after: fc.integer({ min: 0, max: 60 }),
    }),
    async (world, values) => {
        const booking = { ...values.request, pipeline: "reserve", deadline: 2_500 };
        void world.submit(booking);
        await world.delay(values.after);
        world.pause(values.target, TAKEOVER_MS + 2_000);
        await world.delay(TAKEOVER_MS);
        void world.submit(booking);
    },
);
/** A generating target that dies in the middle of its streams. */
const crashStream = command("crashStream", request, async (world, values) => {
    void world.submit({ ...values, pipeline: "ask", deadline: 2_500 });
    const busy = await world.whenBusy("generate");
    await world.delay(20);
    for (const name of busy) world.crash(name, 100);
});
/** Requests that use up an account's burst, a restart of their entry, and the same number of requests again. */
const burstOverRestart = command(
    "burstOverRestart",
    fc.record({ request, count: fc.integer({ min: 6, max: 12 }) }),
    async (world, values) => {
        const burstOf = (round: number): void => {
            for (let index = 0; index < values.count; index += 1) {
                const key = `${values.request.key}-${round}-${index}`;
                void world.submit({ ...values.request, pipeline: "ask", account: "small", deadline: 1_000, key });
            }
        };
        burstOf(0);
        await world.delay(20);
        world.kill(values.request.entry);
        await world.startEntry(values.request.entry);
        await world.delay(250);
        burstOf(1);
    },
);
/** All entries restart right after a change, while the store serves stale reads from before it. */
const restartStale = command("restartStale", fc.record({ zone, out: fc.boolean() }), async (world, values) => {
    await world.setZone(ENTRIES[0], values.zone, values.out ? "out" : "in");
    await world.delay(300);
    world.platform.setStaleReads(true, 4_000);
    for (const name of ENTRIES) world.kill(name);
    await world.delay(100);
    for (const name of ENTRIES) await world.startEntry(name);
    await world.delay(6_000);
    world.platform.setStaleReads(false);
});
const kill = command("kill", process, (world, name) => {
    world.kill(name);
});
const stop = command("stop", process, (world, name) => world.stop(name));
const restart = command("restartAll", fc.constant(0), world => world.restartAll());
const cut = command("cut", fc.record({ first: process, second: process, on: fc.boolean() }), (world, values) => {
    if (values.first !== values.second) world.cut(values.first, values.second, values.on);
});
const heal = command("healCuts", fc.constant(0), world => {
    world.healCuts();
});
const pause = command("pause", fc.record({ process, time: fc.integer({ min: 100, max: 12_000 }) }), (world, values) => {
    world.pause(values.process, values.time);
});
const outage = command(
    "outage",
    fc.record({ on: fc.boolean(), process: fc.option(process, { nil: undefined }) }),
    (world, values) => {
        world.platform.setOutage(values.on, values.process);
    },
);
const storeFault = command(
    "storeFault",
    fc.record({
        lost: fc.integer({ min: 0, max: 4 }),
        applied: fc.boolean(),
        stale: fc.boolean(),
        slow: fc.constantFrom(0, 0, 50),
    }),
    (world, values) => {
        world.platform.loseWriteAnswers(values.lost, values.applied);
        world.platform.setStaleReads(values.stale);
        world.platform.setSlow(values.slow);
    },
);
const turnCold = command("turnCold", target, (world, name) => {
    world.turnCold(name);
});
const crash = command("crash", fc.record({ target, down: fc.constantFrom(0, 500, 3_000) }), (world, values) => {
    world.crash(values.target, values.down);
});
const slow = command("slow", fc.record({ target, factor: fc.constantFrom(1, 10, 100) }), (world, values) => {
    world.engineOf(values.target).setSlowFactor(values.factor);
});
const fail = command(
    "fail",
    fc.record({ target, count: fc.integer({ min: 1, max: 4 }), truncate: fc.boolean() }),
    (world, values) => {
        if (values.truncate) world.engineOf(values.target).truncateNext(values.count);
        else world.engineOf(values.target).failNext(values.count);
    },
);
const setZone = command("zone", fc.record({ entry, zone, out: fc.boolean() }), (world, values) =>
    world.setZone(values.entry, values.zone, values.out ? "out" : "in"),
);
/** Two operators change the same configuration version concurrently. */
const setZoneConcurrently = command("race", fc.record({ first: entry, second: entry, zone }), (world, values) => {
    void world.setZone(values.first, values.zone, "out");
    void world.setZone(values.second, values.zone, "in");
});
const later = command("later", fc.constant(0), () => undefined);

/** Sequences of commands; requests are the most frequent. */
export function commandSequences(maximum: number, replayPath?: string): fc.Arbitrary<Iterable<Step>> {
    const requests = [submit, submit, submit, submit, submitBurst, submitConcurrently, submitConcurrently];
    const scenarios = [killOwner, pauseOwner, crashStream, burstOverRestart, restartStale];
    const processes = [kill, kill, stop, restart, restart, cut, heal, pause];
    const platform = [outage, outage, storeFault];
    const targets = [turnCold, crash, slow, fail];
    const operators = [setZone, setZone, setZoneConcurrently, later];
    return fc.commands([...requests, ...scenarios, ...processes, ...platform, ...targets, ...operators], {
        maxCommands: maximum,
        size: "max",
        ...(replayPath === undefined ? {} : { replayPath }),
    });
}
