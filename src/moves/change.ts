/**
 * The changes that a move makes in the configuration. Each names the move as its author, so that a controller that
 * takes over, or whose answer was lost, finds in the log what is already made and does not make it twice. A record that
 * others have changed since is left as it is.
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

/** What the changes of moves are made with. */
export interface ChangeDependencies {
    readonly store: Store;
    readonly holder: ConfigurationHolder;
    readonly log: ConfigurationLog;
}

/** A change of the record that a move is about. */
export interface RecordChange {
    readonly version: number;
    readonly author: string;
    readonly own: boolean;
    /** The record after the change; undefined when it was removed. */
    readonly record: ConfigurationRecord | undefined;
}

/** What setting the record came to. */
export type SetOutcome =
    /** The move's change is in the log with this version. */
    | { readonly kind: "set"; readonly version: number }
    /** Others changed the record after the move did; it is left as it is. */
    | { readonly kind: "overridden"; readonly by: RecordChange }
    /** Not known yet; to be tried again. */
    | { readonly kind: "pending" };

/** The configuration's record of a kind and name, as changed for one move. */
export class SubjectRecordWriter {
    /** Changes read from the store, by version. Accepted changes never change. */
    private readonly read = new Map<number, ConfigurationChange>();

    private constructor(
        private readonly parts: ChangeDependencies,
        private readonly move: Move,
        private readonly kind: "zone" | "traffic",
    ) {}

    static of(parts: ChangeDependencies, move: Move, kind: "zone" | "traffic"): SubjectRecordWriter {
        return new SubjectRecordWriter(parts, move, kind);
    }

    /**
     * Sets the record once. A later call with the same record finds the change that was made. `held` is asked before
     * the log is written.
     *
     * The change is made even if the record already has this value: its version then is a point of the log behind
     * which a paused earlier controller, whose change has an older base, cannot write.
     */
    async set(record: ConfigurationRecord, held: () => boolean): Promise<SetOutcome> {
        const base = this.parts.holder.current;
        const history = await this.history(base);
        if (history === undefined || !held()) return { kind: "pending" };
        const last = history.at(-1);
        const begun = history.some(({ own }) => own);
        if (begun && last !== undefined && !last.own) return { kind: "overridden", by: last };
        if (last?.own === true && sameValue(last.record, record)) return { kind: "set", version: last.version };
        return await this.accept(base, record);
    }

    /**
     * Restores the record when the move is taken back. A value that others set since the declaration stays; if the move
     * has changed nothing yet, that value is written again, for the reason given at `set`.
     */
    async restore(record: ConfigurationRecord, held: () => boolean): Promise<SetOutcome> {
        const base = this.parts.holder.current;
        const history = await this.history(base);
        if (history === undefined || !held()) return { kind: "pending" };
        const last = history.at(-1);
        const begun = history.some(({ own }) => own);
        if (begun || last?.record === undefined) return await this.set(record, held);
        const accepted = await this.accept(base, last.record);
        return accepted.kind === "set" ? { kind: "overridden", by: last } : accepted;
    }

    private async accept(base: Configuration, record: ConfigurationRecord): Promise<SetOutcome> {
        const difference = { set: [record], removed: [] };
        const outcome = await this.parts.log.accept({ base, author: moveAuthor(this.move), difference });
        return outcome.kind === "accepted" ? { kind: "set", version: outcome.change.version } : { kind: "pending" };
    }

    /** Who changed the record after the move did, as far as this entry knows. */
    async overriddenBy(): Promise<RecordChange | undefined> {
        const history = await this.history(this.parts.holder.current);
        const last = history?.at(-1);
        return last?.own === false && history?.some(({ own }) => own) === true ? last : undefined;
    }

    /** Changes of the record since the move was declared, oldest first; undefined when some cannot be read now. */
    private async history(base: Configuration): Promise<readonly RecordChange[] | undefined> {
        if (base.version < this.move.baseVersion) return undefined;
        const changes: RecordChange[] = [];
        for (let version = this.move.baseVersion + 1; version <= base.version; version += 1) {
            const change = await this.find(version);
            if (change === undefined) return undefined;
            const mine = (record: { kind: string; name: string }): boolean =>
                record.kind === this.kind && record.name === this.move.subject;
            if (![...change.set, ...change.removed].some(mine)) continue;
            const own = change.author === moveAuthor(this.move);
            changes.push({ version, author: change.author, own, record: change.set.find(mine) });
        }
        return changes;
    }

    private async find(version: number): Promise<ConfigurationChange | undefined> {
        const known = this.read.get(version);
        if (known !== undefined) return known;
        const read = await this.parts.store.read(changeKey(version));
        const change = read.kind === "found" ? decodeChange(read.object.value, version) : undefined;
        if (change !== undefined) this.read.set(version, change);
        return change;
    }
}

function sameValue(left: ConfigurationRecord | undefined, right: ConfigurationRecord): boolean {
    return JSON.stringify(left?.value) === JSON.stringify(right.value);
}
