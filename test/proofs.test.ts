/** Guards against a page that names tests which do not exist. */
import { existsSync, readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";

const page = readFileSync(new URL("../docs/proofs.md", import.meta.url), "utf8");
const references = [...page.matchAll(/`(test\/[^`]+\.test\.ts)` "([^"]*)"/g)].map(([, file = "", title = ""]) => {
    return { file, title };
});

describe("docs/proofs.md", () => {
    it("names tests", () => {
        expect(references.length).toBeGreaterThan(40);
    });

    it.each(references)('$file "$title"', ({ file, title }) => {
        const path = new URL(`../${file}`, import.meta.url);
        expect(existsSync(path)).toBe(true);
        expect(readFileSync(path, "utf8")).toContain(title);
    });
});
