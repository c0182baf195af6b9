import { type Plugin } from "vite";
import { defineConfig } from "vitest/config";
import { MUTATIONS } from "./test/fuzz/mutations.js";

/** Puts one deliberate fault into the source while it is loaded, when FUZZ_MUTATION names it. */
function mutationPlugin(name: string): Plugin {
    const mutation = MUTATIONS.find(candidate => candidate.name === name);
    if (mutation === undefined) throw new Error(`no mutation is named ${name}`);
    const path = `/src/${mutation.file}`;
    return {
        name: "mutation",
        enforce: "pre",
        transform(code, id) {
            if (!id.endsWith(path)) return undefined;
            if (code.split(mutation.from).length !== 2) throw new Error(`${name}: text is not there exactly once`);
            return code.replace(mutation.from, () => mutation.to);
        },
    };
}

const mutation = process.env.FUZZ_MUTATION;

export default defineConfig({
    plugins: mutation === undefined ? [] : [mutationPlugin(mutation)],
    test: {
        include: ["test/**/*.test.ts"],
        testTimeout: 30_000,
        hookTimeout: 30_000,
        fileParallelism: true,
        maxWorkers: 4,
    },
});
