/**
 * The link to one target's agent, which one task keeps open, with the pending attempts and withdrawals on it.
 *
 * Answers are matched by attempt number and link. When the link closes, every open attempt on it is lost; the next link
 * to the agent starts with none.
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { ConfigurationHolder } from "../configuration/index.js";
import {
    type HelloInit,
    type Link,
    type LinkBody,
    type Load,
    type Network,
    Role,
    type RunStageSchema,
    Withdrawn_State,
    type Withdrawn,
    type WithdrawSchema,
} from "../link/index.js";
import type { Target } from "../model/index.js";
import { startTimeout } from "../model/timeout.js";
import type { Metrics, StateLogger } from "../observability/index.js";
import { type Candidate, Silence, type SilenceEvidence } from "../routing/index.js";
import { decodeOutcome } from "./answer.js";
import { Attempt, type AttemptLimits } from "./attempt.js";
import { Backoff } from "./backoff.js";
import { ConfigurationExchange } from "./exchange.js";

/** An attempt's message without its number. */
export type StageMessage = Omit<MessageInitShape<typeof RunStageSchema>, "attempt" | "$typeName">;

/** A withdrawal's message without its number. */
export type WithdrawMessage = Omit<MessageInitShape<typeof WithdrawSchema>, "query" | "$typeName">;

/** Agents report load at least every 4.4 s on an idle link; without any message for this time the link is closed. */
const LINK_TIMEOUT_MS = 10_000;

/** Dependencies of the links to targets. */
export interface TargetLinkContext {
    readonly network: Network;
    readonly holder: ConfigurationHolder;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
    readonly hello: () => HelloInit;
    /** Concurrency limit of a cold target of a service. */
    readonly coldLimit: (service: string) => number;
    /** Next number of an attempt or withdrawal; unique in this entry incarnation. */
    readonly nextMessageNumber: () => number;
    /** Called when a link closes, before the open attempts on it end as lost. */
    readonly onDisconnected: (target: TargetLink, incarnation: string, open: readonly Attempt[]) => void;
    /** Called when a link opens. */
    readonly onConnected: (target: TargetLink, incarnation: string) => void;
}

interface Connection {
    readonly link: Link;
    readonly exchange: ConfigurationExchange;
    readonly attempts: Map<number, Attempt>;
    readonly pendingWithdrawals: Map<number, (answer: Withdrawn | undefined) => void>;
    leaving: boolean;
    load: Load | undefined;
    loadReceivedAt: number;
    outstandingAtReport: number;
    lastMessageAt: number;
    /** When the target last answered an attempt other than by a refusal. */
    lastAnswerAt: number;
    /** Ended by tokens and results only: a target that accepts work and finishes none is silent as well. */
    readonly silence: Silence;
    sendsLoadReports: boolean;
}

/** A target with this entry's link to its agent. */
export class TargetLink implements Candidate {
    private connection: Connection | undefined;
    private readonly backoff = Backoff.create();
    private stopped = false;
    private lastPeerVersion = 0;
    private lastIncarnation = "";

    private constructor(
        private target: Target,
        private readonly context: TargetLinkContext,
    ) {}

    /** Starts the task that keeps the link open. */
    static start(target: Target, context: TargetLinkContext): TargetLink {
        const created = new TargetLink(target, context);
        void created.keepConnected();
        return created;
    }

    get name(): string {
        return this.target.name;
    }

    get service(): string {
        return this.target.service;
    }

    /** From the agent's hello when linked, otherwise from the directory. */
    get zone(): string {
        return this.connection?.link.peer.zone || this.target.zone;
    }

    get version(): string {
        return this.connection?.link.peer.version || this.target.version;
    }

    /** Incarnation of the agent at the other end of the open link; undefined without one. */
    get incarnation(): string | undefined {
        return this.connection?.link.peer.incarnation;
    }

    get connected(): boolean {
        return this.connection !== undefined;
    }

    /** Whether the agent has announced that it stops. */
    get leaving(): boolean {
        return this.connection?.leaving === true;
    }

    get outstanding(): number {
        return this.connection?.attempts.size ?? 0;
    }

    get reported(): number {
        const load = this.connection?.load;
        return load === undefined ? 0 : load.running + load.queued;
    }

    get outstandingAtReport(): number {
        return this.connection?.outstandingAtReport ?? 0;
    }

    get reportAge(): number {
        return this.connection === undefined ? 0 : performance.now() - this.connection.loadReceivedAt;
    }

    get limit(): number {
        return this.connection?.load?.limit ?? this.context.coldLimit(this.target.service);
    }

