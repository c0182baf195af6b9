/**
 * Quarantine of content that crashes targets.
 *
 * A fingerprint (hash of pipeline and input, without the account) that was in flight on two targets when they were lost
 * is refused everywhere for a time. Other content that was in flight on one of them has one loss and is not blamed; a
 * stage that completes with the content clears its losses at that stage. Entries tell each other their own counts, so
 * that losses seen by different entries add up.
 */

/** Losses after which content is quarantined. */
const LOSSES_TO_QUARANTINE = 2;

/** How long losses and quarantine last. */
export const QUARANTINE_MS = 15 * 60_000;

/** Losses of one target in this time are one loss, when several copies of the content were in flight on it. */
const SAME_LOSS_MS = 1_000;

/** Fingerprints that are remembered; the oldest go first. */
const MAXIMUM_RECORDS = 10_000;

interface Loss {
    readonly target: string;
    readonly stage: string;
    readonly at: number;
}

interface Suspect {
    losses: readonly Loss[];
    /** Counts that other entries reported. */
    readonly peers: Map<string, number>;
    expiresAt: number;
}

/** Content under suspicion, as one entry knows it. */
export class Quarantine {
    private readonly suspects = new Map<string, Suspect>();

    private constructor(private readonly onOwnLosses: (fingerprint: string, losses: number) => void) {}

    /** `onOwnLosses` is called with the count after each change of this entry's own count. */
    static create(onOwnLosses: (fingerprint: string, losses: number) => void = () => undefined): Quarantine {
        return new Quarantine(onOwnLosses);
    }

    /** Whether content is refused now. */
    contains(fingerprint: string): boolean {
        const suspect = this.live(fingerprint);
        if (suspect === undefined) return false;
        const reported = [...suspect.peers.values()].reduce((sum, losses) => sum + losses, 0);
        return suspect.losses.length + reported >= LOSSES_TO_QUARANTINE;
    }

    /** Whether content was in flight on a lost target and has not been cleared since. */
    isSuspected(fingerprint: string): boolean {
        return (this.live(fingerprint)?.losses.length ?? 0) > 0;
    }

    /** A target was lost while a stage with the content was in flight on it. */
    recordLoss(fingerprint: string, target: string, stage: string): void {
        const now = performance.now();
        const suspect = this.suspectOf(fingerprint);
        if (suspect.losses.some(loss => loss.target === target && now - loss.at < SAME_LOSS_MS)) return;
        suspect.losses = [...suspect.losses, { target, stage, at: now }];
        suspect.expiresAt = now + QUARANTINE_MS;
        this.onOwnLosses(fingerprint, suspect.losses.length);
    }

    /** A target that was taken for lost was only cut off; withdraws the loss. */
    withdrawLosses(fingerprint: string, target: string): void {
        this.keepLosses(fingerprint, loss => loss.target !== target);
    }

    /** A stage completed with the content. Does not end a quarantine. */
    recordCompletion(fingerprint: string, stage: string): void {
        if (this.suspects.size === 0 || this.contains(fingerprint)) return;
        this.keepLosses(fingerprint, loss => loss.stage !== stage);
    }

    /** Takes another entry's own count. */
    recordPeerLosses(peer: string, fingerprint: string, losses: number, remainingMilliseconds: number): void {
        const suspect = this.suspectOf(fingerprint);
        suspect.peers.set(peer, losses);
        const until = performance.now() + Math.min(QUARANTINE_MS, remainingMilliseconds);
        suspect.expiresAt = Math.max(suspect.expiresAt, until);
    }

    /** This entry's own counts, for a peer that has just connected. */
    *ownLosses(): Iterable<{ fingerprint: string; losses: number; remainingMilliseconds: number }> {
        const now = performance.now();
        for (const [fingerprint, { losses, expiresAt }] of this.suspects) {
            if (losses.length > 0 && expiresAt > now) {
                yield { fingerprint, losses: losses.length, remainingMilliseconds: Math.ceil(expiresAt - now) };
            }
        }
    }

    private keepLosses(fingerprint: string, keep: (loss: Loss) => boolean): void {
        const suspect = this.live(fingerprint);
        if (suspect === undefined) return;
        const kept = suspect.losses.filter(keep);
        if (kept.length === suspect.losses.length) return;
        suspect.losses = kept;
        this.onOwnLosses(fingerprint, kept.length);
    }

    private live(fingerprint: string): Suspect | undefined {
        const suspect = this.suspects.get(fingerprint);
        if (suspect === undefined || suspect.expiresAt > performance.now()) return suspect;
        this.suspects.delete(fingerprint);
        return undefined;
    }

    private suspectOf(fingerprint: string): Suspect {
        const existing = this.live(fingerprint);
        if (existing !== undefined) return existing;
        const created: Suspect = { losses: [], peers: new Map(), expiresAt: 0 };
        this.suspects.set(fingerprint, created);
        const oldest = this.suspects.keys().next().value;
        if (this.suspects.size > MAXIMUM_RECORDS && oldest !== undefined) this.suspects.delete(oldest);
        return created;
    }
}
