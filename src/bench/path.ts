/**
 * The case `path`: the overhead of the system for a request of three stages over TCP loopback, compared with direct calls
 * to the same stand-ins.
 *
 * Stand-ins, system (an entry and three agents in one process) and callers are three processes. Both variants send the
 * same requests one after the other, in turns. The processor time of a variant is that of the callers and the system;
 * the stand-ins' own is left out. The time for a token is the slope between short and long answers.
 */
import { PATH_SERVICES, type PathTimes } from "./pathend.js";
import { EndpointProcess } from "./peer.js";
import { FigureCollector, type Figures } from "./statistics.js";

const REPETITIONS = 5;
const WARM_UP_REQUESTS = 150;

/** Maximum tokens of an answer, and the requests of one repetition. */
const ANSWERS = [
    { tokens: 8, requests: 100 },
    { tokens: 64, requests: 40 },
] as const;

/** One repetition of one variant. */
interface Sample extends PathTimes {
    readonly requests: number;
    /** Processor time for each request, in microseconds. */
    readonly processor: number;
}

interface Ends {
    readonly callers: EndpointProcess;
    readonly system: EndpointProcess;
    readonly addresses: readonly string[];
    readonly entry: string;
    readonly tokens: number;
}

type Pair = { readonly system: Sample; readonly direct: Sample };

/** Runs the case in at most about two minutes. */
export async function measurePath(seed: number): Promise<Figures> {
    const collector = FigureCollector.create();
    const pairs: Pair[][] = [];
    for (const { tokens, requests } of ANSWERS) pairs.push(await measureAnswers(collector, tokens, requests, seed));
    const [short = [], long = []] = pairs;
    for (const [index, pair] of short.entries()) {
        const other = long[index];
        if (other === undefined) continue;
        const [system, direct] = [slope(pair.system, other.system), slope(pair.direct, other.direct)];
        collector.add("path.token.processor.system", system, "us");
        collector.add("path.token.processor.direct", direct, "us");
        collector.add("path.token.processor.ratio", system / direct, "x");
    }
    return collector.figures();
}

/** Processor time for one token, from the difference of two answer lengths. */
function slope(short: Sample, long: Sample): number {
    const tokens = long.tokens / long.requests - short.tokens / short.requests;
    return (long.processor - short.processor) / tokens;
}

async function measureAnswers(
    collector: FigureCollector,
    tokens: number,
    requests: number,
    seed: number,
): Promise<Pair[]> {
    const standIns = EndpointProcess.start();
    const system = EndpointProcess.start();
    const callers = EndpointProcess.start();
    try {
        const addresses = await standIns.run<readonly string[]>({ name: "listenStandIns" });
        const entry = await system.run<string>({ name: "startSystem", addresses, tokens });
        const ends = { callers, system, addresses, entry, tokens };
        await measurePair(ends, WARM_UP_REQUESTS, seed);
        const pairs: Pair[] = [];
        for (let repetition = 1; repetition <= REPETITIONS; repetition += 1) {
            const pair = await measurePair(ends, requests, seed + repetition);
            record(collector, `path.answer${tokens}`, pair);
            pairs.push(pair);
        }
        return pairs;
    } finally {
        for (const end of [standIns, system, callers]) end.stop();
    }
}

async function measurePair(ends: Ends, requests: number, seed: number): Promise<Pair> {
    const { addresses, entry: address, tokens } = ends;
    const direct = await sample(ends, requests, { name: "callDirect", addresses, count: requests, tokens, seed });
    const system = await sample(ends, requests, { name: "callSystem", address, count: requests, seed });
    if (direct.tokens !== system.tokens) throw new Error("the variants read different numbers of tokens");
    return { system, direct };
}

async function sample(ends: Ends, requests: number, command: Parameters<EndpointProcess["run"]>[0]): Promise<Sample> {
    await ends.system.run({ name: "begin" });
    await ends.callers.run({ name: "begin" });
    const times = await ends.callers.run<PathTimes>(command);
    const used = await ends.callers.run<number>({ name: "finish" });
    const own = command.name === "callSystem" ? await ends.system.run<number>({ name: "finish" }) : 0;
    return { ...times, requests, processor: (used + own) / requests };
}

function record(collector: FigureCollector, name: string, { system, direct }: Pair): void {
    for (const measure of ["duration", "firstToken"] as const) {
        collector.add(`${name}.${measure}.system`, system[measure], "ms");
        collector.add(`${name}.${measure}.direct`, direct[measure], "ms");
        collector.add(`${name}.${measure}.ratio`, system[measure] / direct[measure], "x");
        const added = (system[measure] - direct[measure]) / PATH_SERVICES.length;
        collector.add(`${name}.${measure}.addedPerStage`, added, "ms");
    }
    collector.add(`${name}.processor.system`, system.processor, "us");
    collector.add(`${name}.processor.direct`, direct.processor, "us");
    collector.add(`${name}.processor.ratio`, system.processor / direct.processor, "x");
}
