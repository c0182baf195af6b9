/**
 * The change log: how a change of the configuration is accepted.
 *
 * Change n is the object `configuration/changes/<n>`, created on the condition that it does not exist. Of two operators
 * who change the same version, one creates it and the other reads what the first one changed. Changes are never
 * removed, because a process that lags far behind could otherwise create one of them a second time.
 */
import { createRequestId } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { Store } from "../store/index.js";
import type { Configuration, ConfigurationChange } from "./configuration.js";
import { changeKey, decodeChange, raiseHead, SNAPSHOT_INTERVAL, snapshotKey } from "./head.js";
import type { ConfigurationHolder } from "./holder.js";
import { type ConfigurationDifference, isEmptyDifference } from "./lists.js";

/** Largest value of the object API, in bytes. */
const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Calls to the store until an unclear write is reported as such. */
const MAXIMUM_TRIES = 6;

const RETRY_PAUSE_MS = 50;

/** Tries to write the head: 3 s, within the 4 s in which an accepted change has to be in force. */
const MAXIMUM_HEAD_TRIES = 60;

/** A change to make. */
export interface ConfigurationProposal {
    /** The configuration that the difference was made against. */
    readonly base: Configuration;
    readonly author: string;
    readonly difference: ConfigurationDifference;
}

/** What a proposal comes to. */
export type AcceptOutcome =
    /** In the log. `warning` says what could not be written besides it. */
    | { readonly kind: "accepted"; readonly change: ConfigurationChange; readonly warning: string | undefined }
    /** The difference is empty; nothing was written. */
    | { readonly kind: "unchanged"; readonly version: number }
    /** Another change has this version; nothing of the proposal is in force. */
    | {
          readonly kind: "conflict";
          readonly winner: ConfigurationChange;
          readonly difference: ConfigurationDifference;
      }
    /** Nothing changed. */
    | { readonly kind: "unavailable"; readonly message: string }
    /** The change does not fit into an object; nothing changed. */
    | { readonly kind: "tooLarge"; readonly bytes: number; readonly maximumBytes: number }
    /** The answer was lost and could not be found out; the change with this version and id may be in the log. */
    | { readonly kind: "unknown"; readonly version: number; readonly id: string; readonly message: string };

type CreateOutcome =
    | { readonly kind: "created" }
    | { readonly kind: "conflict"; readonly winner: ConfigurationChange }
    | { readonly kind: "unavailable"; readonly message: string }
    | { readonly kind: "unknown"; readonly message: string };

/** Options of a log. */
export interface ConfigurationLogOptions {
    readonly store: Store;
    /** Moved forward with each accepted change. */
    readonly holder: ConfigurationHolder;
    /** Whether the configuration in force here is confirmed, so that changes may be made on top of it. */
    readonly isConfirmed?: () => boolean;
}

/** Accepts changes on behalf of one process. */
export class ConfigurationLog {
    private constructor(
        private readonly store: Store,
        private readonly holder: ConfigurationHolder,
        private readonly ready: () => boolean,
    ) {}

    /** A log in the store. */
    static create(options: ConfigurationLogOptions): ConfigurationLog {
        return new ConfigurationLog(options.store, options.holder, options.isConfirmed ?? (() => true));
    }

    /** Tries to make the proposal the version after its base. */
    async accept(proposal: ConfigurationProposal): Promise<AcceptOutcome> {
        const { base, author, difference } = proposal;
        // A fresh process would put the winner of a conflict in force, which may be a version that was left behind.
        if (!this.ready()) return { kind: "unavailable", message: "the configuration here is not confirmed yet" };
        if (isEmptyDifference(difference)) return { kind: "unchanged", version: base.version };
        const change = { version: base.version + 1, id: createRequestId(), author, ...difference };
        const text = JSON.stringify(change);
        const bytes = Buffer.byteLength(text);
        if (bytes > MAXIMUM_VALUE_BYTES) return { kind: "tooLarge", bytes, maximumBytes: MAXIMUM_VALUE_BYTES };
        const created = await this.create(change, text);
        switch (created.kind) {
            case "created":
                return { kind: "accepted", change, warning: await this.complete(base, change) };
            case "conflict":
                await this.enforceWinner(created.winner);
                return { ...created, difference };
            case "unavailable":
                return created;
            case "unknown":
                return { ...created, version: change.version, id: change.id };
        }
    }

    /**
     * Creates the change's object. After a lost answer the create is repeated: it cannot take effect twice, and the
     * object's id tells whether an earlier try did.
     */
    private async create(change: ConfigurationChange, text: string): Promise<CreateOutcome> {
        let message = "";
        let unclear = false;
        for (let attempt = 0; attempt < MAXIMUM_TRIES; attempt += 1) {
            if (attempt > 0) await pause(RETRY_PAUSE_MS);
            const written = await this.store.write(changeKey(change.version), text, 0);
            if (written.kind === "written") return { kind: "created" };
            if (written.kind === "unavailable" && !unclear) return written;
            if (written.kind === "unknown") unclear = true;
            if (written.kind === "unavailable" || written.kind === "unknown") message = written.message;
            const winner = await this.readChange(change.version);
            if (winner !== undefined) return winner.id === change.id ? { kind: "created" } : conflictWith(winner);
            if (written.kind === "conflict") message = "the store does not show the change that has this version";
        }
        return unclear ? { kind: "unknown", message } : { kind: "unavailable", message };
    }

    private async readChange(version: number): Promise<ConfigurationChange | undefined> {
        const read = await this.store.read(changeKey(version));
        return read.kind === "found" ? decodeChange(read.object.value, version) : undefined;
    }

    /**
     * Writes the head, then puts the change in force here and, when one is due, writes a snapshot. The head comes first:
     * a change that is in force while the head lacks it could be missed by a process that restarts on a stale read, and
     * so revert. Without the head, the feeds put the change in force when they can write it.
     */
    private async complete(base: Configuration, change: ConfigurationChange): Promise<string | undefined> {
        const headWritten = await this.writeHead(change.version);
        if (headWritten) this.holder.advance(change);
        const next = base.apply(change);
        if (next !== undefined && next.version % SNAPSHOT_INTERVAL === 0) await this.writeSnapshot(next);
        if (headWritten) return undefined;
        return "the store did not confirm the head; the next process that reads the change writes it";
    }

    /** Puts the change that won in force here, so that the next proposal is made on top of it. */
    private async enforceWinner(winner: ConfigurationChange): Promise<void> {
        if (await this.writeHead(winner.version)) this.holder.advance(winner);
    }

    private async writeHead(version: number): Promise<boolean> {
        for (let attempt = 0; attempt < MAXIMUM_HEAD_TRIES; attempt += 1) {
            if (attempt > 0) await pause(RETRY_PAUSE_MS);
            const outcome = await raiseHead(this.store, version);
            if (outcome.kind === "confirmed") return true;
        }
        return false;
    }

    /** A snapshot that is not written only makes a start read more changes, so its outcome is not examined. */
    private async writeSnapshot(configuration: Configuration): Promise<void> {
        const text = JSON.stringify(configuration.allRecords());
        if (Buffer.byteLength(text) > MAXIMUM_VALUE_BYTES) return;
        await this.store.write(snapshotKey(configuration.version), text, 0);
    }
}

function conflictWith(winner: ConfigurationChange): CreateOutcome {
    return { kind: "conflict", winner };
}
