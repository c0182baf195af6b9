/**
 * Traffic split between the stable version of a service and a candidate version under trial.
 *
 * A deficit counter enforces the candidate's share: each attempt at the service adds the share, and an attempt at the
 * candidate subtracts one. The candidate never gets more than its share of the attempts plus one.
 */
import type { TrafficSplit } from "../model/index.js";

interface Deficit {
    readonly version: string;
    /** Attempts that the candidate may get now; below 2. */
    credit: number;
}

/** Largest error of a sum of fractions, which would otherwise cost a candidate of one in seven every eighth attempt. */
const ROUNDING_ERROR = 1e-9;

/** Enforces the traffic shares of versions at one entry. */
export class VersionChooser {
    private readonly deficits = new Map<string, Deficit>();
    private readonly stopped = new Map<string, string>();

    private constructor() {}

    static create(): VersionChooser {
        return new VersionChooser();
    }

    /**
     * The versions that may serve the next attempt, in order of preference; undefined if any version may. The candidate
     * never replaces a missing stable version.
     */
    allowedVersions(service: string, split: TrafficSplit | undefined): readonly string[] | undefined {
        if (split === undefined) return undefined;
        const candidate = this.activeCandidate(service, split);
        if (candidate === undefined) return [split.stable];
        const credit = this.deficit(service, candidate.version).credit + candidate.fraction;
        return credit >= 1 - ROUNDING_ERROR ? [candidate.version, split.stable] : [split.stable];
    }

    /** Records an attempt that is being sent to a version. */
    recordSent(service: string, split: TrafficSplit | undefined, version: string): void {
        const candidate = split && this.activeCandidate(service, split);
        if (candidate === undefined) return;
        const deficit = this.deficit(service, candidate.version);
        deficit.credit += candidate.fraction;
        if (version === candidate.version) deficit.credit -= 1;
        // The limit keeps a candidate without targets from accumulating a burst.
        deficit.credit = Math.min(1, deficit.credit);
    }

    /** Stops the traffic to a candidate until the split names another candidate or none. */
    stop(service: string, version: string): void {
        this.stopped.set(service, version);
    }

    /** Resumes the traffic to a stopped candidate. */
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
