/** Builds pieces of a request's stage for tests. */
import { Deadline } from "../../src/model/index.js";
import type { PieceJob } from "../../src/stages/index.js";

/** The service of the pieces. */
export const SERVICE = "encode";

/** The pieces of one stage. Times are milliseconds from now. */
export function piecesOf(
    requestId: string,
    count: number,
    { targetMs = 1_000, deadlineMs = 3_000, ...change }: Partial<PieceJob> & PieceTimes = {},
): readonly PieceJob[] {
    return Array.from({ length: count }, (_, index) => ({
        requestId,
        service: SERVICE,
        stage: 0,
        index,
        pieces: count,
        key: "key",
        inputs: [],
        isLastUse: true,
        inputBytes: 0,
        resultBytes: 1_000,
        fetches: 1,
        priority: 1,
        deadline: Deadline.after(deadlineMs),
        targetTime: Deadline.after(targetMs),
        zone: "east",
        begun: false,
        ...change,
    }));
}

interface PieceTimes {
    readonly targetMs?: number | undefined;
    readonly deadlineMs?: number;
}
