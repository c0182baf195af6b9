/**
 * Limits for all gateways together while gateways stop and start. Each gateway computes its own part, so the sum exceeds the
 * limit if the others' parts grow while one is stopped, or if a new process has a part that the one before it has used.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Gateway, type GatewayOptions, type GatewayPeer, GatewayPeers } from "../../src/gateway/index.js";
import type { Target, TargetRegistration } from "../../src/gateway/target.js";
import { MemoryAccount } from "../../src/memory/index.js";

const WINDOW_MS = 10_000;
const STOP_GRACE_MS = 8_000;
/** Time between the moments at which gateways get requests and use retries. */
const STEP_MS = 250;
const FRACTION = 0.2;
const PREFIX = "gateways/";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

/** A target that is cold or names a limit. */
const TARGET: TargetRegistration = {
    id: "engines-0",
    incarnation: 1,
    service: "engines",
    address: "127.0.0.1:2",
    zone: "east",
    version: "v1",
    slots: 8,
    state: "available",
    coldRemainingMs: 120_000,
};
const SERVICE = { name: "engines", healthPath: "/", coldStartMs: 0, stage: undefined, engine: undefined };
const LIMIT_PER_SECOND = 30;

const ROLLOUT = { service: "engines", version: "v2", durationMs: 600_000, state: undefined, revision: 1 };
const ROLLOUTS = { share: 0.1, allowance: 50 };

interface Process {
    readonly name: string;
    readonly gateway: Gateway;
    readonly peers: GatewayPeers;
    /** Whether changes of registrations reach the process. */
    readonly isFollowing: boolean;
}

/** Gateways that use all retries that they have at each moment, and the store that has their registrations. */
class Fleet {
    private readonly registered = new Set<string>();
    private running: readonly Process[] = [];
    private readonly retries: number[] = [];
    private readonly requests: number[] = [];
    private hasRollout = false;

    constructor(
        private readonly allowance: number,
        private readonly requestsPerStep = 0,
        private readonly coldRequestsPerSecond = 0,
    ) {}

    /** Starts a process; without the store, others do not see its registration, nor does it see theirs. */
    start(name: string, hasStore = true): void {
        const self: GatewayPeer = {
            name,
            zone: "east",
            address: "127.0.0.1:1",
            capacity: { processors: 1, linkMegabits: 1_000 },
        };
        const peers = GatewayPeers.create(self, PREFIX);
        const options: Partial<GatewayOptions> = {
            zone: "east",
            memory: MemoryAccount.create({ maximumBytes: 1_000, onGivenUp: () => undefined }),
            peers,
            retries: { fractionOfRequests: FRACTION, allowance: this.allowance, windowMs: WINDOW_MS },
            stopGraceMs: STOP_GRACE_MS,
            rollouts: ROLLOUTS,
            onDecision: () => undefined,
            onChange: () => undefined,
        };
        const gateway = Gateway.create(options as GatewayOptions);
        // Only registrations tell these gateways of each other.
        gateway.gossip.stop();
        this.running = [...this.running, { name, gateway, peers, isFollowing: hasStore }];
        if (hasStore) this.regainStore(name);
        const { coldRequestsPerSecond } = this;
        gateway.applyConfiguration({
            version: 1,
            routes: [],
            services: [{ ...SERVICE, coldRequestsPerSecond }],
            accounts: undefined,
            limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
        });
        gateway.targets.put(TARGET);
        if (this.hasRollout) gateway.putRollout(ROLLOUT);
        gateway.setInformed();
    }

    /** Orders a roll-out, which processes that start later find in the store. */
    orderRollout(): void {
        this.hasRollout = true;
        for (const { gateway } of this.running) gateway.putRollout(ROLLOUT);
    }

    /** Removes the registration; the process goes on until `end`. */
    beginStop(name: string): void {
        this.registered.delete(name);
        this.tell(name);
    }

    end(name: string): void {
        this.running.filter(process => process.name === name).forEach(({ gateway }) => gateway.stop());
        this.running = this.running.filter(process => process.name !== name);
    }

