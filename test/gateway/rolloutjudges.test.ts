/**
 * The gateway that judges a roll-out may be lost for good, hang, be slow, or be cut off from the store or from the others. The
 * roll-out must still be decided, once, and without a chain of take-overs. Before, observations went to the one gateway that
 * the registrations named, and were dropped if it could not be reached: a bad version kept its share of the requests.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { GatewayPeer } from "../../src/gateway/peers.js";
import { judgesOf } from "../../src/gateway/rolloutjudges.js";
import { RolloutController } from "../../src/gateway/rolloutcontroller.js";
import { Rollouts, type RolloutState } from "../../src/gateway/rollouts.js";
import type { Target } from "../../src/gateway/target.js";
import { pause } from "../../src/model/pause.js";
import type { PeerCallOutcome } from "../../src/stages/peercalls.js";
import { SignsOfLife } from "../../src/stages/signsoflife.js";
import type { WriteOutcome } from "../../src/store/index.js";

const SERVICE = "bookings";
const DURATION_MS = 12_000;
const SHARE = 0.1;

/** The users' bound on the time from the fiftieth bad answer until the version gets no more requests. */
const ROLLBACK_MS = 5_000;

/** Time in milliseconds in which a change of the store is seen. */
const STORE_DELAY_MS = 50;

/** How a gateway behaves towards the others and the store. */
type Condition =
    | { readonly kind: "sound" }
    /** No process listens, as after a crash. */
    | { readonly kind: "refusing" }
    /** Connections hang, as to a machine without power. */
    | { readonly kind: "unconnectable" }
    /** Accepts calls and says nothing, as a stopped process. */
    | { readonly kind: "stopped" }
    | { readonly kind: "slow"; readonly milliseconds: number }
    | { readonly kind: "withoutStore" }
    | { readonly kind: "withoutPeers" };

const SOUND: Condition = { kind: "sound" };

/** Time in milliseconds after which a gateway that is cut off from the store has noticed it. */
const STORE_LOST_MS = 2_600;

/** A gateway of the fleet. */
class FleetGateway {
    private currentCondition: Condition = SOUND;
    private conditionSince = 0;
    /** Requests that were sent to the new version. */
    newSent = 0;
    readonly signs = SignsOfLife.create();
    readonly rollouts: Rollouts;
    readonly controller: RolloutController;
    readonly peer: GatewayPeer;

    constructor(
        readonly fleet: Fleet,
        readonly name: string,
    ) {
        this.peer = { name, zone: "east", address: name, capacity: { processors: 1, linkMegabits: 1_000 } };
        this.rollouts = Rollouts.create({ share: SHARE, allowance: 50 }, () => fleet.gateways.length);
        const { pending } = Rollouts.prototype;
        // A process that does not run makes no calls.
        vi.spyOn(this.rollouts, "pending").mockImplementation(() =>
            this.isRunning ? pending.call(this.rollouts) : [],
        );
        const others = (): readonly GatewayPeer[] =>
            fleet.gateways.filter(gateway => gateway !== this).map(({ peer }) => peer);
        this.controller = RolloutController.create({
            peers: {
                self: this.peer,
                get others() {
                    return others();
                },
            },
            peerCalls: {
                call: (peer, _path, text, { deadline }) => this.call(peer, text, deadline.remainingMs()),
                unansweredMs: ({ address }) => this.signs.unansweredMs(address),
            },
            rollouts: this.rollouts,
            isStoreLost: () =>
                this.condition.kind === "withoutStore" && performance.now() - this.conditionSince >= STORE_LOST_MS,
            writeState: ({ revision }, state) => fleet.write(this, revision, state),
            onChange: (change, fields) => fleet.changes.push({ gateway: name, change, ...fields }),
        });
    }

    get condition(): Condition {
        return this.currentCondition;
    }

    set condition(condition: Condition) {
        this.currentCondition = condition;
        this.conditionSince = performance.now();
    }

    /** Whether the users' bounds hold for its requests. */
    get isInTouch(): boolean {
        return this.isRunning && this.condition.kind !== "withoutStore";
    }

    get isRunning(): boolean {
        return !["refusing", "unconnectable", "stopped"].includes(this.condition.kind);
    }

    private async call(peer: GatewayPeer, text: string, timeoutMs: number): Promise<PeerCallOutcome> {
        const startedAt = performance.now();
        const outcome = await this.reach(peer, text, timeoutMs);
        if (outcome.kind === "answered") this.signs.recordHeard(peer.address);
        else this.signs.recordUnanswered(peer.address, startedAt);
        return outcome;
    }

