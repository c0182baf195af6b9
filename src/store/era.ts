/**
 * The era of a store as one client knows it.
 *
 * Each answer names the era in which it was given. An answer of an earlier era says nothing about the store as it is now:
 * what it shows may be gone, and a write that it acknowledges is lost.
 */
import type { StoreCallOutcome } from "./call.js";
import type { StoreEra } from "./store.js";

/** Follows the era that the answers of a store name in a header. */
export class EraTracker {
    private known: StoreEra = 0;

    /** `header` is the name of the header in lower case. */
    private constructor(private readonly header: string) {}

    static create(header: string): EraTracker {
        return new EraTracker(header);
    }

    /** Highest era seen; 0 while no answer has named one. */
    get current(): StoreEra {
        return this.known;
    }

    /** Takes the era from an answer. Returns the answer, or none if it belongs to an earlier era. */
    check(answer: StoreCallOutcome): StoreCallOutcome {
        if (answer.kind !== "answered") return answer;
        const era = Number(answer.headers[this.header] ?? this.known);
        if (!Number.isSafeInteger(era) || era < 0) return answer;
        if (era < this.known) return { kind: "unanswered", sent: true, message: "answer of an earlier era" };
        this.known = era;
        return answer;
    }
}
