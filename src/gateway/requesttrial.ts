/**
 * The admission of one request that may crash targets: it may have to wait until no other one with the same traits is on
 * trial, and then holds the trial until it was served or a target has crashed.
 */
import type { GatewayContext } from "./gateway.js";
import type { RoutedRequest } from "./routedrequest.js";
import type { Admission } from "./suspects.js";
import type { Target } from "./target.js";

/** Maximum number of traits in one log line. */
const MAXIMUM_LOGGED_TRAITS = 8;

/** The trial of one request, if it needs one. */
export class RequestTrial {
    private held: Extract<Admission, { kind: "trial" }> | undefined;

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
        onDecision("trial started", { id: this.request.metadata.requestId, traits: admission.traits });
        return { kind: "admitted" };
    }

    /** Records that a target has served the request, which clears its traits. */
    recordServed(): void {
        this.context.suspects.recordServed(this.request.traits);
        this.end();
    }

    /** Records that a target has crashed to which the request was sent. */
    recordCrash(target: Target, isResponding: boolean): void {
        const { context, request, held } = this;
        const traits = request.traits();
        const tried = held?.isConclusive === true ? held.traits : [];
        context.onDecision("target crashed", {
            id: request.metadata.requestId,
            target: target.name,
            isResponding,
            traits: traits.slice(0, MAXIMUM_LOGGED_TRAITS),
            tried,
        });
        context.targets.recordUnreachable(target);
        context.suspects.recordCrash(target, { traits, isResponding, tried });
        this.end();
    }

    /** Ends the trial, if the request holds one. */
    end(): void {
        if (this.held !== undefined) this.context.suspects.endTrial(this.held.traits);
        this.held = undefined;
    }
}
