/**
 * What the stand-in targets answer: a function of the operation and its input alone, so that a caller can check that
 * it received its own answer and all of it.
 */
import { hashText } from "../model/index.js";

/** The tokens of an operation with at most `maximumTokens` tokens; between half of them and all of them. */
export function expectedTokens(operation: string, inputText: string, maximumTokens: number): readonly string[] {
    const digest = hashText(`${operation}\n${inputText}`);
    const half = Math.ceil(maximumTokens / 2);
    const count =
        maximumTokens === 0 ? 0 : half + (Number.parseInt(digest.slice(0, 6), 16) % (maximumTokens - half + 1));
    return Array.from({ length: count }, (_, index) => `${digest.slice(0, 8)}.${index} `);
}

/** The output of an operation, as JSON text: its text if it has tokens, else a digest of its input. */
export function expectedOutput(operation: string, inputText: string, maximumTokens: number): string {
    if (maximumTokens > 0) {
        return JSON.stringify({ operation, text: expectedTokens(operation, inputText, maximumTokens).join("") });
    }
    return JSON.stringify({ operation, digest: hashText(`${operation}\n${inputText}`).slice(0, 32) });
}
