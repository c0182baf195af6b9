/**
 * Decides roll-outs of new versions from the answers that all gateways observe.
 *
 * One gateway, the judge, collects the observations of all and writes the state of the roll-out (`gateway/rolloutjudges`).
 * The others send theirs a few times a second and learn from the answer whether the new version is to be stopped. If the
 * judge is lost, the next gateway gets all that the remaining ones have observed. One that is taken for the judge by
 * others, but not by itself, only stops a bad version: it may lack what the judge has.
 *
 * Two gateways that take themselves for the judge write conditionally, and a decided state is never changed.
 */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { type OnTaskFailure, runInBackground } from "../model/background.js";
import { Deadline } from "../model/index.js";
import { parseJson } from "../model/json.js";
import { LONGEST_SOUND_SILENCE_MS } from "../model/silence.js";
import type { LineFields } from "../observability/index.js";
import type { PeerCalls } from "../stages/index.js";
import type { WriteOutcome } from "../store/index.js";
import { NEVER_ABORTED } from "./attempt.js";
import type { GatewayPeers } from "./peers.js";
import { ObservationLog, ReceivedObservations } from "./observationlog.js";
import { type JudgeCall, judgesOf, RolloutJudges } from "./rolloutjudges.js";
import { isUndecided, type Rollouts, type RolloutState, type SeenRollout } from "./rollouts.js";
import type { Target } from "./target.js";
import { VersionJudge } from "./versionjudge.js";

/** Path of the interface between gateways on which observations are sent. */
export const OBSERVATIONS_PATH = "/observations";

/** Interval in milliseconds at which observations are sent and roll-outs are judged. */
const INTERVAL_MS = 250;

/** Time in milliseconds for another gateway to take observations; two calls fit into the longest sound silence. */
const SEND_TIMEOUT_MS = 1_000;

/** Fraction of a roll-out's duration after which it is decided, so that the state is stored in time. */
const DECISION_SHARE = 0.85;

/** Pause in milliseconds after a write of a state that failed. */
const WRITE_RETRY_MS = 500;

/** Time in milliseconds that the other gateways leave the chosen one to write a decision that the store has lost. */
const REWRITE_DELAY_MS = 1_000;

/** Largest multiple of that time that a gateway waits which is far from the first in the order of judges. */
const MAXIMUM_REWRITE_TURNS = 10;

/** Time in milliseconds that a new judge leaves the others to send what they have observed before it completes a roll-out. */
const COLLECT_MS = 1_000;

/** Time in milliseconds for which a gateway that others take for the judge acts on their observations. */
const ACTING_MS = 2_000;

/** Time in milliseconds without a successful write after which a judge says that it cannot judge, and until it tries again. */
const UNABLE_AFTER_MS = 1_000;
const UNABLE_PAUSE_MS = 3_000;

/** Longest fraction of a roll-out's duration for which a judge that nobody calls leaves the decision to another one. */
const ISOLATED_DELAY_SHARE = 0.075;

/** Longest name of a route in characters that another gateway may send, as a key of what is counted. */
const MAXIMUM_NAME_LENGTH = 1_000;

const observationsSchema = z.object({
    service: z.string(),
    version: z.string(),
    // Gateways of earlier versions send each observation once, without these fields.
    sender: z.string().max(MAXIMUM_NAME_LENGTH).optional(),
    first: z.int().min(0).default(0),
    isOldest: z.boolean().default(true),
    isJudge: z.boolean().default(true),
    observations: z.array(
        z.object({
            route: z.string().max(MAXIMUM_NAME_LENGTH),
            isNew: z.boolean(),
            failed: z.boolean(),
            slowness: z.number().optional(),
        }),
    ),
});

const verdictSchema = z.object({
    isBad: z.boolean(),
    /** Whether the gateway knows the roll-out and can write its state. */
    isJudging: z.boolean().default(true),
    /** Number of the observation that it needs next. */
    next: z.int().min(0).optional(),
});

