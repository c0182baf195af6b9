/**
 * Releasing results that are not needed any more: handles of one holder are gathered for a moment into one call.
 *
 * Results that calls in progress have read are needed only if such a call breaks. Where the holder is short of room, the
 * room is worth more than the repeat, and they are released early; their ordinary release later does nothing.
 */
import type { StageCapacity } from "../gateway/configuration.js";
import type { Target, TargetDirectory } from "../gateway/target.js";
import type { Maker } from "./maker.js";

/** Time in milliseconds within which released results are gathered into one call. */
const GATHER_MS = 30;

/** What releasing works with. */
export interface ReleasesEnvironment {
    readonly holderOf: (handle: string) => string;
    /** Resolves to the reason of a failure. */
    readonly releaseResults: (target: Target, handles: readonly string[]) => Promise<string | undefined>;
    readonly targets: TargetDirectory;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
    readonly service: string;
    readonly capacity: () => StageCapacity | undefined;
    readonly makerOf: (target: Target) => Maker;
    /** Called when the target has been asked. */
    readonly onReleased: () => void;
}

/** The results of one service that wait to be released, by holder. */
export class Releases {
    private readonly gathered = new Map<string, string[]>();

    private constructor(private readonly environment: ReleasesEnvironment) {}

    static create(environment: ReleasesEnvironment): Releases {
        return new Releases(environment);
    }

    /** Gives results up, except those that were released early. */
    add(handles: readonly string[]): void {
        for (const handle of handles) {
            const target = this.holderOf(handle);
            const isReleased = target !== undefined && this.environment.makerOf(target).hasReleased(handle);
            if (!isReleased) this.gather(handle);
        }
    }

    /** Gives up those results, of calls in progress that have read them, whose holders are short of room. */
    addRead(handles: readonly string[]): void {
        const capacity = this.environment.capacity();
        if (capacity === undefined) return;
        const early = handles.filter(handle => {
            const target = this.holderOf(handle);
            return target !== undefined && this.environment.makerOf(target).isShortOfRoom(capacity);
        });
        if (early.length === 0) return;
        const { service, onDecision } = this.environment;
        onDecision("results released early", { service, results: early.length, first: early[0] });
        this.add(early);
    }

    private holderOf(handle: string): Target | undefined {
        return this.environment.targets.withAddress(this.environment.holderOf(handle));
    }

    private gather(handle: string): void {
        const holder = this.environment.holderOf(handle);
        const gathered = this.gathered.get(holder);
        if (gathered !== undefined) {
            gathered.push(handle);
            return;
        }
        this.gathered.set(holder, [handle]);
        setTimeout(() => void this.send(holder), GATHER_MS);
    }

    private async send(holder: string): Promise<void> {
        const handles = this.gathered.get(holder) ?? [];
        this.gathered.delete(holder);
        const { releaseResults, targets, onDecision, makerOf, onReleased } = this.environment;
        const target = targets.withAddress(holder);
        if (target === undefined || handles.length === 0) return;
        makerOf(target).released(handles);
        const failure = await releaseResults(target, handles);
        // An unreleased result expires at its holder; only its room is missing until then.
        if (failure !== undefined) onDecision("release failed", { target: target.name, reason: failure });
        onReleased();
    }
}
