/** Settings files and operators' lists that are random or mutated. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { stringify } from "yaml";
import { Configuration, parseLists } from "../../src/configuration/index.js";
import { parseRecords } from "../../src/configuration/records.js";
import { agentSettingsSchema, entrySettingsSchema, parseSettings } from "../../src/settings/index.js";
import { standInSettingsSchema } from "../../src/standins/settings.js";
import { LISTS, SEED } from "./system.js";

const common = {
    ...{ name: "n", zone: "east", vm: "vm", systemKey: "system-key", linkAddress: "127.0.0.1:1" },
    ...{ store: { address: "127.0.0.1:1" }, logging: { level: "info" }, metrics: { prefix: "p." } },
};
const entry = {
    ...common,
    ...{ callerAddress: "127.0.0.1:2", operatorKey: "operator-key", peers: ["127.0.0.1:3"] },
    seat: { index: 0, count: 2 },
};
const agent = { ...common, service: "s", version: "v", targetAddress: "127.0.0.1:4" };

/** Replaces, adds or removes one value at a random place of a value. */
function mutate(value: unknown, choices: readonly number[], replacement: unknown): unknown {
    const [choice = 0, ...rest] = choices;
    if (Array.isArray(value) && value.length > 0 && rest.length > 0) {
        const index = choice % value.length;
        return value.map((item: unknown, at) => (at === index ? mutate(item, rest, replacement) : item));
    }
    if (typeof value !== "object" || value === null || rest.length === 0) return replacement;
    const keys = Object.keys(value);
    const key = keys[choice % (keys.length + 1)];
    if (key === undefined) return { ...value, unknown: replacement };
    return { ...value, [key]: mutate((value as Record<string, unknown>)[key], rest, replacement) };
}

const anyValue = fc.oneof(
    fc.jsonValue(),
    fc.constantFrom<unknown>(-1, 0, 1e300, NaN, "", "x".repeat(10_000), [], {}, null, "127.0.0.1:99999", true),
);

function mutated(value: unknown): fc.Arbitrary<string> {
    const choices = fc.array(fc.nat(20), { minLength: 1, maxLength: 5 });
    return fc.tuple(choices, anyValue).map(([path, replacement]) => stringify(mutate(value, path, replacement)));
}

/** YAML whose aliases would expand to 9^9 values. */
const aliases = ["a0: &a0 [x]", ...Array.from({ length: 9 }, (_, index) => alias(index))].join("\n");

function alias(index: number): string {
    return `a${index + 1}: &a${index + 1} [${Array.from({ length: 9 }, () => `*a${index}`).join(", ")}]`;
}

const randomYaml = fc.oneof(
    fc.string({ maxLength: 200 }),
    fc.string({ unit: fc.constantFrom(...Array.from("ab:-[]{}&*!|>%@`\"'#?\n ,1")), maxLength: 200 }),
    fc.constantFrom(
        "",
        "null",
        "[]",
        "a: *b",
        "<<: 1",
        "? [a]\n: 1",
        "--- 1\n--- 2",
        "\u0000",
        "%YAML 9.9\n---\n1",
        aliases,
    ),
);

describe("settings", () => {
    // Guards against an exception in place of an error, and an error that does not name its place.
    it.each([
        ["an entry", entrySettingsSchema, entry],
        ["an agent", agentSettingsSchema, agent],
        ["the stand-ins", standInSettingsSchema, { store: { address: "127.0.0.1:1" } }],
    ] as const)(
        `of %s are loaded or refused with an error, whatever the file (seed ${SEED})`,
        (_name, schema, valid) => {
            expect(parseSettings<unknown>(schema, stringify(valid)).kind).toBe("loaded");
            fc.assert(
                fc.property(fc.oneof(randomYaml, mutated(valid)), text => {
                    const outcome = parseSettings<unknown>(schema, text);
                    if (outcome.kind === "loaded") return;
                    expect(outcome.errors.length).toBeGreaterThan(0);
                    for (const { message } of outcome.errors) expect(message).not.toBe("");
                }),
                { seed: SEED, numRuns: 1_000, examples: [[aliases]] },
            );
        },
    );
});

describe("operators' lists", () => {
    const current = ((): Configuration => {
        const parsed = parseLists(stringify(LISTS), Configuration.empty);
        if (parsed.kind !== "valid") throw new Error("the lists of the tests are not valid");
        return Configuration.of(1, parsed.difference.set);
    })();

    // Guards against an exception in place of an error, and against records that a process then cannot use.
    it(`are usable records or refused with an error, whatever the file (seed ${SEED})`, () => {
        fc.assert(
            fc.property(fc.oneof(randomYaml, mutated(LISTS)), text => {
                const outcome = parseLists(text, current);
                if (outcome.kind === "valid") {
                    expect(parseRecords(JSON.stringify(outcome.difference.set))).toBeDefined();
                    return;
                }
                expect(outcome.errors.length).toBeGreaterThan(0);
                for (const { line, message } of outcome.errors) {
                    expect(line).toBeGreaterThan(0);
                    expect(message).not.toBe("");
                }
            }),
            { seed: SEED, numRuns: 1_500, examples: [[aliases]] },
        );
    });
});
