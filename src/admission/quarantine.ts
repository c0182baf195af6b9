/**
 * Quarantine of content that crashes targets.
 *
 * A fingerprint (hash of pipeline and input, without the account) that was in flight on two targets when they were lost
 * is refused everywhere for a time. Other content that was in flight on one of them has one loss, which is not enough.
 * A stage that completes with the content clears its losses at that stage. Entries report their own counts to each
 * other, so that losses seen by different entries add up.
 */

/** Losses after which content is quarantined. */
const LOSSES_TO_QUARANTINE = 2;

/** How long a loss counts and a quarantine lasts. */
export const QUARANTINE_MS = 15 * 60_000;

/** Losses of one target within this time count once, as several copies of the content may have been in flight on it. */
const DUPLICATE_LOSS_MS = 1_000;

/** Largest number of stored fingerprints; the oldest is removed first. */
const MAXIMUM_FINGERPRINTS = 10_000;

interface Loss {
    readonly target: string;
    readonly stage: string;
    readonly at: number;
}

interface Suspect {
    losses: readonly Loss[];
    /** Losses reported by other entries, by entry. */
    readonly peers: Map<string, number>;
    expiresAt: number;
}

/** The losses and quarantined content that one entry knows of. */
export class Quarantine {
    private readonly suspects = new Map<string, Suspect>();

    private constructor(private readonly onOwnLosses: (fingerprint: string, losses: number) => void) {}

    /** `onOwnLosses` is called with the new count after each change of this entry's own count. */
    static create(onOwnLosses: (fingerprint: string, losses: number) => void = () => undefined): Quarantine {
        return new Quarantine(onOwnLosses);
    }

    /** Whether content is quarantined. */
    contains(fingerprint: string): boolean {
        const suspect = this.unexpired(fingerprint);
        if (suspect === undefined) return false;
        const peerLosses = [...suspect.peers.values()].reduce((sum, losses) => sum + losses, 0);
        return suspect.losses.length + peerLosses >= LOSSES_TO_QUARANTINE;
    }

    /** Whether content was in flight on a target that this entry lost, and has not been cleared since. */
    isSuspected(fingerprint: string): boolean {
        return (this.unexpired(fingerprint)?.losses.length ?? 0) > 0;
    }

    /** Records that a target was lost while a stage with the content was in flight on it. */
    recordLoss(fingerprint: string, target: string, stage: string): void {
        const now = performance.now();
        const suspect = this.suspectOf(fingerprint);
        if (suspect.losses.some(loss => loss.target === target && now - loss.at < DUPLICATE_LOSS_MS)) return;
        suspect.losses = [...suspect.losses, { target, stage, at: now }];
        suspect.expiresAt = now + QUARANTINE_MS;
        this.onOwnLosses(fingerprint, suspect.losses.length);
    }

    /** Withdraws the losses of a target that was only disconnected. */
    withdrawLosses(fingerprint: string, target: string): void {
        this.retainLosses(fingerprint, loss => loss.target !== target);
    }

    /** Records that a stage completed with the content. Does not end a quarantine. */
    recordCompletion(fingerprint: string, stage: string): void {
        if (this.suspects.size === 0 || this.contains(fingerprint)) return;
        this.retainLosses(fingerprint, loss => loss.stage !== stage);
    }

    /** Stores the own count of another entry. */
    recordPeerLosses(peer: string, fingerprint: string, losses: number, remainingMilliseconds: number): void {
        const suspect = this.suspectOf(fingerprint);
        suspect.peers.set(peer, losses);
        const expiresAt = performance.now() + Math.min(QUARANTINE_MS, remainingMilliseconds);
        suspect.expiresAt = Math.max(suspect.expiresAt, expiresAt);
    }

    /** The own counts of this entry, to be sent to a newly connected peer. */
    *ownLosses(): Iterable<{ fingerprint: string; losses: number; remainingMilliseconds: number }> {
        const now = performance.now();
        for (const [fingerprint, { losses, expiresAt }] of this.suspects) {
            if (losses.length > 0 && expiresAt > now) {
                yield { fingerprint, losses: losses.length, remainingMilliseconds: Math.ceil(expiresAt - now) };
            }
        }
    }

    private retainLosses(fingerprint: string, keep: (loss: Loss) => boolean): void {
        const suspect = this.unexpired(fingerprint);
        if (suspect === undefined) return;
        const kept = suspect.losses.filter(keep);
        if (kept.length === suspect.losses.length) return;
        suspect.losses = kept;
        this.onOwnLosses(fingerprint, kept.length);
    }

    private unexpired(fingerprint: string): Suspect | undefined {
        const suspect = this.suspects.get(fingerprint);
        if (suspect === undefined || suspect.expiresAt > performance.now()) return suspect;
        this.suspects.delete(fingerprint);
        return undefined;
    }

    private suspectOf(fingerprint: string): Suspect {
        const existing = this.unexpired(fingerprint);
        if (existing !== undefined) return existing;
        const created: Suspect = { losses: [], peers: new Map(), expiresAt: 0 };
        this.suspects.set(fingerprint, created);
        const oldest = this.suspects.keys().next().value;
        if (this.suspects.size > MAXIMUM_FINGERPRINTS && oldest !== undefined) this.suspects.delete(oldest);
        return created;
    }
}
