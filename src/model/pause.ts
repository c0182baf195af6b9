import { startTimeout } from "./timeout.js";

/** Resolves after a time. Uses the global `setTimeout`, which tests can fake, unlike that of `node:timers/promises`. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });
}

/** A pause that can be ended early. Only one `wait` may be pending at a time. */
export class InterruptiblePause {
    private endWait: () => void = () => undefined;

    private constructor() {}

    static create(): InterruptiblePause {
        return new InterruptiblePause();
    }

    /** Resolves after a time, or when the pause is ended. */
    wait(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, milliseconds);
            this.endWait = (): void => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    /** Ends the pending wait, if there is one. */
    end(): void {
        this.endWait();
    }
}

/** The value of a promise, or `fallback` when it takes longer. The timer does not outlive the promise. */
export async function withTimeout<Value, Fallback>(
    promise: Promise<Value>,
    milliseconds: number,
    fallback: Fallback,
): Promise<Value | Fallback> {
    let cancelTimeout = (): void => undefined;
    const timeout = new Promise<Fallback>(resolve => {
        cancelTimeout = startTimeout(() => resolve(fallback), milliseconds);
    });
    try {
        return await Promise.race([promise, timeout]);
    } finally {
        cancelTimeout();
    }
}
