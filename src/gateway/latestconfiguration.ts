/**
 * Decodes the newest configuration of those that arrive together.
 *
 * A watch of the store may report many versions in one answer, for instance after an outage. Decoding one of the largest
 * size takes as long as some hundred requests, so versions that a later one replaces are not decoded, and one is decoded
 * in each turn of the event loop.
 */
import type { OnTaskFailure } from "../model/background.js";
import { describeError } from "../model/error.js";
import { endOfTurn } from "../model/turn.js";
import type { StoreEvent } from "../store/index.js";

/** Decodes and applies a configuration. Returns whether the object could be read. */
export type ApplyConfiguration = (event: StoreEvent) => boolean;

/** The versions that have arrived and are not decoded yet. */
export class LatestConfiguration {
    /** By key, in the order of their arrival. */
    private readonly waiting = new Map<string, StoreEvent[]>();
    private draining: Promise<void> = Promise.resolve();
    private isDraining = false;

    private constructor(
        private readonly apply: ApplyConfiguration,
        private readonly onFailure: OnTaskFailure,
    ) {}

    static create(apply: ApplyConfiguration, onFailure: OnTaskFailure): LatestConfiguration {
        return new LatestConfiguration(apply, onFailure);
    }

    /** Takes a version, which is applied in a later turn of the event loop. */
    put(event: StoreEvent): void {
        const versions = this.waiting.get(event.key) ?? [];
        versions.push(event);
        this.waiting.set(event.key, versions);
        if (this.isDraining) return;
        this.isDraining = true;
        this.draining = this.drain();
    }

    /** Resolves when all that has arrived is applied. */
    settled(): Promise<void> {
        return this.draining;
    }

    private async drain(): Promise<void> {
        for (;;) {
            await endOfTurn();
            const [key, versions] = this.waiting.entries().next().value ?? [];
            if (key === undefined) break;
            const newest = versions?.pop();
            // While the newest version cannot be read or is a removal, the one before it is in force.
            if (newest === undefined || this.isApplied(newest)) this.waiting.delete(key);
        }
        this.isDraining = false;
    }

    private isApplied(event: StoreEvent): boolean {
        try {
            return this.apply(event);
        } catch (error) {
            this.onFailure({ task: "configuration", error: describeError(error) });
            return false;
        }
    }
}
