/** What all scripts share: the record, the end of what was started, and the exit code. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Whether the run has its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Longest time in milliseconds that a script takes. */
const LONGEST_MS = 115_000;

/**
 * Runs a script. `run` gets a function that adds a line to the record, and one that names what has to be ended; it returns
 * the breaches of the rule that were seen.
 */
export async function runCase(directory, run) {
    const startedAt = performance.now();
    const lines = [];
    const ends = [];
    const record = (text, at = performance.now()) => lines.push(`${((at - startedAt) / 1_000).toFixed(3)} s  ${text}`);
    const finish = code => {
        for (const end of ends) end();
        writeFileSync(join(directory, "record.txt"), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    const timer = setTimeout(() => {
        record("the script took too long");
        finish(EXIT.notRun);
    }, LONGEST_MS);
    record(hasTrouble ? "with the disruption" : "without the disruption");
    try {
        const breaches = await run({ record, endWith: end => ends.push(end), startedAt });
        for (const breach of breaches) record(`BROKEN: ${breach}`);
        record(breaches.length === 0 ? "the rule held" : "the rule was broken");
        clearTimeout(timer);
        finish(breaches.length === 0 ? EXIT.held : EXIT.broken);
    } catch (error) {
        record(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
        clearTimeout(timer);
        finish(EXIT.notRun);
    }
}
