/** Counts what was sent and read, compares bookings with the services' own counters, and names what went wrong. */
import { formatTable } from "../commandline/console.js";
import type { Verdict } from "./caller.js";
import type { SentRequest } from "./traffic.js";

/** Figures of one run of the demo. The first is the sum of the others without `bookingRuns`. */
export interface DemoFigures {
    readonly requests: number;
    readonly deliveredOnceWholeInTime: number;
    readonly refusedNotRun: number;
    readonly failed: number;
    readonly unknown: number;
    /** Runs of bookings that the services counted. */
    readonly bookingRuns: number;
    readonly wrongAnswers: number;
}

/** The result of one run of the demo. */
export interface DemoSummary {
    readonly figures: DemoFigures;
    /** What was lost, doubled or crossed; empty when nothing was. */
    readonly problems: readonly string[];
}

/** Summarises the requests with the services' runs by idempotency key. */
export function summarise(sent: readonly SentRequest[], runs: ReadonlyMap<string, number>): DemoSummary {
    const count = (kind: Verdict["kind"]): number => sent.filter(({ verdict }) => verdict.kind === kind).length;
    const bookingRuns = [...runs.values()].reduce((sum, each) => sum + each, 0);
    return {
        figures: {
            requests: sent.length,
            deliveredOnceWholeInTime: count("delivered"),
            refusedNotRun: count("refused"),
            failed: count("failed"),
            unknown: count("unknown"),
            bookingRuns,
            wrongAnswers: count("wrong"),
        },
        problems: [...responseProblems(sent), ...bookingProblems(sent, runs)],
    };
}

/** No fault is switched on in the demo, so an answer that failed or is unknown was lost. */
function responseProblems(sent: readonly SentRequest[]): readonly string[] {
    return sent
        .filter(({ verdict }) => verdict.kind !== "delivered" && verdict.kind !== "refused")
        .map(
            ({ request, verdict }) =>
                `${request.pipeline.name} at ${request.entry}: ${verdict.kind}: ${verdict.detail}`,
        );
}

function bookingProblems(sent: readonly SentRequest[], runs: ReadonlyMap<string, number>): readonly string[] {
    const kinds = new Map<string, Set<Verdict["kind"]>>();
    for (const { request, verdict } of sent) {
        const { account, idempotencyKey } = request;
        if (idempotencyKey === undefined) continue;
        const key = `${account.name}/${idempotencyKey}/book`;
        kinds.set(key, (kinds.get(key) ?? new Set()).add(verdict.kind));
    }
    const problems = [...runs.keys()].filter(key => !kinds.has(key)).map(key => `${key} ran and was never sent`);
    for (const [key, seen] of kinds) {
        const count = runs.get(key) ?? 0;
        if (count > 1) problems.push(`${key} ran ${count} times`);
        if (count === 0 && seen.has("delivered")) problems.push(`${key} was answered without a run`);
        if (count > 0 && [...seen].every(kind => kind === "refused")) problems.push(`${key} was refused and ran`);
    }
    return problems;
}

/** Requests by pipeline and form, and the figures, as lines of text. */
export function formatSummary(sent: readonly SentRequest[], { figures, problems }: DemoSummary): readonly string[] {
    const groups = new Map<string, SentRequest[]>();
    for (const each of sent) {
        const name = `${each.request.pipeline.name}\n${each.request.streamed ? "streamed" : "whole"}`;
        groups.set(name, [...(groups.get(name) ?? []), each]);
    }
    const rows = [...groups]
        .sort(([left], [right]) => (left < right ? -1 : 1))
        .map(([name, group]) => {
            const times = group.map(({ verdict }) => verdict.milliseconds).sort((left, right) => left - right);
            const delivered = group.filter(({ verdict }) => verdict.kind === "delivered").length;
            const median = times[Math.floor(times.length / 2)] ?? 0;
            const latencies = [median, times.at(-1) ?? 0].map(value => value.toFixed(0));
            return [...name.split("\n"), String(group.length), String(delivered), ...latencies];
        });
    return [
        ...formatTable([["pipeline", "answer", "requests", "delivered", "median ms", "longest ms"], ...rows]),
        "",
        ...formatTable(Object.entries(figures).map(([name, value]) => [name, String(value)])),
        ...problems.map(problem => `problem: ${problem}`),
    ];
}
