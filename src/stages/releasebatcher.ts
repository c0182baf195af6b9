/**
 * Releases results that are no longer needed, with one call for the handles that a holder gets within a short delay.
 *
 * Results that calls in progress have read are needed again only if such a call fails. If their holder is short of
 * memory, that memory is worth more than a possible retry, and the results are released early; their regular release
 * later has no effect.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import type { Target } from "../gateway/target.js";
import type { TargetTracker } from "./targettracker.js";

/** Delay in milliseconds during which released results are collected into one call. */
const BATCH_DELAY_MS = 30;

/** What a release batcher depends on. */
export interface ReleaseBatcherEnvironment {
    readonly service: string;
    readonly capacity: () => StageCapacity | undefined;
    /** The target that holds a result; undefined when it is not registered. */
    readonly holderOf: (handle: string) => Target | undefined;
    readonly trackerOf: (target: Target) => TargetTracker;
    /** Resolves to the reason of a failure. */
    readonly releaseResults: (target: Target, handles: readonly string[]) => Promise<string | undefined>;
    /** Called after each release call. */
    readonly onReleased: () => void;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Batches the releases of one service by holder. */
export class ReleaseBatcher {
    private readonly pendingByHolder = new Map<Target, Set<string>>();

    private constructor(private readonly environment: ReleaseBatcherEnvironment) {}

    static create(environment: ReleaseBatcherEnvironment): ReleaseBatcher {
        return new ReleaseBatcher(environment);
    }

    /** Releases results, except those that were released early. */
    add(handles: readonly string[]): void {
        const { holderOf, trackerOf } = this.environment;
        for (const handle of handles) {
            const holder = holderOf(handle);
            // Results are gone once their holder is.
            if (holder === undefined || trackerOf(holder).hasReleased(handle)) continue;
            const pending = this.pendingByHolder.get(holder);
            if (pending !== undefined) {
                pending.add(handle);
                continue;
            }
            this.pendingByHolder.set(holder, new Set([handle]));
            setTimeout(() => void this.send(holder), BATCH_DELAY_MS);
        }
    }

    /** Releases results that calls in progress have read, except those whose holders have enough memory. */
    addEarly(handles: readonly string[]): void {
        const { service, holderOf, trackerOf, onDecision } = this.environment;
        const capacity = this.environment.capacity();
        if (capacity === undefined) return;
        const early = handles.filter(handle => {
            const holder = holderOf(handle);
            return holder !== undefined && trackerOf(holder).isShortOfMemory(capacity);
        });
        if (early.length === 0) return;
        onDecision("results released early", { service, results: early.length, first: early[0] });
        this.add(early);
    }

    private async send(holder: Target): Promise<void> {
        const handles = [...(this.pendingByHolder.get(holder) ?? [])];
        this.pendingByHolder.delete(holder);
        const { releaseResults, trackerOf, onReleased, onDecision } = this.environment;
        trackerOf(holder).removeResults(handles);
        const failure = await releaseResults(holder, handles);
        // After a failure the result occupies memory until it expires at its holder.
        if (failure !== undefined) onDecision("release failed", { target: holder.name, reason: failure });
        onReleased();
    }
}
