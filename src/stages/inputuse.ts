/**
 * Finds inputs that have been read for the last time, while the pieces that need them are still being made.
 *
 * Targets read the inputs of a call when it starts. A result that the last piece has read only occupies memory at its
 * holder, and under load that memory limits how many pieces the holder can make.
 */
import type { PieceJob } from "./piece.js";

type InputReader = Pick<PieceJob, "requestId" | "stage" | "index" | "pieces" | "inputs" | "isLastUse">;

/** Tracks which pieces have read their inputs, by request and stage. */
export class InputUse {
    private readonly readIndexes = new Map<string, Set<number>>();

    private constructor() {}

    static create(): InputUse {
        return new InputUse();
    }

    /** Records that pieces have read their inputs. Returns the inputs that no other piece needs. */
    recordRead(pieces: readonly InputReader[]): readonly string[] {
        const noLongerNeeded: string[] = [];
        for (const piece of pieces) {
            if (!piece.isLastUse || piece.inputs.length === 0) continue;
            const key = keyOf(piece);
            const read = this.readIndexes.get(key) ?? new Set();
            this.readIndexes.set(key, read);
            const previousSize = read.size;
            read.add(piece.index);
            if (read.size > previousSize && read.size === piece.pieces) noLongerNeeded.push(...piece.inputs);
        }
        return noLongerNeeded;
    }

    /** Discards the record of a request's stage. */
    forget(piece: Pick<PieceJob, "requestId" | "stage">): void {
        this.readIndexes.delete(keyOf(piece));
    }
}

function keyOf({ requestId, stage }: Pick<PieceJob, "requestId" | "stage">): string {
    return `${requestId} ${stage}`;
}
