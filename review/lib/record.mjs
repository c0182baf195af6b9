/** The record of a case: what was sent, answered and run, one JSON object a line. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Lines with their time in milliseconds since the record was opened, written to `record.txt` at the end. */
export class CaseRecord {
    lines = [];
    openedAt = performance.now();

    constructor(folder) {
        this.file = join(folder, "record.txt");
    }

    /** Milliseconds since the record was opened. */
    now() {
        return Math.round(performance.now() - this.openedAt);
    }

    add(what, fields = {}) {
        this.lines.push(JSON.stringify({ ms: this.now(), what, ...fields }));
    }

    save() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}

export function pause(milliseconds) {
    return new Promise(done => setTimeout(done, milliseconds));
}

/** Waits until a condition holds. Rejects after `limitMs`. */
export async function until(what, condition, limitMs = 20_000) {
    const endsAt = performance.now() + limitMs;
    while (!(await condition())) {
        if (performance.now() > endsAt) throw new Error(`not reached in ${limitMs} ms: ${what}`);
        await pause(20);
    }
}

/**
 * Runs a case. `run` returns the rule's violations as texts; an exception says that the case could not run. `stopAll` ends
 * all processes and servers. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
export async function runCase(folder, run, stopAll) {
    const record = new CaseRecord(folder);
    let code = 2;
    for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(code));
    try {
        const violations = await run(record, process.env.TROUBLE !== "0");
        for (const violation of violations) record.add("violation", { violation });
        code = violations.length > 0 ? 1 : 0;
        console.log(`${violations.length} violations`);
        for (const violation of violations.slice(0, 5)) console.log(violation);
    } catch (error) {
        record.add("could not run", { error: String(error) });
        console.log(`could not run: ${error}`);
    }
    await stopAll();
    record.save();
    process.exit(code);
}