    private async reach({ name }: GatewayPeer, text: string, timeoutMs: number): Promise<PeerCallOutcome> {
        this.fleet.calls += 1;
        const peer = this.fleet.gateways.find(gateway => gateway.name === name);
        const { condition } = peer ?? { condition: { kind: "refusing" } as const };
        const fail = async (reason: string, afterMs: number): Promise<PeerCallOutcome> => {
            await pause(afterMs);
            return { kind: "failed", reason, isSilent: afterMs === timeoutMs };
        };
        const isCut = condition.kind === "withoutPeers" || this.condition.kind === "withoutPeers";
        if (condition.kind === "refusing") return fail("refused", 1);
        if (condition.kind === "unconnectable" || isCut) return fail("connection timed out", 300);
        const delayMs = condition.kind === "slow" ? condition.milliseconds : 5;
        if (condition.kind === "stopped" || delayMs > timeoutMs) return fail("expired", timeoutMs);
        await pause(delayMs);
        // What was sent is lost with the process.
        if (peer === undefined || !peer.isRunning) return fail("connection closed", 1);
        const answer = peer.controller.receive(text);
        return answer === undefined
            ? { kind: "failed", reason: "status 400", isSilent: false }
            : { kind: "answered", text: answer };
    }
}

/** Gateways and the store's object of one roll-out. */
class Fleet {
    readonly gateways: FleetGateway[] = [];
    readonly changes: Record<string, unknown>[] = [];
    /** States that were written, with the gateway that wrote them. */
    readonly writes: { readonly gateway: string; readonly state: RolloutState }[] = [];
    calls = 0;
    revision = 1;
    state: RolloutState | undefined;
    badAnswers = 0;
    fiftiethAt: number | undefined;
    /** Requests to the new version that were sent too late, by gateways in touch with the store. */
    late = 0;

    constructor(count: number) {
        const names = Array.from({ length: count }, (_, index) => `gateway-${index}`);
        for (const name of names) this.gateways.push(new FleetGateway(this, name));
    }

    /** The gateways in the order in which they judge. */
    get judges(): readonly FleetGateway[] {
        const order = judgesOf(
            SERVICE,
            this.gateways.map(({ peer }) => peer),
        );
        return order.map(({ name }) => {
            const found = this.gateways.find(gateway => gateway.name === name);
            if (found === undefined) throw new Error(`no gateway ${name}`);
            return found;
        });
    }

    order(): void {
        for (const gateway of this.gateways) this.show(gateway);
    }

    async write(gateway: FleetGateway, revision: number, state: RolloutState): Promise<WriteOutcome> {
        await pause(5);
        if (!gateway.isRunning || gateway.condition.kind === "withoutStore") {
            await pause(300);
            return { kind: "unavailable", message: "no answer in time" };
        }
        if (revision !== this.revision) return { kind: "conflict" };
        this.revision += 1;
        this.state = state;
        this.writes.push({ gateway: gateway.name, state });
        for (const reader of this.gateways) setTimeout(() => this.show(reader), STORE_DELAY_MS);
        return { kind: "written", version: this.revision, era: 0 };
    }

    /** Shows a gateway the roll-out as it is stored, if it can see it. */
    show(gateway: FleetGateway): void {
        if (!gateway.isRunning || gateway.condition.kind === "withoutStore") return;
        const { state, revision } = this;
        gateway.rollouts.put({ service: SERVICE, version: "v2", durationMs: DURATION_MS, state, revision });
        gateway.controller.follow();
    }

    /** One request at each running gateway. Of the new version's answers, a part is bad. */
    sendRequests(number: number, badShare: number): void {
        for (const gateway of this.gateways.filter(({ isRunning }) => isRunning)) {
            const [old, candidate] = [targetOf("v1"), targetOf("v2")];
            const allowed = gateway.rollouts.allowed(SERVICE, [old, candidate], () => [old, candidate]);
            // The new version gets its share, whatever the number of its targets.
            const target = allowed.includes(candidate) && number % 10 === 0 ? candidate : old;
            if (!allowed.includes(target) || gateway.rollouts.isRolledBack(target)) continue;
            gateway.rollouts.recordSent(target);
            const isNew = target === candidate;
            gateway.newSent += Number(isNew);
            const failed = isNew && gateway.newSent % 10 < badShare * 10;
            const isLate = this.fiftiethAt !== undefined && performance.now() > this.fiftiethAt + ROLLBACK_MS;
            this.late += Number(isNew && isLate && gateway.isInTouch);
            gateway.controller.observe(target, "route", failed, 0.1);
            this.badAnswers += Number(failed);
            if (this.badAnswers >= 50) this.fiftiethAt ??= performance.now();
        }
    }

