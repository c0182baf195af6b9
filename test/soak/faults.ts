/** Planned work on a deployment, and faults of its processes and connections. */
import { pause } from "../processes/daemons.js";
import { pick } from "./callers.js";
import type { RunningGateway, SoakDeployment } from "./deployment.js";
import type { FaultProxy, ProxyMode } from "./proxy.js";

/** Causes one fault and resolves when it is over; others may begin meanwhile. */
export type Fault = (random: () => number) => Promise<void>;

/** Faults by kind. */
export type FaultTable = Readonly<Record<string, Fault>>;

/** Time in milliseconds from the removal of a target's registration to its end. */
const REMOVED_TARGET_MS = 1_000;

/** Faults of a deployment, and when they happened. */
export class SoakFaults {
    /** Times at which a gateway or its way to the store was disturbed, and until when. */
    readonly disturbances: { readonly from: number; until: number }[] = [];
    readonly stops: { readonly incarnation: string; readonly at: number }[] = [];
    /** Number of faults by kind. */
    readonly counts: Record<string, number> = {};

    private constructor(private readonly deployment: SoakDeployment) {}

    static create(deployment: SoakDeployment): SoakFaults {
        return new SoakFaults(deployment);
    }

    /** Causes one of the faults. */
    async cause(table: FaultTable, random: () => number): Promise<void> {
        const kind = pick(random, Object.keys(table));
        this.count(kind);
        await table[kind]?.(random);
    }

    count(kind: string): void {
        this.counts[kind] = (this.counts[kind] ?? 0) + 1;
    }

    /** Crashes, pauses, and faults of connections, beside planned work. A seed's series depends on their order. */
    disruptions(): FaultTable {
        const { deployment } = this;
        return {
            pause: random => this.disturbGateway(random, gateway => this.pauseProcess(random, gateway)),
            kill: random => this.disturbGateway(random, gateway => this.restart(random, gateway, "SIGKILL")),
            stop: random => this.disturbGateway(random, gateway => this.restart(random, gateway, "SIGTERM")),
            reload: random => this.reload(random),
            store: random =>
                this.disturb(() => this.troubleProxy(random, pick(random, deployment.gateways).storeProxy)),
            storeForAll: random => this.disturb(() => this.troubleStore(random)),
            target: random => this.troubleProxy(random, pick(random, deployment.targetProxies)),
            reset: random => Promise.resolve(pick(random, deployment.targetProxies).reset()),
            configuration: () => Promise.resolve(deployment.changeConfiguration()),
            drain: () => this.replaceTarget("bookings", 4_000),
            history: () => Promise.resolve(deployment.platform.compact()),
        };
    }

    /** Planned work alone. Drained targets of all kinds stay for `drainMs`. */
    plannedWork(drainMs: number): FaultTable {
        const { deployment } = this;
        return {
            stop: random => this.withGateway(random, gateway => this.restart(random, gateway, "SIGTERM")),
            reload: random => this.reload(random),
            configuration: () => Promise.resolve(deployment.changeConfiguration()),
            drain: random => this.replaceTarget(pick(random, [...deployment.targets.values()]).service, drainMs),
        };
    }

    private reload(random: () => number): Promise<void> {
        return Promise.resolve(pick(random, this.deployment.gateways).daemon.signal("SIGHUP"));
    }

    private disturbGateway(random: () => number, fault: (gateway: RunningGateway) => Promise<void>): Promise<void> {
        return this.withGateway(random, gateway => this.disturb(() => fault(gateway)));
    }

    /** Runs a fault on a gateway that no other fault restarts or pauses at the moment. */
    private async withGateway(random: () => number, fault: (gateway: RunningGateway) => Promise<void>): Promise<void> {
        const gateway = pick(random, this.deployment.gateways);
        if (gateway.isChanging) return;
        gateway.isChanging = true;
        await fault(gateway);
        gateway.isChanging = false;
    }

    private async disturb(fault: () => Promise<void>): Promise<void> {
        const disturbance = { from: performance.now(), until: Number.POSITIVE_INFINITY };
        this.disturbances.push(disturbance);
        await fault();
        disturbance.until = performance.now();
    }

    private async pauseProcess(random: () => number, { daemon }: RunningGateway): Promise<void> {
        daemon.signal("SIGSTOP");
        await pause(200 + random() * 2_800);
        daemon.signal("SIGCONT");
    }

    private async restart(random: () => number, gateway: RunningGateway, signal: NodeJS.Signals): Promise<void> {
        if (signal === "SIGTERM") {
            this.stops.push({ incarnation: `${gateway.name} start ${gateway.starts}`, at: performance.now() });
        }
        gateway.daemon.signal(signal);
        await gateway.daemon.ended;
        await pause(random() * 500);
        for (;;) {
            const error = await this.deployment.startAgain(gateway);
            if (error === undefined) return;
            // Until the process has installed its handler, a signal to reload ends it; it is then started again.
            const end = await Promise.race([gateway.daemon.ended, pause(0)]);
            if (end?.signal !== "SIGHUP") throw error;
            this.count("reloadAtStart");
        }
    }

    private async troubleProxy(random: () => number, proxy: FaultProxy): Promise<void> {
        const modes: readonly ProxyMode[] = ["slow", "silent", "oneWay", "refuse"];
        proxy.mode = pick(random, modes);
        if (proxy.mode === "refuse") proxy.reset();
        await pause(300 + random() * 2_500);
        proxy.mode = "pass";
        // Connections that lost bytes are of no use to either end.
        proxy.reset();
    }

    private async troubleStore(random: () => number): Promise<void> {
        const { platform } = this.deployment;
        const fault = pick(random, ["down", "silent", "loseWriteAnswers"] as const);
        platform[fault] = true;
        await pause(300 + random() * 2_500);
        platform[fault] = false;
        platform.cutConnections();
    }

    /** Drains the oldest target of a service, removes it after a time, and starts another one. */
    private async replaceTarget(service: string, drainMs: number): Promise<void> {
        const { deployment } = this;
        const target = [...deployment.targets.values()].find(each => each.service === service && !each.isDark);
        if (target === undefined) return;
        deployment.targets.delete(target.id);
        deployment.register(target, "draining");
        deployment.drained.push({ target: target.id, at: performance.now() });
        await deployment.addTarget(service, deployment.drained.length + 10);
        await pause(drainMs);
        deployment.platform.remove("servers", target.id);
        await pause(REMOVED_TARGET_MS);
        target.standIn.close();
    }
}
