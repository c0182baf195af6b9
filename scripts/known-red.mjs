/**
 * Sets the exit status of a test run, which passes when every failed test is listed in KNOWN-RED.txt. Prints the list.
 * An entry is a line
 * `test/FILE > FULL NAME | command | seed | what was seen | issue`.
 *
 * node scripts/known-red.mjs RESULTS.json EXIT_CODE
 */
import { existsSync, readFileSync } from "node:fs";
import { relative } from "node:path";

const [resultsFile = "", exitCode = "1"] = process.argv.slice(2);
const entries = existsSync("KNOWN-RED.txt")
    ? readFileSync("KNOWN-RED.txt", "utf8")
          .split("\n")
          .filter(line => line.startsWith("test/"))
    : [];
const known = new Set(entries.map(line => line.split(" | ")[0]?.trim()));
if (entries.length > 0) console.log(`Known failures:\n${entries.join("\n")}`);
if (exitCode === "0") process.exit(0);

const results = JSON.parse(readFileSync(resultsFile, "utf8"));
const failed = results.testResults.flatMap(file =>
    file.assertionResults
        .filter(({ status }) => status === "failed")
        .map(({ fullName }) => `${relative(process.cwd(), file.name)} > ${fullName}`),
);
const brokenFiles = results.testResults.filter(
    file => file.status === "failed" && !file.assertionResults.some(({ status }) => status === "failed"),
);
const unknown = failed.filter(name => !known.has(name));
for (const name of failed) console.log(`${known.has(name) ? "known" : "NEW"} failure: ${name}`);
// A run that fails without a failed test, for example through an unhandled error, never passes.
process.exit(failed.length > 0 && unknown.length === 0 && brokenFiles.length === 0 ? 0 : 1);
