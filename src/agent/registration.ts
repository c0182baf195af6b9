/**
 * The member object of an agent in the store, by which entries find it. Written in the background, since an agent that
 * is linked already serves without it.
 */
import { targetMemberKey } from "../membership/index.js";
import type { Target } from "../model/index.js";
import { InterruptiblePause } from "../model/pause.js";
import type { StateLogger } from "../observability/index.js";
import type { Store } from "../store/index.js";

/** First and longest pause between attempts to write, in milliseconds. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 2_000;

/** The member object of one incarnation. */
export class Registration {
    private ended = false;
    private readonly pause = InterruptiblePause.create();
    private readonly written: Promise<void>;

    private constructor(
        private readonly store: Store,
        private readonly target: Target,
        private readonly logger: StateLogger,
    ) {
        this.written = this.announce();
    }

    /** Starts to write the member object; retries until it is written or `end` is called. */
    static start(store: Store, target: Target, logger: StateLogger): Registration {
        return new Registration(store, target, logger);
    }

    /** Stops writing, without removing anything. */
    stop(): void {
        this.ended = true;
        this.pause.end();
    }

    /** Removes the member object if it is this incarnation's. One attempt: a stop must not wait for the store. */
    async remove(): Promise<void> {
        this.stop();
        await this.written;
        const key = targetMemberKey(this.target.name);
        const found = await this.store.read(key);
        if (found.kind !== "found" || !this.isOwn(found.object.value)) return;
        const removed = await this.store.remove(key, found.object.version);
        if (removed.kind !== "written") this.logger.warn("member object was not removed", { outcome: removed.kind });
    }

    private async announce(): Promise<void> {
        for (
            let milliseconds = FIRST_PAUSE_MS;
            !this.ended;
            milliseconds = Math.min(milliseconds * 2, LONGEST_PAUSE_MS)
        ) {
            if (await this.write()) return;
            await this.pause.wait(milliseconds);
        }
    }

    private async write(): Promise<boolean> {
        const key = targetMemberKey(this.target.name);
        const found = await this.store.read(key);
        if (found.kind === "unavailable") return false;
        // A write whose answer was lost is recognised by the incarnation in the value.
        if (found.kind === "found" && this.isOwn(found.object.value)) return true;
        const version = found.kind === "found" ? found.object.version : 0;
        const outcome = await this.store.write(key, JSON.stringify(this.target), version);
        return outcome.kind === "written";
    }

    private isOwn(value: string): boolean {
        return value === JSON.stringify(this.target);
    }
}
