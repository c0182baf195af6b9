/**
 * A gateway that is lost for good stayed registered for ever: the parts of limits that all others get were too small, tasks
 * fell to it, and registrations only grew in number. One that is alive must stay registered, also if it is cut off from the
 * others, or from the store for a while, and nothing may be written while all gateways answer.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type GatewayPeer, GatewayPeers } from "../../src/gateway/peers.js";
import { RegistrationCleanup } from "../../src/gateway/registrationcleanup.js";
import { pause } from "../../src/model/pause.js";
import { SignsOfLife } from "../../src/stages/signsoflife.js";
import { StandInStore } from "../../src/standins/index.js";
import { type Store, StoreView } from "../../src/store/index.js";

const PREFIX = "gateways/";

/** Time in milliseconds in which a lost gateway is unregistered. */
const REMOVED_AFTER_MS = 45_000;

const WATCH_MS = 10_000;

/** A gateway as far as its registration is concerned. */
class FleetGateway {
    readonly peer: GatewayPeer;
    readonly peers: GatewayPeers;
    readonly signs = SignsOfLife.create();
    readonly store: Store;
    isLost = false;
    isWithoutPeers = false;
    private readonly cleanup: RegistrationCleanup;
    private readonly view: StoreView;
    private readonly timer: NodeJS.Timeout;

    constructor(
        readonly fleet: Fleet,
        readonly name: string,
    ) {
        const address = `10.0.0.1:${name.replace("gateway-", "1")}`;
        this.peer = { name, zone: "east", address, capacity: { processors: 1, linkMegabits: 1_000 } };
        this.store = fleet.store.client(name);
        this.peers = GatewayPeers.create(this.peer, PREFIX);
        this.view = StoreView.start({ store: this.store, prefix: PREFIX, watchMilliseconds: WATCH_MS });
        this.view.subscribe(event => this.peers.apply(event));
        this.peers.register(
            this.store,
            () => this.isLost,
            () => undefined,
            () => undefined,
        );
        this.cleanup = RegistrationCleanup.start({
            peers: this.peers,
            store: this.store,
            probe: peer => this.call(peer),
            unansweredMs: ({ address }) => this.signs.unansweredMs(address),
            onChange: (change, fields) => fleet.changes.push({ gateway: name, change, ...fields }),
        });
        // News is exchanged with one other gateway a second.
        this.timer = setInterval(() => {
            const { others } = this.peers;
            const peer = others[Math.floor(Math.random() * others.length)];
            if (peer !== undefined) void this.call(peer);
        }, 1_000);
    }

    /** Ends the process without a planned stop. */
    lose(): void {
        this.isLost = true;
        this.stop();
    }

    stop(): void {
        clearInterval(this.timer);
        this.cleanup.stop();
        this.view.stop();
    }

    private async call({ name, address }: GatewayPeer): Promise<void> {
        const startedAt = performance.now();
        const peer = this.fleet.gateways.find(gateway => gateway.name === name);
        const isReached = peer !== undefined && !peer.isLost && !peer.isWithoutPeers && !this.isWithoutPeers;
        await pause(isReached ? 5 : 300);
        if (isReached) this.signs.recordHeard(address);
        else this.signs.recordUnanswered(address, startedAt);
    }
}

class Fleet {
    readonly store = StandInStore.create();
    readonly gateways: FleetGateway[] = [];
    readonly changes: Record<string, unknown>[] = [];

    static async start(count: number): Promise<Fleet> {
        const fleet = new Fleet();
        for (let index = 0; index < count; index += 1) fleet.add(`gateway-${index}`);
        await vi.advanceTimersByTimeAsync(3_000);
        return fleet;
    }

    add(name: string): FleetGateway {
        const gateway = new FleetGateway(this, name);
        this.gateways.push(gateway);
        return gateway;
    }

    get running(): readonly FleetGateway[] {
        return this.gateways.filter(({ isLost }) => !isLost);
    }

    get writes(): number {
        return this.gateways.reduce((sum, { name }) => {
            const { write = 0, remove = 0 } = this.store.counts(name);
            return sum + write + remove;
        }, 0);
    }

    isRegistered({ name }: FleetGateway): boolean {
        return this.store.peek(PREFIX + name) !== undefined;
    }

    count(change: string): number {
        return this.changes.filter(entry => entry.change === change && entry.outcome === "written").length;
    }
}

let fleet: Fleet;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
    for (const gateway of fleet.gateways) gateway.stop();
    vi.useRealTimers();
});

