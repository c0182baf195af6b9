/**
 * Decides whether the content in flight on a lost link counts as a possible cause of a target's crash.
 *
 * A lost link alone does not distinguish a crashed target from a network partition. The loss is reported to the
 * quarantine when the agent reconnects with another incarnation or does not reconnect in time. The report is withdrawn
 * when the same incarnation reconnects.
 */
import type { Quarantine } from "../admission/index.js";
import type { Attempt } from "./attempt.js";

/** Time for a disconnected agent to reconnect; enough for a few connection attempts. */
const RECONNECT_TIMEOUT_MS = 1_000;

interface Loss {
    readonly incarnation: string;
    readonly content: readonly { readonly fingerprint: string; readonly stage: string }[];
    readonly timer: NodeJS.Timeout;
}

/** The lost links of one entry, with the content that was in flight on each. */
export class LinkLosses {
    private readonly undecidedLosses = new Map<string, Loss>();

    private constructor(private readonly quarantine: Quarantine) {}

    static create(quarantine: Quarantine): LinkLosses {
        return new LinkLosses(quarantine);
    }

    /** Called when a link to a target closes; `open` lists the attempts that were open on it. */
    linkLost(target: string, incarnation: string, open: readonly Attempt[]): void {
        if (open.length === 0) return;
        this.blame(target);
        const timer = setTimeout(() => this.blame(target), RECONNECT_TIMEOUT_MS).unref();
        const content = open.map(({ fingerprint, stage }) => ({ fingerprint, stage }));
        this.undecidedLosses.set(target, { incarnation, content, timer });
        clearTimeout(this.blamedLosses.get(target)?.timer);
    }

    /** Called when a target's agent is connected again. */
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

    /** Losses reported to the quarantine; withdrawn when the same incarnation reconnects later. */
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
