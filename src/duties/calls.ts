/** Calls that are the duty of one gateway at a time, as plain values. */

/** What a call does. */
export type DutyCall =
    | {
          readonly kind: "usage";
          readonly windowId: number;
          /** Number of requests that targets began to run, by account. */
          readonly counts: UsageCounts;
      }
    | { readonly kind: "scale"; readonly service: string; readonly zone: string; readonly desired: number };

/** Number of requests by account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Outcome of a call. */
export type DutyCallOutcome =
    | { readonly kind: "accepted" }
    /** Too many calls; `retryAfterMs` is what the answer asks for, if it does. */
    | { readonly kind: "limited"; readonly retryAfterMs: number | undefined }
    /** `mayHaveArrived` says whether anything of the call was sent. */
    | { readonly kind: "failed"; readonly reason: string; readonly mayHaveArrived: boolean };

/** Who calls, and until when. */
export interface DutyCallOptions {
    /** host:port */
    readonly address: string;
    readonly holder: string;
    readonly fencing: number;
    readonly timeoutMs: number;
    /** Asked once there is a connection, immediately before the call is written to it. */
    readonly mayAct: () => boolean;
}

/** Sends one call. Nothing of it arrives after the promise has resolved, unless it was accepted. */
export type CallPlatform = (call: DutyCall, options: DutyCallOptions) => Promise<DutyCallOutcome>;
