/**
 * The member object of an agent in the store, by which entries find the agent. It is written in the background, since
 * an agent serves its open links without it.
 */
import { targetMemberKey } from "../membership/index.js";
import type { Target } from "../model/index.js";
import { InterruptiblePause } from "../model/pause.js";
import type { StateLogger } from "../observability/index.js";
import type { Store } from "../store/index.js";

/** First and longest pause between two tries to write, in milliseconds. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 2_000;

/** Writes and removes the member object of one incarnation of an agent. */
export class Registration {
    private stopped = false;
    private readonly pause = InterruptiblePause.create();
    private readonly writing: Promise<void>;

    private constructor(
        private readonly store: Store,
        private readonly target: Target,
        private readonly logger: StateLogger,
    ) {
        this.writing = this.writeWithRetries();
    }

    /** Starts to write the member object; retries until it is written or `stop` is called. */
    static start(store: Store, target: Target, logger: StateLogger): Registration {
        return new Registration(store, target, logger);
    }

    /** Stops retrying. Does not remove the member object. */
    stop(): void {
        this.stopped = true;
        this.pause.end();
    }

    /** Removes the member object if it is this incarnation's. Tries once: a stop must not wait for the store. */
    async deregister(): Promise<void> {
        this.stop();
        await this.writing;
        const key = targetMemberKey(this.target.name);
        const found = await this.store.read(key);
        if (found.kind !== "found" || !this.isOwn(found.object.value)) return;
        const removed = await this.store.remove(key, found.object.version);
        if (removed.kind !== "written") this.logger.warn("member object was not removed", { outcome: removed.kind });
    }

    private async writeWithRetries(): Promise<void> {
        for (let pauseMs = FIRST_PAUSE_MS; !this.stopped; pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS)) {
            if (await this.tryWrite()) return;
            await this.pause.wait(pauseMs);
        }
    }

    private async tryWrite(): Promise<boolean> {
        const key = targetMemberKey(this.target.name);
        const found = await this.store.read(key);
        if (found.kind === "unavailable") return false;
        // The incarnation in the value shows that a write succeeded whose answer was lost.
        if (found.kind === "found" && this.isOwn(found.object.value)) return true;
        const version = found.kind === "found" ? found.object.version : 0;
        const outcome = await this.store.write(key, JSON.stringify(this.target), version);
        return outcome.kind === "written";
    }

    private isOwn(value: string): boolean {
        return value === JSON.stringify(this.target);
    }
}
