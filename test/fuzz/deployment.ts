/** The deployment of the fuzz test as data: zones, processes, services, pipelines, plans and their addresses. */
import type { ConfigurationRecord } from "../../src/configuration/index.js";
import type { Stage } from "../../src/model/index.js";
import { expectedOutput } from "../../src/standins/index.js";
import type { Entitlement } from "./oracle.js";

export const ZONES = ["a", "b", "c"] as const;
export const ENTRIES = ["entry-a", "entry-b", "entry-c"] as const;
export const SERVICES = ["encode", "generate", "book"] as const;
export const TARGETS = SERVICES.flatMap(service => ZONES.map(zone => `${service}-${zone}`));
export const PIPELINES = ["ask", "reserve"] as const;
export const ACCOUNTS = ["large", "small"] as const;

/** Common budget in milliseconds of target time a second, and each account's share of it. */
const BUDGET = 4_000;
const SHARES = { large: 0.8, small: 0.15 } as const;
const STAGE_COST = 20;

/** What each account may use. Both pipelines have two stages. */
export const ENTITLEMENTS: readonly Entitlement[] = ACCOUNTS.map(account => {
    return { account, ratePerSecond: BUDGET * SHARES[account], costOfRequest: 2 * STAGE_COST };
});

export const CONCURRENCY = 4;
export const COLD_CONCURRENCY = 1;
const SLOTS = 6;

const stages: Readonly<Record<string, Stage>> = {
    encode: stage("encode", {}),
    generate: stage("generate", { streaming: true, maximumTokens: 8 }),
    book: stage("book", { idempotent: false }),
};

const pipelines: Readonly<Record<string, readonly string[]>> = {
    ask: ["encode", "generate"],
    reserve: ["encode", "book"],
};

function stage(name: string, options: Partial<Stage>): Stage {
    const base = { name, service: name, operation: name, idempotent: true, streaming: false };
    return { ...base, maximumTokens: 0, costMilliseconds: STAGE_COST, ...options };
}

export const baseRecords: readonly ConfigurationRecord[] = [
    { kind: "budget", name: "common", value: { millisecondsPerSecond: BUDGET } },
    ...SERVICES.map(name => {
        const limits = { concurrency: CONCURRENCY, coldConcurrency: COLD_CONCURRENCY };
        const modes = {
            whenStoreUnavailable: "refuse",
            fencing: "ignored",
            slots: name === "book" ? SLOTS : 0,
        } as const;
        return { kind: "service", name, value: { name, kind: "plain", ...modes, ...limits } } as const;
    }),
    ...PIPELINES.map(name => {
        const listed = (pipelines[name] ?? []).map(each => stages[each] as Stage);
        return { kind: "pipeline", name, value: { name, stages: listed } } as const;
    }),
    ...ACCOUNTS.flatMap(name => {
        const plan = { name: `plan-${name}`, pipelines: [...PIPELINES], stages: [], share: SHARES[name] };
        return [
            { kind: "plan", name: plan.name, value: plan },
            { kind: "account", name, value: { name, plan: plan.name, keyHash: "" } },
        ] as const;
    }),
];

export function expectedAnswer(pipeline: string, input: unknown): unknown {
    let previous = "null";
    for (const name of pipelines[pipeline] ?? []) {
        const { operation, maximumTokens } = stages[name] as Stage;
        previous = expectedOutput(
            operation,
            `{"input":${JSON.stringify(input)},"previous":${previous}}`,
            maximumTokens,
        );
    }
    return JSON.parse(previous) as unknown;
}

const allNames: readonly string[] = [...ENTRIES, ...TARGETS];

export function addressOf(name: string): string {
    return `127.0.0.${allNames.indexOf(name) + 1}:7000`;
}

export function processAt(address: string): string {
    return allNames[Number(address.split(":")[0]?.split(".")[3]) - 1] ?? address;
}

export function serviceOf(target: string): string {
    return target.slice(0, -2);
}

export function zoneOf(name: string): string {
    return name.slice(-1);
}

export function connectionKey(from: string, to: string): string {
    return `${from}>${to}`;
}

export function commonSettings(name: string): Record<string, unknown> {
    const store = { address: "127.0.0.1:1" };
    return { name, zone: zoneOf(name), vm: name, systemKey: "system-key", linkAddress: addressOf(name), store };
}
