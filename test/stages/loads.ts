/** A load on three stage services near their capacity. */
import type { Load, LoadRoute, LoadService } from "./load.js";

const SECONDS = 10;
const SEED = 20_261_204;

interface ServiceShape {
    readonly batch: number;
    readonly pieceMs: number;
    readonly megabytes: number;
}

/** A service with one target for each letter; the letter is the zone of the target. */
function service(zones: string, { batch, pieceMs, megabytes }: ServiceShape): LoadService {
    const rest = { slots: 1, callMs: 200, resultLifetimeMs: 4_000 };
    return { ...rest, batch, pieceMs, memoryBytes: megabytes * 1_000_000, zones: [...zones] };
}

export const SERVICES = {
    reader: service("abc", { batch: 8, pieceMs: 12, megabytes: 18 }),
    notifier: service("aabbc", { batch: 14, pieceMs: 12, megabytes: 1.8 }),
    reviewer: service("aabbc", { batch: 34, pieceMs: 5, megabytes: 0.45 }),
};

function stage(name: string, after: readonly number[], resultBytes: number): LoadRoute["stages"][number] {
    return { service: name, after, resultBytes };
}

/** A random integer between half and one and a half times a mean, and at least 1. */
function around(mean: number, random: () => number): number {
    return Math.max(1, Math.round(mean * (0.5 + random())));
}

/** Routes at a multiple of the normal load. */
function routes(multiple: number): readonly LoadRoute[] {
    const common = { lateShare: 0.15 };
    return [
        {
            ...common,
            name: "draft",
            worth: 3.2,
            targetMs: 2_000,
            deadlineMs: 6_000,
            priority: 1,
            perSecond: () => 8 * multiple,
            stages: [
                stage("reader", [], 1_500_000),
                stage("reader", [], 8_000),
                stage("notifier", [1], 60_000),
                stage("reviewer", [2], 6_000),
            ],
            pieces: random => [random() < 0.4 ? around(1.5, random) : 0, 1, 4, around(10, random)],
        },
        {
            ...common,
            name: "review",
            worth: 2,
            targetMs: 1_900,
            deadlineMs: 6_000,
            priority: 0,
            perSecond: () => 8.5 * multiple,
            stages: [stage("reader", [], 8_000), stage("notifier", [0], 60_000), stage("reviewer", [1], 6_000)],
            pieces: random => [1, 4, around(10, random)],
        },
        {
            ...common,
            name: "summary",
            worth: 0.8,
            targetMs: 910,
            deadlineMs: 10_000,
            priority: 2,
            perSecond: () => 4.2 * multiple,
            stages: [stage("reader", [], 1_500_000)],
            pieces: random => [random() < 0.7 ? around(2.5, random) : 0],
        },
    ];
}

export function load(multiple: number, services: Load["services"] = SERVICES): Load {
    return { seed: SEED, seconds: SECONDS, services, routes: routes(multiple) };
}
