/** The version in force only increases, and a transfer from a peer is one step. */
import { describe, expect, it } from "vitest";
import { Configuration, type ConfigurationChange, ConfigurationHolder } from "../../src/configuration/index.js";

function change(version: number): ConfigurationChange {
    const value = { name: "east", state: version % 2 === 0 ? "in" : "out" } as const;
    return { version, id: `id-${version}`, author: "test", set: [{ kind: "zone", name: "east", value }], removed: [] };
}

function holderAt(version: number): ConfigurationHolder {
    const holder = ConfigurationHolder.create();
    for (let next = 1; next <= version; next += 1) holder.advance(change(next));
    return holder;
}

describe("configuration holder", () => {
    it.each([
        { name: "a new process that receives changes", from: 0, peer: 5, expected: [5] },
        { name: "a process that lags by two", from: 3, peer: 5, expected: [5] },
        { name: "a process that is up to date", from: 5, peer: 5, expected: [] },
        { name: "a process that is ahead of its peer", from: 6, peer: 5, expected: [] },
        { name: "a process that needs a full snapshot", from: 0, peer: 300, expected: [300] },
    ])("puts no version in force between its own and its peer's: $name", ({ from, peer, expected }) => {
        const holder = holderAt(from);
        const seen: number[] = [];
        holder.subscribe(({ version }) => seen.push(version));
        const transfer = holderAt(peer).transferSince(from);
        if (transfer !== undefined) holder.receive(transfer);
        expect(seen).toEqual(expected);
        expect(holder.current.version).toBe(Math.max(from, peer));
    });

    it("ignores an older snapshot, so that nothing accepted reverts", () => {
        const holder = holderAt(4);
        expect(holder.replace(Configuration.of(3, []))).toBe(false);
        const snapshot = JSON.stringify(Configuration.of(2, []).allRecords());
        expect(holder.receive({ version: 2, snapshot, changes: [] })).toBe(true);
        expect(holder.current.version).toBe(4);
        expect(holder.current.isZoneInService("east")).toBe(true);
    });
});
