/**
 * Content that was in flight when a link to an agent was lost.
 *
 * A lost link alone does not tell a target that died from a network that was cut. The content is blamed when the agent
 * comes back with another incarnation or does not come back in time, and cleared when the same incarnation returns.
 */
import type { Quarantine } from "../admission/index.js";
import type { Attempt } from "./attempt.js";

/** Time for an agent that was cut off to come back; a few attempts to connect. */
const RETURN_MS = 1_000;

interface Loss {
    readonly incarnation: string;
    readonly content: readonly { readonly fingerprint: string; readonly stage: string }[];
    readonly timer: NodeJS.Timeout;
}

/** Undecided losses of links at one entry. */
export class Suspects {
    private readonly losses = new Map<string, Loss>();

    private constructor(private readonly quarantine: Quarantine) {}

    static create(quarantine: Quarantine): Suspects {
        return new Suspects(quarantine);
    }

    /** A link to a target closed with attempts open on it. */
    lost(target: string, incarnation: string, open: readonly Attempt[]): void {
        if (open.length === 0) return;
        this.blame(target);
        const timer = setTimeout(() => this.blame(target), RETURN_MS).unref();
        const content = open.map(({ fingerprint, stage }) => ({ fingerprint, stage }));
        this.losses.set(target, { incarnation, content, timer });
        clearTimeout(this.blamed.get(target)?.timer);
    }

    /** A target's agent is linked again. */
    returned(target: string, incarnation: string): void {
        const undecided = this.losses.get(target);
        if (undecided !== undefined && undecided.incarnation !== incarnation) this.blame(target);
        const loss = this.losses.get(target) ?? this.blamed.get(target);
        if (loss?.incarnation === incarnation) {
            for (const { fingerprint } of loss.content) this.quarantine.withdrawLosses(fingerprint, target);
        }
        clearTimeout(loss?.timer);
        this.losses.delete(target);
        this.blamed.delete(target);
    }

    /** Losses that were blamed and are cleared when the same incarnation returns after all. */
    private readonly blamed = new Map<string, Loss>();

    private blame(target: string): void {
        const loss = this.losses.get(target);
        if (loss === undefined) return;
        this.losses.delete(target);
        clearTimeout(loss.timer);
        this.blamed.set(target, loss);
        for (const { fingerprint, stage } of loss.content) this.quarantine.recordLoss(fingerprint, target, stage);
    }
}
