/**
 * The admission of one request that may crash targets: it may have to wait until no other one with the same traits is on
 * trial, and then holds the trial until it was served or a target has crashed.
 */
import type { GatewayContext } from "./gateway.js";
import type { RoutedRequest } from "./routedrequest.js";
import { type Admission, MAXIMUM_LOGGED_TRAITS } from "./suspects.js";
import type { Target } from "./target.js";

/** How far a target had got with a request when it crashed. */
export interface CrashProgress {
    /** Whether the head of a response had come. */
    readonly isResponding: boolean;
    /** Whether an event of a stream had come. */
    readonly hasEvent: boolean;
}

/** Progress of an attempt without a response, and of one whose response has begun but has no event. */
export const NO_PROGRESS: CrashProgress = { isResponding: false, hasEvent: false };
export const RESPONDING: CrashProgress = { isResponding: true, hasEvent: false };

/** The trial of one request, if it needs one. */
export class RequestTrial {
    private held: Extract<Admission, { kind: "trial" }> | undefined;
    private hasCrashedTarget = false;

    private constructor(
        private readonly context: GatewayContext,
        private readonly request: RoutedRequest,
    ) {}

    static create(context: GatewayContext, request: RoutedRequest): RequestTrial {
        return new RequestTrial(context, request);
    }

    /** Whether the request may be sent now, without a trial or in the one that it holds. */
    isAdmitted(): boolean {
        const { kind } = this.context.suspects.admission(this.request.traits);
        return kind === "admitted" || this.held !== undefined;
    }

    /** Whether the request may be sent now; starts its trial if it needs one and no other request holds it. */
    admit(): Admission {
        const { suspects, onDecision } = this.context;
        const admission = suspects.admission(this.request.traits);
        if (this.held !== undefined) return { kind: "admitted" };
        if (admission.kind !== "trial" || !suspects.startTrial(admission.traits)) return admission;
        this.held = admission;
        onDecision("trial started", {
            id: this.request.metadata.requestId,
            traits: admission.traits.slice(0, MAXIMUM_LOGGED_TRAITS),
        });
        return { kind: "admitted" };
    }

    /** Records that a target has served the request to its end, which clears its traits. */
    recordServed(): void {
        this.context.suspects.recordServed(this.request.traits);
        this.end();
    }

    /** Records that a target has crashed that the request was at; `ageMs` is the time since it was sent there. */
    recordCrash(target: Target, progress: CrashProgress, ageMs: number): void {
        const { context, request, held } = this;
        const traits = request.traits();
        context.onDecision("target crashed", {
            id: request.metadata.requestId,
            target: target.name,
            ...progress,
            traits: traits.slice(0, MAXIMUM_LOGGED_TRAITS),
            tried: held?.traits.slice(0, MAXIMUM_LOGGED_TRAITS),
        });
        context.targets.recordUnreachable(target);
        const tried = held?.traits ?? [];
        context.suspects.recordCrash(target, { traits, isFirstCrash: !this.hasCrashedTarget, ageMs, tried });
        this.hasCrashedTarget = true;
        this.end();
    }

    /** Ends the trial, if the request holds one. */
    end(): void {
        if (this.held !== undefined) this.context.suspects.endTrial(this.held.traits);
        this.held = undefined;
    }
}
