/**
 * Versions under trial at this entry: what was seen of them, here and at the other entries, and which are stopped.
 *
 * A stop is remembered until the configuration in which it was made, or a later one, gives the version no traffic. An
 * entry may hear of a stop before it has the split that the stop is about.
 */
import type { Configuration, ConfigurationHolder } from "../configuration/index.js";
import type { Tally as TallyMessage, VersionEvidence, VersionStopped } from "../link/index.js";
import { EvidenceCollector, type SplitEvidence, type Tally, type VersionAnswer } from "../moves/evidence.js";
import type { Metrics } from "../observability/index.js";
import type { VersionChooser } from "../routing/index.js";

/** A stop of a version. */
export interface VersionStop {
    readonly service: string;
    readonly version: string;
    /** With the route and the figures. */
    readonly reason: string;
    /** Configuration in force where it was stopped. */
    readonly configurationVersion: number;
}

/** What trials work with. */
export interface TrialContext {
    readonly versions: VersionChooser;
    readonly holder: ConfigurationHolder;
    readonly metrics: Metrics;
    /** Called when a version is stopped here first. */
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

    /** Takes an answer of any version; one that shows that a candidate fails stops it. */
    record(answer: VersionAnswer): void {
        this.evidence.record(answer);
    }

    /** Follows the configuration in force. */
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

    /** Takes a stop from another entry. */
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

    /** The stops in force, for an entry that connects. */
    currentStops(): readonly VersionStop[] {
        return [...this.stops.values()];
    }

    /** What this entry saw of a service's split. */
    ownEvidence(service: string): SplitEvidence | undefined {
        return this.evidence.list().find(each => each.service === service);
    }

    /** What this entry and the others that told it saw of a service's split. */
    allEvidence(service: string): readonly SplitEvidence[] {
        const own = this.ownEvidence(service);
        const fromPeers = [...this.peerEvidence.values()].filter(each => each.service === service);
        return own === undefined ? fromPeers : [own, ...fromPeers];
    }

    /** Takes the evidence of another entry, whose counts begin at zero with each of its incarnations. */
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
