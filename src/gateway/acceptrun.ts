/**
 * Measures for how long a listener has accepted connections without a pause.
 *
 * Node accepts one connection in each turn of the event loop. While each turn accepts one, further ones may wait in the
 * listener's backlog, and the time since the last turn without one is the longest time that the latest one can have waited
 * there.
 */

/** The turns of the event loop in a row in which a listener accepted a connection. */
export class AcceptRun {
    private startedAt: number | undefined;
    private accepted = 0;

    private constructor() {}

    static create(): AcceptRun {
        return new AcceptRun();
    }

    /** Time in milliseconds since the last turn that accepted no connection; 0 if it was the turn before. */
    get milliseconds(): number {
        return this.startedAt === undefined ? 0 : performance.now() - this.startedAt;
    }

    /** Call this for each connection that is accepted. */
    recordAccepted(): void {
        this.accepted += 1;
        if (this.startedAt !== undefined) return;
        this.startedAt = performance.now();
        // The rest of this turn accepts none.
        setImmediate(() => this.awaitTurn());
    }

    private awaitTurn(): void {
        const { accepted } = this;
        setImmediate(() => {
            if (this.accepted === accepted) this.startedAt = undefined;
            else this.awaitTurn();
        });
    }
}
