/** Releasing results that are not needed any more: handles of one holder are gathered for a moment into one call. */
import type { Target, TargetDirectory } from "../gateway/target.js";

/** Time in milliseconds within which released results are gathered into one call. */
const GATHER_MS = 30;

/** What releasing works with. */
export interface ReleasesEnvironment {
    readonly holderOf: (handle: string) => string;
    /** Resolves to the reason of a failure. */
    readonly releaseResults: (target: Target, handles: readonly string[]) => Promise<string | undefined>;
    readonly targets: TargetDirectory;
    readonly onDecision: (decision: string, detail: Readonly<Record<string, unknown>>) => void;
    /** Called when results of a target are about to be released. */
    readonly onReleasing: (target: Target, handles: readonly string[]) => void;
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

    /** Gives results up. */
    add(handles: readonly string[]): void {
        for (const handle of handles) {
            const holder = this.environment.holderOf(handle);
            const gathered = this.gathered.get(holder);
            if (gathered !== undefined) {
                gathered.push(handle);
                continue;
            }
            this.gathered.set(holder, [handle]);
            setTimeout(() => void this.send(holder), GATHER_MS);
        }
    }

    private async send(holder: string): Promise<void> {
        const handles = this.gathered.get(holder) ?? [];
        this.gathered.delete(holder);
        const { releaseResults, targets, onDecision, onReleasing, onReleased } = this.environment;
        const target = targets.withAddress(holder);
        if (target === undefined || handles.length === 0) return;
        onReleasing(target, handles);
        const failure = await releaseResults(target, handles);
        // An unreleased result expires at its holder; only its room is missing until then.
        if (failure !== undefined) onDecision("release failed", { target: target.name, reason: failure });
        onReleased();
    }
}