    /** Lets a time pass with a request at each gateway every `intervalMs`. */
    async run(milliseconds: number, badShare: number, intervalMs = 20): Promise<void> {
        for (let number = 0; number * intervalMs < milliseconds; number += 1) {
            this.sendRequests(number, badShare);
            await vi.advanceTimersByTimeAsync(intervalMs);
        }
    }

    get decisions(): readonly RolloutState[] {
        return this.writes.map(({ state }) => state).filter(state => state !== "inProgress");
    }

    count(change: string): number {
        return this.changes.filter(entry => entry.change === change).length;
    }

    stop(): void {
        for (const { controller } of this.gateways) controller.stop();
    }
}

function targetOf(version: string): Target {
    const registration = { service: SERVICE, version, address: `${version}:1` };
    return { name: version, registration } as Target;
}

let fleet: Fleet;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance", "queueMicrotask"] });
});
afterEach(() => {
    fleet.stop();
    vi.useRealTimers();
});

interface LossCase {
    readonly condition: Condition;
    /** When the judge gets into this condition, in milliseconds after the order; negative for before. */
    readonly atMs: number;
    /** Number of judges, from the first on, that do. */
    readonly lost: number;
    readonly gateways: number;
}

const LOSSES: readonly LossCase[] = (
    [
        { kind: "refusing" },
        { kind: "unconnectable" },
        { kind: "stopped" },
        { kind: "withoutStore" },
        { kind: "withoutPeers" },
    ] as const
).flatMap(condition =>
    [-8_000, 600].flatMap(atMs => [
        { condition, atMs, lost: 1, gateways: 3 },
        { condition, atMs, lost: 2, gateways: 3 },
        { condition, atMs, lost: 1, gateways: 20 },
        { condition, atMs, lost: 6, gateways: 20 },
    ]),
);

/** Plays a roll-out whose first judges get into a condition. */
async function play({ condition, atMs, lost, gateways }: LossCase, badShare: number): Promise<void> {
    fleet = new Fleet(gateways);
    const judges = fleet.judges.slice(0, lost);
    const loseAll = (): void => {
        for (const judge of judges) judge.condition = condition;
    };
    if (atMs < 0) {
        loseAll();
        await vi.advanceTimersByTimeAsync(-atMs);
    }
    fleet.order();
    if (atMs >= 0) {
        await fleet.run(atMs, badShare);
        loseAll();
    }
    await fleet.run(2 * DURATION_MS, badShare);
}

describe("a roll-out whose judge is lost", () => {
    it.each(LOSSES)("of a bad version is reverted ($condition.kind, $lost of $gateways, at $atMs ms)", async loss => {
        await play(loss, 0.5);
        expect(fleet.decisions).toEqual(["reverted"]);
        expect(fleet.late).toBe(0);
    });

    it.each(LOSSES)("of a good version is completed ($condition.kind, $lost of $gateways, at $atMs ms)", async loss => {
        await play(loss, 0);
        expect(fleet.decisions).toEqual(["completed"]);
    });
});

describe("a judge that is slow", () => {
    it.each([{ milliseconds: 200 }, { milliseconds: 450 }, { milliseconds: 900 }])(
        "by $milliseconds ms judges alone, and its slowness adds few calls",
        async ({ milliseconds }) => {
            fleet = new Fleet(20);
            for (const judge of fleet.judges.slice(0, 3)) judge.condition = { kind: "slow", milliseconds };
            fleet.order();
            await fleet.run(DURATION_MS, 0);
            expect(fleet.count("rollout taken over")).toBe(0);
            expect(fleet.decisions).toEqual(["completed"]);
            expect([...new Set(fleet.writes.map(({ gateway }) => gateway))]).toEqual([fleet.judges[0]?.name]);
            // A call to the judge each 250 ms at most, and to those after it while its answers are overdue.
            const perGateway = (DURATION_MS / 250) * (milliseconds < 400 ? 1 : 4);
            expect(fleet.calls).toBeLessThanOrEqual(20 * perGateway);
        },
    );
});

