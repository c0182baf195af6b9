/**
 * Mutation test of the soak: `npm run soak:mutations -- --seeds 3`. The soak beside parties that send without end has to
 * find each fault of test/soak/mutations.ts with one of the seeds; prints which.
 */
import { spawn } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import meow from "meow";
import ts from "typescript";

const cli = meow(
    `
    Usage
      $ npm run soak:mutations -- [--seeds N] [--minutes M] [--only TEXT]

    Options
      --seeds    seeds from 1 within which each fault has to be found (default 3)
      --minutes  length of a run (default 0.5)
      --only     only faults whose name contains the text
`,
    {
        importMeta: import.meta,
        flags: {
            seeds: { type: "number", default: 3 },
            minutes: { type: "number", default: 0.5 },
            only: { type: "string", default: "" },
        },
    },
);

/** Loads a TypeScript module that imports only types. */
async function load(path) {
    const source = readFileSync(new URL(path, import.meta.url), "utf8");
    return import(`data:text/javascript,${encodeURIComponent(transpile(source))}`);
}

function transpile(source) {
    const compilerOptions = { target: ts.ScriptTarget.ES2023, module: ts.ModuleKind.ESNext };
    return ts.transpileModule(source, { compilerOptions }).outputText;
}

/** Copies the built program and puts a fault into it. The copy is in the checkout, so that it finds its libraries. */
function plant({ file, from, to }, folder) {
    cpSync("dist", folder, { recursive: true });
    const source = readFileSync(join("src", file), "utf8");
    if (source.split(from).length !== 2) throw new Error(`${file}: text is not there exactly once`);
    writeFileSync(join(folder, file.replace(/\.ts$/, ".js")), transpile(source.replace(from, () => to)));
}

function runSoak(seed, folder) {
    const env = { ...process.env, SOAK_SEED: String(seed), SOAK_MINUTES: String(cli.flags.minutes) };
    Object.assign(env, { SOAK_MIX: "endless", SOAK_PROGRAM: folder });
    const command = ["node_modules/vitest/vitest.mjs", "run", "test/soak/soak.test.ts", "-t", "a soak"];
    const child = spawn(process.execPath, command, { env });
    let output = "";
    for (const stream of [child.stdout, child.stderr]) stream.on("data", data => (output += data));
    return new Promise(resolve => child.on("close", () => resolve(output)));
}

async function find({ found }, folder) {
    for (let seed = 1; seed <= cli.flags.seeds; seed += 1) {
        const output = await runSoak(seed, folder);
        const result = /seed \d+: (\{.*\})/.exec(output)?.[1];
        if (result === undefined) throw new Error(output.slice(-600));
        const promise = JSON.parse(result).broken.find(line => new RegExp(found).test(line));
        if (promise !== undefined) return { seed, promise };
    }
    return undefined;
}

mkdirSync(".work", { recursive: true });
const folder = mkdtempSync(join(".work", "soak-mutations-"));
const { SOAK_MUTATIONS } = await load("../test/soak/mutations.ts");
const chosen = SOAK_MUTATIONS.filter(({ name }) => name.includes(cli.flags.only));
let missed = 0;
for (const [index, mutation] of chosen.entries()) {
    const program = join(folder, String(index));
    plant(mutation, program);
    const result = await find(mutation, program);
    if (result === undefined) missed += 1;
    console.log(`${mutation.name}: ${result === undefined ? "NOT FOUND" : `seed ${result.seed}, ${result.promise}`}`);
}
rmSync(folder, { recursive: true });
console.log(`${chosen.length - missed} of ${chosen.length} faults found`);
process.exitCode = missed === 0 ? 0 : 1;