    stop(name: string): void {
        this.beginStop(name);
        this.end(name);
    }

    loseStore(name: string): void {
        this.running = this.running.map(each => (each.name === name ? { ...each, isFollowing: false } : each));
    }

    regainStore(name: string): void {
        this.running = this.running.map(each => (each.name === name ? { ...each, isFollowing: true } : each));
        this.registered.add(name);
        const { peers } = this.running.find(each => each.name === name) ?? {};
        for (const known of peers?.all ?? []) if (!this.registered.has(known.name)) this.tell(known.name);
        for (const other of this.registered) this.tell(other);
    }

    /** Lets time pass; each process gets requests and uses what it has, several times a second. */
    run(milliseconds: number): void {
        for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
            this.useAll();
            vi.advanceTimersByTime(STEP_MS);
        }
        this.useAll();
    }

    useAll(): void {
        for (const { gateway } of this.running) {
            const budget = gateway.context.retryBudgetOf("engines");
            for (let request = 0; request < this.requestsPerStep; request += 1) {
                budget.deposit();
                this.requests.push(performance.now());
            }
            while (budget.available()) {
                budget.take();
                budget.use();
                this.retries.push(performance.now());
            }
        }
    }

    /** Retries in the last window. */
    get recentRetries(): number {
        return countInWindow(this.retries, performance.now());
    }

    /** The largest number of retries in a window beyond the fraction of its requests. */
    get most(): number {
        const beyond = [...new Set(this.retries)].map(
            at => countInWindow(this.retries, at) - FRACTION * countInWindow(this.requests, at),
        );
        return Math.max(...beyond);
    }

    /** Sends what the cold target may get. Returns the number of requests. */
    sendToColdTarget(milliseconds: number): number {
        let sent = 0;
        for (let passed = 0; passed < milliseconds; passed += 50) {
            vi.advanceTimersByTime(50);
            for (const { gateway } of this.running) {
                const mayMore = (): boolean => gateway.targets.working("engines").length > 0;
                for (const [target] = gateway.targets.eligible("engines"); target !== undefined && mayMore();) {
                    gateway.targets.recordSent(target);
                    sent += 1;
                }
            }
        }
        return sent;
    }

    /** The sum of the parts of a limit in requests a second that the target names. */
    sumOfLimitParts(limitPerSecond: number): number {
        return this.running.reduce((sum, { gateway }) => {
            const [target] = gateway.targets.eligible("engines");
            if (target === undefined) return sum;
            const report = { load: undefined, limitPerSecond, wrongTarget: false, isLeaving: false, pause: undefined };
            gateway.targets.recordReport(target, report);
            return sum + gateway.targets.limitPartOf(target);
        }, 0);
    }

    /** Sends requests to the new version as far as it may get them. Returns how many exceed its share of all requests. */
    sendToNewVersion(): number {
        const targets = ["v1", "v2"].map(
            version => ({ name: version, registration: { ...TARGET, version } }) as Target,
        );
        let beyondShare = 0;
        for (const { gateway } of this.running) {
            for (let request = 0; request < 60; request += 1) {
                const { rollouts } = gateway.context;
                const chosen = rollouts.allowed("engines", targets, () => targets).at(-1);
                if (chosen === undefined) continue;
                rollouts.recordSent(chosen);
                beyondShare += Number(chosen.registration.version === "v2") - ROLLOUTS.share;
            }
        }
        return beyondShare;
    }

    private tell(changed: string): void {
        const key = PREFIX + changed;
        const value = { name: changed, zone: "east", address: "127.0.0.1:1" };
        const object = { key, version: 1, value: JSON.stringify(value) };
        for (const { peers, isFollowing } of this.running) {
            if (isFollowing) peers.apply(this.registered.has(changed) ? { key, object } : { key });
        }
    }
}

function countInWindow(times: readonly number[], until: number): number {
    return times.filter(at => at > until - WINDOW_MS && at <= until).length;
}

function namesOf(count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => `gateway-${index}`);
}

