/**
 * Releasing results that are not needed any more: handles of one holder are gathered for a moment into one call.
 *
 * Results that calls in progress have read are needed only if such a call breaks. Where the holder is short of room, the
 * room is worth more than the repeat, and they are released early; their ordinary release later does nothing.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import type { Target } from "../gateway/target.js";
import type { TargetTracker } from "./targettracker.js";

/** Time in milliseconds within which released results are gathered into one call. */
const GATHER_MS = 30;

/** What releasing works with. */
export interface ReleaseBatcherEnvironment {
    readonly service: string;
    readonly capacity: () => StageCapacity | undefined;
    /** The target that holds a result; undefined when it is not registered. */
    readonly holderOf: (handle: string) => Target | undefined;
    readonly trackerOf: (target: Target) => TargetTracker;
    /** Resolves to the reason of a failure. */
    readonly releaseResults: (target: Target, handles: readonly string[]) => Promise<string | undefined>;
    /** Called when the target has been asked. */
    readonly onReleased: () => void;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** The results of one service that wait to be released, by holder. */
export class ReleaseBatcher {
    private readonly gathered = new Map<Target, Set<string>>();

    private constructor(private readonly environment: ReleaseBatcherEnvironment) {}

    static create(environment: ReleaseBatcherEnvironment): ReleaseBatcher {
        return new ReleaseBatcher(environment);
    }

    /** Gives results up, except those that were released early. */
    add(handles: readonly string[]): void {
        const { holderOf, trackerOf: makerOf } = this.environment;
        for (const handle of handles) {
            const holder = holderOf(handle);
            // Results end with their holder.
            if (holder === undefined || makerOf(holder).hasReleased(handle)) continue;
            const gathered = this.gathered.get(holder);
            if (gathered !== undefined) {
                gathered.add(handle);
                continue;
            }
            this.gathered.set(holder, new Set([handle]));
            setTimeout(() => void this.send(holder), GATHER_MS);
        }
    }

    /** Gives up those results, of calls in progress that have read them, whose holders are short of room. */
    addEarly(handles: readonly string[]): void {
        const { service, holderOf, trackerOf: makerOf, onDecision } = this.environment;
        const capacity = this.environment.capacity();
        if (capacity === undefined) return;
        const early = handles.filter(handle => {
            const holder = holderOf(handle);
            return holder !== undefined && makerOf(holder).isShortOfRoom(capacity);
        });
        if (early.length === 0) return;
        onDecision("results released early", { service, results: early.length, first: early[0] });
        this.add(early);
    }

    private async send(holder: Target): Promise<void> {
        const handles = [...(this.gathered.get(holder) ?? [])];
        this.gathered.delete(holder);
        const { releaseResults, trackerOf: makerOf, onReleased, onDecision } = this.environment;
        makerOf(holder).removeResults(handles);
        const failure = await releaseResults(holder, handles);
        // An unreleased result expires at its holder; only its room is missing until then.
        if (failure !== undefined) onDecision("release failed", { target: holder.name, reason: failure });
        onReleased();
    }
}
