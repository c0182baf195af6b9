/** Calls from a stage queue to a target on the loopback address. */
import { afterEach, describe, expect, it } from "vitest";
import type { Target } from "../../src/gateway/target.js";
import { TargetDirectory } from "../../src/gateway/targetdirectory.js";
import { MemoryAccount } from "../../src/memory/index.js";
import { Deadline } from "../../src/model/index.js";
import { platformDialect } from "../../src/platform/dialect.js";
import { callForPieces, releaseResults } from "../../src/stages/index.js";
import { StandInTarget } from "../platform/standintarget.js";
import { piecesOf } from "./pieces.js";

/** Deadline in milliseconds that suffices on a busy machine. */
const PATIENCE_MS = 20_000;

const targets = TargetDirectory.create(
    () => undefined,
    () => 1,
);
const started: StandInTarget[] = [];

afterEach(() => {
    for (const target of started.splice(0)) target.close();
});

async function startTarget(): Promise<StandInTarget> {
    const target = await StandInTarget.start("a");
    started.push(target);
    return target;
}

/** Registers an address under an id, which may be that of another target. */
function registered(id: string, address: string): Target {
    const incarnation = performance.now();
    const service = "encode";
    const rest = { zone: "east", version: "v1", slots: 1, state: "available", coldRemainingMs: 0 } as const;
    targets.put({ id, incarnation, service, address, ...rest });
    const target = targets.findByAddress(address);
    if (target === undefined) throw new Error(`${address} is not registered`);
    return target;
}

const PIECES = piecesOf("r", 2, { targetMs: PATIENCE_MS, deadlineMs: PATIENCE_MS });

describe("a call for pieces", () => {
    interface Case {
        readonly name: string;
        readonly prepare: (target: StandInTarget) => void;
        readonly id?: string;
        readonly timeoutMs?: number;
        readonly outcome: string;
        /** Whether the target was reached. */
        readonly sent?: boolean;
        readonly answers?: readonly string[];
    }

    it.each<Case>([
        { name: "is answered", prepare: () => undefined, outcome: "answered", answers: ["made", "made"] },
        {
            name: "finds no room",
            prepare: target => (target.pieceReasons = (): string => "room"),
            outcome: "answered",
            answers: ["noRoom", "noRoom"],
        },
        {
            name: "fails at the target",
            prepare: target => (target.pieceReasons = (): string => "error"),
            outcome: "answered",
            answers: ["failed", "failed"],
        },
        { name: "reaches another target", prepare: () => undefined, id: "b", outcome: "notSent" },
        { name: "reaches no target", prepare: target => target.close(), outcome: "notSent", sent: false },
        { name: "gets no answer", prepare: target => (target.callMs = 60_000), timeoutMs: 50, outcome: "gaveUp" },
    ])(
        "that $name ends as $outcome",
        async ({ prepare, id = "a", timeoutMs = PATIENCE_MS, outcome, sent = true, answers }) => {
            const target = await startTarget();
            prepare(target);
            const memory = MemoryAccount.create({ maximumBytes: 10_000_000 });
            const environment = { dialect: platformDialect, targets, memory };
            let isSent = false;
            const result = await callForPieces(environment, registered(id, target.address), PIECES, {
                deadline: Deadline.after(timeoutMs),
                signal: new AbortController().signal,
                onSent: () => (isSent = true),
            });
            expect(isSent).toBe(sent);
            expect(result.kind).toBe(outcome);
            expect(result.kind === "answered" ? result.answers.map(({ kind }) => kind) : undefined).toEqual(answers);
        },
    );
});

describe("a release of results", () => {
    it("reaches the holder", async () => {
        const target = await startTarget();
        const handles = [`${target.address}/1`, `${target.address}/2`];
        expect(await releaseResults(platformDialect, registered("a", target.address), handles)).toBeUndefined();
        expect(target.released).toEqual(handles);
    });

    it("resolves to the reason of a failure", async () => {
        const target = await startTarget();
        target.close();
        const failure = await releaseResults(platformDialect, registered("a", target.address), ["handle"]);
        expect(failure).toBe("unreachable");
    });
});