/** What a controller depends on. */
export interface RolloutControllerEnvironment {
    readonly peers: Pick<GatewayPeers, "self" | "others">;
    readonly peerCalls: Pick<PeerCalls, "call" | "unansweredMs">;
    readonly rollouts: Rollouts;
    /** Whether the store did not answer lately when it was asked for roll-outs. */
    readonly isStoreLost: () => boolean;
    /** Writes the state of a roll-out if the stored object has not changed. */
    readonly writeState: (rollout: SeenRollout, state: RolloutState) => Promise<WriteOutcome>;
    readonly onChange: (change: string, fields: LineFields) => void;
}

interface Trial {
    readonly version: string;
    readonly judge: VersionJudge;
    readonly judges: RolloutJudges;
    /** What this gateway has observed, and the number of the first observation that its judge lacks. */
    readonly log: ObservationLog;
    judgedNext: number;
    readonly received: ReceivedObservations;
    /** Since when this gateway judges, and until when it acts for others that take it for the judge. */
    judgingSince: number | undefined;
    actingUntil: number;
    /** When another gateway was last heard in this roll-out. */
    heardAt: number;
    /** Why the version is bad, and when that became known; undefined while it is not. */
    fault: { readonly reason: string; readonly at: number } | undefined;
    /** The decision of which a write may have taken effect; it is not changed any more. */
    decision: { readonly state: RolloutState; readonly reason: string } | undefined;
    isWriting: boolean;
    /** When the last write ended. */
    wroteAt: number;
    /** Since when writes have failed; undefined if the last one has not. */
    unwrittenSince: number | undefined;
    /** Since when the store is known to have lost the decision; undefined while it has it. */
    lostSince: number | undefined;
}

/** Observes answers during roll-outs, and decides those for which this gateway is chosen. */
export class RolloutController {
    /** Identifies this process to those that take its observations. */
    private readonly sender = randomUUID();
    private readonly trials = new Map<string, Trial>();
    private timer: NodeJS.Timeout | undefined;
    private stopped = false;

    private constructor(private readonly environment: RolloutControllerEnvironment) {}

    static create(environment: RolloutControllerEnvironment): RolloutController {
        return new RolloutController(environment);
    }

    /** Begins to follow roll-outs that are not decided; called when roll-outs have changed. */
    follow(): void {
        if (this.timer !== undefined || this.stopped || this.environment.rollouts.pending().length === 0) return;
        this.timer = setTimeout(() => {
            this.timer = undefined;
            for (const rollout of this.environment.rollouts.pending()) this.run(() => this.advance(rollout));
            this.follow();
        }, INTERVAL_MS);
    }

    /** Records an answer of a target, or a missing one. */
    observe(target: Target, route: string, failed: boolean, slowness: number | undefined): void {
        const { service, version } = target.registration;
        const rollout = this.environment.rollouts.find(service);
        if (rollout === undefined) return;
        if (isUndecided(rollout)) {
            this.trialOf(rollout).log.add({ route, isNew: version === rollout.version, failed, slowness });
        } else this.trials.get(service)?.log.clear();
    }

    /** Takes observations of another gateway; returns the text of the answer, or undefined if they are malformed. */
    receive(text: string): string | undefined {
        const parsed = observationsSchema.safeParse(parseJson(text));
        if (!parsed.success) return undefined;
        const { service, version, sender, isJudge, ...batch } = parsed.data;
        const answer = (verdict: z.input<typeof verdictSchema>): string => JSON.stringify(verdict);
        const rollout = this.environment.rollouts.find(service);
        if (rollout?.version !== version) return answer({ isBad: false, isJudging: false });
        if (!isUndecided(rollout)) return answer({ isBad: rollout.state === "reverted" });
        const trial = this.trialOf(rollout);
        const taken =
            sender === undefined ? { added: batch.observations, next: undefined } : trial.received.take(sender, batch);
        for (const observation of taken.added) trial.judge.add(observation);
        trial.heardAt = performance.now();
        if (isJudge) trial.actingUntil = performance.now() + ACTING_MS;
        const { next } = taken;
        const isBad = trial.fault !== undefined;
        return answer({ isBad, isJudging: this.canWrite(trial), ...(next === undefined ? {} : { next }) });
    }

