/** What all scripts share: the record, the end of what was started, and the exit code. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Exit codes for run.sh. Node.js itself ends with 1 after an error, so that code does not say that the rule was broken. */
const EXIT = { held: 0, broken: 10, notRun: 2 };

/** Longest time in milliseconds that a script takes. */
const LONGEST_MS = 115_000;

/**
 * Runs a script. `run` gets a function that adds a line to the record, and one that names what has to be ended; it returns
 * the breaches of the rule that were seen. An error, a signal or a lack of time says that the case could not run.
 */
export async function runCase(directory, hasTrouble, run) {
    const startedAt = performance.now();
    const lines = [];
    const ends = [];
    const record = (text, at = performance.now()) => lines.push(`${((at - startedAt) / 1_000).toFixed(3)} s  ${text}`);
    const finish = code => {
        for (const end of ends) end();
        writeFileSync(join(directory, "record.txt"), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    const giveUp = reason => {
        record(`the case could not run: ${reason instanceof Error ? reason.stack : String(reason)}`);
        finish(EXIT.notRun);
    };
    process.on("uncaughtException", giveUp);
    process.on("unhandledRejection", giveUp);
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.on(signal, () => giveUp(signal));
    setTimeout(() => giveUp("it took too long"), LONGEST_MS);
    record(hasTrouble ? "with the disruption" : "without the disruption");
    try {
        const breaches = await run({ record, endWith: end => ends.push(end) });
        for (const breach of breaches) record(`BROKEN: ${breach}`);
        record(breaches.length === 0 ? "the rule held" : "the rule was broken");
        finish(breaches.length === 0 ? EXIT.held : EXIT.broken);
    } catch (error) {
        giveUp(error);
    }
}
