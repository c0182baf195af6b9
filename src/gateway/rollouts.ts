/**
 * Roll-outs of new versions: which targets may get a request while a service has two versions.
 *
 * Until a roll-out is decided, the new version gets a small share of each gateway's requests, so its share of all
 * requests is bounded without agreement between gateways. The share goes to few targets of the new version, so that
 * they are loaded about as much as those of the old one; a version may be bad under load only.
 */
import { rendezvousWeight, VersionChooser } from "../routing/index.js";
import type { Target } from "./target.js";

/** State of a roll-out. */
export type RolloutState = "inProgress" | "completed" | "reverted";

/** A roll-out that operators have requested. */
export interface Rollout {
    readonly service: string;
    /** The new version. */
    readonly version: string;
    /** Time in milliseconds from the request in which the roll-out is to be decided. */
    readonly durationMs: number;
    /** Undefined until a gateway has taken it on. */
    readonly state: RolloutState | undefined;
    /** Version of the stored object, for conditional writes. */
    readonly revision: number;
}

/** A roll-out with the time on the monotonic clock at which this gateway first saw it. */
export interface SeenRollout extends Rollout {
    readonly seenAt: number;
}

/** The new version's share of requests until the roll-out is decided. */
export const TRIAL_SHARE = 0.07;

const OLD_VERSION = "old";

/** The roll-outs of all services. */
export class Rollouts {
    private readonly rollouts = new Map<string, SeenRollout>();
    private readonly chooser = VersionChooser.create();

    private constructor() {}

    static create(): Rollouts {
        return new Rollouts();
    }

    /** Adds a roll-out or updates its state. */
    put(rollout: Rollout): void {
        const known = this.rollouts.get(rollout.service);
        const seenAt = known?.version === rollout.version ? known.seenAt : performance.now();
        this.rollouts.set(rollout.service, { ...rollout, seenAt });
    }

    remove(service: string): void {
        this.rollouts.delete(service);
    }

    find(service: string): SeenRollout | undefined {
        return this.rollouts.get(service);
    }

    /** The roll-outs that are not decided. */
    undecided(): readonly SeenRollout[] {
        return [...this.rollouts.values()].filter(({ state }) => state !== "completed" && state !== "reverted");
    }

    /** Sends nothing more to the new version, before the stored state says so. */
    stop({ service, version }: Rollout): void {
        this.chooser.stop(service, version);
    }

    /** Whether a target has the new version of a service whose roll-out is not decided. */
    isOnTrial({ registration }: Target): boolean {
        const rollout = this.rollouts.get(registration.service);
        return rollout?.version === registration.version && isUndecided(rollout);
    }

    /** Whether a target may get nothing, since its version was rolled back. */
    isRolledBack({ registration }: Target): boolean {
        const rollout = this.rollouts.get(registration.service);
        return rollout?.version === registration.version && rollout.state === "reverted";
    }

    /**
     * The targets among `candidates` that may get the next request of a service. The new version does not stand in for
     * old targets that are unusable for a time, but serves alone if no old one is among the `eligible` targets.
     */
    allowed(
        service: string,
        candidates: readonly Target[],
        eligible: (service: string) => readonly Target[],
    ): readonly Target[] {
        const rollout = this.rollouts.get(service);
        if (rollout === undefined || rollout.state === "reverted") return candidates;
        const isNew = ({ registration }: Target): boolean => registration.version === rollout.version;
        const newTargets = candidates.filter(isNew);
        if (newTargets.length === 0) return candidates;
        if (rollout.state === "completed") return newTargets;
        const oldTargets = candidates.filter(target => !isNew(target));
        if (oldTargets.length === 0 && eligible(service).every(isNew)) return newTargets;
        const versions = this.chooser.allowedVersions(service, splitOf(rollout)) ?? [];
        return versions.includes(rollout.version) ? trialTargets(newTargets, oldTargets.length) : oldTargets;
    }

    /** Records an attempt that is being sent. */
    recordSent({ registration }: Target): void {
        const rollout = this.rollouts.get(registration.service);
        if (rollout === undefined || !isUndecided(rollout)) return;
        const version = registration.version === rollout.version ? rollout.version : OLD_VERSION;
        this.chooser.recordSent(registration.service, splitOf(rollout), version);
    }
}

function isUndecided({ state }: Rollout): boolean {
    return state !== "completed" && state !== "reverted";
}

function splitOf({ service, version }: Rollout): Parameters<VersionChooser["recordSent"]>[1] {
    return { service, stable: OLD_VERSION, candidate: { version, fraction: TRIAL_SHARE } };
}

/** The targets of the new version that get its share: so many that each has about the load of an old target. */
function trialTargets(newTargets: readonly Target[], oldTargets: number): readonly Target[] {
    const count = Math.max(1, Math.round(oldTargets * TRIAL_SHARE));
    const weightOf = ({ name }: Target): number => rendezvousWeight("trial", name);
    return [...newTargets].sort((left, right) => weightOf(right) - weightOf(left)).slice(0, count);
}