    /** Discards what was observed of a service's new version. */
    forget(service: string): void {
        this.trials.delete(service);
    }

    stop(): void {
        this.stopped = true;
        clearTimeout(this.timer);
    }

    private run(task: () => void | Promise<void>): void {
        const onFailure: OnTaskFailure = fields => this.environment.onChange("task failed unexpectedly", fields);
        runInBackground("roll-out", onFailure, task);
    }

    private advance(rollout: SeenRollout): void {
        const { peers, onChange } = this.environment;
        const trial = this.trialOf(rollout);
        const judges = judgesOf(rollout.service, [peers.self, ...peers.others]);
        if (!isUndecided(rollout)) {
            this.writeAgain(rollout, judges[0]?.name === peers.self.name);
            return;
        }
        trial.lostSince = undefined;
        const { calls, isSelf, rank } = trial.judges.choose(judges, peers.self);
        for (const call of calls) this.run(() => this.send(rollout, trial, call));
        // In an outage of the store no gateway after the first one can do more than that one.
        const isJudge = isSelf && (rank === 0 || this.canWrite(trial));
        if (isJudge && trial.judgingSince === undefined) {
            trial.judgingSince = performance.now();
            // The first one has no task to take over.
            if (rank > 0) onChange("rollout taken over", { service: rollout.service, from: judges[0]?.name, rank });
        } else if (!isJudge) trial.judgingSince = undefined;
        if (isSelf || performance.now() < trial.actingUntil) this.findFault(rollout, trial);
        this.decide(rollout, trial, rank);
    }

    private async send(rollout: SeenRollout, trial: Trial, { peer, contact, isJudge }: JudgeCall): Promise<void> {
        const { service, version } = rollout;
        const { peerCalls, rollouts, onChange } = this.environment;
        const batch = trial.log.since(contact.next);
        const text = JSON.stringify({ service, version, sender: this.sender, isJudge, ...batch });
        const limits = { deadline: Deadline.after(SEND_TIMEOUT_MS), signal: NEVER_ABORTED };
        contact.callingSince = contact.calledAt = performance.now();
        const answer = await peerCalls
            .call(peer, OBSERVATIONS_PATH, text, limits)
            .finally(() => (contact.callingSince = undefined));
        const verdict = answer.kind === "answered" ? verdictSchema.safeParse(parseJson(answer.text)).data : undefined;
        contact.isAnswering = verdict?.isJudging === true;
        if (verdict === undefined) {
            const reason = answer.kind === "failed" ? answer.reason : "malformed answer";
            onChange("observations not sent", {
                service,
                peer: peer.name,
                reason,
                observations: batch.observations.length,
            });
            return;
        }
        contact.unableSince = verdict.isJudging ? undefined : (contact.unableSince ?? performance.now());
        if (verdict.isJudging) contact.next = verdict.next ?? batch.first + batch.observations.length;
        if (!verdict.isBad) return;
        rollouts.stop(rollout);
        trial.fault ??= { reason: `judged by ${peer.name}`, at: performance.now() };
    }

    /** Writes a decision that the store has lost. Any gateway may know of it, also if the chosen one does not. */
    private writeAgain(rollout: SeenRollout, isChosen: boolean): void {
        const trial = this.trialOf(rollout);
        trial.lostSince ??= performance.now();
        const delayMs = isChosen ? 0 : REWRITE_DELAY_MS;
        if (rollout.state === undefined || performance.now() - trial.lostSince < delayMs) return;
        this.write(rollout, trial, rollout.state, "lost by the store");
    }

    /** Looks for a fault of the new version, and stops the version if there is one. */
    private findFault(rollout: SeenRollout, trial: Trial): void {
        const { observations } = trial.log.since(trial.judgedNext);
        for (const observation of observations) trial.judge.add(observation);
        trial.judgedNext = trial.log.next;
        if (trial.fault !== undefined) return;
        const reason = trial.judge.findFault();
        if (reason === undefined) return;
        trial.fault = { reason, at: performance.now() };
        this.environment.rollouts.stop(rollout);
    }

