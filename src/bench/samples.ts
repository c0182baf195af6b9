/** Random messages and records of realistic size, drawn from a seeded generator. */
import * as fastCheck from "fast-check";
import type { ConfigurationChange, ConfigurationRecord } from "../configuration/index.js";
import type { LinkBodyInit } from "../link/index.js";
import type { ClientAccount, Plan, Target } from "../model/index.js";

const hexadecimal = fastCheck.constantFrom(..."0123456789abcdef");
const letter = fastCheck.constantFrom(..."abcdefghijklmnopqrstuvwxyz");

/** Hexadecimal texts of a fixed length, equal for equal seeds. */
export function hexTexts(seed: number, count: number, length: number): readonly string[] {
    const text = fastCheck.string({ unit: hexadecimal, minLength: length, maxLength: length });
    return fastCheck.sample(text, { seed, numRuns: count });
}

/** Tokens of 2 to 7 letters, with a leading space. */
export function tokens(seed: number, count: number): readonly string[] {
    const text = fastCheck.string({ unit: letter, minLength: 2, maxLength: 7 }).map(word => ` ${word}`);
    return fastCheck.sample(text, { seed, numRuns: count });
}

/** Accounts with distinct names. */
export function accounts(seed: number, count: number): readonly ClientAccount[] {
    return hexTexts(seed, count, 64).map((keyHash, index) => ({
        name: `account-${String(index).padStart(5, "0")}`,
        plan: `plan-${index % 12}`,
        keyHash,
    }));
}

/** Plans that name all 13 pipelines. */
export function plans(count: number): readonly Plan[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `plan-${index}`,
        pipelines: Array.from({ length: 13 }, (_, pipeline) => `pipeline-${pipeline}`),
        stages: [],
        share: 1 / count,
    }));
}

/** Targets as their member objects describe them. */
export function targets(seed: number, count: number): readonly Target[] {
    return hexTexts(seed, count, 16).map((incarnation, index) => ({
        name: `target-${String(index).padStart(5, "0")}`,
        service: `service-${index % 13}`,
        version: "2027-01",
        zone: `zone-${index % 8}`,
        vm: `vm-${String(index).padStart(5, "0")}`,
        address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`,
        incarnation,
    }));
}

/** A change that sets one account. */
export function change(version: number, account: ClientAccount): ConfigurationChange {
    return {
        version,
        id: account.keyHash.slice(0, 16),
        author: "operator",
        set: [{ kind: "account", name: account.name, value: account }],
        removed: [],
    };
}

/** Records of the given accounts. */
export function accountRecords(values: readonly ClientAccount[]): readonly ConfigurationRecord[] {
    return values.map(value => ({ kind: "account", name: value.name, value }));
}

/** A stage attempt with a payload of the given length. */
export function runStage(seed: number, payloadBytes: number): LinkBodyInit {
    const [requestId = "", prefixHash = "", fingerprint = ""] = hexTexts(seed, 3, 64);
    return {
        case: "runStage",
        value: {
            attempt: 1_000_000,
            requestId: requestId.slice(0, 24),
            account: "account-00001",
            kind: "question",
            pipeline: "pipeline-1",
            stage: "generate",
            service: "generator",
            operation: "generate",
            remainingMilliseconds: 3_500,
            priority: 1,
            payload: hexTexts(seed + 1, 1, payloadBytes)[0] ?? "",
            maximumTokens: 512,
            prefixHash,
            streaming: true,
            idempotent: true,
            fingerprint,
            configurationVersion: 1_000_000,
        },
    };
}

/** Tokens of one attempt. */
export function stageTokens(seed: number, count: number): LinkBodyInit {
    return { case: "stageTokens", value: { attempt: 1_000_000, firstIndex: 200, tokens: [...tokens(seed, count)] } };
}

/** A completed stage with an output of the given length. */
export function stageResult(seed: number, outputBytes: number): LinkBodyInit {
    const output = hexTexts(seed, 1, outputBytes)[0] ?? "";
    return {
        case: "stageResult",
        value: {
            attempt: 1_000_000,
            load: { running: 12, queued: 3, limit: 16 },
            outcome: { case: "completed", value: { output, tokens: 300, costMilliseconds: 812.5 } },
        },
    };
}

/** Messages whose size on the wire is measured, with the end that sends them. */
export function wireSamples(
    seed: number,
): readonly { name: string; from: "opener" | "acceptor"; body: LinkBodyInit }[] {
    const [account] = accounts(seed, 1);
    if (account === undefined) throw new Error("no account was drawn");
    const changes = [JSON.stringify(change(1_000_000, account))];
    const load = { running: 12, queued: 3, limit: 16 };
    const configurationVersion = 1_000_000;
    return [
        { name: "runStage", from: "opener", body: runStage(seed, 256) },
        { name: "stageTokens1", from: "acceptor", body: stageTokens(seed, 1) },
        { name: "stageTokens8", from: "acceptor", body: stageTokens(seed, 8) },
        { name: "stageResult", from: "acceptor", body: stageResult(seed, 256) },
        { name: "loadReport", from: "acceptor", body: { case: "loadReport", value: { load, configurationVersion } } },
        {
            name: "configurationUpdate",
            from: "opener",
            body: { case: "configurationUpdate", value: { version: configurationVersion, changes } },
        },
        { name: "acknowledge", from: "acceptor", body: { case: "acknowledge", value: { configurationVersion } } },
    ];
}
