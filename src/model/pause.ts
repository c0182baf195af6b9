/** Resolves after a time. Uses the global timer, which tests can pause, unlike that of `node:timers/promises`. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });
}

/** A pause that can be ended early. One wait at a time. */
export class InterruptiblePause {
    private wake: () => void = () => undefined;

    private constructor() {}

    static create(): InterruptiblePause {
        return new InterruptiblePause();
    }

    /** Resolves after a time, or when the pause is ended. */
    wait(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, milliseconds);
            this.wake = (): void => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    /** Ends the present wait, if there is one. */
    end(): void {
        this.wake();
    }
}

/** The value of a promise, or `late` when it takes longer. The timer ends with the promise. */
export async function withTimeout<Value, Late>(
    promise: Promise<Value>,
    milliseconds: number,
    late: Late,
): Promise<Value | Late> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<Late>(resolve => {
        timer = setTimeout(resolve, milliseconds, late);
    });
    try {
        return await Promise.race([promise, timeout]);
    } finally {
        clearTimeout(timer);
    }
}
