/**
 * The grace period of a planned stop, as requests see it.
 *
 * A request is taken only if it will probably end in what is left of the grace period; otherwise it is refused before
 * anything was sent. The deadline of one that is taken is limited to that time. What is still open when the time is over
 * gets a response or, for a begun stream, the end of its connection.
 */
import type { Deadline } from "../model/index.js";

/** The time that a planned stop leaves for requests; unlimited until the stop begins. */
export class Shutdown {
    private dueAt = Number.POSITIVE_INFINITY;
    private readonly listeners = new Set<() => void>();

    private constructor() {}

    static create(): Shutdown {
        return new Shutdown();
    }

    /** Starts the stop: all requests have to be responded to by `due`. */
    begin(due: Deadline): void {
        this.dueAt = due.at;
        setTimeout(() => {
            for (const listener of [...this.listeners]) listener();
        }, due.remainingMs()).unref();
    }

    /** The earlier of a request's deadline and the end of the time for responses. */
    limit(deadline: Deadline): Deadline {
        return deadline.limitedTo(this.dueAt - performance.now());
    }

    /** Whether there is time for something that has a deadline and usually takes `usualMs`. */
    hasTimeFor(usualMs: number, deadline: Deadline): boolean {
        return Math.min(usualMs, deadline.remainingMs()) <= this.dueAt - performance.now();
    }

    /** Calls back when the time for responses is over. Returns a function that cancels it. */
    onDue(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}
