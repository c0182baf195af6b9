/**
 * The process beside one target: the last admission point before it.
 *
 * The agent serves the links of all entries with one gate, announces itself in the store, and for non-idempotent
 * services owns slots, whose runs go through the claim registry.
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

/** Time between two load reports of the target, in milliseconds. */
const LOAD_POLL_MS = 1_000;

/** Retry time of refusals that another target can avoid, in milliseconds. */
const ELSEWHERE_RETRY_MS = 50;

/** Time between two checks whether a stopping agent has finished its work, in milliseconds. */
const DRAIN_CHECK_MS = 10;

/** What an agent is made of. */
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
    private attempts = 0;
    private pollTimer: NodeJS.Timeout | undefined;
    private polling = false;
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

    /** State of the gate. */
    load(): GateLoad {
        return this.gate.load;
    }

    /** Numbers of the slots that this agent owns now. */
    get ownedSlots(): readonly number[] {
        return this.claims.ownedSlots;
    }

    /** Runs one attempt, or refuses it before anything is sent to the target. */
    async runStage(attempt: StageAttempt): Promise<StageOutcome> {
        this.attempts += 1;
        try {
            return attempt.message.idempotent ? await this.runIdempotent(attempt) : await this.runOnce(attempt);
        } finally {
            this.attempts -= 1;
        }
    }

    /** Answers a withdrawal. */
    withdraw(query: Withdraw): WithdrawalAnswer {
        return this.claims.withdraw(query);
    }

    /** Planned stop: no new work, running work is finished, slots are released, links close. */
    async stop(): Promise<void> {
        if (this.state !== "running") return;
        this.state = "leaving";
        for (const session of this.sessions) session.sendLeaving("the agent stops");
        this.gate.refuseWaiting("leaving", "the agent stops");
        await this.drain();
        await this.claims.stop();
        await this.registration?.remove();
        this.close("the agent stopped");
        await this.listener?.close();
    }

    /** Ends the agent abruptly, as the death of its process would: nothing is flushed or released. */
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
        this.pollTimer = setInterval(() => void this.pollLoad(), LOAD_POLL_MS);
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
        const inService = configuration.isZoneInService(this.options.settings.zone);
        if (!inService) this.gate.refuseWaiting("zoneOut", "the zone is out of service");
        this.claims.configure(service, inService);
    }

    private refusal(): Refusal | undefined {
        if (this.state !== "running") return refusedStage("leaving", "the agent stops", ELSEWHERE_RETRY_MS);
        if (!this.configurationHolder.current.isZoneInService(this.options.settings.zone)) {
            return refusedStage("zoneOut", "the zone is out of service", ELSEWHERE_RETRY_MS);
        }
        return undefined;
    }

    private async runIdempotent(attempt: StageAttempt): Promise<StageOutcome> {
        return this.refusal() ?? (await this.runAtTarget(attempt));
    }

    /** Runs a non-idempotent stage. Known results are answered even when new work is refused. */
    private async runOnce(attempt: StageAttempt): Promise<StageOutcome> {
        return await this.claims.run(attempt.message, attempt.deadline, {
            refusal: () => this.refusal() ?? this.gate.refusal(gateRequest(attempt)),
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
                        idempotencyKey: message.idempotent ? "" : targetKey(message),
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
        if (this.polling) return;
        this.polling = true;
        try {
            const load = await this.options.engine.load();
            if (load !== undefined) this.gate.observeLoad(load);
        } catch {
            this.metrics.increment("agent.loadUnreadable");
        } finally {
            this.polling = false;
        }
    }

    /** Waits until no attempt is open, at most for the longest deadline. */
    private async drain(): Promise<void> {
        const end = performance.now() + LONGEST_DEADLINE_MS;
        while (this.attempts > 0 && performance.now() < end) {
            await pause(DRAIN_CHECK_MS);
        }
        if (this.attempts > 0) this.logger.warn("work is cut off by the end of the stop", { attempts: this.attempts });
    }

    private close(reason: string): void {
        this.state = "closed";
        clearInterval(this.pollTimer);
        for (const session of this.sessions) session.close(reason);
        this.sessions.clear();
    }
}

/**
 * The key under which a target knows a run. Callers' keys are unique for their account only, so a target that
 * recognises keys would answer one account with another's result otherwise. Names hold no slash.
 */
function targetKey({ account, idempotencyKey, stage }: RunStage): string {
    return `${account}/${idempotencyKey}/${stage}`;
}

/** The admission that an attempt asks for. The run of a non-idempotent stage is not tied to its link. */
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
