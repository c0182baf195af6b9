/**
 * A gateway starts from the template whichever values its platform leaves out.
 *
 * Guards against processes that end at their start because a value is missing: the template then has a key without a value,
 * which the schema rejected, so that no gateway of the deployment started.
 */
import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { formatSettingsErrors, gatewaySettingsSchema, parseSettings } from "../../src/settings/index.js";

const TEMPLATE = readFileSync("deploy/gateway.template", "utf8");

const VALUES: Readonly<Record<string, string>> = {
    "NodeName": "edge-1",
    "Zone": "east",
    "Ip": "10.1.0.41",
    "Listen.Frontend": "10.1.0.41:8625",
    "Listen.Readiness": "10.1.0.41:8621",
    "PortRange.0": "7740",
    "PortRange.1": "7741",
    "Platform.Address": "10.200.1.7:8624",
    "Limits.CpuQuota": "0.513",
    "Limits.Cores": "1",
    "Limits.LinkMbps": "1000.0",
    "Limits.MemoryMb": "350",
    "Limits.MaxFds": "4100",
    "Bounds.GraceS": "8",
    "Bounds.RetryBudgetRatio": "0.25",
    "Bounds.RetryAllowance": "56",
    "Bounds.BudgetWindowS": "12",
    "Bounds.ExposureShare": "0.2",
    "Bounds.ExposureTolerance": "40",
    "CloudApi.Address": "10.200.1.9:8630",
    "CloudApi.DutiesPerS": "40",
    "Bounds.LeaseMs": "2500",
    "Bounds.ThawMs": "250",
    "Bounds.ReportWindowS": "6",
    "Bounds.UsageOff": "0.04",
    "Bounds.UsageLateS": "11",
};

/** What is missing, and the settings that the gateway then has. */
const optional: readonly (readonly [string, object])[] = [
    ["Limits.CpuQuota", { machine: { processorShare: 1 } }],
    ["Limits.Cores", { machine: { processorCores: 1 } }],
    ["Limits.LinkMbps", { machine: { linkMegabits: 1_000 } }],
    ["Limits.MemoryMb", { machine: { memoryMegabytes: 512 } }],
    ["Limits.MaxFds", { machine: { descriptors: 4_096 } }],
    ["Bounds.GraceS", { stopGraceSeconds: 8 }],
    ["Bounds.RetryBudgetRatio", { retries: { fractionOfRequests: 0.2 } }],
    ["Bounds.RetryAllowance", { retries: { allowance: 50 } }],
    ["Bounds.BudgetWindowS", { retries: { windowSeconds: 10 } }],
    ["Bounds.ExposureShare", { rollouts: { share: 0.1, allowance: 40 } }],
    ["Bounds.ExposureTolerance", { rollouts: { share: 0.2, allowance: 50 } }],
    ["CloudApi.Address", { duties: { callsPerSecond: 40 } }],
    ["CloudApi.DutiesPerS", { duties: { callsPerSecond: 50 } }],
    ["Bounds.LeaseMs", { duties: { leaseMilliseconds: 3_000 } }],
    ["Bounds.ThawMs", { duties: { resumeMilliseconds: 300 } }],
    ["Bounds.ReportWindowS", { duties: { usageDueSeconds: 11 } }],
    ["Bounds.UsageOff", { duties: { usageTolerance: 0.05 } }],
    ["Bounds.UsageLateS", { duties: { usageDueSeconds: 10 } }],
];

const required: readonly (readonly [string, string])[] = [
    ["NodeName", "name"],
    ["Zone", "zone"],
    ["Ip", "peerAddress"],
    ["Listen.Frontend", "callerAddress"],
    ["Listen.Readiness", "readinessAddress"],
    ["PortRange.0", "peerAddress"],
    ["PortRange.1", "metricsAddress"],
    ["Platform.Address", "store.address"],
];

/** Fills the template in; a value that is missing becomes empty text. */
function render(missing: readonly string[]): string {
    return TEMPLATE.replaceAll(/\{\{([\w.]+)\}\}/g, (_, key: string) => {
        if (!(key in VALUES)) throw new Error(`no example of ${key}`);
        return missing.includes(key) ? "" : (VALUES[key] ?? "");
    });
}

function settingsWithout(...missing: readonly string[]): unknown {
    const outcome = parseSettings(gatewaySettingsSchema, render(missing));
    if (outcome.kind === "invalid") throw new Error(formatSettingsErrors("file", outcome.errors).join("\n"));
    return outcome.settings;
}

describe("the template of the gateway's settings", () => {
    it("gives valid settings when all values are there", () => {
        expect(settingsWithout()).toMatchObject({ rollouts: { share: 0.2, allowance: 40 }, stopGraceSeconds: 8 });
    });

    it.each(optional)("gives valid settings without %s", (missing, expected) => {
        expect(settingsWithout(missing)).toMatchObject(expected);
    });

    it("turns roll-outs off without both of their bounds", () => {
        const settings = settingsWithout("Bounds.ExposureShare", "Bounds.ExposureTolerance");
        expect(settings).not.toHaveProperty("rollouts");
    });

    it("gives valid settings without any optional value", () => {
        const settings = settingsWithout(...optional.map(([name]) => name));
        expect(settings).toMatchObject({ retries: { allowance: 50 }, machine: { descriptors: 4_096 } });
        expect(settings).not.toHaveProperty("rollouts");
        expect(settings).not.toHaveProperty("duties");
    });

    it("has no usage windows and no address of duties that the platform leaves out", () => {
        expect(settingsWithout("Bounds.ReportWindowS")).not.toHaveProperty("duties.usageWindowSeconds");
        expect(settingsWithout("CloudApi.Address")).not.toHaveProperty("duties.address");
    });

    it.each(required)("names the key that needs %s", (missing, path) => {
        const outcome = parseSettings(gatewaySettingsSchema, render([missing]));
        expect(outcome.kind === "invalid" ? outcome.errors.map(error => error.path) : []).toContain(path);
    });

    it.each([
        ["text for a number", "share: 0.2", "share: much", "rollouts.share"],
        ["a list for a number", "allowance: 40", "allowance: [40]", "rollouts.allowance"],
        ["a number for an address", 'address: "10.200.1.7:8624"', "address: 8624", "store.address"],
    ])("with %s is an error", (_fault, from, to, path) => {
        const outcome = parseSettings(gatewaySettingsSchema, render([]).replace(from, to));
        expect(outcome.kind === "invalid" ? outcome.errors.map(error => error.path) : []).toContain(path);
    });
});
