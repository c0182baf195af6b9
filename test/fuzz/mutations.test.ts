/** Guards against deliberate faults whose source text has changed, so that they can no longer be applied. */
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
