/** Checks that the capacity page has the same figures as the measurements that it is based on. */
import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";

interface MeasuredFigure {
    readonly median: number;
    readonly low: number;
    readonly high: number;
    readonly unit: string;
}

interface Measurements {
    readonly seed: number;
    readonly node: string;
    readonly figures: Readonly<Record<string, MeasuredFigure>>;
}

function readText(path: string): string {
    return readFileSync(new URL(`../../docs/${path}`, import.meta.url), "utf8");
}

const page = readText("CAPACITY.md");
const measurements = JSON.parse(readText("measurements/slopes.json")) as Measurements;

/** Rows of the table of measured figures, by figure name. */
function tableRows(): Record<string, readonly string[]> {
    const rows = [...page.matchAll(/^\| `([\w.-]+)` \|(.*)\|$/gm)];
    return Object.fromEntries(
        rows.map(([, name = "", cells = ""]) => [name, cells.split("|").map(cell => cell.trim())]),
    );
}

describe("docs/CAPACITY.md", () => {
    it("lists exactly the measured figures, so that an edit of the page or a new measurement cannot part them", () => {
        const expected = Object.entries(measurements.figures).map(([name, { median, low, high, unit }]) => [
            name,
            [String(median), String(low), String(high), unit],
        ]);
        expect(tableRows()).toEqual(Object.fromEntries(expected));
    });

    it("uses the measured medians in its arithmetic, so that a sum does not keep an older figure", () => {
        const quoted = [...page.matchAll(/`([\w.-]+)` = ([\d.]+)/g)].map(([, name = "", value = ""]) => [name, value]);
        expect(quoted.length).toBeGreaterThan(20);
        const expected = quoted.map(([name = ""]) => [name, String(measurements.figures[name]?.median)]);
        expect(quoted).toEqual(expected);
    });

    it("names the seed and the version of the run, so that the run can be repeated", () => {
        expect(page).toContain(`--seed ${measurements.seed}`);
        expect(page).toContain(`Node ${measurements.node}`);
    });
});
