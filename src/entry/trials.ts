/**
 * Trials of candidate versions: the evidence collected by this entry and the others, and which versions are stopped.
 *
 * A stop is kept until the candidate is gone from the configuration in which it was stopped, or from a later one. An
 * entry may receive a stop before the configuration with the traffic split that it refers to.
 */
import type { Configuration, ConfigurationHolder } from "../configuration/index.js";
import type { Tally as TallyMessage, VersionEvidence, VersionStopped } from "../link/index.js";
import { EvidenceCollector, type SplitEvidence, type Tally, type VersionAnswer } from "../moves/evidence.js";
import type { Metrics } from "../observability/index.js";
import type { VersionChooser } from "../routing/index.js";

/** A decision that a candidate version gets no more traffic. */
export interface VersionStop {
    readonly service: string;
    readonly version: string;
    /** Includes the route and the figures. */
    readonly reason: string;
    /** Configuration version in force at the entry that stopped it. */
    readonly configurationVersion: number;
}

/** Dependencies of the trials. */
export interface TrialContext {
    readonly versions: VersionChooser;
    readonly holder: ConfigurationHolder;
    readonly metrics: Metrics;
    /** Called when this entry stops a version, but not for stops received from other entries. */
    readonly onStopped: (stop: VersionStop) => void;
}

/** The trials of one entry. */
export class VersionTrials {
    private readonly evidence: EvidenceCollector;
    private readonly stops = new Map<string, VersionStop>();
    /** Evidence of other entries, by service, entry and incarnation. */
    private readonly peerEvidence = new Map<string, SplitEvidence>();

    private constructor(private readonly context: TrialContext) {
        this.evidence = EvidenceCollector.create(
            (service, version, reason) => this.stop(service, version, reason),
            answer => this.countAnswer(answer),
        );
        this.configure();
    }

    static create(context: TrialContext): VersionTrials {
        return new VersionTrials(context);
    }

    /** Records an answer of any version. Stops a candidate whose evidence shows that it fails. */
    record(answer: VersionAnswer): void {
        this.evidence.record(answer);
    }

    /** Applies the configuration in force. */
    configure(): void {
        const current = this.context.holder.current;
        this.evidence.configure(current);
        for (const [service, stop] of this.stops) {
            if (isCandidate(current, stop)) this.context.versions.stop(service, stop.version);
            else if (current.version >= stop.configurationVersion) {
                this.stops.delete(service);
                this.context.versions.resume(service);
            }
        }
        for (const [key, { service, version }] of this.peerEvidence) {
            if (!isCandidate(current, { service, version })) this.peerEvidence.delete(key);
        }
    }

    /** Stops a version here and reports it, unless that is already done. */
    stop(service: string, version: string, reason: string): void {
        if (this.stoppedReason(service, version) !== undefined) return;
        const configurationVersion = this.context.holder.current.version;
        const stop = { service, version, reason, configurationVersion };
        this.applyStop(stop);
        this.context.onStopped(stop);
    }

    /** Applies a stop from another entry unless the trial has ended. */
    receiveStop({ service, version, reason, configurationVersion }: VersionStopped): void {
        const current = this.context.holder.current;
        const trialEnded = current.version > configurationVersion && !isCandidate(current, { service, version });
        if (!trialEnded) this.applyStop({ service, version, reason, configurationVersion });
    }

    /** Why a version is stopped; undefined when it is not. */
    stoppedReason(service: string, version: string): string | undefined {
        const stop = this.stops.get(service);
        return stop?.version === version ? stop.reason : undefined;
    }

    /** The stops in force, which are sent to an entry that connects. */
    currentStops(): readonly VersionStop[] {
        return [...this.stops.values()];
    }

    /** This entry's evidence on a service's traffic split. */
    ownEvidence(service: string): SplitEvidence | undefined {
        return this.evidence.list().find(each => each.service === service);
    }

    /** Evidence of this entry, and of those that reported to it, on a service's traffic split. */
    allEvidence(service: string): readonly SplitEvidence[] {
        const own = this.ownEvidence(service);
        const fromPeers = [...this.peerEvidence.values()].filter(each => each.service === service);
        return own === undefined ? fromPeers : [own, ...fromPeers];
    }

    /** Stores the evidence of another entry. Its counts start at zero in each incarnation. */
    receiveEvidence(entry: string, { incarnation, service, version, fraction, routes }: VersionEvidence): void {
        const tallies = routes.map(({ route, candidate, stable }) => ({
            route,
            candidate: toTally(candidate),
            stable: toTally(stable),
        }));
        this.peerEvidence.set(`${service}/${entry}/${incarnation}`, { service, version, fraction, routes: tallies });
    }

    private applyStop(stop: VersionStop): void {
        this.stops.set(stop.service, stop);
        this.context.versions.stop(stop.service, stop.version);
    }

    private countAnswer({ service, version, route, account, failed }: VersionAnswer): void {
        const outcome = failed ? "failed" : "answered";
        this.context.metrics.increment("trial.answers", 1, { service, version, pipeline: route, account, outcome });
    }
}

function isCandidate(
    configuration: Configuration,
    { service, version }: { readonly service: string; readonly version: string },
): boolean {
    return configuration.find("traffic", service)?.candidate?.version === version;
}

function toTally(message: TallyMessage | undefined): Tally {
    const { answers = 0, failures = 0, timed = 0, slow = 0 } = message ?? {};
    return { answers, failures, timed, slow };
}
