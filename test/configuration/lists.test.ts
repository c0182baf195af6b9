/** Parsing the operators' lists: each error has its line; a valid file yields exactly the records that differ. */
import { describe, expect, it } from "vitest";
import { Configuration, type ConfigurationRecord, parseLists } from "../../src/configuration/index.js";

const BASE = `budget:
  millisecondsPerSecond: 1000
services:
  - name: encode
    kind: engine
    concurrency: 4
  - name: book
    kind: plain
    slots: 64
    concurrency: 4
pipelines:
  - name: booking
    stages:
      - { name: encode, service: encode, operation: encode, idempotent: true, costMilliseconds: 5 }
      - { name: book, service: book, operation: book, idempotent: false, costMilliseconds: 9 }
plans:
  - name: large
    pipelines: [booking]
    share: 0.7
  - name: small
    pipelines: [booking]
    stages: [encode]
    share: 0.3
accounts:
  - { name: kettleby, plan: large, key: kettleby-key }
`;

function load(text: string, current = Configuration.empty): Configuration {
    const outcome = parseLists(text, current);
    if (outcome.kind === "invalid") throw new Error(JSON.stringify(outcome.errors));
    const next = current.apply({ version: current.version + 1, id: "x", author: "test", ...outcome.difference });
    if (next === undefined) throw new Error("version does not follow");
    return next;
}

const stage = (index: number): string =>
    `      - { name: s${index}, service: encode, operation: encode, idempotent: true, costMilliseconds: 1 }\n`;

interface Case {
    readonly fault: string;
    readonly text: string;
    readonly line: number;
    readonly path: string;
    readonly message: RegExp;
}

const replaced = (from: string, to: string): string => {
    if (!BASE.includes(from)) throw new Error(`${from} is not in the file`);
    return BASE.replace(from, to);
};

const faults: readonly Case[] = [
    { fault: "YAML syntax", text: "plans: [a\nb: c", line: 2, path: "", message: /./ },
    { fault: "repeated key", text: "plans: []\nplans: []", line: 2, path: "", message: /unique/ },
    { fault: "unknown section", text: "plans: []\nplan: []\n", line: 2, path: "plan", message: /unknown key "plan"/ },
    {
        fault: "unknown key",
        text: replaced("    kind: plain\n", "    kind: plain\n    slot: 4\n"),
        line: 9,
        path: "services[1].slot",
        message: /unknown key "slot"/,
    },
    {
        fault: "missing key",
        text: replaced("    share: 0.7\n", ""),
        line: 17,
        path: "plans[0].share",
        message: /expected number/,
    },
    {
        fault: "unknown pipeline",
        text: replaced(
            "pipelines: [booking]\n    share: 0.7",
            "pipelines:\n      - booking\n      - cooking\n    share: 0.7",
        ),
        line: 20,
        path: "plans[0].pipelines[1]",
        message: /unknown pipeline "cooking"/,
    },
    {
        fault: "unknown stage",
        text: replaced("stages: [encode]", "stages: [decode]"),
        line: 22,
        path: "plans[1].stages[0]",
        message: /unknown stage "decode"/,
    },
    {
        fault: "unknown service",
        text: replaced("service: encode,", "service: encoder,"),
        line: 14,
        path: "pipelines[0].stages[0].service",
        message: /unknown service "encoder"/,
    },
    {
        fault: "unknown plan",
        text: replaced("plan: large", "plan: huge"),
        line: 25,
        path: "accounts[0].plan",
        message: /unknown plan "huge"/,
    },
    {
        fault: "shares that add up to more than 1",
        text: replaced("share: 0.3", "share: 0.31"),
        line: 16,
        path: "plans",
        message: /add up to 1.01/,
    },
    {
        fault: "duplicate name",
        text: replaced("name: small", "name: large"),
        line: 20,
        path: "plans[1].name",
        message: /duplicate plan "large"/,
    },
    {
        fault: "duplicate stage",
        text: replaced("name: book, service", "name: encode, service"),
        line: 15,
        path: "pipelines[0].stages[1].name",
        message: /duplicate stage "encode"/,
    },
    {
        fault: "non-idempotent stage on a service without slots",
        text: replaced("    slots: 64\n", ""),
        line: 14,
        path: "pipelines[0].stages[1].idempotent",
        message: /no slots/,
    },
    {
        fault: "no stage",
        text: "pipelines:\n  - name: a\n    stages: []\n",
        line: 3,
        path: "pipelines[0].stages",
        message: /1 to 6 stages/,
    },
    {
        fault: "seven stages",
        text: `pipelines:\n  - name: a\n    stages:\n${[1, 2, 3, 4, 5, 6, 7].map(stage).join("")}`,
        line: 3,
        path: "pipelines[0].stages",
        message: /1 to 6 stages/,
    },
    {
        fault: "two accounts with the same key, which could not be distinguished",
        text: `${BASE}  - { name: magnolia, plan: small, key: kettleby-key }\n`,
        line: 26,
        path: "accounts[1]",
        message: /same key/,
    },
    {
        fault: "account without a key",
        text: replaced(", key: kettleby-key", ""),
        line: 25,
        path: "accounts[0]",
        message: /key or keyHash/,
    },
    {
        fault: "key that is too short",
        text: replaced("key: kettleby-key", "key: short"),
        line: 25,
        path: "accounts[0].key",
        message: /8 characters/,
    },
];

