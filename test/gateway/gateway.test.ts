/** A gateway with stand-in targets: authentication, forwarding, retries, streams and stages. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { rendezvousWeight } from "../../src/routing/index.js";
import { pause } from "../../src/model/pause.js";
import { type Behaviour } from "../platform/standintarget.js";
import { KIND } from "../../src/platform/names.js";
import { type CallAnswer, type CallOptions, CONFIGURATION, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(async () => {
    await deployment.close();
});

const TWO_OF_EACH = { bookings: 2, engines: 2, encode: 1, rank: 1 };

/** Sets how the targets of a service handle the next requests, in order of arrival; the last behaviour repeats. */
function scriptBehaviours(service: string, behaviours: readonly Behaviour[]): void {
    let arrivals = 0;
    for (const [id, target] of deployment.targets) {
        if (!id.startsWith(service)) continue;
        target.behaviour = () => {
            const behaviour = behaviours[Math.min(arrivals, behaviours.length - 1)];
            arrivals += 1;
            return behaviour ?? { kind: "answer" };
        };
    }
}

function arrivalsAt(service: string): readonly string[] {
    return [...deployment.targets].flatMap(([id, target]) =>
        id.startsWith(service) ? target.arrivals.map(arrival => arrival.id) : [],
    );
}

const longValue = "x".repeat(5_000);
const rejections: readonly (CallOptions & { readonly case: string; readonly status: number })[] = [
    { case: "an unknown host", path: "/book/1", host: "other.example", status: 404 },
    { case: "an unknown path", path: "/nothing/1", status: 404 },
    { case: "a path that is the prefix without its last slash", path: "/book", status: 404 },
    { case: "no key", path: "/book/1", key: undefined, status: 401 },
    { case: "an unknown key", path: "/book/1", key: "bad-key", status: 401 },
    { case: "a long head", path: "/book/1", headers: { filler: longValue }, status: 431 },
    { case: "a long body", path: "/book/1", body: "x".repeat(10_001), status: 413 },
];