    get cold(): boolean {
        return this.connection?.load?.cold ?? true;
    }

    /** Incarnation and configuration version that the agent last reported. */
    get process(): { readonly name: string; readonly incarnation: string; readonly version: number } {
        const version = this.connection?.exchange.peerVersion ?? this.lastPeerVersion;
        return { name: this.name, incarnation: this.incarnation ?? this.lastIncarnation, version };
    }

    /** Whether the content of an open attempt matches. */
    hasAttemptWithContent(matches: (fingerprint: string) => boolean): boolean {
        return [...(this.connection?.attempts.values() ?? [])].some(attempt => matches(attempt.fingerprint));
    }

    /**
     * Records that an attempt on the open link has received nothing for a time, in milliseconds. Returns undefined if the
     * target has sent tokens or results of other attempts meanwhile.
     */
    recordSilent(milliseconds: number): SilenceEvidence | undefined {
        const evidence = this.connection?.silence.record(performance.now() - milliseconds);
        if (evidence?.isNew === true) this.context.logger.info(`target ${this.name} is silent`, { milliseconds });
        return evidence;
    }

    /**
     * Records that an attempt was left which had received nothing for a time, in milliseconds. Returns whether that is a
     * failed answer of the target's version.
     */
    recordLeft(milliseconds: number): boolean {
        return this.connection?.silence.recordLeft(performance.now() - milliseconds) ?? true;
    }

    /** Whether the target is to get an attempt that another one can run; one that was silent is probed by single attempts. */
    allowsRequest(canMove: boolean): boolean {
        return this.connection?.silence.allowsRequest(this.outstanding, canMove) ?? true;
    }

    /** Updates the target from the directory. A new address is used from the next connection attempt. */
    updateTarget(target: Target): void {
        if (target.incarnation !== this.target.incarnation) this.backoff.reset();
        this.target = target;
    }

    /** Sends an attempt. Returns undefined when there is no open link and nothing was sent. */
    startAttempt(stage: StageMessage, limits: AttemptLimits): Attempt | undefined {
        const connection = this.connection;
        if (connection === undefined) return undefined;
        const number = this.context.nextMessageNumber();
        const sent = connection.link.send({ case: "runStage", value: { ...stage, attempt: number } });
        if (!sent) return undefined;
        const { fingerprint = "", stage: stageName = "" } = stage;
        const attempt = Attempt.start(number, fingerprint, stageName, limits, () => connection.lastAnswerAt);
        connection.attempts.set(number, attempt);
        void attempt.outcome.then(() => {
            connection.attempts.delete(number);
            if (attempt.mayStillRun && stage.idempotent === true) {
                connection.link.send({ case: "cancelStage", value: { attempt: number } });
            }
        });
        return attempt;
    }

    /** Asks the agent to withdraw a key. Returns undefined when no answer arrives in time. */
    async withdraw(request: WithdrawMessage, milliseconds: number): Promise<Withdrawn | undefined> {
        const connection = this.connection;
        if (connection === undefined) return undefined;
        const query = this.context.nextMessageNumber();
        const answer = new Promise<Withdrawn | undefined>(resolve => {
            connection.pendingWithdrawals.set(query, resolve);
        });
        const cancelTimeout = startTimeout(() => connection.pendingWithdrawals.get(query)?.(undefined), milliseconds);
        if (!connection.link.send({ case: "withdraw", value: { ...request, query } })) {
            connection.pendingWithdrawals.get(query)?.(undefined);
        }
        const state = await answer;
        cancelTimeout();
        connection.pendingWithdrawals.delete(query);
        return state?.state === Withdrawn_State.UNSPECIFIED ? undefined : state;
    }

    /** Sends the newest configuration to the agent. */
    configurationChanged(): void {
        this.connection?.exchange.sendNewer();
    }

    /** Resends configuration and closes an inactive link; called about once a second. */
    maintain(): void {
        const connection = this.connection;
        if (connection === undefined) return;
        connection.exchange.resendUnacknowledged();
        const idleMs = performance.now() - connection.lastMessageAt;
        if (connection.sendsLoadReports && idleMs > LINK_TIMEOUT_MS) connection.link.close("no message for too long");
    }

    /** Tells the agent that this entry stops. */
    announceLeaving(reason: string): void {
        this.connection?.link.send({ case: "leaving", value: { reason } });
    }

    /** Stops reconnecting and closes the link. */
    stop(reason: string): void {
        this.stopped = true;
        this.backoff.stop();
        this.connection?.link.close(reason);
    }

