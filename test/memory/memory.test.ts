/**
 * The memory that a process holds for bytes of others is limited in bytes, objects and sum, and at the limit whoever holds
 * most of what exceeds a share gives way. Otherwise one sender of too much ends the process, and with it all requests.
 */
import { describe, expect, it } from "vitest";
import {
    ByteCollector,
    type CollectionFailure,
    HOLDING_BYTES,
    MemoryAccount,
    type MemoryParty,
} from "../../src/memory/index.js";

const MAXIMUM_BYTES = 1_000_000;

interface Opened {
    readonly party: MemoryParty;
    readonly bytes: number;
    readonly isRetained?: boolean;
}

const cases: readonly { case: string; holdings: readonly Opened[]; givenUp: readonly number[] }[] = [
    {
        case: "nobody while the sum fits, also beyond a share",
        holdings: [{ party: "operators", bytes: 900_000 }],
        givenUp: [],
    },
    {
        case: "the largest one of the party, not the last one",
        holdings: [
            { party: "targets", bytes: 600_000 },
            { party: "targets", bytes: 300_000 },
            { party: "targets", bytes: 200_000 },
        ],
        givenUp: [0],
    },
    {
        case: "the one that grows, if it is the largest",
        holdings: [
            { party: "targets", bytes: 300_000 },
            { party: "targets", bytes: 800_000 },
        ],
        givenUp: [1],
    },
    {
        case: "one of the party that exceeds its share most, though another party has a larger one",
        holdings: [
            { party: "callers", bytes: 300_000 },
            { party: "operators", bytes: 200_000 },
            { party: "targets", bytes: 550_000 },
        ],
        givenUp: [1],
    },
    {
        case: "none that is retained",
        holdings: [
            { party: "callers", bytes: 600_000, isRetained: true },
            { party: "callers", bytes: 200_000 },
            { party: "callers", bytes: 300_000 },
        ],
        givenUp: [2],
    },
    {
        case: "the one that grows, if all others are retained",
        holdings: [
            { party: "callers", bytes: 900_000, isRetained: true },
            { party: "targets", bytes: 200_000, isRetained: true },
        ],
        givenUp: [1],
    },
    {
        case: "as many as are needed",
        holdings: [
            { party: "targets", bytes: 400_000 },
            { party: "targets", bytes: 350_000 },
            { party: "callers", bytes: 200_000 },
            { party: "callers", bytes: 700_000, isRetained: true },
        ],
        givenUp: [0, 1, 2],
    },
];

describe("at the maximum of a memory account", () => {
    it.each(cases)("$case gives way", ({ holdings, givenUp }) => {
        const seen: number[] = [];
        const reported: number[] = [];
        const account = MemoryAccount.create({
            maximumBytes: MAXIMUM_BYTES,
            onGivenUp: ({ bytes }) => reported.push(bytes),
        });
        const opened = holdings.map(({ party, bytes, isRetained }, index) => {
            const holding = account.open(party, () => seen.push(index));
            if (isRetained === true) holding.retain();
            holding.resize(bytes);
            return holding;
        });
        expect(seen.toSorted()).toEqual(givenUp.toSorted());
        expect(reported).toHaveLength(givenUp.length);
        expect(opened.flatMap(({ isClosed }, index) => (isClosed ? [index] : []))).toEqual(givenUp.toSorted());
        expect(account.totalBytes).toBeLessThanOrEqual(MAXIMUM_BYTES);
        for (const holding of opened) holding.close();
        expect(account.totalBytes).toBe(0);
    });

    it("a party retains at most half, and large holdings leave room for small ones", () => {
        const account = MemoryAccount.create({ maximumBytes: MAXIMUM_BYTES });
        const retain = (bytes: number): boolean => {
            const holding = account.open("callers", () => undefined);
            holding.resize(bytes);
            const isRetained = holding.retain();
            if (!isRetained) holding.close();
            return isRetained;
        };
        const large = Array.from({ length: 20 }, () => retain(100_000));
        expect(large.filter(Boolean)).toHaveLength(3);
        expect([retain(50_000), retain(1_000)]).toEqual([true, true]);
        const small = Array.from({ length: 1_000 }, () => retain(100));
        expect(small.filter(Boolean).length).toBeGreaterThan(100);
        expect(account.bytesOf("callers")).toBeLessThanOrEqual(MAXIMUM_BYTES / 2);
    });

    it("a body for which there is no room when it is opened fails", () => {
        const account = MemoryAccount.create({ maximumBytes: HOLDING_BYTES / 2 });
        let failures = 0;
        const onFailed = (): void => void (failures += 1);
        const collector = ByteCollector.create(account, "callers", { maximumBytes: 100, onFailed });
        expect([collector.failure, failures, collector.add(Buffer.alloc(1))]).toEqual(["noMemory", 1, false]);
    });

    it("holdings without content count as well", () => {
        const account = MemoryAccount.create({ maximumBytes: 10 * HOLDING_BYTES });
        const holdings = Array.from({ length: 100 }, () => account.open("callers", () => undefined));
        expect(holdings.filter(({ isClosed }) => !isClosed)).toHaveLength(10);
    });

    it("a holding that was closed takes nothing more", () => {
        const account = MemoryAccount.create({ maximumBytes: MAXIMUM_BYTES });
        const holding = account.open("store", () => undefined);
        holding.close();
        expect(holding.resize(1)).toBe(false);
        expect(account.totalBytes).toBe(0);
    });
});

