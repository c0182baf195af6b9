/**
 * The case `slopes`: cost of a message, a call, a link and an item of state. Each figure is the median of several
 * repetitions. The two ends of a connection are two processes that this tool starts, so that each end's processor time
 * (user and system) is read from its own process.
 */
import { accounts, accountRecords, change } from "./samples.js";
import { EndpointProcess, runForNumber } from "./peer.js";
import { type Figures, FigureCollector } from "./statistics.js";
import { measureWire } from "./wire.js";

const REPETITIONS = 5;
/** Repetitions of figures that need new processes each time and vary little. */
const PROCESS_REPETITIONS = 3;
const BULK_MESSAGES = 5_120;
const SINGLE_MESSAGES = 2_000;

const LINKS = 200;
const EVENTS = 100;
const EVENT_STREAMS = 32;

const LIBRARIES = [
    "@connectrpc/connect-node",
    "tslog",
    "hot-shots",
    "zod",
    "yaml",
    "hdr-histogram-js",
    "p-queue",
    "meow",
] as const;

const HEAP_KINDS = [
    "account",
    "plan",
    "target",
    "retainedChange",
    "histogram2Digits",
    "histogram3Digits",
    "histogram2DigitsPacked",
] as const;

/** Processor time of both ends during an action, in microseconds. */
async function processorTime(
    active: EndpointProcess,
    passive: EndpointProcess,
    action: () => Promise<unknown>,
): Promise<{ active: number; passive: number }> {
    await passive.run({ name: "begin" });
    await active.run({ name: "begin" });
    await action();
    const activeTime = await active.run<number>({ name: "finish" });
    return { active: activeTime, passive: await passive.run<number>({ name: "finish" }) };
}

/** Runs an action on two new endpoint processes and stops them. */
async function withEnds(action: (opener: EndpointProcess, acceptor: EndpointProcess) => Promise<void>): Promise<void> {
    const opener = EndpointProcess.start();
    const acceptor = EndpointProcess.start();
    try {
        await action(opener, acceptor);
    } finally {
        opener.stop();
        acceptor.stop();
    }
}

async function measureSends(
    collector: FigureCollector,
    name: string,
    ends: { sender: EndpointProcess; receiver: EndpointProcess },
    send: { name: string; count: number; seed: number; tokens?: number },
): Promise<void> {
    for (let repetition = 0; repetition <= REPETITIONS; repetition += 1) {
        const used = await processorTime(ends.sender, ends.receiver, () => ends.sender.run(send));
        if (repetition === 0) continue;
        collector.add(`${name}.sent`, used.active / send.count, "us");
        collector.add(`${name}.received`, used.passive / send.count, "us");
    }
}

/**
 * Measures sends that each wait for the acknowledgement of the one before, so that no two share a packet or a turn of
 * the event loop. For each, both ends send one message and receive one; an end's figure is the sum of both.
 */
async function measureSingle(
    collector: FigureCollector,
    opener: EndpointProcess,
    acceptor: EndpointProcess,
    seed: number,
): Promise<void> {
    await acceptor.run({ name: "reportEach", count: 1 });
    for (let repetition = 0; repetition <= REPETITIONS; repetition += 1) {
        const send = { name: "sendSingly", count: SINGLE_MESSAGES, seed };
        const used = await processorTime(opener, acceptor, () => opener.run(send));
        if (repetition === 0) continue;
        collector.add("link.single.opener", used.active / SINGLE_MESSAGES, "us");
        collector.add("link.single.acceptor", used.passive / SINGLE_MESSAGES, "us");
    }
}

async function measureLinks(collector: FigureCollector, seed: number): Promise<void> {
    await withEnds(async (opener, acceptor) => {
        const address = await acceptor.run<string>({ name: "listenLink" });
        await opener.run({ name: "connectLink", address });
        const outward = { sender: opener, receiver: acceptor };
        const inward = { sender: acceptor, receiver: opener };
        const bulk = { name: "sendBulk", count: BULK_MESSAGES, seed };
        await measureSends(collector, "link.outward.bulk", outward, bulk);
        await measureSends(collector, "link.inward.bulk", inward, bulk);
        for (const tokens of [1, 8]) {
            const send = { name: "sendTokens", count: BULK_MESSAGES, seed, tokens };
            await measureSends(collector, `link.inward.tokens${tokens}`, inward, send);
        }
        await measureSingle(collector, opener, acceptor, seed);
    });
}

