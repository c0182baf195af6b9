/**
 * When other gateways were last heard, and for how long calls to them have gone unanswered.
 *
 * Silence alone says nothing of a gateway that is not called. One failed call says little: a connection may have died, or
 * the gateway was busy. So the time counts from the first to the last of several calls in a row without any sign.
 */

/** Pause in milliseconds between two calls without an answer, beyond which the first one says nothing any more. */
const LONGEST_CALL_GAP_MS = 10_000;

/** Addresses that are remembered; those of gateways that were removed long ago give way. */
const MAXIMUM_ADDRESSES = 4_096;

interface Unanswered {
    readonly since: number;
    readonly until: number;
}

/** Signs of other gateways, by address. */
export class SignsOfLife {
    /** Monotonic times in milliseconds, the latest last. */
    private readonly heardAt = new Map<string, number>();
    private readonly unanswered = new Map<string, Unanswered>();

    private constructor() {}

    static create(): SignsOfLife {
        return new SignsOfLife();
    }

    /** Records that something was received from a gateway. */
    recordHeard(address: string): void {
        this.unanswered.delete(address);
        remember(this.heardAt, address, performance.now());
    }

    /** Records that a call has failed which began at `startedAt`, a reading of `performance.now()`. */
    recordUnanswered(address: string, startedAt: number): void {
        // A part of the answer may have been received, or the answer to another call.
        if ((this.heardAt.get(address) ?? Number.NEGATIVE_INFINITY) >= startedAt) return;
        const known = this.unanswered.get(address);
        const continues = known !== undefined && startedAt - known.until <= LONGEST_CALL_GAP_MS;
        const since = continues ? known.since : startedAt;
        remember(this.unanswered, address, { since, until: performance.now() });
    }

    /** Milliseconds since anything was received from a gateway; infinite if nothing was. */
    silentMs(address: string): number {
        return performance.now() - (this.heardAt.get(address) ?? Number.NEGATIVE_INFINITY);
    }

    /** Milliseconds for which calls have gone unanswered; 0 if the last call was answered. */
    unansweredMs(address: string): number {
        const { since, until } = this.unanswered.get(address) ?? { since: 0, until: 0 };
        return until - since;
    }
}

function remember<Value>(values: Map<string, Value>, address: string, value: Value): void {
    values.delete(address);
    values.set(address, value);
    const [oldest] = values.keys();
    if (values.size > MAXIMUM_ADDRESSES && oldest !== undefined) values.delete(oldest);
}
