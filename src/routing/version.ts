/**
 * Choice between the stable version of a service and a candidate under trial.
 *
 * The candidate's share is enforced by a deficit counter: each attempt at the service adds the share, and an attempt at
 * the candidate takes one. The candidate so never has more than its share of the attempts plus one.
 */
import type { TrafficSplit } from "../model/index.js";

interface Deficit {
    readonly version: string;
    /** Attempts that the candidate may get; below 2. */
    credit: number;
}

/** Enforces the traffic shares of versions at one entry. */
export class VersionChooser {
    private readonly deficits = new Map<string, Deficit>();
    private readonly stopped = new Map<string, string>();

    private constructor() {}

    static create(): VersionChooser {
        return new VersionChooser();
    }

    /**
     * The versions that may serve the next attempt, preferred one first; undefined when every version may. The
     * candidate is never a substitute for a missing stable version.
     */
    allowedVersions(service: string, split: TrafficSplit | undefined): readonly string[] | undefined {
        if (split === undefined) return undefined;
        const candidate = this.activeCandidate(service, split);
        if (candidate === undefined) return [split.stable];
        const credit = this.deficit(service, candidate.version).credit + candidate.fraction;
        return credit >= 1 ? [candidate.version, split.stable] : [split.stable];
    }

    /** Counts an attempt that is being sent to a version. */
    recordSent(service: string, split: TrafficSplit | undefined, version: string): void {
        const candidate = split && this.activeCandidate(service, split);
        if (candidate === undefined) return;
        const deficit = this.deficit(service, candidate.version);
        deficit.credit += candidate.fraction;
        if (version === candidate.version) deficit.credit -= 1;
        // A candidate without targets saves up no burst.
        deficit.credit = Math.min(1, deficit.credit);
    }

    /** Gives a candidate no further traffic until a split names another one or none. */
    stop(service: string, version: string): void {
        this.stopped.set(service, version);
    }

    /** Ends a stop. */
    resume(service: string): void {
        this.stopped.delete(service);
    }

    private activeCandidate(service: string, split: TrafficSplit): TrafficSplit["candidate"] {
        const stopped = this.stopped.get(service);
        if (stopped === undefined) return split.candidate;
        if (split.candidate?.version === stopped) return undefined;
        this.stopped.delete(service);
        return split.candidate;
    }

    private deficit(service: string, version: string): Deficit {
        const existing = this.deficits.get(service);
        if (existing?.version === version) return existing;
        const created = { version, credit: 0 };
        this.deficits.set(service, created);
        return created;
    }
}
