/**
 * What the store has said about one prefix: the objects as of a revision, and the changes since an earlier one.
 *
 * A view continues from the revision that it knows. It gets changes from here only if that revision is one that the mirror
 * has been at; another one may lie within an answer of the store, whose changes cannot be told apart.
 */
import type { ListOutcome, StoredObject, StoreEra, StoreEvent, WatchOutcome } from "../store/index.js";

/** A list of all objects. */
export type Listed = Extract<ListOutcome, { kind: "listed" }>;

/** The answer to a watch. */
export type Changed = Extract<WatchOutcome, { kind: "changed" }>;

/** The changes between two revisions. */
export interface ChangeStep extends Omit<Changed, "kind"> {
    /** The revision that the changes follow. */
    readonly from: number;
}

/** Maximum number of steps that are kept for views that are behind. */
const MAXIMUM_STEPS = 64;

/** The objects of one prefix, and how they came to be. */
export class Mirror {
    private readonly objects: Map<string, StoredObject>;
    private readonly steps: ChangeStep[] = [];
    private currentRevision: number;

    private constructor(
        listed: Listed,
        readonly era: StoreEra,
    ) {
        this.objects = new Map(listed.objects.map(object => [object.key, object]));
        this.currentRevision = listed.revision;
    }

    /** A mirror of what was listed. */
    static of(listed: Listed): Mirror {
        return new Mirror(listed, listed.era);
    }

    get revision(): number {
        return this.currentRevision;
    }

    /** The objects as of the current revision. */
    list(): Listed {
        return { kind: "listed", objects: [...this.objects.values()], revision: this.currentRevision, era: this.era };
    }

    /** Takes a step. Returns false if it does not follow the current revision in the same era. */
    apply(step: ChangeStep): boolean {
        if (step.era !== this.era || step.from !== this.currentRevision || step.revision < step.from) return false;
        for (const { key, object } of step.events) {
            if (object === undefined) this.objects.delete(key);
            else this.objects.set(key, object);
        }
        if (step.revision === step.from) return true;
        this.currentRevision = step.revision;
        this.steps.push(step);
        if (this.steps.length > MAXIMUM_STEPS) this.steps.shift();
        return true;
    }

    /** All changes after a revision; undefined if the mirror has not been at it, or was so too long ago. */
    changesSince(revision: number): Changed | undefined {
        const changed = { kind: "changed", revision: this.currentRevision, era: this.era } as const;
        if (revision === this.currentRevision) return { ...changed, events: [] };
        const first = this.steps.findIndex(({ from }) => from === revision);
        if (first < 0) return undefined;
        const events = this.steps.slice(first).flatMap((step): readonly StoreEvent[] => step.events);
        return { ...changed, events };
    }
}
