/**
 * Content that was in flight when a link to an agent was lost.
 *
 * A lost link alone does not tell a target that died from a network that was cut. The content is blamed when the agent
 * comes back with another incarnation or does not come back in time, and cleared when the same incarnation returns.
 */
import type { Quarantine } from "../admission/index.js";
import type { Attempt } from "./attempt.js";

/** Time for an agent that was cut off to come back; a few attempts to connect. */
const RECONNECT_TIMEOUT_MS = 1_000;

interface Loss {
    readonly incarnation: string;
    readonly content: readonly { readonly fingerprint: string; readonly stage: string }[];
    readonly timer: NodeJS.Timeout;
}

/** Undecided losses of links at one entry. */
export class LinkLosses {
    private readonly undecidedLosses = new Map<string, Loss>();

    private constructor(private readonly quarantine: Quarantine) {}

    static create(quarantine: Quarantine): LinkLosses {
        return new LinkLosses(quarantine);
    }

    /** A link to a target closed with attempts open on it. */
    linkLost(target: string, incarnation: string, open: readonly Attempt[]): void {
        if (open.length === 0) return;
        this.blame(target);
        const timer = setTimeout(() => this.blame(target), RECONNECT_TIMEOUT_MS).unref();
        const content = open.map(({ fingerprint, stage }) => ({ fingerprint, stage }));
        this.undecidedLosses.set(target, { incarnation, content, timer });
        clearTimeout(this.blamedLosses.get(target)?.timer);
    }

    /** A target's agent is linked again. */
    linkRestored(target: string, incarnation: string): void {
        const undecidedLoss = this.undecidedLosses.get(target);
        if (undecidedLoss !== undefined && undecidedLoss.incarnation !== incarnation) this.blame(target);
        const loss = this.undecidedLosses.get(target) ?? this.blamedLosses.get(target);
        if (loss?.incarnation === incarnation) {
            for (const { fingerprint } of loss.content) this.quarantine.withdrawLosses(fingerprint, target);
        }
        clearTimeout(loss?.timer);
        this.undecidedLosses.delete(target);
        this.blamedLosses.delete(target);
    }

    /** Losses that were blamed and are cleared when the same incarnation returns after all. */
    private readonly blamedLosses = new Map<string, Loss>();

    private blame(target: string): void {
        const loss = this.undecidedLosses.get(target);
        if (loss === undefined) return;
        this.undecidedLosses.delete(target);
        clearTimeout(loss.timer);
        this.blamedLosses.set(target, loss);
        for (const { fingerprint, stage } of loss.content) this.quarantine.recordLoss(fingerprint, target, stage);
    }
}