describe("a judge that comes back", () => {
    it.each([
        { condition: { kind: "stopped" } as const, backMs: 4_000 },
        { condition: { kind: "withoutPeers" } as const, backMs: 4_000 },
        { condition: { kind: "withoutStore" } as const, backMs: 4_000 },
        { condition: { kind: "stopped" } as const, backMs: 13_000 },
        { condition: { kind: "withoutPeers" } as const, backMs: 13_000 },
        { condition: { kind: "withoutStore" } as const, backMs: 13_000 },
    ])("$condition.kind for $backMs ms does not decide once more", async ({ condition, backMs }) => {
        fleet = new Fleet(5);
        const [judge] = fleet.judges;
        fleet.order();
        await fleet.run(600, 0);
        if (judge !== undefined) judge.condition = condition;
        await fleet.run(backMs, 0);
        if (judge !== undefined) judge.condition = SOUND;
        // What it has not seen meanwhile, it sees late.
        await fleet.run(400, 0);
        if (judge !== undefined) fleet.show(judge);
        await fleet.run(DURATION_MS, 0);
        expect(fleet.decisions).toEqual(["completed"]);
    });
});

describe("a judge that is cut off from the others", () => {
    // Guards against a good version that is reverted because its judge has seen few answers itself.
    it("leaves the decision to the next one, which has seen more", async () => {
        fleet = new Fleet(20);
        const [judge] = fleet.judges;
        if (judge === undefined) throw new Error("no judge");
        // The judge sees the order first, so its time is up first.
        fleet.show(judge);
        await vi.advanceTimersByTimeAsync(300);
        fleet.order();
        await fleet.run(600, 0, 200);
        judge.condition = { kind: "withoutPeers" };
        await fleet.run(2 * DURATION_MS, 0, 200);
        expect(fleet.decisions).toEqual(["completed"]);
        expect(fleet.writes.at(-1)?.gateway).toBe(fleet.judges[1]?.name);
    });
});

describe("a judge that remains alone", () => {
    // Guards against a gateway that stops judging for good because its writes have failed for a while.
    it.each([1_500, 5_000, 9_000])("decides though it could not write for %i ms", async outageMs => {
        fleet = new Fleet(2);
        const [lost, remaining] = fleet.judges;
        if (lost === undefined || remaining === undefined) throw new Error("no gateways");
        lost.condition = { kind: "refusing" };
        fleet.order();
        await vi.advanceTimersByTimeAsync(3_000);
        remaining.condition = { kind: "withoutStore" };
        await fleet.run(outageMs, 1);
        remaining.condition = SOUND;
        fleet.show(remaining);
        await fleet.run(ROLLBACK_MS, 1);
        expect(fleet.decisions).toEqual(["reverted"]);
    });
});

describe("observations", () => {
    it("that a judge gets twice, since its answer was lost, count once", async () => {
        fleet = new Fleet(2);
        const [judge, other] = fleet.judges;
        fleet.order();
        await vi.advanceTimersByTimeAsync(1_000);
        const candidate = targetOf("v2");
        // Five failures are no evidence, ten would be.
        for (let index = 0; index < 5; index += 1) other?.controller.observe(candidate, "route", true, undefined);
        const receive = vi.spyOn(judge?.controller ?? ({} as RolloutController), "receive");
        const original = receive.getMockImplementation();
        let lostAnswers = 0;
        receive.mockImplementation(text => {
            const answer = RolloutController.prototype.receive.call(judge?.controller, text) as string | undefined;
            lostAnswers += 1;
            return lostAnswers <= 3 ? undefined : answer;
        });
        expect(original).toBeUndefined();
        await vi.advanceTimersByTimeAsync(1_500);
        expect(lostAnswers).toBeGreaterThan(3);
        expect(fleet.decisions).toEqual([]);
        expect(judge?.rollouts.find(SERVICE)?.state).toBe("inProgress");
        for (let index = 0; index < 5; index += 1) other?.controller.observe(candidate, "route", true, undefined);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(fleet.decisions).toEqual(["reverted"]);
    });

    it("go to a judge that has started anew from the first one on", async () => {
        fleet = new Fleet(3);
        const [judge] = fleet.judges;
        fleet.order();
        await fleet.run(3_000, 0.1);
        const index = fleet.gateways.findIndex(gateway => gateway === judge);
        judge?.controller.stop();
        const renewed = new FleetGateway(fleet, judge?.name ?? "");
        fleet.gateways[index] = renewed;
        fleet.show(renewed);
        const receive = vi.spyOn(renewed.controller, "receive");
        await fleet.run(1_000, 0.1);
        const firsts = receive.mock.calls.map(([text]) => (JSON.parse(text) as { first: number }).first);
        expect(firsts.filter(first => first === 0)).toHaveLength(2);
    });
});
