/**
 * Roll-outs of new versions: which targets may get a request while a service has two versions.
 *
 * Until a roll-out is decided, the new version gets a small share of each gateway's requests, so its share of all
 * requests is bounded without agreement between gateways. The share goes to few targets of the new version. A version
 * may be bad under load only, so these targets are to be loaded like old ones: while an allowance beyond the share lasts,
 * the new version gets as much as one old target.
 */
import type { TrafficSplit } from "../model/index.js";
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

/** A roll-out as this gateway knows it. */
export interface SeenRollout extends Rollout {
    /** Time on the monotonic clock at which this gateway first saw it. */
    readonly seenAt: number;
    /** State in the store, which loses a decision when it is restored from a copy. */
    readonly storedState: RolloutState | undefined;
    /** Whether it may have begun before this process, so that others or the process before it have used the allowance. */
    readonly hasBegunBefore: boolean;
}

/** Bound on what all gateways together send to a new version until its roll-out is decided. */
export interface TrialLimits {
    /** Fraction of the requests to the service. */
    readonly share: number;
    /** Requests beyond that. */
    readonly allowance: number;
}

/** Fractions of the limits that are used; the rest is a margin for requests that arrive late or are counted elsewhere. */
const SHARE_USE_RATIO = 0.7;
const ALLOWANCE_USE_RATIO = 0.5;

/** This gateway's part of a trial. */
interface Trial {
    readonly version: string;
    /** Attempts at the service, and those of them at the new version. */
    allAttempts: number;
    newAttempts: number;
    /** The largest number of gateways that has shared the allowance: the parts of those that have left were used. */
    gateways: number;
    /** The split of attempts that the last choice of a target followed. */
    split: TrafficSplit;
}

/** Stands for all versions but the new one. */
const OLD_VERSION = "old";

/** The roll-outs of all services. */
export class Rollouts {
    private readonly rollouts = new Map<string, SeenRollout>();
    private readonly trials = new Map<string, Trial>();
    private readonly chooser = VersionChooser.create();

    private constructor(
        private readonly limits: TrialLimits,
        private readonly gatewayCount: () => number,
    ) {}

    /** `gatewayCount` is the number of gateways that share the limits. */
    static create(limits: TrialLimits, gatewayCount: () => number): Rollouts {
        return new Rollouts(limits, gatewayCount);
    }

    /**
     * Adds a roll-out or updates its state. A decision that is known stays in force if the stored roll-out `mayBeOlder`:
     * what follows from a decision, such as the end of the old targets, cannot be taken back. `hasBegunBefore` tells that the
     * roll-out may be older than this process.
     */
    put(rollout: Rollout, mayBeOlder = false, hasBegunBefore = false): void {
        const known = this.rollouts.get(rollout.service);
        const isKnown = known?.version === rollout.version;
        if (isKnown && !mayBeOlder && rollout.revision < known.revision) return;
        const isLost = mayBeOlder && isKnown && !isUndecided(known) && isUndecided(rollout);
        this.rollouts.set(rollout.service, {
            ...rollout,
            state: isLost ? known.state : rollout.state,
            seenAt: isKnown ? known.seenAt : performance.now(),
            storedState: rollout.state,
            hasBegunBefore: isKnown ? known.hasBegunBefore : hasBegunBefore,
        });
    }

    /** Records a decision that the store has acknowledged, before the view of the store shows it. */
    recordDecision({ service, version }: Rollout, state: RolloutState, revision: number): void {
        const known = this.rollouts.get(service);
        if (known?.version !== version || revision < known.revision) return;
        this.rollouts.set(service, { ...known, state, storedState: state, revision });
    }

    /** Forgets a roll-out; the same version may be tried again later. */
    remove(service: string): void {
        this.rollouts.delete(service);
        this.trials.delete(service);
        this.chooser.resume(service);
    }

    find(service: string): SeenRollout | undefined {
        return this.rollouts.get(service);
    }

    /** The roll-outs that are not decided, or whose decision the store has lost. */
    pending(): readonly SeenRollout[] {
        return [...this.rollouts.values()].filter(
            rollout => isUndecided(rollout) || rollout.state !== rollout.storedState,
        );
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
        const targetCount = Math.max(1, Math.round(oldTargets.length * this.share));
        const trial = this.trialOf(rollout);
        const fraction = Math.max(this.share, targetCount / (targetCount + oldTargets.length));
        trial.split = { ...trial.split, candidate: { version: rollout.version, fraction } };
        const versions = this.chooser.allowedVersions(service, trial.split) ?? [];
        const mayTry = versions.includes(rollout.version) && this.isWithinLimits(trial, rollout);
        return mayTry ? trialTargets(newTargets, targetCount) : oldTargets;
    }

    /** Records an attempt that is being sent. */
    recordSent({ registration }: Target): void {
        const { service, version } = registration;
        const rollout = this.rollouts.get(service);
        if (rollout === undefined || !isUndecided(rollout)) return;
        const trial = this.trialOf(rollout);
        const isNew = version === rollout.version;
        this.chooser.recordSent(service, trial.split, isNew ? version : OLD_VERSION);
        trial.allAttempts += 1;
        trial.newAttempts += Number(isNew);
    }

    private get share(): number {
        return this.limits.share * SHARE_USE_RATIO;
    }

    /** Whether one more attempt at the new version is within this gateway's part of the limits. */
    private isWithinLimits(trial: Trial, { hasBegunBefore }: SeenRollout): boolean {
        trial.gateways = Math.max(trial.gateways, this.gatewayCount());
        const allowance = hasBegunBefore ? 0 : (this.limits.allowance * ALLOWANCE_USE_RATIO) / trial.gateways;
        return trial.newAttempts + 1 <= (trial.allAttempts + 1) * this.share + allowance;
    }

    private trialOf({ service, version }: SeenRollout): Trial {
        const known = this.trials.get(service);
        if (known?.version === version) return known;
        const split = { service, stable: OLD_VERSION, candidate: { version, fraction: this.share } };
        const created = { version, allAttempts: 0, newAttempts: 0, gateways: 1, split };
        this.trials.set(service, created);
        return created;
    }
}

/** Whether a roll-out is neither completed nor reverted. */
export function isUndecided({ state }: Rollout): boolean {
    return state !== "completed" && state !== "reverted";
}

/** The targets of the new version that get its share. */
function trialTargets(newTargets: readonly Target[], count: number): readonly Target[] {
    const weightOf = ({ name }: Target): number => rendezvousWeight("trial", name);
    return [...newTargets].sort((left, right) => weightOf(right) - weightOf(left)).slice(0, count);
}
