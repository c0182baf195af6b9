/** Releasing results that are not needed any more: handles of one holder are gathered for a moment into one call. */
import { NEVER_ABORTED, sendAttempt } from "../gateway/attempt.js";
import type { Dialect } from "../gateway/dialect.js";
import type { Target, TargetDirectory } from "../gateway/target.js";
import { Deadline } from "../model/index.js";

/** Time in milliseconds within which released results are gathered into one call. */
const GATHER_MS = 30;

/** Time in milliseconds for a call that releases results. */
const TIMEOUT_MS = 1_000;

/** What releasing works with. */
export interface ReleasesEnvironment {
    readonly dialect: Dialect;
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
            const holder = this.environment.dialect.holderOf(handle);
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
        const { dialect, targets, onDecision, onReleasing, onReleased } = this.environment;
        const target = targets.withAddress(holder);
        if (target === undefined || handles.length === 0) return;
        onReleasing(target, handles);
        const call = dialect.releaseCall(target.record.id, handles);
        const limits = { deadline: Deadline.after(TIMEOUT_MS), signal: NEVER_ABORTED };
        const sent = await sendAttempt({ ...call, address: holder }, limits);
        // An unreleased result expires at its holder; only its room is missing until then.
        if (sent.kind === "answered") sent.body.discard();
        else onDecision("release failed", { target: target.name, reason: sent.kind });
        onReleased();
    }
}
