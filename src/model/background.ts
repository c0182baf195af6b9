import { describeError } from "./error.js";

/** Called with the name of a task that has thrown, and the error. */
export type OnTaskFailure = (fields: { readonly task: string; readonly error: string }) => void;

/** Runs a task beside requests. An exception ends the task and is reported; it does not end the process. */
export function runInBackground(task: string, onFailure: OnTaskFailure, run: () => unknown): void {
    const report = (error: unknown): void => onFailure({ task, error: describeError(error) });
    try {
        const result = run();
        if (result instanceof Promise) result.catch(report);
    } catch (error) {
        report(error);
    }
}
