/** A planned stop of a gateway process, as callers see it whose requests are open, come early or come late. */
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { encodeOrder } from "../../src/stages/order.js";
import { Deadline } from "../../src/model/index.js";
import { pause, until } from "./daemons.js";
import type { RawAnswer, RawCaller } from "./rawcaller.js";
import { GRACE_MS, Stage, STAGE_MS } from "./stage.js";

/** When requests come early and late in the grace period. */
const EARLY_MS = 300;
const LATE_MS = 2_800;

type Moment = "before" | "early" | "late";

/** A request during a planned stop. */
interface StopCase {
    readonly route: "check" | "book" | "chat" | "draft";
    readonly kind: "silent" | "events";
    readonly moment: Moment;
    readonly connection: "kept" | "new";
    /** Whether the last byte of the body comes late in the grace period. */
    readonly slowBody?: boolean;
}

const ROUTES = ["check", "book", "chat", "draft"] as const;
const CONNECTIONS = ["kept", "new"] as const;
const MOMENTS = ["before", "early", "late"] as const;

const silentCases: readonly StopCase[] = ROUTES.flatMap(route =>
    MOMENTS.flatMap(moment => CONNECTIONS.map(connection => ({ route, kind: "silent" as const, moment, connection }))),
);
const begunStreams: readonly StopCase[] = (["chat", "draft"] as const).flatMap(route =>
    (["before", "early"] as const).map(moment => ({ route, kind: "events", moment, connection: "new" })),
);
const slowBodies: readonly StopCase[] = (["check", "book"] as const).map(route => ({
    route,
    kind: "silent",
    moment: "before",
    connection: "new",
    slowBody: true,
}));

function idOf({ route, kind, moment, connection, slowBody }: StopCase): string {
    return `${kind}-${route}-${moment}-${connection}${slowBody === true ? "-slow" : ""}`;
}

/** Stops the gateway once while the requests of all cases are sent at their moments. */
async function playStop(stage: Stage, cases: readonly StopCase[]): Promise<ReadonlyMap<string, RawAnswer>> {
    const kept = new Map<StopCase, RawCaller>();
    for (const stopCase of cases) {
        if (stopCase.connection === "kept") kept.set(stopCase, await stage.connectKept());
    }
    const answers = new Map<string, Promise<RawAnswer>>();
    const sendAt = async (moment: Moment): Promise<void> => {
        for (const stopCase of cases.filter(candidate => candidate.moment === moment)) {
            const caller = kept.get(stopCase) ?? (await stage.connect());
            const id = idOf(stopCase);
            answers.set(id, caller.send(`/${stopCase.route}/1`, id, stopCase.slowBody === true ? 1 : 0));
            if (stopCase.slowBody === true) lateBytes.push(() => caller.write("y"));
        }
    };
    const lateBytes: (() => void)[] = [];
    await sendAt("before");
    const isOpen = (stopCase: StopCase): boolean =>
        stopCase.moment === "before" && stopCase.slowBody !== true && stage.arrivals(idOf(stopCase)).length === 0;
    await until("requests are at targets", () => !cases.some(isOpen));
    stage.gateway.signal("SIGTERM");
    await stage.gateway.logged('"stopping"');
    await pause(EARLY_MS);
    await sendAt("early");
    await pause(LATE_MS - EARLY_MS);
    await sendAt("late");
    for (const send of lateBytes) send();
    const ended = await Promise.all([...answers].map(async ([id, answer]) => [id, await answer] as const));
    expect(await stage.gateway.ended).toEqual({ code: 0, signal: null });
    return new Map(ended);
}