describe("a lost gateway", () => {
    it.each([
        { gateways: 2, lost: 1 },
        { gateways: 3, lost: 1 },
        { gateways: 3, lost: 2 },
        { gateways: 30, lost: 1 },
        { gateways: 30, lost: 5 },
    ])("is unregistered, at two writes each ($lost of $gateways)", async ({ gateways, lost }) => {
        fleet = await Fleet.start(gateways);
        const before = fleet.writes;
        for (const gateway of fleet.gateways.slice(0, lost)) gateway.lose();
        // One that remains alone questions one after another.
        const turns = gateways - lost === 1 ? lost : 1;
        await vi.advanceTimersByTimeAsync(REMOVED_AFTER_MS * turns);
        expect(fleet.gateways.filter(gateway => fleet.isRegistered(gateway))).toEqual(fleet.running);
        for (const { peers } of fleet.running) expect(peers.count).toBe(gateways - lost);
        expect(fleet.count("registration questioned")).toBe(lost);
        expect(fleet.count("registration removed")).toBe(lost);
        // Of gateways that begin at the same time, one writes, and the others find that they are late.
        expect(fleet.writes - before).toBeLessThanOrEqual(3 * lost);
    });

    it("is unregistered though the gateway that has questioned it is lost as well", async () => {
        fleet = await Fleet.start(3);
        const [first] = fleet.gateways;
        first?.lose();
        await vi.waitUntil(
            async () => {
                await vi.advanceTimersByTimeAsync(500);
                return fleet.count("registration questioned") === 1;
            },
            { timeout: 5_000, interval: 1 },
        );
        const questioner = fleet.changes.find(({ change }) => change === "registration questioned")?.gateway;
        fleet.gateways.find(({ name }) => name === questioner)?.lose();
        await vi.advanceTimersByTimeAsync(3 * REMOVED_AFTER_MS);
        expect(fleet.gateways.filter(gateway => fleet.isRegistered(gateway))).toEqual(fleet.running);
        expect(fleet.running).toHaveLength(1);
    });

    it("that restarts within seconds is not questioned", async () => {
        fleet = await Fleet.start(3);
        fleet.gateways[0]?.lose();
        await vi.advanceTimersByTimeAsync(8_000);
        fleet.gateways.splice(0, 1);
        fleet.add("gateway-0");
        await vi.advanceTimersByTimeAsync(2 * REMOVED_AFTER_MS);
        expect(fleet.changes).toEqual([]);
        expect(fleet.running.every(gateway => fleet.isRegistered(gateway))).toBe(true);
    });
});

describe("a gateway that is alive", () => {
    it.each([3, 30])("costs no write (%i gateways)", async count => {
        fleet = await Fleet.start(count);
        const before = fleet.writes;
        await vi.advanceTimersByTimeAsync(300_000);
        expect(fleet.writes).toBe(before);
        expect(fleet.changes).toEqual([]);
    });

    it("stays registered while it is cut off from the others, and is questioned rarely", async () => {
        fleet = await Fleet.start(4);
        const [cutOff] = fleet.gateways;
        if (cutOff !== undefined) cutOff.isWithoutPeers = true;
        let missing = 0;
        for (let second = 0; second < 300; second += 1) {
            await vi.advanceTimersByTimeAsync(1_000);
            missing += fleet.gateways.filter(gateway => !fleet.isRegistered(gateway)).length;
        }
        expect(missing).toBe(0);
        // The three others question it once at most, and it questions each of them once.
        expect(fleet.count("registration questioned")).toBeLessThanOrEqual(6);
        for (const { peers } of fleet.gateways) expect(peers.count).toBe(4);
    });

    it("registers again when it was cut off from the others and from the store", async () => {
        fleet = await Fleet.start(4);
        const [cutOff] = fleet.gateways;
        if (cutOff === undefined) throw new Error("no gateway");
        cutOff.isWithoutPeers = true;
        fleet.store.setOutage(true, cutOff.name);
        await vi.advanceTimersByTimeAsync(2 * REMOVED_AFTER_MS);
        expect(fleet.isRegistered(cutOff)).toBe(false);
        cutOff.isWithoutPeers = false;
        fleet.store.setOutage(false, cutOff.name);
        await vi.advanceTimersByTimeAsync(WATCH_MS + 5_000);
        expect(fleet.isRegistered(cutOff)).toBe(true);
        for (const { peers } of fleet.gateways) expect(peers.count).toBe(4);
    });

    it("is not removed while the store does not answer, nor at once afterwards", async () => {
        fleet = await Fleet.start(3);
        const [cutOff] = fleet.gateways;
        if (cutOff !== undefined) cutOff.isWithoutPeers = true;
        fleet.store.setOutage(true);
        await vi.advanceTimersByTimeAsync(2 * REMOVED_AFTER_MS);
        fleet.store.setOutage(false);
        let missing = 0;
        for (let second = 0; second < 60; second += 1) {
            await vi.advanceTimersByTimeAsync(1_000);
            missing += fleet.gateways.filter(gateway => !fleet.isRegistered(gateway)).length;
        }
        expect(missing).toBe(0);
    });
});

describe("a planned stop", () => {
    it.each([0, 1, 3])("removes the registration though %i attempts fail", async failures => {
        fleet = await Fleet.start(2);
        const [stopping] = fleet.gateways;
        if (stopping === undefined) throw new Error("no gateway");
        let attempts = 0;
        const store: Store = {
            ...stopping.store,
            read: key => {
                attempts += 1;
                const unavailable = { kind: "unavailable", message: "status 503" } as const;
                return attempts <= failures ? Promise.resolve(unavailable) : stopping.store.read(key);
            },
            remove: (key, version) => stopping.store.remove(key, version),
        };
        const unregistered = stopping.peers.unregister(store, () => false);
        await vi.advanceTimersByTimeAsync(3_000);
        await unregistered;
        expect(fleet.isRegistered(stopping)).toBe(false);
    });
});
