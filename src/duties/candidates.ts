/** Which gateways try to hold the duties: a few, since each attempt costs calls to the store. */
import { createHash } from "node:crypto";

/** Number of gateways that try first. Others follow when nobody has held the duties for long. */
export const CANDIDATES = 3;

function weightOf(name: string): string {
    return createHash("sha256").update(`duties/${name}`).digest("hex");
}

/**
 * The names in the order in which they try. It is the same at all gateways that know the same names, and a name that comes or
 * goes does not change the order of the others.
 */
export function candidateOrder(names: readonly string[]): readonly string[] {
    const weights = new Map(names.map(name => [name, weightOf(name)]));
    return [...weights].sort(([, left], [, right]) => (left < right ? -1 : 1)).map(([name]) => name);
}
