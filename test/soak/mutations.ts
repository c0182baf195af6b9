/**
 * Deliberate faults that the soak has to find, each a limit of what a gateway reads. `npm run soak:mutations` puts each into
 * a copy of the built program and runs the soak on it. A fault that can no longer be applied is an error.
 */
import type { Mutation } from "../fuzz/mutations.js";

/** A deliberate fault, and the broken promise that it shows as. */
export interface SoakMutation extends Mutation {
    readonly found: string;
}

export const SOAK_MUTATIONS: readonly SoakMutation[] = [
    {
        name: "an event without an end is read without a limit",
        file: "gateway/streamforwarding.ts",
        from: "const MAXIMUM_BYTES_BETWEEN_EVENTS = 131_072;",
        to: "const MAXIMUM_BYTES_BETWEEN_EVENTS = Number.POSITIVE_INFINITY;",
        found: "ended by itself|used \\d+ MB|reached their deadline",
    },
];