const bodies: readonly { body: string; part: string; parts: number; failure: CollectionFailure | undefined }[] = [
    { body: "of one part", part: "x".repeat(50_000), parts: 1, failure: undefined },
    { body: "of as many bytes as are accepted", part: "x".repeat(1_000), parts: 100, failure: undefined },
    { body: "of one part more", part: "x".repeat(1_000), parts: 101, failure: "tooLong" },
    { body: "of a few thousand small parts", part: "word", parts: 4_000, failure: undefined },
    { body: "of very many small parts", part: "word", parts: 25_000, failure: "tooFragmented" },
];

describe("a body", () => {
    it.each(bodies)("$body is collected, or ends as $failure", ({ part, parts, failure }) => {
        const account = MemoryAccount.create({ maximumBytes: MAXIMUM_BYTES });
        let failures = 0;
        const onFailed = (): void => void (failures += 1);
        const collector = ByteCollector.create(account, "targets", { maximumBytes: 100_000, onFailed });
        let taken = 0;
        while (taken < parts && collector.add(Buffer.from(part))) taken += 1;
        expect(collector.failure).toBe(failure);
        expect(failures).toBe(failure === undefined ? 0 : 1);
        expect(collector.bytes().toString()).toBe(failure === undefined ? part.repeat(parts) : "");
        expect(account.totalBytes > 0).toBe(failure === undefined);
    });

    it.each([1, 1_000, 65_536, 65_537, 131_072, 400_000])("of %i bytes is collected, whatever its parts", bytes => {
        const account = MemoryAccount.create({ maximumBytes: MAXIMUM_BYTES });
        const content = Buffer.from(Array.from({ length: bytes }, (_, index) => index % 251));
        // Two bodies at once, and a second time in the same blocks.
        for (const partBytes of [100_000, 65_536, 4_099, 997]) {
            const collectors = [0, 1].map(() =>
                ByteCollector.create(account, "targets", { maximumBytes: 400_000, onFailed: () => undefined }),
            );
            for (let at = 0; at < bytes; at += partBytes) {
                const part = content.subarray(at, at + partBytes);
                for (const collector of collectors) expect(collector.add(part)).toBe(true);
            }
            const [first, second] = collectors.map(collector => collector.bytes());
            expect(first?.equals(content)).toBe(true);
            for (const collector of collectors) collector.close();
            const later = ByteCollector.create(account, "targets", {
                maximumBytes: 400_000,
                onFailed: () => undefined,
            });
            later.add(Buffer.alloc(300_000, "z"));
            expect(second?.equals(content) && first?.equals(content)).toBe(true);
            later.close();
        }
        expect(account.totalBytes).toBe(0);
    });

    it("that has to give way frees its bytes and takes no more", () => {
        const account = MemoryAccount.create({ maximumBytes: MAXIMUM_BYTES });
        const failures: (CollectionFailure | undefined)[] = [];
        const collector: ByteCollector = ByteCollector.create(account, "targets", {
            maximumBytes: MAXIMUM_BYTES,
            onFailed: () => failures.push(collector.failure),
        });
        expect(collector.add(Buffer.alloc(700_000))).toBe(true);
        expect(account.open("targets", () => undefined).resize(400_000)).toBe(true);
        expect(failures).toEqual(["noMemory"]);
        expect(collector.add(Buffer.alloc(1))).toBe(false);
        expect(collector.bytes()).toHaveLength(0);
        expect(account.bytesOf("targets")).toBe(400_000 + HOLDING_BYTES);
    });
});
