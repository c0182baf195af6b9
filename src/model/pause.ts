/** Resolves after a time. Uses the global timer, which tests can pause, unlike that of `node:timers/promises`. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });
}

/** The value of a promise, or `late` when it takes longer. The timer ends with the promise. */
export async function withinTime<Value, Late>(
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