describe("requests that outlast a planned stop, on routes that usually are quick", () => {
    let stage: Stage;
    let answers: ReadonlyMap<string, RawAnswer>;

    beforeAll(async () => {
        stage = await Stage.start();
        for (const route of ROUTES) {
            const caller = await stage.connect();
            expect((await caller.send(`/${route}/1`, `quick-${route}`)).status).toBe(200);
        }
        answers = await playStop(stage, [...silentCases, ...begunStreams, ...slowBodies]);
    });

    afterAll(() => stage.close());

    // Guards against a stop that closes the connection of a request at a target without an answer.
    it.each([...silentCases.filter(({ moment }) => moment !== "late"), ...slowBodies])(
        "$route sent $moment the signal on a $connection connection (slow body: $slowBody) gets 504 or 502",
        stopCase => {
            const answer = answers.get(idOf(stopCase));
            expect(answer).toMatchObject({ complete: true, reset: false, headers: { connection: "close" } });
            expect([502, 504]).toContain(answer?.status);
            const arrivals = stage.arrivals(idOf(stopCase));
            expect(arrivals.length).toBeGreaterThan(0);
            if (!["check", "chat"].includes(stopCase.route)) expect(arrivals).toHaveLength(1);
            const passedOn = Math.max(...arrivals.map(({ headers }) => Number(headers["x-parsleyrun-deadline-ms"])));
            if (stopCase.moment === "early") expect(passedOn).toBeLessThan(GRACE_MS);
        },
    );

    // Guards against a request that is passed on when the balancer and its caller have had time to go elsewhere.
    it.each(silentCases.filter(({ moment }) => moment === "late"))(
        "$route sent late in the grace period on a $connection connection is not passed on",
        stopCase => {
            const answer = answers.get(idOf(stopCase));
            expect(stage.arrivals(idOf(stopCase))).toEqual([]);
            // A kept connection that was idle may have been closed.
            const refused = { status: 503, complete: true };
            const closed = { status: undefined };
            expect([refused, closed]).toContainEqual(
                answer?.status === undefined ? closed : { status: answer.status, complete: answer.complete },
            );
            if (stopCase.connection === "new") expect(answer).toMatchObject(refused);
            if (answer?.status === 503) expect(answer.headers).toHaveProperty("retry-after");
        },
    );

    // Guards against a reset that takes from callers what was written of their streams.
    it.each(begunStreams)("a stream of $route that began $moment the signal ends incomplete and in order", stopCase => {
        expect(answers.get(idOf(stopCase))).toMatchObject({ status: 200, complete: false, reset: false });
    });
});

describe("requests in a planned stop, on routes whose usual time is unknown or does not fit", () => {
    let stage: Stage;
    let answers: ReadonlyMap<string, RawAnswer>;
    const cases = [...silentCases.filter(({ moment }) => moment === "early"), ...slowBodies];

    beforeAll(async () => {
        stage = await Stage.start();
        answers = await playStop(stage, cases);
    });

    afterAll(() => stage.close());

    // Guards against a request that is passed on although the rest of the grace period may not be enough for it.
    it.each(cases)(
        "$route on a $connection connection (slow body: $slowBody) is refused before it is sent",
        stopCase => {
            const answer = answers.get(idOf(stopCase));
            expect(answer).toMatchObject({ status: 503, complete: true, headers: { connection: "close" } });
            expect(answer?.headers).toHaveProperty("retry-after");
            expect(stage.arrivals(idOf(stopCase))).toEqual([]);
        },
    );
});

describe("a planned stop of a gateway", () => {
    let stage: Stage;

    beforeEach(async () => {
        stage = await Stage.start();
    });

    afterEach(() => stage.close());

    // Guards against a stop that is cut short, or never ends, because of another signal or an outage of the store.
    it.each<{ event: string; during: () => void }>([
        { event: "a second SIGTERM", during: () => stage.gateway.signal("SIGTERM") },
        { event: "a SIGHUP", during: () => stage.gateway.signal("SIGHUP") },
        { event: "an outage of the store", during: () => (stage.platform.down = true) },
    ])("finishes an open request under $event", async ({ event, during }) => {
        let answer = (): void => undefined;
        const held = new Promise<void>(resolve => (answer = resolve));
        stage.target("bookings").behaviour = () => ({ kind: "answer", after: held });
        const caller = await stage.connect();
        const open = caller.send("/book/1", "open");
        await until("at the target", () => stage.arrivals("open").length === 1);
        if (event.includes("store")) during();
        stage.gateway.signal("SIGTERM");
        await stage.gateway.logged('"stopping"');
        during();
        await pause(EARLY_MS);
        answer();
        expect(await open).toMatchObject({ status: 200, complete: true });
        expect(await stage.gateway.ended).toEqual({ code: 0, signal: null });
    });

    // Guards against a stop that drops the pieces that the gateway gathers for others.
    it("finishes an order of another gateway", async () => {
        stage.target("encode").callMs = STAGE_MS;
        const job = {
            service: "encode",
            requestId: "request-1",
            stage: 0,
            index: 0,
            pieces: 1,
            key: "piece-key",
            inputs: [],
            isLastUse: true,
            inputBytes: 0,
            resultBytes: 1_000,
            priority: 1,
            deadline: Deadline.after(15_000),
            targetTime: Deadline.after(15_000),
            zone: "east",
            fetches: 1,
            begun: false,
        };
        const body = encodeOrder("encode", [job]);
        const order = fetch(`http://${stage.peers}/pieces`, { method: "POST", body }).then(answer => answer.json());
        await until("at the target", () => stage.target("encode").pieceCalls.length === 1);
        stage.gateway.signal("SIGTERM");
        expect(await order).toMatchObject({ results: [{ kind: "made" }] });
    });
});
