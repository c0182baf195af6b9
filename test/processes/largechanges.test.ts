/**
 * Configurations of the largest size that the store takes, many of them in one answer of the store, at the memory limit of
 * a gateway's process. A change must not end the process, since all requests that it has read would end with it, and must
 * not keep its event loop busy until their callers have left.
 */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { pause } from "./daemons.js";
import { type FurtherParts, Stage } from "./stage.js";

/** Limit of the heap in megabytes, as in `deploy/system.toml`. */
const HEAP_MEGABYTES = 192;

/** Largest value that the store takes, less what the usual configuration has. */
const FURTHER_BYTES = 1_048_576 - 8_192;

/** Versions in one answer of the store. */
const VERSIONS = 48;

const PARTS = {
    routes: index => ({
        Name: `r${index}`,
        Host: "127.0.0.1",
        PathPrefix: `/r${index}/`,
        Kind: "safe",
        TimeoutMs: 2_000,
        Service: "bookings",
    }),
    stages: index => ({
        Name: `r${index}`,
        Host: "127.0.0.1",
        PathPrefix: `/r${index}/`,
        Kind: "streaming",
        TimeoutMs: 2_000,
        Service: "engines",
        Phases: Array.from({ length: 200 }, () => ({ Service: "", After: [] })),
    }),
    services: index => ({ Name: `s${index}`, ColdStartS: 1, ColdPerS: 10 }),
    tenants: index => ({
        Name: `t${index}`,
        ApiKeys: Array.from({ length: 20 }, (_, key) => `key-${index}-${key}`),
    }),
} satisfies Readonly<Record<string, (index: number) => unknown>>;

/** As many parts of a kind as fit. */
function furtherParts(kind: keyof typeof PARTS): FurtherParts {
    const parts: unknown[] = [];
    for (let bytes = 0; bytes < FURTHER_BYTES; bytes += JSON.stringify(parts.at(-1)).length + 1) {
        parts.push(PARTS[kind](parts.length));
    }
    parts.pop();
    if (kind === "services") return { Services: parts };
    return kind === "tenants" ? { Tenants: parts } : { Routes: parts };
}

let stage: Stage;

beforeEach(async () => {
    stage = await Stage.start([`--max-old-space-size=${HEAP_MEGABYTES}`]);
});

afterEach(() => stage.close());

describe("a gateway process that learns of many changes at once", () => {
    it.each(["routes", "stages", "services", "tenants"] as const)(
        "decodes few of them and serves what it has taken, with the most %s",
        async kind => {
            const further = furtherParts(kind);
            const callers = await Promise.all(Array.from({ length: 10 }, () => stage.connect()));
            const answers = callers.map((caller, index) => caller.send("/draft/1", `finite-${index}`));
            await stage.waitForArrival("finite-9");
            for (let version = 0; version < VERSIONS; version += 1) stage.putConfiguration(15_000, further);
            await stage.gateway.logged(`"version":${VERSIONS + 1}`);
            for (const answer of await Promise.all(answers)) {
                expect(answer).toMatchObject({ status: 200, complete: true });
            }
            // The first version, one of those that arrive first, and the last one.
            expect(stage.gateway.errors.match(/configuration in force/g)?.length).toBeLessThanOrEqual(4);
            expect(await Promise.race([stage.gateway.ended, pause(50)])).toBeUndefined();
        },
        60_000,
    );
});
