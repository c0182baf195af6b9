/**
 * The bundle that runs on the platform is one program without packages beside it.
 *
 * Guards against a gateway that cannot start where the deploy file runs it, and against a start that loads hundreds of
 * modules again: after a loss of power, all gateways start at once on machines with a fraction of a core.
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { isBuiltin } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { rolldown } from "rolldown";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import options from "../../rolldown.config.js";

const folder = mkdtempSync(join(tmpdir(), "bundle-"));

beforeAll(async () => {
    const bundle = await rolldown({ ...options, input: "dist/platform/main.js" });
    await bundle.write({ ...options.output, dir: folder });
    await bundle.close();
}, 60_000);
afterAll(() => rmSync(folder, { recursive: true }));

describe("the bundled gateway", () => {
    it("imports nothing but its own files and modules of Node", () => {
        const files = readdirSync(folder);
        expect(files).toHaveLength(2);
        const imported = files.flatMap(file => {
            const text = readFileSync(join(folder, file), "utf8");
            return [...text.matchAll(/^import (?:[^"';]* from )?"([^"]+)";$/gm)].map(match => match[1] ?? "");
        });
        expect(imported.length).toBeGreaterThan(0);
        expect(imported.filter(name => !name.startsWith("./") && !isBuiltin(name))).toEqual([]);
    });

    it("starts far enough to report settings that cannot be read", () => {
        const run = spawnSync(process.execPath, [join(folder, "main.js"), join(folder, "missing.yaml")]);
        expect(run.status).toBe(2);
        expect(run.stderr.toString()).toMatch(/^error: .*missing.yaml: cannot read the file/);
    });

    it("is what the deploy file runs", () => {
        const deploy = readFileSync("deploy/system.toml", "utf8");
        expect(deploy).toContain(`${options.output.dir}/main.js"`);
    });
});
