/** Which inputs are no longer needed while the pieces that have read them are still being made. */
import { describe, expect, it } from "vitest";
import { InputUse } from "../../src/stages/inputuse.js";

interface Piece {
    readonly requestId: string;
    readonly stage: number;
    readonly index: number;
    readonly pieces: number;
    readonly inputs: readonly string[];
    readonly isLastUse: boolean;
}

function piece(index: number, change: Partial<Piece> = {}): Piece {
    return { requestId: "r", stage: 1, index, pieces: 2, inputs: ["h/1", "h/2"], isLastUse: true, ...change };
}

describe("inputs that were read", () => {
    it.each<[string, readonly Piece[], readonly string[]]>([
        ["by some of the pieces are kept", [piece(0)], []],
        ["by all pieces are released", [piece(0), piece(1)], ["h/1", "h/2"]],
        ["twice by one piece are kept", [piece(0), piece(0)], []],
        ["by all pieces and once more are released once", [piece(0), piece(1), piece(1)], ["h/1", "h/2"]],
        [
            "by all pieces are kept if another stage needs them",
            [piece(0, { isLastUse: false }), piece(1, { isLastUse: false })],
            [],
        ],
        ["by pieces of another stage are kept", [piece(0), piece(1, { stage: 2 })], []],
        ["by pieces of another request are kept", [piece(0), piece(1, { requestId: "other" })], []],
    ])("%s", (_, pieces, expected) => {
        const use = InputUse.create();
        expect(pieces.flatMap(each => use.recordRead([each]))).toEqual(expected);
    });

    it("by a stage that has ended are not counted if it runs again", () => {
        const use = InputUse.create();
        use.recordRead([piece(0)]);
        use.forget(piece(0));
        expect(use.recordRead([piece(1)])).toEqual([]);
        expect(use.recordRead([piece(0)])).toEqual(["h/1", "h/2"]);
    });
});
