/** Each error in settings names its key, the examples are valid, and the settings page describes every key. */
import { readdirSync, readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { z } from "zod";
import { parseLists, Configuration } from "../../src/configuration/index.js";
import {
    agentSettingsSchema,
    entrySettingsSchema,
    formatSettingsErrors,
    gatewaySettingsSchema,
    loadSettings,
    parseSettings,
} from "../../src/settings/index.js";

const ENTRY = `name: entry1
zone: east
vm: vm1
systemKey: system-key
linkAddress: 127.0.0.1:7101
callerAddress: 127.0.0.1:7001
operatorKey: operator-key
store:
  address: 127.0.0.1:7900
seat: { index: 0, count: 2 }
`;

const GATEWAY = `name: gateway1
zone: east
callerAddress: 127.0.0.1:7001
readinessAddress: 127.0.0.1:7002
peerAddress: 127.0.0.1:7003
store:
  address: 127.0.0.1:7900
`;

const faults = [
    { fault: "unknown key", from: "seat:", to: "seats: 1\nseat:", line: 10, path: "seats" },
    { fault: "unknown nested key", from: "  address", to: "  timeout: 3\n  address", line: 9, path: "store.timeout" },
    { fault: "missing key", from: "operatorKey: operator-key\n", to: "", line: undefined, path: "operatorKey" },
    { fault: "wrong address", from: "127.0.0.1:7101", to: "localhost", line: 5, path: "linkAddress" },
    { fault: "port out of range", from: ":7101", to: ":71010", line: 5, path: "linkAddress" },
    { fault: "short key", from: "system-key", to: "short", line: 4, path: "systemKey" },
    { fault: "seat beyond the count", from: "index: 0", to: "index: 2", line: 10, path: "seat" },
    { fault: "YAML syntax", from: "zone: east", to: "zone: [east", line: 3, path: "" },
    { fault: "repeated key", from: "zone: east", to: "name: east", line: 2, path: "" },
];

describe("settings", () => {
    it.each(faults)("with a fault are rejected with its path and line: $fault", ({ from, to, line, path }) => {
        const outcome = parseSettings(entrySettingsSchema, ENTRY.replace(from, to));
        if (outcome.kind !== "invalid") throw new Error("accepted");
        expect(outcome.errors[0]).toMatchObject({ line, path });
    });

    it("with several faults are rejected with all of them and the file name", () => {
        const outcome = parseSettings(entrySettingsSchema, "name: entry1\nzone: ''\n");
        if (outcome.kind !== "invalid") throw new Error("accepted");
        const lines = formatSettingsErrors("entry.yaml", outcome.errors);
        expect(lines[0]).toMatch(/^entry.yaml:2: zone: must be/);
        expect(lines.some(line => line.startsWith("entry.yaml: store: "))).toBe(true);
    });

    it("have the defaults of the schema", () => {
        const outcome = parseSettings(entrySettingsSchema, ENTRY);
        expect(outcome).toMatchObject({
            kind: "loaded",
            settings: { store: { timeoutMilliseconds: 500 }, logging: { level: "info" }, peers: [] },
        });
    });

    it.each([
        { text: "hedging:\n", hedging: undefined },
        { text: "hedging: {}\n", hedging: { fractionOfRequests: 0 } },
        {
            text: "hedging: { fractionOfRequests: 0.05, fractionOfTargetTime: }\n",
            hedging: { fractionOfRequests: 0.05 },
        },
        { text: "hedging: { fractionOfRequests: 1.5 }\n", hedging: "invalid" },
        { text: "hedging: { fractionOfTargetTime: -1 }\n", hedging: "invalid" },
    ])("of a gateway limit second copies only within 0 to 1: $text", ({ text, hedging }) => {
        const outcome = parseSettings(gatewaySettingsSchema, GATEWAY + text);
        expect(outcome.kind === "loaded" ? outcome.settings.hedging : outcome.kind).toEqual(hedging);
    });

    it("in an unreadable file are rejected with an error of the whole file", async () => {
        const outcome = await loadSettings(entrySettingsSchema, "does-not-exist.yaml");
        expect(outcome).toMatchObject({ kind: "invalid", errors: [{ line: undefined, path: "" }] });
    });
});

describe("examples", () => {
    const files = readdirSync("examples");

    it.each(files.filter(file => /^(entry|agent)-.*\.yaml$/.test(file)))("%s is valid", file => {
        const schema: z.ZodType = file.startsWith("entry") ? entrySettingsSchema : agentSettingsSchema;
        const outcome = parseSettings(schema, readFileSync(`examples/${file}`, "utf8"));
        expect(outcome.kind === "invalid" ? outcome.errors : []).toEqual([]);
    });

    it("lists.yaml is valid", () => {
        const outcome = parseLists(readFileSync("examples/lists.yaml", "utf8"), Configuration.empty);
        expect(outcome.kind === "invalid" ? outcome.errors : []).toEqual([]);
    });
});

describe("docs/settings.md", () => {
    const page = readFileSync("docs/settings.md", "utf8");

    it.each([...keyPaths(entrySettingsSchema), ...keyPaths(agentSettingsSchema), ...keyPaths(gatewaySettingsSchema)])(
        "describes %s",
        path => {
            expect(page).toContain(`| \`${path}\` |`);
        },
    );
});

/** Paths of all keys of a schema. */
function keyPaths(schema: z.ZodType, prefix = ""): readonly string[] {
    const described = z.toJSONSchema(schema, { io: "input" }) as JsonObject;
    return pathsOf(described, prefix);
}

interface JsonObject {
    readonly properties?: Readonly<Record<string, JsonObject>>;
}

function pathsOf(described: JsonObject, prefix: string): readonly string[] {
    return Object.entries(described.properties ?? {}).flatMap(([key, value]) => {
        const path = `${prefix}${key}`;
        return value.properties === undefined ? [path] : pathsOf(value, `${path}.`);
    });
}
