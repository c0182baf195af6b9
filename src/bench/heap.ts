/**
 * A process that builds one kind of state many times and prints the bytes for each item as JSON. Needs `--expose-gc`.
 * Arguments: the kind and the seed.
 */
import { build } from "hdr-histogram-js";
import { Configuration, ConfigurationHolder } from "../configuration/index.js";
import * as samples from "./samples.js";

/** Bytes in use after a collection: heap and array buffers. */
function usedBytes(): number {
    if (globalThis.gc === undefined) throw new Error("start with --expose-gc");
    globalThis.gc();
    globalThis.gc();
    const usage = process.memoryUsage();
    return usage.heapUsed + usage.arrayBuffers;
}

/** Copies through JSON, like a value from the store or a peer, so that items share no text. */
function copyThroughJson<Value>(value: Value): Value {
    return JSON.parse(JSON.stringify(value)) as Value;
}

/** A histogram up to 60 s in steps of 1 ms; `digits` significant digits. */
function histogram(digits: 2 | 3, packed: boolean, values: readonly number[]): unknown {
    const result = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000,
        numberOfSignificantValueDigits: digits,
        bitBucketSize: packed ? "packed" : 32,
        useWebAssembly: false,
    });
    for (const value of values) result.recordValue(value);
    return result;
}

function durations(seed: number): readonly number[] {
    return samples.hexTexts(seed, 200, 3).map(text => 1 + parseInt(text, 16));
}

interface Kind {
    readonly count: number;
    /** Prepares input outside of the measurement and returns the construction of `count` items. */
    readonly prepare: (seed: number, count: number) => () => unknown;
}

const kinds: Readonly<Record<string, Kind>> = {
    account: {
        count: 27_000,
        prepare: (seed, count) => {
            const text = JSON.stringify(samples.accountRecords(samples.accounts(seed, count)));
            return () => Configuration.of(1, JSON.parse(text) as ReturnType<typeof samples.accountRecords>);
        },
    },
    plan: {
        count: 5_000,
        prepare: (_, count) => {
            const text = JSON.stringify(samples.plans(count));
            return () => new Map((JSON.parse(text) as { name: string }[]).map(plan => [plan.name, plan]));
        },
    },
    target: {
        count: 23_600,
        prepare: (seed, count) => {
            const text = JSON.stringify(samples.targets(seed, count));
            return () => new Map((JSON.parse(text) as { name: string }[]).map(target => [target.name, target]));
        },
    },
    retainedChange: {
        count: 5_000,
        prepare: (seed, count) => {
            const values = samples.accounts(seed, count);
            return () => values.map((account, index) => copyThroughJson(samples.change(index + 1, account)));
        },
    },
    histogram2Digits: {
        count: 500,
        prepare: (seed, count) => {
            const values = durations(seed);
            return () => Array.from({ length: count }, () => histogram(2, false, values));
        },
    },
    histogram3Digits: {
        count: 500,
        prepare: (seed, count) => {
            const values = durations(seed);
            return () => Array.from({ length: count }, () => histogram(3, false, values));
        },
    },
    histogram2DigitsPacked: {
        count: 500,
        prepare: (seed, count) => {
            const values = durations(seed);
            return () => Array.from({ length: count }, () => histogram(2, true, values));
        },
    },
};

/** Mean microseconds of applying a change that sets one of 2,700 accounts. */
function measureApply(seed: number): number {
    const values = samples.accounts(seed, 2_700);
    const holder = ConfigurationHolder.create();
    holder.replace(Configuration.of(1, samples.accountRecords(values)));
    const changes = values.slice(0, 300).map((account, index) => samples.change(index + 2, account));
    for (const change of changes.slice(0, 100)) holder.advance(change);
    const start = performance.now();
    for (const change of changes.slice(100)) holder.advance(change);
    return ((performance.now() - start) * 1_000) / (changes.length - 100);
}

function measure(name: string, seed: number): number {
    if (name === "apply") return measureApply(seed);
    const kind = kinds[name];
    if (kind === undefined) throw new Error(`unknown kind ${name}`);
    const construct = kind.prepare(seed, kind.count);
    construct();
    const before = usedBytes();
    const items = construct();
    const bytes = (usedBytes() - before) / kind.count;
    // Using the items after the measurement keeps them from being collected during it.
    if (items === undefined) throw new Error("nothing was built");
    return bytes;
}

process.stdout.write(`${measure(process.argv[2] ?? "", Number(process.argv[3] ?? "1"))}\n`);
