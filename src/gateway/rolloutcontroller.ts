/**
 * Decides roll-outs of new versions from the answers that all gateways observe.
 *
 * One gateway, chosen by a hash of the service, collects the observations of all and writes the state of the roll-out.
 * The others send theirs a few times a second and learn from the answer whether the new version is to be stopped. If
 * the chosen gateway is lost, the next one begins with the observations from then on. Two gateways that take themselves
 * for the chosen one write conditionally, and a decided state is never changed.
 */
import { z } from "zod";
import { type OnTaskFailure, runInBackground } from "../model/background.js";
import { Deadline } from "../model/index.js";
import { parseJson } from "../model/json.js";
import type { LineFields } from "../observability/index.js";
import { chooseCoordinator } from "./coordinator.js";
import type { PeerCalls } from "../stages/index.js";
import type { WriteOutcome } from "../store/index.js";
import { NEVER_ABORTED } from "./attempt.js";
import type { GatewayPeers } from "./peers.js";
import { isUndecided, type Rollouts, type RolloutState, type SeenRollout } from "./rollouts.js";
import type { Target } from "./target.js";
import { VersionJudge, type VersionObservation } from "./versionjudge.js";

/** Path of the interface between gateways on which observations are sent. */
export const OBSERVATIONS_PATH = "/observations";

/** Interval in milliseconds at which observations are sent and roll-outs are judged. */
const INTERVAL_MS = 250;

/** Time in milliseconds for another gateway to take observations. */
const SEND_TIMEOUT_MS = 500;

/** Fraction of a roll-out's duration after which it is decided, so that the state is stored in time. */
const DECISION_SHARE = 0.85;

/** Pause in milliseconds after a write of a state that failed. */
const WRITE_RETRY_MS = 500;

/** Time in milliseconds that the other gateways leave the chosen one to write a decision that the store has lost. */
const REWRITE_DELAY_MS = 1_000;

/** Maximum number of observations of one service that wait to be sent. */
const MAXIMUM_WAITING = 2_000;

/** Longest name of a route in characters that another gateway may send, as a key of what is counted. */
const MAXIMUM_NAME_LENGTH = 1_000;

const observationsSchema = z.object({
    service: z.string(),
    version: z.string(),
    observations: z.array(
        z.object({
            route: z.string().max(MAXIMUM_NAME_LENGTH),
            isNew: z.boolean(),
            failed: z.boolean(),
            slowness: z.number().optional(),
        }),
    ),
});

const verdictSchema = z.object({ isBad: z.boolean() });

/** What a controller depends on. */
export interface RolloutControllerEnvironment {
    readonly peers: GatewayPeers;
    readonly peerCalls: PeerCalls;
    readonly rollouts: Rollouts;
    /** Writes the state of a roll-out if the stored object has not changed. */
    readonly writeState: (rollout: SeenRollout, state: RolloutState) => Promise<WriteOutcome>;
    readonly onChange: (change: string, fields: LineFields) => void;
}

interface Trial {
    readonly version: string;
    readonly judge: VersionJudge;
    /** Why the version is bad; undefined while it is not known to be. */
    fault: string | undefined;
    /** The decision of which a write may have taken effect; it is not changed any more. */
    decision: { readonly state: RolloutState; readonly reason: string } | undefined;
    isWriting: boolean;
    writeAfter: number;
    /** Since when the store is known to have lost the decision; undefined while it has it. */
    lostSince: number | undefined;
}