const faultsAgainstCurrent: readonly Case[] = [
    {
        fault: "removal of a plan in use",
        text: "plans:\n  - { name: small, pipelines: [booking], share: 0.3 }\n",
        line: 1,
        path: "plans",
        message: /plan "large" cannot be removed: account "kettleby" holds it/,
    },
    {
        fault: "removal of a pipeline in use",
        text: "\npipelines: []\n",
        line: 2,
        path: "pipelines",
        message: /pipeline "booking" cannot be removed/,
    },
    {
        fault: "removal of a service in use",
        text: "services:\n  - { name: book, kind: plain, slots: 64, concurrency: 1 }\n",
        line: 1,
        path: "services",
        message: /service "encode" cannot be removed/,
    },
    {
        fault: "changed number of slots, which could run the same key again",
        text: replaced("slots: 64", "slots: 128"),
        line: 9,
        path: "services[1].slots",
        message: /cannot change from 64 to 128/,
    },
];

describe("faults in lists", () => {
    it.each(faults)("reports $fault at line $line", ({ text, line, path, message }) => {
        const outcome = parseLists(text, Configuration.empty);
        if (outcome.kind !== "invalid") throw new Error("accepted");
        expect(outcome.errors[0]).toMatchObject({ line, path });
        expect(outcome.errors[0]?.message).toMatch(message);
    });

    it.each(faultsAgainstCurrent)("reports $fault", ({ text, line, path, message }) => {
        const outcome = parseLists(text, load(BASE));
        if (outcome.kind !== "invalid") throw new Error("accepted");
        expect(outcome.errors[0]).toMatchObject({ line, path });
        expect(outcome.errors[0]?.message).toMatch(message);
    });

    it("reports all faults at once, in line order", () => {
        const text = replaced("plan: large", "plan: huge").replace("stages: [encode]", "stages: [decode]");
        const outcome = parseLists(text, Configuration.empty);
        expect(outcome).toMatchObject({ kind: "invalid", errors: [{ line: 22 }, { line: 25 }] });
    });
});

describe("difference to the current configuration", () => {
    const traffic: ConfigurationRecord = {
        kind: "traffic",
        name: "encode",
        value: { service: "encode", stable: "v1" },
    };

    it("is empty for the same file, so that applying it again creates no version", () => {
        expect(parseLists(BASE, load(BASE))).toMatchObject({ kind: "valid", difference: { set: [], removed: [] } });
    });

    it("contains only records that differ, and none of sections that the file omits", () => {
        const text = "accounts:\n  - { name: magnolia, plan: small, key: magnolia-key }\n";
        const outcome = parseLists(text, load(BASE));
        expect(outcome).toMatchObject({
            kind: "valid",
            difference: {
                set: [{ kind: "account", name: "magnolia" }],
                removed: [{ kind: "account", name: "kettleby" }],
            },
        });
    });

    it("removes the traffic split of a removed service and no other", () => {
        const before = load(BASE);
        const current = Configuration.of(before.version, [...before.allRecords(), traffic]);
        expect(parseLists(BASE, current)).toMatchObject({ difference: { removed: [] } });
        const emptied = "services: []\npipelines: []\nplans: []\naccounts: []\n";
        const outcome = parseLists(emptied, current);
        if (outcome.kind !== "valid") throw new Error("refused");
        expect(outcome.difference.removed).toContainEqual({ kind: "traffic", name: "encode" });
    });

    it("stores the hash of a key and not the key", () => {
        const account = load(BASE).find("account", "kettleby");
        expect(account?.keyHash).toMatch(/^[0-9a-f]{64}$/);
        expect(JSON.stringify(load(BASE).allRecords())).not.toContain("kettleby-key");
    });
});