    /** Writes the state that follows from what is known. `rank` is the number of gateways that judge before this one. */
    private decide(rollout: SeenRollout, trial: Trial, rank: number): void {
        const { judgingSince, fault, decision } = trial;
        const now = performance.now();
        const isJudge = judgingSince !== undefined;
        if (decision !== undefined && isJudge) {
            this.write(rollout, trial, decision.state, decision.reason);
            return;
        }
        if (fault !== undefined) {
            const turns = isJudge || now < trial.actingUntil ? 0 : Math.min(rank, MAXIMUM_REWRITE_TURNS);
            const isTurn = now - fault.at >= turns * REWRITE_DELAY_MS && (isJudge || this.canWrite(trial));
            if (isTurn) this.write(rollout, trial, "reverted", fault.reason);
            return;
        }
        if (!isJudge) return;
        const isDue = now - rollout.seenAt >= rollout.durationMs * this.decisionShare(trial);
        if (isDue && (rank === 0 || now - judgingSince >= COLLECT_MS)) {
            const isAcceptable = trial.judge.isAcceptable();
            const reason = isAcceptable ? "no evidence against it" : "not enough evidence for it";
            this.write(rollout, trial, isAcceptable ? "completed" : "reverted", reason);
        } else if (rollout.state === undefined) {
            this.write(rollout, trial, "inProgress", "requested");
        }
    }

    /**
     * Fraction of a roll-out's duration after which it is decided. A judge that is cut off from the others has seen a part of
     * what another one has, which is then the first to decide.
     */
    private decisionShare({ heardAt }: Trial): number {
        const isIsolated =
            this.environment.peers.others.length > 0 && performance.now() - heardAt > LONGEST_SOUND_SILENCE_MS;
        return DECISION_SHARE + (isIsolated ? ISOLATED_DELAY_SHARE : 0);
    }

    /** Whether this gateway can write the state of a roll-out, as far as it knows. */
    private canWrite({ unwrittenSince, wroteAt }: Trial): boolean {
        if (this.environment.isStoreLost()) return false;
        const now = performance.now();
        return (
            unwrittenSince === undefined || now - unwrittenSince < UNABLE_AFTER_MS || now - wroteAt >= UNABLE_PAUSE_MS
        );
    }

    private write(rollout: SeenRollout, trial: Trial, state: RolloutState, reason: string): void {
        if (trial.isWriting || performance.now() - trial.wroteAt < WRITE_RETRY_MS) return;
        trial.isWriting = true;
        const { service, version } = rollout;
        this.run(async () => {
            const outcome = await this.environment.writeState(rollout, state).finally(() => (trial.isWriting = false));
            trial.wroteAt = performance.now();
            const isApplied = outcome.kind === "written" || outcome.kind === "conflict";
            trial.unwrittenSince = isApplied ? undefined : (trial.unwrittenSince ?? performance.now());
            const isDecision = state !== "inProgress";
            if (isDecision && outcome.kind === "written") {
                this.environment.rollouts.recordDecision(rollout, state, outcome.version);
                this.environment.onChange("rollout", { service, version, state, durationMs: rollout.durationMs });
            }
            if (isDecision && outcome.kind === "unknown") trial.decision ??= { state, reason };
            const answers = trial.judge.newAnswers;
            this.environment.onChange("rollout state written", {
                service,
                version,
                state,
                reason,
                answers,
                outcome: outcome.kind,
            });
        });
    }

    private trialOf({ service, version }: SeenRollout): Trial {
        const known = this.trials.get(service);
        if (known?.version === version) return known;
        const trial: Trial = {
            version,
            judge: VersionJudge.create(),
            judges: RolloutJudges.create(peer => this.environment.peerCalls.unansweredMs(peer)),
            log: ObservationLog.create(),
            judgedNext: 0,
            received: ReceivedObservations.create(),
            judgingSince: undefined,
            actingUntil: 0,
            heardAt: Number.NEGATIVE_INFINITY,
            fault: undefined,
            decision: undefined,
            isWriting: false,
            wroteAt: Number.NEGATIVE_INFINITY,
            unwrittenSince: undefined,
            lostSince: undefined,
        };
        this.trials.set(service, trial);
        return trial;
    }
}
