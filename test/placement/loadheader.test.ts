/** Guards against paces that no machine can have, which would keep a target out of use or send it everything. */
import { describe, expect, it } from "vitest";
import { platformDialect } from "../../src/platform/dialect.js";

describe("the load that a target reports", () => {
    it.each<[string, number | undefined]>([
        ["3,1,16,100", 1],
        ["3,1,16,250", 2.5],
        ["3,1,16, 70 ", 0.7],
        ["3,1,16", undefined],
        ["3,1,16,", undefined],
        ["3,1,16,0", undefined],
        ["3,1,16,-100", undefined],
        ["3,1,16,fast", undefined],
        ["3,1,16,NaN", undefined],
        ["3,1,16,Infinity", undefined],
        ["3,1,16,100000", 1_000],
        ["3,1,16,100001", undefined],
        ["3,1,16,100,7", 1],
    ])("%j has the pace %s", (header, pace) => {
        const { load } = platformDialect.readResponse(200, { "x-parsleyrun-server-load": header });
        expect(load).toEqual({ running: 3, waiting: 1, slots: 16, pace });
    });

    it("needs the first three figures", () => {
        expect(platformDialect.readResponse(200, { "x-parsleyrun-server-load": "3,1" }).load).toBeUndefined();
    });
});
