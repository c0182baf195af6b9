/** Resolves after a time. Uses the global timer, which tests can pause, unlike that of `node:timers/promises`. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });
}
