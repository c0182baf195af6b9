/**
 * Configuration changes made by a move. Each change names the move as its author. After a takeover or a lost answer,
 * the controller finds the change in the configuration log and does not make it twice. A record that someone else has
 * changed since is left as it is.
 */
import {
    type Configuration,
    type ConfigurationChange,
    type ConfigurationHolder,
    type ConfigurationLog,
    type ConfigurationRecord,
    changeKey,
    decodeChange,
} from "../configuration/index.js";
import type { Store } from "../store/index.js";
import { type Move, moveAuthor } from "./move.js";

/** What a move needs to change the configuration. */
export interface ChangeDependencies {
    readonly store: Store;
    readonly holder: ConfigurationHolder;
    readonly log: ConfigurationLog;
}

/** A change of the configuration record of a move's subject. */
export interface RecordChange {
    readonly version: number;
    readonly author: string;
    /** Whether the move itself made the change. */
    readonly byThisMove: boolean;
    /** The record after the change; undefined when the change removed it. */
    readonly record: ConfigurationRecord | undefined;
}

/** Result of writing the record. */
export type SetOutcome =
    /** The configuration log has the move's change at this version. */
    | { readonly kind: "set"; readonly version: number }
    /** Someone else changed the record after the move did; it is left as it is. */
    | { readonly kind: "overridden"; readonly by: RecordChange }
    /** Not known yet; the caller tries again. */
    | { readonly kind: "pending" };

/** Writes the configuration record of one move's subject (a zone, or the traffic of a service). */
export class SubjectRecordWriter {
    /** Changes read from the store, by version. Accepted changes are immutable. */
    private readonly knownChanges = new Map<number, ConfigurationChange>();

    private constructor(
        private readonly dependencies: ChangeDependencies,
        private readonly move: Move,
        private readonly kind: "zone" | "traffic",
    ) {}

    static of(dependencies: ChangeDependencies, move: Move, kind: "zone" | "traffic"): SubjectRecordWriter {
        return new SubjectRecordWriter(dependencies, move, kind);
    }

    /**
     * Sets the record once; a later call with the same record finds the change in the log. `held` tells whether the
     * controller still holds the move's lease, and is called just before the log is written.
     *
     * The change is written even if the record already has this value. A paused earlier controller, whose change has
     * an older base version, then conflicts with it and cannot write.
     */
    async set(record: ConfigurationRecord, held: () => boolean): Promise<SetOutcome> {
        const base = this.dependencies.holder.current;
        const history = await this.readHistory(base);
        if (history === undefined || !held()) return { kind: "pending" };
        const last = history.at(-1);
        const changedByMove = history.some(({ byThisMove }) => byThisMove);
        if (changedByMove && last !== undefined && !last.byThisMove) return { kind: "overridden", by: last };
        if (last?.byThisMove === true && sameValue(last.record, record)) return { kind: "set", version: last.version };
        return await this.accept(base, record);
    }

    /**
     * Restores the record when the move is rolled back. A value that someone else set since the declaration stays. If
     * the move has changed nothing yet, that value is written again, for the reason given at `set`.
     */
    async restore(record: ConfigurationRecord, held: () => boolean): Promise<SetOutcome> {
        const base = this.dependencies.holder.current;
        const history = await this.readHistory(base);
        if (history === undefined || !held()) return { kind: "pending" };
        const last = history.at(-1);
        const changedByMove = history.some(({ byThisMove }) => byThisMove);
        if (changedByMove || last?.record === undefined) return await this.set(record, held);
        const accepted = await this.accept(base, last.record);
        return accepted.kind === "set" ? { kind: "overridden", by: last } : accepted;
    }

    private async accept(base: Configuration, record: ConfigurationRecord): Promise<SetOutcome> {
        const difference = { set: [record], removed: [] };
        const outcome = await this.dependencies.log.accept({ base, author: moveAuthor(this.move), difference });
        return outcome.kind === "accepted" ? { kind: "set", version: outcome.change.version } : { kind: "pending" };
    }

    /** The last change, if someone else made it after the move changed the record; as far as this entry knows. */
    async overriddenBy(): Promise<RecordChange | undefined> {
        const history = await this.readHistory(this.dependencies.holder.current);
        const last = history?.at(-1);
        return last?.byThisMove === false && history?.some(({ byThisMove }) => byThisMove) === true ? last : undefined;
    }

    /** Changes of the record since the move was declared, oldest first; undefined while some cannot be read. */
    private async readHistory(base: Configuration): Promise<readonly RecordChange[] | undefined> {
        if (base.version < this.move.baseVersion) return undefined;
        const changes: RecordChange[] = [];
        for (let version = this.move.baseVersion + 1; version <= base.version; version += 1) {
            const change = await this.readChange(version);
            if (change === undefined) return undefined;
            const isSubject = (record: { kind: string; name: string }): boolean =>
                record.kind === this.kind && record.name === this.move.subject;
            if (![...change.set, ...change.removed].some(isSubject)) continue;
            const byThisMove = change.author === moveAuthor(this.move);
            changes.push({ version, author: change.author, byThisMove, record: change.set.find(isSubject) });
        }
        return changes;
    }

    private async readChange(version: number): Promise<ConfigurationChange | undefined> {
        const known = this.knownChanges.get(version);
        if (known !== undefined) return known;
        const read = await this.dependencies.store.read(changeKey(version));
        const change = read.kind === "found" ? decodeChange(read.object.value, version) : undefined;
        if (change !== undefined) this.knownChanges.set(version, change);
        return change;
    }
}

function sameValue(left: ConfigurationRecord | undefined, right: ConfigurationRecord): boolean {
    return JSON.stringify(left?.value) === JSON.stringify(right.value);
}