describe("a gateway", () => {
    it.each(rejections)("rejects $case with $status and sends nothing", async ({ status, ...options }) => {
        deployment = await Deployment.start(TWO_OF_EACH);
        const answer = await deployment.call(options);
        expect(answer.status).toBe(status);
        expect(arrivalsAt("bookings")).toEqual([]);
    });

    it("passes a request on unchanged, with its own headers in place of the caller's", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        const answer = await deployment.call({
            path: "/book/7?when=friday",
            body: "heater 12",
            headers: {
                "x-own": "kept",
                "x-parsleyrun-tenant": "somebody-else",
                "x-parsleyrun-hold": "h",
                "kv-from": "1.2.3.4:5/6",
                "connection": "close, x-hop",
                "x-hop": "dropped",
            },
        });
        expect(answer).toMatchObject({ status: 200, body: "answer to request-1", complete: true });
        expect(answer.headers["x-parsleyrun-server-stamp"]).toMatch(/^stamp-bookings/);
        const [arrival] = [...deployment.targets.values()].flatMap(target => target.arrivals);
        expect(arrival).toMatchObject({ path: "/book/7?when=friday", method: "POST", body: "heater 12" });
        expect(arrival?.headers).toMatchObject({
            "host": "desk.example",
            "x-own": "kept",
            "x-parsleyrun-request-id": "request-1",
            "x-parsleyrun-tenant": "kettleby",
        });
        for (const name of ["authorization", "x-parsleyrun-hold", "kv-from", "x-hop"]) {
            expect(arrival?.headers).not.toHaveProperty(name);
        }
        expect(Number(arrival?.headers["x-parsleyrun-deadline-ms"])).toBeLessThanOrEqual(2_000);
    });

    it("serves public routes without a key", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        expect((await deployment.call({ path: "/public/1", key: undefined })).status).toBe(200);
    });

    // A non-idempotent call is sent again only if the target states that it has not run it. In all other cases the call
    // may have run, so the caller must not be told that it was not.
    it.each<{ fault: string; behaviours: readonly Behaviour[]; status: number; arrivals: number }>([
        { fault: "a reset", behaviours: [{ kind: "reset" }], status: 502, arrivals: 1 },
        { fault: "a truncated answer", behaviours: [{ kind: "truncate" }], status: 502, arrivals: 1 },
        { fault: "bytes that are no answer", behaviours: [{ kind: "notHttp" }], status: 502, arrivals: 1 },
        { fault: "another request's answer", behaviours: [{ kind: "otherAnswer" }], status: 502, arrivals: 1 },
        { fault: "no answer", behaviours: [{ kind: "silent" }], status: 504, arrivals: 1 },
        { fault: "the target's own failure", behaviours: [{ kind: "answer", status: 500 }], status: 500, arrivals: 1 },
        { fault: "a full target", behaviours: [{ kind: "full" }, { kind: "answer" }], status: 200, arrivals: 2 },
        { fault: "a second answer", behaviours: [{ kind: "extraAnswer" }], status: 200, arrivals: 1 },
    ])("sends an at-most-once request once under $fault", async ({ behaviours, status, arrivals }) => {
        deployment = await Deployment.start(TWO_OF_EACH);
        scriptBehaviours("bookings", behaviours);
        const answer = await deployment.call({ path: "/book/1", body: "b" });
        expect(answer.status).toBe(status);
        expect(arrivalsAt("bookings")).toHaveLength(arrivals);
    });

    it.each<{ fault: string; behaviours: readonly Behaviour[]; status: number }>([
        { fault: "a reset", behaviours: [{ kind: "reset" }, { kind: "answer" }], status: 200 },
        { fault: "a truncated answer", behaviours: [{ kind: "truncate" }, { kind: "answer" }], status: 200 },
        { fault: "another's answer", behaviours: [{ kind: "otherAnswer" }, { kind: "answer" }], status: 200 },
        { fault: "a failure", behaviours: [{ kind: "answer", status: 500 }, { kind: "answer" }], status: 200 },
        { fault: "two failures", behaviours: [{ kind: "answer", status: 500 }], status: 500 },
    ])("sends an idempotent request to a second target after $fault", async ({ behaviours, status }) => {
        deployment = await Deployment.start(TWO_OF_EACH);
        scriptBehaviours("bookings", behaviours);
        expect((await deployment.call({ path: "/check/1", method: "GET" })).status).toBe(status);
        expect(arrivalsAt("bookings")).toHaveLength(2);
    });

    it("does not take a reset for the end of a body without a length", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        deployment.target("bookings-0").behaviour = () => ({ kind: "unframedReset" });
        expect((await deployment.call({ path: "/book/1", body: "b" })).status).toBe(502);
    });

    // A crashing target can end such a body as if it were complete, so the caller must see that it has no length.
    it("passes a body without a length on without one", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        deployment.target("bookings-0").behaviour = () => ({ kind: "unframed" });
        const answer = await deployment.call({ path: "/book/1", body: "b" });
        expect(answer).toMatchObject({ status: 200, body: "whole answer" });
        expect(answer.headers).not.toHaveProperty("content-length");
        expect(answer.headers).not.toHaveProperty("transfer-encoding");
        expect(answer.headers.connection).toBe("close");
    });

    it("answers 504 at the route's timeout when the caller's is longer", async () => {
        const routes = CONFIGURATION.Routes.map(route => ({ ...route, TimeoutMs: 200 }));
        deployment = await Deployment.start({ bookings: 1 }, 1, { ...CONFIGURATION, Routes: routes });
        deployment.target("bookings-0").behaviour = () => ({ kind: "silent" });
        const startedAt = performance.now();
        expect((await deployment.call({ path: "/book/1", body: "b" })).status).toBe(504);
        expect(performance.now() - startedAt).toBeLessThan(1_500);
    });

    it("refuses with a Retry-After header when no target is usable", async () => {
        deployment = await Deployment.start({ engines: 1 });
        const answer = await deployment.call({ path: "/check/1", headers: { "x-parsleyrun-deadline-ms": "400" } });
        expect(answer.status).toBe(503);
        expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
    });

    it("closes the connection to the target when the caller of an idempotent request leaves", async () => {
        deployment = await Deployment.start({ bookings: 1 });
        const target = deployment.target("bookings-0");
        target.behaviour = () => ({ kind: "silent" });
        await deployment.call({ path: "/check/1", leaveAfterMs: 100 }).catch(() => undefined);
        await vi.waitFor(() => expect(target.abandoned).toEqual(["request-1"]));
    });
});