async function measureCalls(
    collector: FigureCollector,
    name: string,
    commands: { listen: string; call: string; calls: number; warmUp: number },
    seed: number,
): Promise<void> {
    await withEnds(async (opener, acceptor) => {
        const address = await acceptor.run<string>({ name: commands.listen });
        await opener.run({ name: commands.call, address, count: commands.warmUp, seed });
        for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
            const call = { name: commands.call, address, count: commands.calls, seed };
            const used = await processorTime(opener, acceptor, () => opener.run(call));
            collector.add(`${name}.caller`, used.active / commands.calls, "us");
            collector.add(`${name}.callee`, used.passive / commands.calls, "us");
        }
    });
}

async function measureEvents(collector: FigureCollector, tokens: number, seed: number): Promise<void> {
    await withEnds(async (reader, writer) => {
        const address = await writer.run<string>({ name: "listenEvents", count: EVENTS, tokens, seed });
        await reader.run({ name: "readEvents", address, count: EVENTS });
        for (let repetition = 0; repetition <= REPETITIONS; repetition += 1) {
            let bytes = 0;
            const used = await processorTime(reader, writer, async () => {
                bytes = await reader.run<number>({ name: "readEvents", address, count: EVENTS });
            });
            if (repetition === 0) continue;
            collector.add(`events.tokens${tokens}.written`, used.passive / (EVENTS * EVENT_STREAMS), "us");
            collector.add(`events.tokens${tokens}.bytes`, bytes, "B");
        }
    });
}

/** Memory of an open link at each end; fresh processes for each repetition, since sessions are not reused. */
async function measureLinkMemory(collector: FigureCollector): Promise<void> {
    for (let repetition = 0; repetition < PROCESS_REPETITIONS; repetition += 1) {
        await withEnds(async (opener, acceptor) => {
            const address = await acceptor.run<string>({ name: "listenLink" });
            await opener.run({ name: "connectMany", address, count: 10 });
            const ends = { opener, acceptor };
            const before = { opener: await memoryOf(opener), acceptor: await memoryOf(acceptor) };
            await opener.run({ name: "connectMany", address, count: LINKS });
            for (const end of ["opener", "acceptor"] as const) {
                const after = await memoryOf(ends[end]);
                for (const part of ["heap", "external", "resident"] as const) {
                    collector.add(`link.memory.${end}.${part}`, (after[part] - before[end][part]) / LINKS, "B");
                }
            }
        });
    }
}

function memoryOf(end: EndpointProcess): Promise<{ heap: number; external: number; resident: number }> {
    return end.run({ name: "memory" });
}

async function measureResident(collector: FigureCollector): Promise<void> {
    const variants: readonly (readonly [string, readonly string[]])[] = [
        ["bare", []],
        ...LIBRARIES.map(library => [library.replace("@connectrpc/", ""), [library]] as const),
        ["all", LIBRARIES],
    ];
    for (let repetition = 0; repetition < PROCESS_REPETITIONS; repetition += 1) {
        for (const [name, libraries] of variants) {
            const bytes = await runForNumber("resident", libraries);
            collector.add(`resident.${name}`, bytes / 1_000_000, "MB");
        }
    }
}

async function measureState(collector: FigureCollector, seed: number): Promise<void> {
    for (let repetition = 0; repetition < PROCESS_REPETITIONS; repetition += 1) {
        const own = String(seed + repetition);
        for (const kind of HEAP_KINDS) collector.add(`heap.${kind}`, await runForNumber("heap", [kind, own]), "B");
        collector.add("configuration.apply", await runForNumber("heap", ["apply", own]), "us");
        const values = accounts(seed + repetition, 2_700);
        const snapshot = JSON.stringify(accountRecords(values));
        collector.add("configuration.snapshot", Buffer.byteLength(snapshot), "B");
        const changes = values.slice(0, 1).map(account => JSON.stringify(change(1_000_000, account)));
        collector.add("configuration.change", Buffer.byteLength(changes.join("")), "B");
    }
}

/** Runs the case in at most about 75 s on an idle machine. */
export async function measureSlopes(seed: number): Promise<Figures> {
    const collector = FigureCollector.create();
    await measureLinks(collector, seed);
    // The warm-up excludes compilation: a plain call cost 675 us in a run with 1,000 warm-up calls, 117 us with 6,000.
    const unary = { listen: "listenUnary", call: "callUnary", calls: 600, warmUp: 2_500 };
    const http = { listen: "listenHttp", call: "callHttp", calls: 3_000, warmUp: 6_000 };
    await measureCalls(collector, "unary", unary, seed);
    await measureCalls(collector, "http", http, seed);
    await measureEvents(collector, 1, seed);
    await measureEvents(collector, 8, seed);
    await measureWire(collector, seed, REPETITIONS);
    await measureLinkMemory(collector);
    await measureResident(collector);
    await measureState(collector, seed);
    return collector.figures();
}
