/**
 * Requests for services whose targets all name limits: how long the next one waits, and when those may come back that
 * cannot wait so long.
 */
import { waitForTokensMs } from "../routing/index.js";
import type { TargetDirectory } from "./targetdirectory.js";

/** Shortest time in milliseconds after which a request may come back that only other gateways may send. */
const NO_PART_RETURN_MS = 1_000;

/** The requests of one gateway that are to be sent, by service. */
export class LimitQueue {
    private readonly unsent = new Map<string, number>();
    /** Monotonic time in milliseconds by service at which the next refused request may come back. */
    private readonly nextReturnAt = new Map<string, number>();

    private constructor(private readonly targets: Pick<TargetDirectory, "limitBuckets">) {}

    static create(targets: Pick<TargetDirectory, "limitBuckets">): LimitQueue {
        return new LimitQueue(targets);
    }

    /** Number of requests for a service that are to be sent and were not yet. */
    unsentRequests(service: string): number {
        return this.unsent.get(service) ?? 0;
    }

    /** Counts a request that is to be sent; call the returned function once it is sent or given up. */
    add(service: string): () => void {
        this.unsent.set(service, this.unsentRequests(service) + 1);
        let isCounted = true;
        return () => {
            if (isCounted) this.unsent.set(service, this.unsentRequests(service) - 1);
            isCounted = false;
        };
    }

    /**
     * Milliseconds until this gateway may send a further request for a service, behind `ahead` others. Undefined unless
     * all working targets of the service name limits, and infinite if this gateway has no part of any of them.
     */
    waitMs(service: string, ahead: number): number | undefined {
        const buckets = this.targets.limitBuckets(service);
        return buckets === undefined ? undefined : waitForTokensMs(buckets, ahead + 1);
    }

    /**
     * Milliseconds after which a refused request for a service may come back. The times of several requests follow one
     * another at the rate at which they can be sent.
     */
    returnMs(service: string, waitMs: number): number {
        const buckets = this.targets.limitBuckets(service) ?? [];
        const perSecond = buckets.reduce((sum, bucket) => sum + bucket.perSecond, 0);
        if (perSecond === 0) return NO_PART_RETURN_MS * (1 + Math.random());
        const now = performance.now();
        const returnAt = Math.max(now + waitMs, this.nextReturnAt.get(service) ?? 0);
        this.nextReturnAt.set(service, returnAt + 1_000 / perSecond);
        return returnAt - now;
    }
}
