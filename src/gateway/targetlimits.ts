/**
 * Limits that targets name: the requests a second that a target takes from all gateways together.
 *
 * A limit holds from the response that names it until one that does not. Gateways tell each other of changes, since one
 * that sends nothing to a target would not learn that its limit has ended.
 *
 * A limit is divided among gateways without agreement. A part that allows a request every few seconds would go unused at
 * most gateways and add up to bursts, so a small limit goes to a few gateways, which a hash chooses for each target.
 */
import { z } from "zod";
import { rendezvousWeight } from "../routing/index.js";
import type { SharedKnowledge } from "./gossip.js";
import type { TargetRegistration } from "./target.js";

/** Smallest part of a limit, in requests a second, as long as there is more than one part. */
const SMALLEST_PART_PER_SECOND = 0.5;

/** Time in milliseconds after which a limit is forgotten that no response has confirmed. */
const UNCONFIRMED_MS = 60_000;

/** Interval in milliseconds at which an unchanged limit counts as confirmed. */
const CONFIRMATION_INTERVAL_MS = 10_000;

/** Limits on memory and on the size of a message. */
const MAXIMUM_TARGETS = 2_000;

interface NamedLimit {
    /** Undefined if the target has ceased to name one. */
    readonly perSecond: number | undefined;
    /** Monotonic time in milliseconds of the response. */
    readonly at: number;
    /** The target that named it; one that has started again names its limit anew. */
    readonly target: TargetStart;
}

/** A target and its start. */
type TargetStart = Pick<TargetRegistration, "id" | "incarnation">;

const newsSchema = z
    .array(
        z.object({
            id: z.string(),
            incarnation: z.number(),
            perSecond: z.number().nonnegative().optional(),
            ageMs: z.number(),
        }),
    )
    .max(MAXIMUM_TARGETS);

/**
 * The part of a limit that a gateway may use, by default in requests a second; 0 if others share it. Parts are not below
 * `smallest` if there are several; `key` decides which gateways have them.
 */
export function partOfLimit(
    key: string,
    limit: number,
    self: string,
    others: readonly string[],
    smallest = SMALLEST_PART_PER_SECOND,
): number {
    const partCount = Math.max(1, Math.min(others.length + 1, Math.floor(limit / smallest)));
    const ownWeight = rendezvousWeight(key, self);
    const ahead = others.filter(other => rendezvousWeight(key, other) > ownWeight).length;
    return ahead < partCount ? limit / partCount : 0;
}

/** The limits that this gateway and the others have read. */
export class TargetLimits implements SharedKnowledge {
    private readonly limits = new Map<string, NamedLimit>();

    private constructor(
        private readonly onNews: () => void,
        private readonly onChange: (target: string, perSecond: number | undefined) => void,
    ) {}

    /** `onNews` is called when there is something to tell other gateways, `onChange` when a limit has changed. */
    static create(
        onNews: () => void = () => undefined,
        onChange: (target: string, perSecond: number | undefined) => void = () => undefined,
    ): TargetLimits {
        return new TargetLimits(onNews, onChange);
    }

    /** Requests a second that a target takes from all gateways together; undefined if it names no limit. */
    perSecond(target: TargetStart): number | undefined {
        const known = this.limits.get(keyOf(target));
        if (known === undefined || performance.now() - known.at > UNCONFIRMED_MS) return undefined;
        return known.perSecond;
    }

    /** Records the limit of a response, or that it names none. */
    observe(target: TargetStart, perSecond: number | undefined): void {
        const now = performance.now();
        const known = this.limits.get(keyOf(target));
        if (known === undefined && perSecond === undefined) return;
        const isConfirmed = known !== undefined && now - known.at < CONFIRMATION_INTERVAL_MS;
        if (known?.perSecond === perSecond && isConfirmed) return;
        this.put({ target, perSecond, at: now });
        this.onNews();
    }

    digest(): string {
        this.forgetUnconfirmed();
        return [...this.limits]
            .map(([key, { perSecond }]) => `${key} ${perSecond ?? ""}`)
            .sort()
            .join("\n");
    }

    news(): unknown {
        this.forgetUnconfirmed();
        const now = performance.now();
        return [...this.limits.values()].map(({ target: { id, incarnation }, perSecond, at }) => ({
            id,
            incarnation,
            perSecond,
            ageMs: Math.round(now - at),
        }));
    }

    merge(news: unknown): boolean {
        const parsed = newsSchema.safeParse(news);
        if (!parsed.success) return false;
        const now = performance.now();
        let hasChanged = false;
        for (const { id, incarnation, perSecond, ageMs } of parsed.data) {
            const target = { id, incarnation };
            const known = this.limits.get(keyOf(target));
            const at = now - ageMs;
            if (ageMs > UNCONFIRMED_MS || (known !== undefined && known.at >= at)) continue;
            const isSame = known !== undefined && known.perSecond === perSecond;
            if (isSame && at - known.at < CONFIRMATION_INTERVAL_MS / 2) continue;
            this.put({ target, perSecond, at });
            hasChanged = true;
        }
        if (hasChanged) this.onNews();
        return true;
    }

    private forgetUnconfirmed(): void {
        const oldestAt = performance.now() - UNCONFIRMED_MS;
        for (const [key, { at }] of this.limits) if (at < oldestAt) this.limits.delete(key);
    }

    private put(limit: NamedLimit): void {
        const key = keyOf(limit.target);
        const before = this.limits.get(key)?.perSecond;
        if (!this.limits.has(key) && this.limits.size >= MAXIMUM_TARGETS) return;
        this.limits.set(key, limit);
        if (before !== limit.perSecond) this.onChange(limit.target.id, limit.perSecond);
    }
}

function keyOf({ id, incarnation }: TargetStart): string {
    return `${id} ${incarnation}`;
}
