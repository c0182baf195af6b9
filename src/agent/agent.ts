/**
 * An agent runs beside one target and makes the last admission decision before work reaches it.
 *
 * It serves the links of all entries through one gate and registers itself in the store. For non-idempotent services it
 * owns slots, whose runs go through the claim registry.
 */
import { type Configuration, ConfigurationHolder } from "../configuration/index.js";
import { Claims } from "../claims/index.js";
import {
    type HelloInit,
    type Link,
    type Listener,
    type Network,
    Role,
    type RunStage,
    type Withdraw,
} from "../link/index.js";
import { createIncarnation, refusedStage, type StageOutcome, type Target } from "../model/index.js";
import { pause } from "../model/pause.js";
import type { Metrics, StateLogger } from "../observability/index.js";
import type { AgentSettings } from "../settings/schema.js";
import type { Store } from "../store/index.js";
import type { Engine } from "./engine.js";
import { execute } from "./execution.js";
import { Gate, type GateLoad, type GateRequest, type Refusal } from "./gate.js";
import { Registration } from "./registration.js";
import { LONGEST_DEADLINE_MS, Session, type SessionHost, type StageAttempt, type WithdrawalAnswer } from "./session.js";

/** Time between two polls of the target's load, in milliseconds. */
const LOAD_POLL_INTERVAL_MS = 1_000;

/** Retry delay in refusals after which another target can be tried at once, in milliseconds. */
const OTHER_TARGET_RETRY_MS = 50;

/** Time between two checks whether a stopping agent has open attempts, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 10;

/** Settings and dependencies of an agent. */
export interface AgentOptions {
    readonly settings: AgentSettings;
    readonly network: Network;
    readonly store: Store;
    readonly engine: Engine;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
}

/** A running agent. */
export class Agent implements SessionHost {
    readonly incarnation = createIncarnation();
    readonly configurationHolder = ConfigurationHolder.create();
    private readonly gate: Gate;
    private readonly sessions = new Set<Session>();
    private readonly claims: Claims;
    private state: "running" | "leaving" | "closed" = "running";
    private openAttempts = 0;
    private pollTimer: NodeJS.Timeout | undefined;
    private loadCallPending = false;
    private listener: Listener | undefined;
    private registration: Registration | undefined;

    private constructor(private readonly options: AgentOptions) {
        const { settings, logger, metrics, store } = options;
        this.gate = Gate.create({ maximumQueued: settings.maximumQueued, logger, metrics });
        this.claims = Claims.create({
            store,
            service: settings.service,
            target: settings.name,
            incarnation: this.incarnation,
            logger,
            metrics,
        });
        this.configurationHolder.subscribe(configuration => {
            this.configure(configuration);
        });
    }

    /** Starts an agent that accepts links. Throws when its address cannot be used. */
    static async start(options: AgentOptions): Promise<Agent> {
        const agent = new Agent(options);
        await agent.listen();
        return agent;
    }

    /** Address (host:port) at which links are accepted. */
    get address(): string {
        return this.listener?.address ?? this.options.settings.linkAddress;
    }

    get service(): string {
        return this.options.settings.service;
    }

    get logger(): StateLogger {
        return this.options.logger;
    }

    get metrics(): Metrics {
        return this.options.metrics;
    }

    /** State of the agent's gate. */
    load(): GateLoad {
        return this.gate.load;
    }

    /** Numbers of the slots that this agent owns now. */
    get ownedSlots(): readonly number[] {
        return this.claims.ownedSlots;
    }

    /** Runs one attempt. A refusal means that nothing was run at the target. */
    async runStage(attempt: StageAttempt): Promise<StageOutcome> {
        this.openAttempts += 1;
        try {
            return attempt.message.idempotent
                ? await this.runIdempotent(attempt)
                : await this.runNonIdempotent(attempt);
        } finally {
            this.openAttempts -= 1;
        }
    }

    /** Answers a withdrawal. */
    withdraw(query: Withdraw): WithdrawalAnswer {
        return this.claims.withdraw(query);
    }

    /** Planned stop: refuses new work, finishes running work, releases the slots and closes the links. */
    async stop(): Promise<void> {
        if (this.state !== "running") return;
        this.state = "leaving";
        for (const session of this.sessions) session.sendLeaving("the agent stops");
        this.gate.refuseWaiting("leaving", "the agent stops");
        await this.drain();
        await this.claims.stop();
        await this.registration?.deregister();
        this.close("the agent stopped");
        await this.listener?.close();
    }

    /** Ends the agent abruptly, as a crash of its process would: nothing is flushed or released. */
    kill(): void {
        this.claims.kill();
        this.gate.kill();
        this.registration?.stop();
        this.close("the agent ended");
        void this.listener?.close();
    }

    private async listen(): Promise<void> {
        const { settings, network, store, logger } = this.options;
        this.listener = await network.listen(
            settings.linkAddress,
            () => this.hello(),
            link => {
                this.accept(link);
            },
        );
        this.registration = Registration.start(store, this.target(), logger);
        this.pollTimer = setInterval(() => void this.pollLoad(), LOAD_POLL_INTERVAL_MS);
        void this.pollLoad();
    }

