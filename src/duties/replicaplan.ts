/**
 * Decides the number of targets of a service in a zone. Plain values in, a number out.
 *
 * Handles load that rises faster than new targets start, bursts, and load that falls for good. It scales up at once when the
 * work expected by the time at which new targets serve does not fit into those that there are, and scales down by one
 * target at a time once the load has been low for longer than a boot and a burst. A number that was raised is not lowered
 * within that time, so that it does not oscillate.
 */

/** Limits of the number of targets of a service in each zone. */
export interface ReplicaBounds {
    readonly minimum: number;
    readonly maximum: number;
    /** Time in milliseconds from an order until a new target serves. */
    readonly bootMs: number;
}

/** The load of a service in a zone at one time. */
export interface LoadSample {
    /** Monotonic time in milliseconds. */
    readonly at: number;
    /** Requests at targets, running or waiting. */
    readonly open: number;
    /** Whether all gateways have told what they have open; otherwise there may be more. */
    readonly isComplete: boolean;
}

/** What was last ordered. */
export interface LastOrder {
    readonly desired: number;
    /** Monotonic time in milliseconds. */
    readonly at: number;
}

/** What a decision depends on. */
export interface ReplicaState {
    readonly now: number;
    readonly bounds: ReplicaBounds;
    /** Samples in order of time, at least over the time that `historyMs` returns. */
    readonly samples: readonly LoadSample[];
    /** Time at which the first sample was taken, and since when load is known. */
    readonly knownSince: number;
    readonly slotsPerTarget: number;
    /** Number of registered targets. */
    readonly registered: number;
    readonly lastOrder: LastOrder | undefined;
}

/** Fraction of the slots above which requests begin to wait, since they are not spread evenly. */
const FULL_SHARE = 0.9;

/** Fraction of the slots that is to be used after an order, and below which fewer targets would do. */
const TARGET_SHARE = 0.75;
const LOW_SHARE = 0.6;

/** Longest burst in milliseconds that is waited for before a number is lowered. */
const BURST_MS = 30_000;

/** Time in milliseconds over which the present load is averaged. */
const PRESENT_MS = 1_500;

/** Length in milliseconds and number of the rises that show a trend; a step is seen in two of them at most. */
const RISE_MS = 3_000;
const RISES = 3;

/** Longest time in milliseconds for which a trend is taken to last, and the largest growth in it. */
const LONGEST_TREND_MS = 15_000;
const LARGEST_GROWTH = 1;

/** Time in milliseconds for which samples are needed. */
export function historyMs({ bootMs }: ReplicaBounds): number {
    return bootMs + BURST_MS;
}

/** The number of targets that there should be. */
export function desiredReplicas(state: ReplicaState): number {
    const { now, bounds, samples, slotsPerTarget, registered, lastOrder, knownSince } = state;
    const clamp = (count: number): number => Math.min(bounds.maximum, Math.max(bounds.minimum, count));
    const planned = lastOrder?.desired ?? registered;
    const present = meanOf(samples.filter(({ at }) => at > now - PRESENT_MS));
    if (present === undefined) return clamp(planned);
    const expected = present + growth(state, present);
    if (expected > planned * slotsPerTarget * FULL_SHARE) {
        return clamp(Math.max(planned, Math.ceil(expected / (slotsPerTarget * TARGET_SHARE))));
    }
    const holdMs = historyMs(bounds);
    const sinceMs = now - Math.max(knownSince, lastOrder?.at ?? Number.NEGATIVE_INFINITY);
    const held = samples.filter(({ at }) => at > now - holdMs);
    if (sinceMs < holdMs || !held.every(({ isComplete }) => isComplete)) return clamp(planned);
    const peak = Math.max(...held.map(({ open }) => open));
    return clamp(peak < (planned - 1) * slotsPerTarget * LOW_SHARE || peak === 0 ? planned - 1 : planned);
}

/**
 * The work that is added until new targets serve, if the load goes on rising as it does. The slowest of several rises in a
 * row counts, so that a burst that begins at once is not taken for a rise.
 */
function growth({ now, bounds, samples }: ReplicaState, present: number): number {
    const levels = Array.from({ length: RISES + 1 }, (_, index) => {
        const end = now - index * RISE_MS;
        return meanOf(samples.filter(({ at }) => at > end - PRESENT_MS && at <= end));
    });
    const rises = levels.slice(1).map((earlier, index) => {
        const later = levels[index];
        return earlier === undefined || later === undefined ? 0 : later - earlier;
    });
    const perMs = Math.max(0, Math.min(...rises)) / RISE_MS;
    return Math.min(present * LARGEST_GROWTH, perMs * Math.min(bounds.bootMs, LONGEST_TREND_MS));
}

function meanOf(samples: readonly LoadSample[]): number | undefined {
    if (samples.length === 0) return undefined;
    return samples.reduce((sum, { open }) => sum + open, 0) / samples.length;
}
