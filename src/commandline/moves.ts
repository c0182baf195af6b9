/** The commands `move` and `moves`. */
import { pause } from "../model/pause.js";
import type { MoveBody } from "../operators/index.js";
import { type CommandContext, reportFailure } from "./command.js";
import { ExitCode, formatTable } from "./console.js";

/** What `move` declares. */
export type MoveOptions = { readonly name: string; readonly withinSeconds: number } & (
    | { readonly kind: "zone"; readonly direction: "out" | "back" }
    | { readonly kind: "version"; readonly version: string; readonly share?: number }
);

const RESULT_POLL_INTERVAL_MS = 500;

/** Extra wait after the move's time limit: the result is recorded late when the store was not available. */
const RESULT_WAIT_MARGIN_MS = 10_000;

const UNIT_SECONDS: Readonly<Record<string, number>> = { "": 1, "s": 1, "m": 60, "h": 3_600 };

/** Parses a duration such as `60`, `60s`, `10m` or `1h` into seconds; undefined if the text is malformed. */
export function parseSeconds(text: string): number | undefined {
    const [, digits, unit] = /^(\d{1,6})([smh]?)$/.exec(text) ?? [];
    const factor = UNIT_SECONDS[unit ?? ""];
    return digits === undefined || factor === undefined ? undefined : Number(digits) * factor;
}

/** Declares a move. With `wait`, returns `done` only if the move ends as done. */
export async function moveCommand(context: CommandContext, options: MoveOptions): Promise<ExitCode> {
    const outcome = await context.client.declareMove({ ...options, author: context.author });
    if (outcome.kind !== "answered") return reportFailure(context, outcome);
    const { move } = outcome.body;
    if (!context.wait) return print(context, [move], [`move ${move.id} is declared: ${move.order}`]);
    if (!context.json) context.console.out(`move ${move.id} is declared: ${move.order}`);
    return waitForResult(context, move);
}

/** Prints open moves and the newest ended ones. */
export async function movesCommand(context: CommandContext): Promise<ExitCode> {
    const outcome = await context.client.moves();
    if (outcome.kind !== "answered") return reportFailure(context, outcome);
    const { moves } = outcome.body;
    const rows = moves.map(move => {
        const { id, order, author, state, result, elapsedSeconds, withinSeconds, reason } = move;
        return [id, order, author, result ?? state, `${elapsedSeconds} of ${withinSeconds}`, reason];
    });
    const head = ["move", "order", "author", "state", "seconds", "reason"];
    return print(context, moves, moves.length === 0 ? ["no moves"] : formatTable([head, ...rows]));
}

async function waitForResult(context: CommandContext, declared: MoveBody): Promise<ExitCode> {
    const deadline = performance.now() + declared.withinSeconds * 1_000 + RESULT_WAIT_MARGIN_MS;
    for (;;) {
        const outcome = await context.client.move(declared.id);
        if (outcome.kind === "answered" && outcome.body.move.result !== undefined) {
            return reportResult(context, outcome.body.move);
        }
        if (performance.now() >= deadline) {
            context.console.error(`error: move ${declared.id} has no result yet`);
            context.console.error("next: look at parsleyrun moves; a result is recorded when the store is available");
            return ExitCode.failed;
        }
        await pause(RESULT_POLL_INTERVAL_MS);
    }
}

function reportResult(context: CommandContext, move: MoveBody): ExitCode {
    const { id, result, elapsedSeconds, reason } = move;
    const isDone = result === "done";
    if (context.json) context.console.out(JSON.stringify({ move }));
    else if (isDone) context.console.out(`move ${id} is done after ${elapsedSeconds} s: ${reason}`);
    else {
        context.console.error(`error: move ${id} was taken back after ${elapsedSeconds} s: ${reason}`);
        context.console.error("next: look at what is named with parsleyrun status, then declare the move again");
    }
    return isDone ? ExitCode.done : ExitCode.failed;
}

function print(context: CommandContext, moves: readonly MoveBody[], lines: readonly string[]): ExitCode {
    if (context.json) context.console.out(JSON.stringify({ moves }));
    else for (const line of lines) context.console.out(line);
    return ExitCode.done;
}
