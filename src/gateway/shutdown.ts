/**
 * The grace period of a planned stop, as requests see it.
 *
 * A request is taken only if it will probably end in what is left of the grace period; otherwise it is refused before
 * anything was sent. The deadline of one that is taken is limited to that time. What is still open when the time is over
 * gets a response or, for a begun stream, the end of its connection.
 *
 * What is refused while no other gateway is registered may come back once a new process has probably replaced this one.
 */
import type { Deadline } from "../model/index.js";

/** Allowance in milliseconds for the end of this process and the start of the next one, until it knows the targets. */
const RESTART_MS = 1_800;

/** Time in milliseconds over which refused requests come back, so that they do not all arrive at once. */
const RETURN_SPREAD_MS = 1_000;

/** The time that a planned stop leaves for requests; unlimited until the stop begins. */
export class Shutdown {
    private dueAt = Number.POSITIVE_INFINITY;
    private takesUntil = 0;
    /** What is open, with the monotonic time in milliseconds at which it will probably have ended. */
    private readonly listeners = new Map<() => void, () => number>();

    private constructor() {}

    static create(): Shutdown {
        return new Shutdown();
    }

    /** Starts the stop: all requests have to be responded to by `due`. New ones are taken until `takesUntil`. */
    begin(due: Deadline, takesUntil: Deadline = due): void {
        this.dueAt = due.at;
        this.takesUntil = takesUntil.at;
        setTimeout(() => {
            for (const listener of [...this.listeners.keys()]) listener();
        }, due.remainingMs()).unref();
    }

    /** Whether the stop has begun. */
    get hasBegun(): boolean {
        return Number.isFinite(this.dueAt);
    }

    /** The earlier of a request's deadline and the end of the time for responses. */
    limit(deadline: Deadline): Deadline {
        return deadline.limitedTo(this.dueAt - performance.now());
    }

    /** Whether there is time for something that has a deadline and usually takes `usualMs`. */
    hasTimeFor(usualMs: number, deadline: Deadline): boolean {
        return Math.min(usualMs, deadline.remainingMs()) <= this.dueAt - performance.now();
    }

    /** Milliseconds after which a refused request may come back that no other gateway can serve. */
    returnMs(): number {
        const endsAt = [...this.listeners.values()].reduce((latest, at) => Math.max(latest, at()), this.takesUntil);
        const leftMs = Math.max(0, Math.min(endsAt, this.dueAt) - performance.now());
        return Math.round(leftMs + RESTART_MS + Math.random() * RETURN_SPREAD_MS);
    }

    /**
     * Calls back when the time for responses is over; `expectedEndAt` is the monotonic time in milliseconds by which the
     * listener probably needs it no more. Returns a function that cancels it.
     */
    onDue(listener: () => void, expectedEndAt: () => number = () => 0): () => void {
        this.listeners.set(listener, expectedEndAt);
        return () => this.listeners.delete(listener);
    }
}
