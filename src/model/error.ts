/** Longest description of an error, in characters. */
const MAXIMUM_LENGTH = 2_000;

/** A text for the log on whatever was thrown, with the place where it was if that is known. */
export function describeError(error: unknown): string {
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    return text.slice(0, MAXIMUM_LENGTH);
}
