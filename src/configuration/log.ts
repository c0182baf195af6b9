/**
 * The change log, which accepts changes of the configuration.
 *
 * Change n is the object `configuration/changes/<n>`, created on the condition that it does not exist. If two operators
 * change the same version, one creates the object and the other reads it. Changes are never removed, because a process
 * that lags far behind could otherwise create one of them a second time.
 */
import { createRequestId } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { Store } from "../store/index.js";
import type { Configuration, ConfigurationChange } from "./configuration.js";
import { changeKey, decodeChange, raiseHead, SNAPSHOT_INTERVAL, snapshotKey } from "./head.js";
import type { ConfigurationHolder } from "./holder.js";
import { type ConfigurationDifference, isEmptyDifference } from "./lists.js";

/** Largest value that the object API accepts, in bytes. */
const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Attempts to create a change before its outcome is reported as unavailable or unknown. */
const MAXIMUM_CREATE_ATTEMPTS = 6;

const RETRY_PAUSE_MS = 50;

/** Attempts to write the head: 3 s of pauses, within the 4 s in which an accepted change has to be in force. */
const MAXIMUM_HEAD_ATTEMPTS = 60;

/** A proposed change. */
export interface ConfigurationProposal {
    /** The configuration that the difference was computed against. */
    readonly base: Configuration;
    readonly author: string;
    readonly difference: ConfigurationDifference;
}

/** Outcome of a proposal. */
export type AcceptOutcome =
    /** The change is in the log. `warning` says what else could not be written. */
    | { readonly kind: "accepted"; readonly change: ConfigurationChange; readonly warning: string | undefined }
    /** The difference is empty; nothing was written. */
    | { readonly kind: "unchanged"; readonly version: number }
    /** Another change has this version; no part of the proposal is in force. */
    | {
          readonly kind: "conflict";
          readonly winner: ConfigurationChange;
          readonly difference: ConfigurationDifference;
      }
    /** Nothing changed. */
    | { readonly kind: "unavailable"; readonly message: string }
    /** The change does not fit into an object; nothing changed. */
    | { readonly kind: "tooLarge"; readonly bytes: number; readonly maximumBytes: number }
    /** Responses were lost, so the change with this version and id may or may not be in the log. */
    | { readonly kind: "unknown"; readonly version: number; readonly id: string; readonly message: string };

type CreateOutcome =
    | { readonly kind: "created" }
    | { readonly kind: "conflict"; readonly winner: ConfigurationChange }
    | { readonly kind: "unavailable"; readonly message: string }
    | { readonly kind: "unknown"; readonly message: string };

/** Options of a log. */
export interface ConfigurationLogOptions {
    readonly store: Store;
    /** Updated with each accepted change. */
    readonly holder: ConfigurationHolder;
    /** Whether the configuration in force here is confirmed, so that changes may be based on it. */
    readonly isConfirmed?: () => boolean;
}

/** Accepts changes on behalf of one process. */
export class ConfigurationLog {
    private constructor(
        private readonly store: Store,
        private readonly holder: ConfigurationHolder,
        private readonly ready: () => boolean,
    ) {}

    /** Creates a log that writes to the store. */
    static create(options: ConfigurationLogOptions): ConfigurationLog {
        return new ConfigurationLog(options.store, options.holder, options.isConfirmed ?? (() => true));
    }

    /** Tries to append the proposal to the log as the version after its base. */
    async accept(proposal: ConfigurationProposal): Promise<AcceptOutcome> {
        const { base, author, difference } = proposal;
        // A process that has just started would apply the winner of a conflict, which may be an outdated version.
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
                await this.applyWinner(created.winner);
                return { ...created, difference };
            case "unavailable":
                return created;
            case "unknown":
                return { ...created, version: change.version, id: change.id };
        }
    }

    /**
     * Creates the change's object. After a lost response the write is repeated: it cannot take effect twice, and the
     * id in the object shows whether an earlier attempt did.
     */
    private async create(change: ConfigurationChange, text: string): Promise<CreateOutcome> {
        let message = "";
        let mayBeWritten = false;
        for (let attempt = 0; attempt < MAXIMUM_CREATE_ATTEMPTS; attempt += 1) {
            if (attempt > 0) await pause(RETRY_PAUSE_MS);
            const written = await this.store.write(changeKey(change.version), text, 0);
            if (written.kind === "written") return { kind: "created" };
            if (written.kind === "unavailable" && !mayBeWritten) return written;
            if (written.kind === "unknown") mayBeWritten = true;
            if (written.kind === "unavailable" || written.kind === "unknown") message = written.message;
            const winner = await this.readChange(change.version);
            if (winner !== undefined) return winner.id === change.id ? { kind: "created" } : conflictWith(winner);
            if (written.kind === "conflict") message = "the store does not show the change that has this version";
        }
        return mayBeWritten ? { kind: "unknown", message } : { kind: "unavailable", message };
    }

    private async readChange(version: number): Promise<ConfigurationChange | undefined> {
        const read = await this.store.read(changeKey(version));
        return read.kind === "found" ? decodeChange(read.object.value, version) : undefined;
    }

    /**
     * Writes the head, then applies the change here and writes a snapshot if one is due. The head is written first: a
     * process that restarts with a stale read could miss a change that is in force but not covered by the head, and so
     * revert it. If the head cannot be written, the feeds apply the change once they can write it.
     */
    private async complete(base: Configuration, change: ConfigurationChange): Promise<string | undefined> {
        const headWritten = await this.writeHead(change.version);
        if (headWritten) this.holder.advance(change);
        const next = base.apply(change);
        if (next !== undefined && next.version % SNAPSHOT_INTERVAL === 0) await this.writeSnapshot(next);
        if (headWritten) return undefined;
        return "the store did not confirm the head; the next process that reads the change writes it";
    }

    /** Applies the winning change here, so that the next proposal is based on it. */
    private async applyWinner(winner: ConfigurationChange): Promise<void> {
        if (await this.writeHead(winner.version)) this.holder.advance(winner);
    }

    private async writeHead(version: number): Promise<boolean> {
        for (let attempt = 0; attempt < MAXIMUM_HEAD_ATTEMPTS; attempt += 1) {
            if (attempt > 0) await pause(RETRY_PAUSE_MS);
            const outcome = await raiseHead(this.store, version);
            if (outcome.kind === "confirmed") return true;
        }
        return false;
    }

    /** Ignores the outcome: without this snapshot, a starting process only has to read more changes. */
    private async writeSnapshot(configuration: Configuration): Promise<void> {
        const text = JSON.stringify(configuration.allRecords());
        if (Buffer.byteLength(text) > MAXIMUM_VALUE_BYTES) return;
        await this.store.write(snapshotKey(configuration.version), text, 0);
    }
}

function conflictWith(winner: ConfigurationChange): CreateOutcome {
    return { kind: "conflict", winner };
}
