/** Guards against deliberate faults whose source text has changed, so that the soak can no longer be tested with them. */
import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { SOAK_MUTATIONS } from "./mutations.js";

describe("deliberate faults for the soak", () => {
    it.each(SOAK_MUTATIONS)("$name", ({ file, from, to, found }) => {
        const source = readFileSync(new URL(`../../src/${file}`, import.meta.url), "utf8");
        expect(source.split(from)).toHaveLength(2);
        expect(to).not.toBe(from);
        expect(() => new RegExp(found)).not.toThrow();
    });
});