    private async keepConnected(): Promise<void> {
        while (!this.isStopped()) {
            const outcome = await this.context.network.connect(this.target.address, this.context.hello());
            if (outcome.kind === "connected") await this.serve(outcome.link);
            if (this.isStopped()) return;
            await this.backoff.wait();
        }
    }

    /** Reads one link until it closes. */
    private async serve(link: Link): Promise<void> {
        const { role, name, service } = link.peer;
        if (this.isStopped() || role !== Role.AGENT || name !== this.name || service !== this.service) {
            link.close("not the expected agent");
            return;
        }
        const connection = this.registerLink(link);
        const openedAt = performance.now();
        try {
            for await (const body of link.messages) this.receive(connection, body);
        } catch (error) {
            this.context.logger.error(`link to ${this.name} failed`, error);
            link.close("message could not be handled");
        }
        this.unregisterLink(connection, await link.closed);
        this.backoff.linkClosed(performance.now() - openedAt);
    }

    private registerLink(link: Link): Connection {
        const connection: Connection = {
            link,
            exchange: ConfigurationExchange.start(this.context.holder, link),
            attempts: new Map(),
            pendingWithdrawals: new Map(),
            leaving: false,
            load: undefined,
            loadReceivedAt: performance.now(),
            outstandingAtReport: 0,
            lastMessageAt: performance.now(),
            lastAnswerAt: Number.NEGATIVE_INFINITY,
            silence: Silence.create(),
            sendsLoadReports: false,
        };
        this.connection = connection;
        this.lastIncarnation = link.peer.incarnation;
        this.context.onConnected(this, link.peer.incarnation);
        return connection;
    }

    private unregisterLink(connection: Connection, reason: string): void {
        this.connection = undefined;
        this.lastPeerVersion = connection.exchange.peerVersion;
        const open = [...connection.attempts.values()];
        if (!this.isStopped()) this.context.logger.info(`link to ${this.name} closed: ${reason}`);
        this.context.onDisconnected(this, connection.link.peer.incarnation, open);
        for (const attempt of open) attempt.end({ kind: "lost", message: `link to ${this.name} closed: ${reason}` });
        for (const resolve of connection.pendingWithdrawals.values()) resolve(undefined);
    }

    private receive(connection: Connection, body: LinkBody): void {
        connection.lastMessageAt = performance.now();
        switch (body.case) {
            case "stageAccepted":
                connection.lastAnswerAt = connection.lastMessageAt;
                this.findOpenAttempt(connection, body.value.attempt)?.recordAcceptance();
                break;
            case "stageTokens":
                this.recordAnswer(connection);
                this.findOpenAttempt(connection, body.value.attempt)?.receiveTokens(
                    body.value.firstIndex,
                    body.value.tokens,
                );
                break;
            case "stageResult":
                if (body.value.outcome.case === "completed") this.recordAnswer(connection);
                this.findOpenAttempt(connection, body.value.attempt)?.end(decodeOutcome(body.value));
                connection.attempts.delete(body.value.attempt);
                this.recordLoad(connection, body.value.load, connection.attempts.size);
                break;
            case "withdrawn":
                connection.pendingWithdrawals.get(body.value.query)?.(body.value);
                break;
            case "loadReport":
                connection.sendsLoadReports = true;
                connection.exchange.recordPeerVersion(body.value.configurationVersion);
                this.recordLoad(connection, body.value.load, connection.attempts.size);
                break;
            case "configurationUpdate":
                connection.exchange.receiveUpdate(body.value);
                break;
            case "acknowledge":
                connection.exchange.recordPeerVersion(body.value.configurationVersion);
                break;
            case "leaving":
                connection.leaving = true;
                this.context.logger.info(`target ${this.name} is leaving: ${body.value.reason}`);
                break;
            default:
                this.context.metrics.increment("link.unexpectedMessages", 1, { message: String(body.case) });
        }
    }

    private recordAnswer(connection: Connection): void {
        connection.lastAnswerAt = connection.lastMessageAt;
        connection.silence.recordHeard();
    }

    /** The attempt that an answer belongs to, if it is still open on this link. */
    private findOpenAttempt(connection: Connection, number: number): Attempt | undefined {
        const attempt = connection.attempts.get(number);
        if (attempt === undefined) this.context.metrics.increment("attempt.lateAnswers", 1, { service: this.service });
        return attempt;
    }

    private recordLoad(connection: Connection, load: Load | undefined, outstanding: number): void {
        if (load === undefined) return;
        connection.load = load;
        connection.loadReceivedAt = performance.now();
        connection.outstandingAtReport = outstanding;
    }

    /** A method, so that the compiler does not narrow the value across awaits, during which it can change. */
    private isStopped(): boolean {
        return this.stopped;
    }
}
