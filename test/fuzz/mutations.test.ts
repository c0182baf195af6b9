/** Guards against deliberate faults that can no longer be placed, which would make the table of faults empty words. */
import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { MUTATIONS } from "./mutations.js";

describe("deliberate faults", () => {
    it.each(MUTATIONS)("$name", ({ file, from, to }) => {
        const source = readFileSync(new URL(`../../src/${file}`, import.meta.url), "utf8");
        expect(source.split(from)).toHaveLength(2);
        expect(to).not.toBe(from);
    });
});