/** Observes answers during roll-outs, and decides those for which this gateway is chosen. */
export class RolloutController {
    private readonly waiting = new Map<string, VersionObservation[]>();
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
        if (rollout === undefined || !isUndecided(rollout)) return;
        const observations = this.waiting.get(service) ?? [];
        this.waiting.set(service, observations);
        if (observations.length >= MAXIMUM_WAITING) return;
        observations.push({ route, isNew: version === rollout.version, failed, slowness });
    }

    /** Takes observations of another gateway; returns the text of the answer, or undefined if they are malformed. */
    receive(text: string): string | undefined {
        const parsed = observationsSchema.safeParse(parseJson(text));
        if (!parsed.success) return undefined;
        const { service, version, observations } = parsed.data;
        const rollout = this.environment.rollouts.find(service);
        if (rollout?.version !== version) return JSON.stringify({ isBad: false });
        if (rollout.state === "reverted") return JSON.stringify({ isBad: true });
        const trial = this.trialOf(rollout);
        for (const observation of observations) trial.judge.add(observation);
        return JSON.stringify({ isBad: trial.fault !== undefined });
    }

    /** Discards what was observed of a service's new version. */
    forget(service: string): void {
        this.waiting.delete(service);
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
        const { service } = rollout;
        const observations = this.waiting.get(service)?.splice(0) ?? [];
        const { peers } = this.environment;
        const chosen = chooseCoordinator(`rollout ${service}`, [peers.self, ...peers.others]) ?? peers.self;
        if (!isUndecided(rollout)) {
            this.writeAgain(rollout, chosen === peers.self);
            return;
        }
        if (chosen !== peers.self) {
            this.run(() => this.send(rollout, observations, chosen));
            return;
        }
        const trial = this.trialOf(rollout);
        for (const observation of observations) trial.judge.add(observation);
        this.decide(rollout, trial);
    }

    private async send(
        rollout: SeenRollout,
        observations: readonly VersionObservation[],
        chosen: GatewayPeers["self"],
    ): Promise<void> {
        const { service, version } = rollout;
        const text = JSON.stringify({ service, version, observations });
        const limits = { deadline: Deadline.after(SEND_TIMEOUT_MS), signal: NEVER_ABORTED };
        const answer = await this.environment.peerCalls.call(chosen, OBSERVATIONS_PATH, text, limits);
        if (answer.kind === "failed") {
            const lost = { service, peer: chosen.name, reason: answer.reason, observations: observations.length };
            this.environment.onChange("observations not sent", lost);
            return;
        }
        if (verdictSchema.safeParse(parseJson(answer.text)).data?.isBad === true) {
            this.environment.rollouts.stop(rollout);
        }
    }

    /** Writes a decision that the store has lost. Any gateway may know of it, also if the chosen one does not. */
    private writeAgain(rollout: SeenRollout, isChosen: boolean): void {
        const trial = this.trialOf(rollout);
        trial.lostSince ??= performance.now();
        const delayMs = isChosen ? 0 : REWRITE_DELAY_MS;
        if (rollout.state === undefined || performance.now() - trial.lostSince < delayMs) return;
        this.write(rollout, trial, rollout.state, "lost by the store");
    }

    private decide(rollout: SeenRollout, trial: Trial): void {
        trial.lostSince = undefined;
        if (trial.decision !== undefined) {
            this.write(rollout, trial, trial.decision.state, trial.decision.reason);
            return;
        }
        trial.fault ??= trial.judge.findFault();
        if (trial.fault !== undefined) {
            this.environment.rollouts.stop(rollout);
            this.write(rollout, trial, "reverted", trial.fault);
            return;
        }
        const elapsedMs = performance.now() - rollout.seenAt;
        if (elapsedMs >= rollout.durationMs * DECISION_SHARE) {
            const isAcceptable = trial.judge.isAcceptable();
            const reason = isAcceptable ? "no evidence against it" : "not enough evidence for it";
            this.write(rollout, trial, isAcceptable ? "completed" : "reverted", reason);
        } else if (rollout.state === undefined) {
            this.write(rollout, trial, "inProgress", "requested");
        }
    }

    private write(rollout: SeenRollout, trial: Trial, state: RolloutState, reason: string): void {
        if (trial.isWriting || performance.now() < trial.writeAfter) return;
        trial.isWriting = true;
        const { service, version } = rollout;
        this.run(async () => {
            const outcome = await this.environment.writeState(rollout, state).finally(() => (trial.isWriting = false));
            trial.writeAfter = performance.now() + WRITE_RETRY_MS;
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
        const judge = VersionJudge.create();
        const trial: Trial = {
            version,
            judge,
            fault: undefined,
            decision: undefined,
            isWriting: false,
            writeAfter: 0,
            lostSince: undefined,
        };
        this.trials.set(service, trial);
        return trial;
    }
}
