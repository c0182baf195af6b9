/**
 * Which inputs have been read for the last time, while the pieces that need them are still being made.
 *
 * Targets read the inputs of a call when it starts. A result that the last piece has read takes room at its holder for
 * nothing; under load that room decides how many pieces the holder can make.
 */
import type { PieceJob } from "./piece.js";

type InputReader = Pick<PieceJob, "requestId" | "stage" | "index" | "pieces" | "inputs" | "isLastUse">;

/** Pieces whose inputs have been read, by request and stage. */
export class InputUse {
    private readonly read = new Map<string, Set<number>>();

    private constructor() {}

    static create(): InputUse {
        return new InputUse();
    }

    /** Notes pieces whose inputs have been read, and returns the inputs that no other piece needs. */
    recordRead(pieces: readonly InputReader[]): readonly string[] {
        const unused: string[] = [];
        for (const piece of pieces) {
            if (!piece.isLastUse || piece.inputs.length === 0) continue;
            const key = keyOf(piece);
            const read = this.read.get(key) ?? new Set();
            this.read.set(key, read);
            const before = read.size;
            read.add(piece.index);
            if (read.size > before && read.size === piece.pieces) unused.push(...piece.inputs);
        }
        return unused;
    }

    /** Forgets a request's stage that has ended. */
    forget(piece: Pick<PieceJob, "requestId" | "stage">): void {
        this.read.delete(keyOf(piece));
    }
}

function keyOf({ requestId, stage }: Pick<PieceJob, "requestId" | "stage">): string {
    return `${requestId} ${stage}`;
}
