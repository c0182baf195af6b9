/** The command line against a served operators' interface: exit codes, output, and errors with the next step. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it, vi } from "vitest";
import { run } from "../../src/commandline/index.js";
import { KEY, LISTS, OperatorHarness } from "../operators/harness.js";

let directory: string;
let lists: string;
let harness: OperatorHarness;

beforeAll(() => {
    directory = mkdtempSync(join(tmpdir(), "parsleyrun-"));
    lists = join(directory, "lists.yaml");
});

afterAll(() => {
    rmSync(directory, { recursive: true });
});

beforeEach(async () => {
    writeFileSync(lists, LISTS);
    harness = await OperatorHarness.start();
    harness.acknowledgeAll(1);
});

afterEach(() => {
    harness.close();
    vi.unstubAllEnvs();
});

async function execute(...argv: string[]) {
    const out: string[] = [];
    const error: string[] = [];
    const code = await run(argv, { out: line => out.push(line), error: line => error.push(line) });
    return { code, out: out.join("\n"), error: error.join("\n") };
}

const operate = (...argv: string[]) => execute(...argv, "--entry", harness.address, "--key", KEY);

describe("usage", () => {
    const wrong = [
        { fault: "no command", argv: [], message: "no command" },
        { fault: "unknown command", argv: ["aply"], message: "unknown command: aply" },
        { fault: "unknown option", argv: ["status", "--entri", "x"], message: "unknown option: entri" },
        { fault: "no entry", argv: ["status", "--key", KEY], message: "--entry ADDRESS is required" },
        { fault: "entry that is not an address", argv: ["status", "--entry", "http://x"], message: "is not host:port" },
        { fault: "no key", argv: ["status", "--entry", "127.0.0.1:1"], message: "PARSLEYRUN_OPERATOR_KEY is required" },
        { fault: "no file", argv: ["apply"], message: "apply takes FILE" },
        { fault: "too many operands", argv: ["show", "all"], message: "show takes no operands" },
        { fault: "wrong zone state", argv: ["zone", "east", "in"], message: "in is not one of: out, back" },
        { fault: "no stable version", argv: ["traffic", "encode"], message: "--stable VERSION is required" },
        {
            fault: "candidate without fraction",
            argv: ["traffic", "encode", "--stable", "v1", "--candidate", "v2", "--entry", "127.0.0.1:1", "--key", KEY],
            message: "given together",
        },
        {
            fault: "unknown kind of move",
            argv: ["move", "rack", "r1", "out"],
            message: "rack is not one of: zone, version",
        },
        {
            fault: "move without a time limit",
            argv: ["move", "zone", "east", "out", "--entry", "127.0.0.1:1", "--key", KEY],
            message: "--within TIME is required",
        },
        {
            fault: "zone move with a share",
            argv: ["move", "zone", "east", "out", "--share", "0.1", "--entry", "127.0.0.1:1", "--key", KEY],
            message: "--share belongs to move version",
        },
        {
            fault: "move with a malformed time limit",
            argv: ["move", "zone", "east", "out", "--within", "soon", "--entry", "127.0.0.1:1", "--key", KEY],
            message: "--within takes a time such as 60s or 10m",
        },
        {
            fault: "timeout that is not a number",
            argv: ["status", "--timeout", "soon"],
            message: "--timeout takes a number",
        },
        { fault: "daemon without settings", argv: ["entry"], message: "--settings FILE is required" },
        {
            fault: "wrong role",
            argv: ["check-settings", "node", "x"],
            message: "node is not one of: entry, agent, gateway",
        },
    ];

    it.each(wrong)("errors exit with 2 and say what to do next: $fault", async ({ argv, message }) => {
        vi.stubEnv("PARSLEYRUN_OPERATOR_KEY", undefined);
        const { code, out, error } = await execute(...argv);
        expect({ code, out }).toEqual({ code: 2, out: "" });
        expect(error).toContain(message);
        expect(error).toContain("next: ");
    });

    it.each(["--help", "--version"])("shows %s", async flag => {
        const { code, out } = await execute(flag);
        expect(code).toBe(0);
        expect(out).toMatch(flag === "--help" ? /Exit codes/ : /^\d+\.\d+\.\d+$/);
    });
});

describe("settings", () => {
    it.each(["entry", "agent"])("of an %s with an unknown key exit with 2 before anything is started", async role => {
        const file = join(directory, "settings.yaml");
        writeFileSync(file, "name: a\nstore: { addres: 127.0.0.1:1 }\n");
        for (const argv of [
            [role, "--settings", file],
            ["check-settings", role, file],
        ]) {
            const { code, error } = await execute(...argv);
            expect(code).toBe(2);
            expect(error).toContain(`${file}:2: store.addres: unknown key`);
            expect(error).toContain("next: ");
        }
    });

    it("are checked without starting a process", async () => {
        expect(await execute("check-settings", "entry", "examples/entry-1.yaml")).toMatchObject({ code: 0 });
        expect(await execute("check-settings", "agent", "examples/entry-1.yaml")).toMatchObject({ code: 2 });
        expect(await execute("check-settings", "gateway", "examples/gateway.yaml")).toMatchObject({ code: 0 });
        expect(await execute("check-settings", "gateway", "examples/entry-1.yaml")).toMatchObject({ code: 2 });
    });
});

describe("apply", () => {
    it("accepts lists, which show prints in the same format, and reads the key from the environment", async () => {
        vi.stubEnv("PARSLEYRUN_OPERATOR_KEY", KEY);
        const applied = await execute("apply", lists, "--entry", harness.address);
        expect(applied).toMatchObject({ code: 0, error: "" });
        expect(applied.out).toContain("version 1 accepted: set budget/common");
        writeFileSync(lists, (await operate("show")).out);
        expect((await operate("apply", lists)).out).toBe("nothing to change; version 1 stays");
    });

    it("changes nothing on a dry run", async () => {
        const { code, out } = await operate("apply", lists, "--dry-run");
        expect({ code, out }).toMatchObject({ code: 0, out: expect.stringMatching(/^valid; would change version 0/) });
        expect(harness.holder.current.version).toBe(0);
    });

    it("names the lines of errors, and the changes of another operator", async () => {
        writeFileSync(lists, LISTS.replace("plan: large", "plan: huge"));
        const faulty = await operate("apply", lists);
        expect(faulty).toMatchObject({ code: 1, out: "" });
        expect(faulty.error).toContain('line 13: accounts[0].plan: unknown plan "huge"');
        writeFileSync(lists, LISTS);
        await operate("apply", lists, "--author", "first");
        const conflict = await operate("apply", lists, "--base", "0");
        expect(conflict.code).toBe(1);
        expect(conflict.error).toMatch(/version 1 by first: set budget[^]*next: read the configuration again/);
    });

    it("exits with 2 when the file cannot be read, and with 3 when no entry can be reached", async () => {
        expect(await operate("apply", join(directory, "none.yaml"))).toMatchObject({ code: 2 });
        const { code, error } = await execute("apply", lists, "--entry", "127.0.0.1:1", "--key", KEY);
        expect(code).toBe(3);
        expect(error).toMatch(/127.0.0.1:1: ECONNREFUSED[^]*next: /);
    });

    it("uses the first entry that can be reached", async () => {
        expect(await operate("apply", lists, "--entry", "127.0.0.1:1")).toMatchObject({ code: 0 });
    });

    it("waits for every process, and on a timeout names those without the version", async () => {
        expect((await operate("apply", lists, "--wait")).out).toContain("version 1 is in force everywhere");
        harness.acknowledged = harness.acknowledged.filter(({ name }) => name !== "entry2");
        const late = await operate("zone", "east", "out", "--wait", "--timeout", "0.3");
        expect(late.code).toBe(1);
        expect(late.error).toContain("version 2 is accepted, but not in force yet at: encode1, entry2");
    });

    it("does not report a change as refused when the entry did not respond", async () => {
        const silent = createServer((request, response) => {
            if (request.method === "POST") response.destroy();
            else response.end('{"version":0}');
        });
        await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`;
        const { code, error } = await execute("apply", lists, "--entry", address, "--key", KEY);
        silent.close();
        expect(code).toBe(1);
        expect(error).toMatch(/no answer[^]*may have been made/);
    });

    it("exits with 1 for a wrong key", async () => {
        const { code, error } = await execute("apply", lists, "--entry", harness.address, "--key", "wrong-key");
        expect({ code, error }).toMatchObject({ code: 1, error: expect.stringContaining("operator key") });
    });
});

describe("other commands", () => {
    it("status exits with 1 and names the missing processes until the version is in force everywhere", async () => {
        await operate("apply", lists);
        expect(await operate("status")).toMatchObject({ code: 0, out: expect.stringContaining("in force everywhere") });
        harness.acknowledged = [];
        expect(await operate("status")).toMatchObject({
            code: 1,
            out: expect.stringContaining("not in force yet at: encode1, entry2"),
        });
    });

    it("zone and traffic change one record", async () => {
        await operate("apply", lists);
        const split = ["--stable", "v1", "--candidate", "v2", "--fraction", "0.05"];
        const traffic = await operate("traffic", "encode", ...split);
        expect(traffic.out).toMatch(/version 2 accepted: set traffic\/encode\nwarning: no target/);
        expect((await operate("zone", "east", "out")).out).toBe("version 3 accepted: set zone/east");
        const { out } = await operate("show");
        expect(out).toContain("# zone east: out");
        expect(out).toContain("# traffic of encode: v1, v2 with a fraction of 0.05");
    });

    it("report merges the given entries, and reports an entry that cannot be reached", async () => {
        const labels = { account: "a", plan: "p", kind: "k", pipeline: "q", measure: "total" };
        harness.histograms.record(labels, 20);
        const { code, out } = await operate("report", "--json", "--entry", harness.address);
        expect(code).toBe(0);
        expect(JSON.parse(out)).toMatchObject({ counters: { "requests.done": 4 }, durations: [{ labels, count: 2 }] });
        expect(await operate("report", "--entry", "127.0.0.1:1")).toMatchObject({ code: 3 });
    });
});