/** A fleet that has run for long. */
function settledFleet(names: readonly string[], allowance: number, requestsPerStep: number): Fleet {
    const fleet = new Fleet(allowance, requestsPerStep);
    for (const name of names) fleet.start(name);
    fleet.run(2.5 * WINDOW_MS);
    return fleet;
}

interface Course {
    readonly course: string;
    readonly play: (fleet: Fleet, names: readonly string[]) => void;
}

const COURSES: readonly Course[] = [
    { course: "nothing happens", play: fleet => fleet.run(WINDOW_MS) },
    {
        course: "all stop and start again one after another",
        play: (fleet, names) => {
            for (const name of names) {
                fleet.stop(name);
                fleet.run(500);
                fleet.start(name);
                fleet.run(500);
            }
        },
    },
    {
        course: "all stop one after another and start again when the last one has stopped",
        play: (fleet, names) => {
            for (const name of names) {
                fleet.stop(name);
                fleet.run(750);
            }
            for (const name of names) {
                fleet.start(name);
                fleet.run(750);
            }
        },
    },
    {
        course: "each is stopped for a while, longer than a window apart",
        play: (fleet, names) => {
            for (const name of names.slice(0, 3)) {
                fleet.stop(name);
                fleet.run(1.2 * WINDOW_MS);
                fleet.start(name);
                fleet.run(1.2 * WINDOW_MS);
            }
        },
    },
    {
        course: "gateways go on with open requests after they have removed their registration",
        play: (fleet, names) => {
            names.slice(1).forEach(name => fleet.beginStop(name));
            fleet.run(STOP_GRACE_MS);
            names.slice(1).forEach(name => fleet.end(name));
            fleet.run(WINDOW_MS);
        },
    },
    {
        course: "all crash, stay registered and start again one after another",
        play: (fleet, names) => {
            names.forEach(name => fleet.end(name));
            for (const name of names) {
                fleet.start(name);
                fleet.run(500);
            }
        },
    },
    {
        course: "all but one leave for good one after another",
        play: (fleet, names) => {
            for (const name of names.slice(1)) {
                fleet.stop(name);
                fleet.run(500);
            }
            fleet.run(2 * WINDOW_MS);
        },
    },
    {
        course: "as many more start at once",
        play: (fleet, names) => {
            names.forEach(name => fleet.start(`new-${name}`));
            fleet.run(2 * WINDOW_MS);
        },
    },
    {
        course: "all are replaced by others of new names one after another",
        play: (fleet, names) => {
            for (const name of names) {
                fleet.start(`new-${name}`);
                fleet.run(500);
                fleet.stop(name);
                fleet.run(500);
            }
            fleet.run(2 * WINDOW_MS);
        },
    },
    {
        course: "the store is down while all stop and start again",
        play: (fleet, names) => {
            names.forEach(name => fleet.loseStore(name));
            for (const name of names) {
                fleet.end(name);
                fleet.run(250);
                fleet.start(name, false);
                fleet.run(250);
            }
            fleet.run(2 * WINDOW_MS);
            for (const name of names) {
                fleet.regainStore(name);
                fleet.run(250);
            }
            fleet.run(2 * WINDOW_MS);
        },
    },
    {
        course: "half of them do not see that others leave and come",
        play: (fleet, names) => {
            const [blind, seeing] = [
                names.filter((_, index) => index % 2 === 0),
                names.filter((_, index) => index % 2 > 0),
            ];
            blind.forEach(name => fleet.loseStore(name));
            for (const name of seeing) {
                fleet.stop(name);
                fleet.run(500);
            }
            for (const name of seeing) {
                fleet.start(name);
                fleet.run(500);
            }
            fleet.run(2 * WINDOW_MS);
            blind.forEach(name => fleet.regainStore(name));
            fleet.run(WINDOW_MS);
        },
    },
];

const FLEETS = [
    { gateways: 1, allowance: 20, requestsPerStep: 0 },
    { gateways: 3, allowance: 20, requestsPerStep: 2 },
    { gateways: 3, allowance: 50, requestsPerStep: 0 },
    { gateways: 8, allowance: 50, requestsPerStep: 1 },
    { gateways: 40, allowance: 20, requestsPerStep: 0 },
];