describe("streams", () => {
    const eventIds = (body: string): readonly string[] =>
        [...body.matchAll(/^id: (\d+)$/gm)].map(match => match[1] ?? "");

    it("are continued at another target after the last whole event", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        scriptBehaviours("engines", [
            { kind: "stream", events: 6, cutAfterBytes: 100 },
            { kind: "stream", events: 6 },
        ]);
        const answer = await deployment.call({ path: "/chat/1", body: "hello" });
        expect(answer).toMatchObject({ status: 200, complete: true });
        expect(eventIds(answer.body)).toEqual(["1", "2", "3", "4", "5", "6"]);
        const second = [...deployment.targets.values()].flatMap(target => target.arrivals)[1];
        expect(Number(second?.headers["last-event-id"])).toBeGreaterThan(0);
    });

    it("that cannot be continued end with a closed connection, without looking complete", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        scriptBehaviours("engines", [{ kind: "stream", events: 6, cutAfterBytes: 100 }]);
        const answer = await deployment.call({ path: "/draft/1", body: "hello" });
        expect(answer.complete).toBe(false);
        expect(arrivalsAt("engines")).toHaveLength(1);
    });

    it("are restarted at another target when they break before the first event", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        scriptBehaviours("engines", [{ kind: "reset" }, { kind: "stream", events: 2 }]);
        const answer = await deployment.call({ path: "/chat/1", body: "hello" });
        expect(eventIds(answer.body)).toEqual(["1", "2"]);
    });

    // The first target may have run the request, so a refusal would be wrong whatever the second one says.
    it.each<{ second: Behaviour }>([{ second: { kind: "inputsGone" } }, { second: { kind: "full" } }])(
        "that broke at one target are not refused after $second.kind at another",
        async ({ second }) => {
            deployment = await Deployment.start(TWO_OF_EACH);
            scriptBehaviours("engines", [{ kind: "reset" }, second]);
            expect((await deployment.call({ path: "/chat/1", body: "hello" })).status).toBe(502);
        },
    );

    it("end at the target when the caller leaves", async () => {
        deployment = await Deployment.start({ engines: 1 });
        const target = deployment.target("engines-0");
        target.behaviour = () => ({ kind: "stream", events: 100, gapMs: 20 });
        await deployment.call({ path: "/draft/1", leaveAfterMs: 100 }).catch(() => undefined);
        await vi.waitFor(() => expect(target.abandoned).toEqual(["request-1"]));
    });
});