    private hello(): HelloInit {
        const { name, zone, vm, service, version } = this.options.settings;
        return {
            role: Role.AGENT,
            name,
            zone,
            vm,
            service,
            version,
            incarnation: this.incarnation,
            address: this.address,
            configurationVersion: this.configurationHolder.current.version,
        };
    }

    private target(): Target {
        const { name, service, version, zone, vm } = this.options.settings;
        return { name, service, version, zone, vm, address: this.address, incarnation: this.incarnation };
    }

    private accept(link: Link): void {
        if (link.peer.role !== Role.ENTRY || this.state === "closed") {
            link.close("only entries may open links to an agent");
            return;
        }
        const session = Session.start(link, this);
        this.sessions.add(session);
        if (this.state === "leaving") session.sendLeaving("the agent stops");
        void session.closed.then(() => this.sessions.delete(session));
    }

    private configure(configuration: Configuration): void {
        const service = configuration.find("service", this.service);
        if (service !== undefined) this.gate.setLimits({ warm: service.concurrency, cold: service.coldConcurrency });
        const inService = configuration.zoneInService(this.options.settings.zone);
        if (!inService) this.gate.refuseWaiting("zoneOut", "the zone is out of service");
        this.claims.configure(service, inService);
    }

    private refusalOfNewWork(): Refusal | undefined {
        if (this.state !== "running") return refusedStage("leaving", "the agent stops", OTHER_TARGET_RETRY_MS);
        if (!this.configurationHolder.current.zoneInService(this.options.settings.zone)) {
            return refusedStage("zoneOut", "the zone is out of service", OTHER_TARGET_RETRY_MS);
        }
        return undefined;
    }

    private async runIdempotent(attempt: StageAttempt): Promise<StageOutcome> {
        return this.refusalOfNewWork() ?? (await this.runAtTarget(attempt));
    }

    /** Runs a non-idempotent stage. Stored results are returned even while new work is refused. */
    private async runNonIdempotent(attempt: StageAttempt): Promise<StageOutcome> {
        return await this.claims.run(attempt.message, attempt.deadline, {
            refusal: () => this.refusalOfNewWork() ?? this.gate.refusal(gateRequest(attempt)),
            run: () => this.runAtTarget(attempt),
        });
    }

    private async runAtTarget(attempt: StageAttempt): Promise<StageOutcome> {
        const { message, deadline, listener } = attempt;
        return await this.gate.run(gateRequest(attempt), run =>
            execute(
                {
                    engine: this.options.engine,
                    request: {
                        id: attempt.id,
                        operation: message.operation,
                        input: message.payload,
                        maximumTokens: message.maximumTokens,
                        priority: message.priority,
                        prefixHash: message.prefixHash,
                        resumeAfter: message.resumeAfter,
                        streaming: message.streaming,
                        idempotencyKey: message.idempotent ? "" : targetIdempotencyKey(message),
                    },
                    idempotent: message.idempotent,
                    deadline,
                    listener,
                },
                run,
            ),
        );
    }

    private async pollLoad(): Promise<void> {
        if (this.loadCallPending) return;
        this.loadCallPending = true;
        try {
            const load = await this.options.engine.load();
            if (load !== undefined) this.gate.observeLoad(load);
        } catch {
            this.metrics.increment("agent.loadUnreadable");
        } finally {
            this.loadCallPending = false;
        }
    }

    /** Waits until no attempt is open, but no longer than the longest deadline. */
    private async drain(): Promise<void> {
        const drainUntil = performance.now() + LONGEST_DEADLINE_MS;
        while (this.openAttempts > 0 && performance.now() < drainUntil) {
            await pause(DRAIN_CHECK_INTERVAL_MS);
        }
        if (this.openAttempts > 0) this.logger.warn("the stop abandons attempts", { attempts: this.openAttempts });
    }

    private close(reason: string): void {
        this.state = "closed";
        clearInterval(this.pollTimer);
        for (const session of this.sessions) session.close(reason);
        this.sessions.clear();
    }
}

/**
 * The idempotency key that is sent to the target. A caller's key is unique only within its account: without the account
 * in it, a target that recognises keys would answer one account with another's result. Account and stage names contain
 * no slash, so the combination is unambiguous.
 */
function targetIdempotencyKey({ account, idempotencyKey, stage }: RunStage): string {
    return `${account}/${idempotencyKey}/${stage}`;
}

/** The gate request of an attempt. The run of a non-idempotent stage continues when its link closes. */
function gateRequest(attempt: StageAttempt): GateRequest {
    const { message, deadline, signal } = attempt;
    return {
        operation: message.operation,
        priority: message.priority,
        deadline,
        cancellable: message.idempotent,
        signal: message.idempotent ? signal : new AbortController().signal,
    };
}