describe.each(FLEETS)(
    "the retries of $gateways gateways with an allowance of $allowance and $requestsPerStep requests at a time",
    ({ gateways, allowance, requestsPerStep }) => {
        it.each(COURSES)("are within the budget in each window when $course", ({ play }) => {
            const names = namesOf(gateways);
            const fleet = settledFleet(names, allowance, requestsPerStep);
            play(fleet, names);
            expect(fleet.most).toBeLessThanOrEqual(allowance);
        });
    },
);

describe("the retries of a process without requests", () => {
    it("are a few at once and its whole part after a window", () => {
        const fleet = settledFleet(namesOf(3), 50, 0);
        fleet.stop("gateway-0");
        vi.advanceTimersByTime(2 * WINDOW_MS);
        fleet.start("gateway-0");
        fleet.useAll();
        expect(fleet.recentRetries).toBe(23);
        vi.advanceTimersByTime(2 * WINDOW_MS);
        fleet.useAll();
        expect(fleet.recentRetries).toBe(30);
    });

    it("are at the chosen gateways if there are more gateways than retries", () => {
        const fleet = settledFleet(namesOf(40), 20, 0);
        expect(fleet.recentRetries).toBe(12);
    });
});

describe("the requests a second of all gateways together to one target", () => {
    it("stay within its cold rate when all gateways start again one after another", () => {
        const names = namesOf(5);
        const fleet = new Fleet(20, 0, LIMIT_PER_SECOND);
        names.forEach(name => fleet.start(name));
        names.forEach(name => fleet.stop(name));
        for (const name of names) {
            vi.advanceTimersByTime(500);
            fleet.start(name);
        }
        vi.advanceTimersByTime(1_000);
        // Bursts of the processes are over after the first seconds.
        fleet.sendToColdTarget(2_000);
        const sent = fleet.sendToColdTarget(4_000);
        expect(sent).toBeGreaterThan(2 * LIMIT_PER_SECOND);
        expect(sent).toBeLessThanOrEqual(4 * LIMIT_PER_SECOND);
    });

    it("stay within the limit that it names while gateways stop and go on with open requests", () => {
        const names = namesOf(5);
        const fleet = settledFleet(names, 20, 0);
        expect(fleet.sumOfLimitParts(LIMIT_PER_SECOND)).toBeCloseTo(LIMIT_PER_SECOND);
        for (const name of names.slice(1)) {
            fleet.beginStop(name);
            vi.advanceTimersByTime(1_000);
            expect(fleet.sumOfLimitParts(LIMIT_PER_SECOND)).toBeLessThanOrEqual(LIMIT_PER_SECOND + 0.01);
        }
        names.slice(1).forEach(name => fleet.end(name));
        vi.advanceTimersByTime(STOP_GRACE_MS + 1_000);
        expect(fleet.sumOfLimitParts(LIMIT_PER_SECOND)).toBeCloseTo(LIMIT_PER_SECOND);
    });
});

describe("the requests of all gateways together to a new version", () => {
    it.each([
        { course: "stop and start again one after another", areAllStopped: false },
        { course: "stop one after another before the first one starts again", areAllStopped: true },
    ])("stay within the allowance when gateways $course", ({ areAllStopped }) => {
        const names = namesOf(3);
        const fleet = settledFleet(names, 20, 0);
        fleet.orderRollout();
        let sent = fleet.sendToNewVersion();
        expect(sent).toBeGreaterThan(0);
        for (const name of names) {
            fleet.stop(name);
            sent += fleet.sendToNewVersion();
            if (areAllStopped) continue;
            fleet.start(name);
            sent += fleet.sendToNewVersion();
        }
        if (areAllStopped) {
            for (const name of names) {
                fleet.start(name);
                sent += fleet.sendToNewVersion();
            }
        }
        expect(sent).toBeLessThanOrEqual(ROLLOUTS.allowance);
    });
});