describe("stages", () => {
    const headers = { "x-parsleyrun-pieces": "2,3", "x-parsleyrun-piece-key": "key-1" };

    it("are made in order, and their results go to the engine and are released", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        scriptBehaviours("engines", [{ kind: "stream", events: 2 }]);
        const answer = await deployment.call({ path: "/staged/1", headers });
        expect(answer).toMatchObject({ status: 200, complete: true });
        const encode = deployment.target("encode-0");
        const rank = deployment.target("rank-0");
        expect(encode.pieceCalls[0]?.Entries).toMatchObject([
            { Id: "request-1", Phase: 0, Segment: 0, Key: "key-1" },
            { Id: "request-1", Phase: 0, Segment: 1, Key: "key-1" },
        ]);
        const encoded = [`${encode.address}/1`, `${encode.address}/2`];
        expect(rank.pieceCalls[0]?.Entries).toMatchObject([0, 1, 2].map(Segment => ({ Segment, Inputs: encoded })));
        const ranked = [1, 2, 3].map(number => `${rank.address}/${number}`);
        const arrival = [...deployment.targets.values()].flatMap(target => target.arrivals)[0];
        expect(arrival?.headers["x-parsleyrun-inputs"]).toBe(ranked.join(","));
        await vi.waitFor(() => {
            expect(encode.released).toEqual(encoded);
            expect(rank.released).toEqual(ranked);
        });
    });

    it("of requests at several gateways are gathered into the same calls", async () => {
        deployment = await Deployment.start({ ...TWO_OF_EACH, bookings: 0 }, 2);
        scriptBehaviours("engines", [{ kind: "stream", events: 1 }]);
        const first = deployment.target("encode-0");
        first.callMs = 150;
        await Promise.all(
            Array.from({ length: 9 }, (_, index) =>
                deployment.call(
                    { path: "/staged/1", headers: { ...headers, "x-parsleyrun-pieces": "1,0" }, id: `r${index}` },
                    index % 2,
                ),
            ),
        );
        // One call with the first pieces, then full calls of four.
        expect(first.pieceCalls.length).toBeLessThanOrEqual(4);
    });

    it("that a target has no room for are made later", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        scriptBehaviours("engines", [{ kind: "stream", events: 1 }]);
        deployment.target("encode-0").pieceReasons = call => (call === 1 ? "room" : undefined);
        expect((await deployment.call({ path: "/staged/1", headers })).status).toBe(200);
        expect(deployment.target("encode-0").pieceCalls).toHaveLength(2);
    });

    it("are all made by the next gatherer as soon as theirs stops", async () => {
        // Twelve pieces need three consecutive calls, for which the route's latency objective leaves time.
        const callMs = 150;
        const configuration = {
            ...CONFIGURATION,
            Routes: CONFIGURATION.Routes.map(route => ({ ...route, TargetLatencyMs: 4_000, TimeoutMs: 6_000 })),
            Services: CONFIGURATION.Services.map(service =>
                "Segments" in service ? { ...service, Segments: { ...service.Segments, CallMs: callMs } } : service,
            ),
        };
        deployment = await Deployment.start({ ...TWO_OF_EACH, bookings: 0 }, 2, configuration);
        scriptBehaviours("engines", [{ kind: "stream", events: 1 }]);
        const encode = deployment.target("encode-0");
        encode.callMs = callMs;
        const gatherer = gathererOf(deployment, "encode");
        const first = Array.from({ length: 6 }, (_, index) => callStaged(index, `r${index}`));
        await vi.waitFor(() => expect(encode.pieceCalls).toHaveLength(1));
        const stopped = deployment.gateways[gatherer]?.stop();
        await vi.waitFor(() => expect(deployment.platform.names(KIND.gateways)).toHaveLength(1));
        // The stopping gateway's call in progress has to end first.
        await pause(2 * encode.callMs);
        encode.mostCallsAtOnce = 0;
        const second = Array.from({ length: 6 }, (_, index) => callStaged(index, `s${index}`));
        const answers: readonly CallAnswer[] = await Promise.all([...first, ...second]);
        expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
        expect(encode.mostCallsAtOnce).toBe(1);
        expect(deployment.linesOf("pieces given back").length).toBeGreaterThan(0);
        await stopped;

        function callStaged(index: number, id: string): Promise<CallAnswer> {
            const staged = { ...headers, "x-parsleyrun-pieces": "2,0", "x-parsleyrun-deadline-ms": "6000" };
            return deployment.call({ path: "/staged/1", headers: staged, id }, index % 2);
        }
    });

    it("are not gathered by a machine that is much smaller than others", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        const name = peerNamePreferredFor("encode");
        const capacity = { processors: 0.2, linkMegabits: 10 };
        const registration = { name, zone: "east", address: "127.0.0.1:9", capacity };
        deployment.platform.put(KIND.gateways, name, registration);
        const gateway = deployment.gateways[0]?.gateway;
        await vi.waitFor(async () => {
            const page = await (await fetch(`http://${deployment.metrics[0]}/metrics`)).text();
            expect(page).toMatch(/^parsleyrun_gateways 2$/m);
        });
        expect(gateway?.pieceRouter.gathererOf("encode")).toBeUndefined();
    });

    it("are not used to find out whether a silent gatherer is back", async () => {
        deployment = await Deployment.start(TWO_OF_EACH);
        scriptBehaviours("engines", [{ kind: "stream", events: 1 }]);
        const silentGateway = await SilentGateway.start();
        const name = peerNamePreferredFor("encode");
        deployment.platform.put(KIND.gateways, name, { name, zone: "east", address: silentGateway.address });
        const gathering = deployment.gateways[0]?.gateway.pieceRouter;
        await vi.waitFor(() => expect(gathering?.gathererOf("encode")?.name).toBe(name));
        const onePieceHeaders = { ...headers, "x-parsleyrun-pieces": "1,0" };
        for (let index = 0; index < 10; index += 1) {
            expect(
                (await deployment.call({ path: "/staged/1", headers: onePieceHeaders, id: `r${index}` })).status,
            ).toBe(200);
            await pause(250);
        }
        expect(silentGateway.orders.filter(order => order.includes("requestId"))).toHaveLength(1);
        expect(silentGateway.orders.length).toBeGreaterThan(1);
        silentGateway.isAnswering = true;
        await vi.waitFor(() => expect(gathering?.gathererOf("encode")?.name).toBe(name), 3_000);
        silentGateway.close();
    });

    it("are made by another gateway when the gatherer is gone", async () => {
        deployment = await Deployment.start(TWO_OF_EACH, 2);
        scriptBehaviours("engines", [{ kind: "stream", events: 1 }]);
        const gatherer = gathererOf(deployment, "encode");
        await deployment.gateways[gatherer]?.kill();
        expect((await deployment.call({ path: "/staged/1", headers }, 1 - gatherer)).status).toBe(200);
    });
});

/** A gateway that accepts orders but answers them only while `isAnswering` is set. */
class SilentGateway {
    readonly orders: string[] = [];
    isAnswering = false;

    private constructor(
        readonly address: string,
        private readonly server: Server,
    ) {}

    static async start(): Promise<SilentGateway> {
        const server = createServer((request, response) => {
            request.on("data", (chunk: Buffer) => silent.orders.push(chunk.toString()));
            request.on("end", () => {
                if (silent.isAnswering) response.end(JSON.stringify({ waitMs: 0, results: [] }));
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const silent = new SilentGateway(`127.0.0.1:${(server.address() as AddressInfo).port}`, server);
        return silent;
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}

/** Name of a gateway that the hash of a service prefers to the first gateway of a deployment. */
function peerNamePreferredFor(service: string): string {
    const names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    const preferred = names.find(name => rendezvousWeight(service, name) > rendezvousWeight(service, "gateway-0"));
    if (preferred === undefined) throw new Error(`no name is preferred for ${service}`);
    return preferred;
}

/** Index of the gateway of two that gathers a service's pieces. */
function gathererOf({ gateways }: Deployment, service: string): number {
    return gateways[0]?.gateway.pieceRouter.gathererOf(service) === undefined ? 0 : 1;
}
