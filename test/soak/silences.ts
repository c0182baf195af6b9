/**
 * Silences of targets and connections. A sound target may be silent for a second or so and then go on; nothing is lost,
 * and its silences do not run into each other. Other targets stay silent for good.
 */
import { pause } from "../processes/daemons.js";
import { pick } from "./callers.js";
import type { SoakDeployment, SoakTarget } from "./deployment.js";
import type { FaultTable } from "./faults.js";
import type { FaultProxy } from "./proxy.js";

/** Duration of a silence in milliseconds: at least, and longer by at most. */
const SHORTEST_SILENCE_MS = 1_000;
const SILENCE_SPREAD_MS = 500;

/** Shortest time in milliseconds between two silences of a target or a gateway. */
const BETWEEN_SILENCES_MS = 400;

/** Silences of one series, and the longest additional time in milliseconds between them. */
const SILENCES_OF_SERIES = 3;
const SERIES_SPREAD_MS = 600;

/** Fraction of the connections that are silent when not all are. */
const SILENT_CONNECTIONS = 0.5;

/** Services of stages, and durations in milliseconds: of calls, of calls while they are slow, and of the slowness. */
const STAGES = ["encode", "rank"] as const;
const USUAL_CALL_MS = 20;
const SHORTEST_CALL_MS = 700;
const CALL_SPREAD_MS = 800;
const SLOW_STAGE_MS = 3_000;

/** Fraction of a service's targets to which the same happens at the same time. */
const SEVERAL = 2 / 3;

/** Services whose targets may decline all requests, and the shortest and additional time in milliseconds of that. */
const DECLINING = ["bookings", "engines"] as const;
const SHORTEST_FULL_MS = 800;
const FULL_SPREAD_MS = 1_200;

/** Ways in which a target falls silent: by itself, or because its connections or some of them pass nothing. */
const WAYS = ["standIn", "link", "connections"] as const;

/** Silences of a deployment, and when nothing passed to targets. */
export class SoakSilences {
    readonly heldLinks: { readonly target: string; readonly from: number; until: number }[] = [];
    private readonly silentUntil = new Map<string, number>();
    private readonly darkServices = new Set<string>();

    private constructor(private readonly deployment: SoakDeployment) {}

    static create(deployment: SoakDeployment): SoakSilences {
        return new SoakSilences(deployment);
    }

    /** Silences after which everything goes on, and targets that decline requests for a while. */
    silences(): FaultTable {
        return {
            silentTarget: random => this.silence(random, this.anyTarget(random)),
            silentTargets: async random => {
                const { service } = this.anyTarget(random);
                const chosen = this.targetsOf(service).filter(() => random() < SEVERAL);
                await Promise.all(chosen.map(target => this.silence(random, target)));
            },
            silentSeries: async random => {
                const target = this.anyTarget(random);
                for (let count = 0; count < SILENCES_OF_SERIES; count += 1) {
                    await this.silence(random, target);
                    await pause(BETWEEN_SILENCES_MS + random() * SERIES_SPREAD_MS);
                }
            },
            silentPeer: async random => {
                const { name, peerProxy } = pick(random, this.deployment.gateways);
                await this.whileFree(name, random, milliseconds =>
                    this.hold(peerProxy, random() < SILENT_CONNECTIONS, random, milliseconds),
                );
            },
            slowStage: async random => {
                const service = pick(random, STAGES);
                const targets = this.targetsOf(service);
                for (const { standIn } of targets) standIn.callMs = SHORTEST_CALL_MS + random() * CALL_SPREAD_MS;
                await pause(SLOW_STAGE_MS);
                for (const { standIn } of targets) standIn.callMs = USUAL_CALL_MS;
            },
            fullTargets: random => {
                const service = pick(random, DECLINING);
                return this.fill(
                    random,
                    this.targetsOf(service).filter(() => random() < SEVERAL),
                );
            },
            silentBesideFull: async random => {
                const targets = this.targetsOf("engines");
                const silent = pick(random, targets);
                const others = targets.filter(target => target !== silent);
                await Promise.all([this.silence(random, silent), this.fill(random, others)]);
            },
        };
    }

    /** Silences that do not end: of at most one target of each service. */
    darkness(): FaultTable {
        return {
            darkTarget: random => {
                const target = this.anyTarget(random);
                if (this.darkServices.has(target.service)) return Promise.resolve();
                this.darkServices.add(target.service);
                target.isDark = true;
                const way = pick(random, WAYS);
                if (way === "standIn") target.standIn.fallSilent();
                else this.holdLink(target, true, random);
                return Promise.resolve();
            },
        };
    }

    private targetsOf(service: string): readonly SoakTarget[] {
        return [...this.deployment.targets.values()].filter(each => each.service === service && !each.isDark);
    }

    /** Lets targets decline all requests for a time. */
    private async fill(random: () => number, targets: readonly SoakTarget[]): Promise<void> {
        for (const target of targets) target.isFull = true;
        await pause(SHORTEST_FULL_MS + random() * FULL_SPREAD_MS);
        for (const target of targets) target.isFull = false;
    }

    private anyTarget(random: () => number): SoakTarget {
        return pick(
            random,
            [...this.deployment.targets.values()].filter(({ isDark }) => !isDark),
        );
    }

    private silence(random: () => number, target: SoakTarget): Promise<void> {
        const way = pick(random, WAYS);
        return this.whileFree(target.id, random, async milliseconds => {
            if (way === "standIn") {
                target.standIn.fallSilent(milliseconds);
                return pause(milliseconds);
            }
            const release = this.holdLink(target, way === "link", random);
            await pause(milliseconds);
            release();
        });
    }

    /** Runs a silence of something that is not silent and was not just before. */
    private async whileFree(
        name: string,
        random: () => number,
        silence: (milliseconds: number) => Promise<void>,
    ): Promise<void> {
        const milliseconds = SHORTEST_SILENCE_MS + random() * SILENCE_SPREAD_MS;
        const now = performance.now();
        if (now < (this.silentUntil.get(name) ?? 0)) return;
        this.silentUntil.set(name, now + milliseconds + BETWEEN_SILENCES_MS);
        await silence(milliseconds);
    }

    private holdLink(target: SoakTarget, holdsAll: boolean, random: () => number): () => void {
        const held = { target: target.id, from: performance.now(), until: Number.POSITIVE_INFINITY };
        this.heldLinks.push(held);
        const release = target.proxy.hold(() => holdsAll || random() < SILENT_CONNECTIONS, holdsAll);
        return () => {
            held.until = performance.now();
            release();
        };
    }

    private async hold(
        proxy: FaultProxy,
        holdsAll: boolean,
        random: () => number,
        milliseconds: number,
    ): Promise<void> {
        const release = proxy.hold(() => holdsAll || random() < SILENT_CONNECTIONS, holdsAll);
        await pause(milliseconds);
        release();
    }
}
