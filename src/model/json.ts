/** Parses JSON text. Returns undefined when it is not valid JSON. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}
