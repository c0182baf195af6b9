/**
 * Serves one link from an entry: reads its messages and answers them.
 *
 * The session owns the attempts that arrived on its link. When the link closes, it cancels the idempotent ones, since
 * nobody can receive their result. Non-idempotent runs continue, and the claim registry keeps their result.
 */
import { type Link, type LinkBody, type RunStage, type Withdraw, Withdrawn_State } from "../link/index.js";
import { Deadline, failedStage, refusedStage, type StageOutcome } from "../model/index.js";
import type { ConfigurationHolder } from "../configuration/index.js";
import type { Metrics, StateLogger } from "../observability/index.js";
import type { ExecutionListener } from "./execution.js";
import type { GateLoad, Refusal } from "./gate.js";

/** Time without any sent message after which a load report is sent, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** The longest deadline that a caller may set, in milliseconds. */
export const LONGEST_DEADLINE_MS = 10_000;

/** Answer to a withdrawal. */
export interface WithdrawalAnswer {
    readonly state: Withdrawn_State;
    /** JSON text of the stored result, when completed; empty otherwise. */
    readonly output: string;
}

/** The part of an agent that its sessions use. */
export interface SessionHost {
    readonly service: string;
    readonly configurationHolder: ConfigurationHolder;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
    load(): GateLoad;
    /** Runs an attempt. Its signal cancels idempotent attempts only. */
    runStage(attempt: StageAttempt): Promise<StageOutcome>;
    withdraw(query: Withdraw): WithdrawalAnswer;
}

/** One attempt that arrived on a link. */
export interface StageAttempt {
    /** Unique at the target. */
    readonly id: string;
    readonly message: RunStage;
    readonly deadline: Deadline;
    readonly signal: AbortSignal;
    readonly listener: ExecutionListener;
}

/** One open link from an entry. */
export class Session {
    private readonly openAttempts = new Map<number, AbortController>();
    private readonly reportTimer: NodeJS.Timeout;
    private lastSentAt = performance.now();

    private constructor(
        private readonly link: Link,
        private readonly host: SessionHost,
    ) {
        this.reportTimer = setInterval(() => {
            this.reportWhenIdle();
        }, REPORT_INTERVAL_MS / 2);
    }

    /** Serves a link until it closes. */
    static start(link: Link, host: SessionHost): Session {
        const session = new Session(link, host);
        void session.serve();
        return session;
    }

    /** Resolves when the link is closed. */
    get closed(): Promise<string> {
        return this.link.closed;
    }

    /** Tells the entry to send no new work. */
    sendLeaving(reason: string): void {
        this.send({ case: "leaving", value: { reason } });
    }

    /** Closes the link. */
    close(reason: string): void {
        this.link.close(reason);
        this.dispose();
    }

    private async serve(): Promise<void> {
        try {
            for await (const body of this.link.messages) this.receive(body);
        } catch (error) {
            this.host.logger.error("session failed", error);
            this.link.close("session failed");
        } finally {
            this.dispose();
        }
    }

    private dispose(): void {
        clearInterval(this.reportTimer);
        for (const controller of this.openAttempts.values()) controller.abort();
        this.openAttempts.clear();
    }

    private receive(body: LinkBody): void {
        switch (body.case) {
            case "runStage":
                void this.run(body.value);
                return;
            case "cancelStage":
                this.openAttempts.get(body.value.attempt)?.abort();
                return;
            case "withdraw":
                this.withdraw(body.value);
                return;
            case "configurationUpdate":
                this.configure(body.value);
                return;
            default:
                this.host.metrics.increment("session.ignored", 1, { message: body.case ?? "none" });
        }
    }

    private async run(message: RunStage): Promise<void> {
        const { attempt } = message;
        if (this.openAttempts.has(attempt)) {
            // An answer to the repeated message would be read as the answer to the attempt in progress.
            this.host.metrics.increment("session.ignored", 1, { message: "repeatedAttempt" });
            return;
        }
        const controller = new AbortController();
        this.openAttempts.set(attempt, controller);
        const tokens = TokenBatch.create((firstIndex, batch) => {
            this.send({ case: "stageTokens", value: { attempt, firstIndex, tokens: batch } });
        });
        const outcome = await this.outcomeOf(message, controller.signal, tokens);
        tokens.flush();
        if (this.openAttempts.get(attempt) === controller) this.openAttempts.delete(attempt);
        this.sendResult(attempt, outcome);
    }

    private async outcomeOf(message: RunStage, signal: AbortSignal, tokens: TokenBatch): Promise<StageOutcome> {
        const refusal = checkFields(message, this.host.service);
        if (refusal !== undefined) return refusal;
        try {
            return await this.runAtAgent(message, signal, tokens);
        } catch (error) {
            this.host.logger.error("attempt failed inside the agent", error);
            // After a broken invariant it is not known how far the run got.
            if (message.idempotent) return failedStage("targetLost", "the agent failed");
            return { kind: "unknown", reason: "targetLost", message: "the agent failed" };
        }
    }

    private async runAtAgent(message: RunStage, signal: AbortSignal, tokens: TokenBatch): Promise<StageOutcome> {
        const { attempt } = message;
        return await this.host.runStage({
            id: `${this.link.peer.incarnation}.${attempt}`,
            message,
            deadline: Deadline.after(Math.min(message.remainingMilliseconds, LONGEST_DEADLINE_MS)),
            signal,
            listener: {
                started: () => {
                    this.send({ case: "stageAccepted", value: { attempt } });
                },
                token: (index, token) => {
                    tokens.add(index, token);
                },
            },
        });
    }

    private sendResult(attempt: number, outcome: StageOutcome): void {
        this.host.metrics.increment("session.results", 1, { outcome: outcome.kind });
        const load = this.host.load();
        this.send({ case: "stageResult", value: { attempt, load, outcome: encodeOutcome(outcome) } });
    }

    private withdraw(query: Withdraw): void {
        const isValid = query.account !== "" && query.idempotencyKey !== "" && query.service === this.host.service;
        const answer = isValid ? this.host.withdraw(query) : { state: Withdrawn_State.NOT_OWNER, output: "" };
        this.send({ case: "withdrawn", value: { query: query.query, ...answer } });
    }

    private configure(update: Extract<LinkBody, { case: "configurationUpdate" }>["value"]): void {
        const { version, snapshot, changes } = update;
        try {
            this.host.configurationHolder.receive({ version, snapshot, changes });
        } catch (error) {
            this.host.logger.warn("configuration update could not be decoded", {
                version,
                peer: this.link.peer.name,
                error,
            });
        }
        const configurationVersion = this.host.configurationHolder.current.version;
        this.send({ case: "acknowledge", value: { configurationVersion } });
    }

    private reportWhenIdle(): void {
        if (performance.now() - this.lastSentAt < REPORT_INTERVAL_MS) return;
        const configurationVersion = this.host.configurationHolder.current.version;
        this.send({ case: "loadReport", value: { load: this.host.load(), configurationVersion } });
    }

    private send(body: Parameters<Link["send"]>[0]): void {
        if (this.link.send(body)) this.lastSentAt = performance.now();
    }
}

/** Batches the tokens of one attempt: sends those that arrive in one turn of the event loop together. */
class TokenBatch {
    private firstIndex = 0;
    private tokens: string[] = [];
    private scheduledFlush: NodeJS.Immediate | undefined;

    private constructor(private readonly send: (firstIndex: number, tokens: string[]) => void) {}

    static create(send: (firstIndex: number, tokens: string[]) => void): TokenBatch {
        return new TokenBatch(send);
    }

    add(index: number, token: string): void {
        if (this.tokens.length > 0 && index !== this.firstIndex + this.tokens.length) this.flush();
        if (this.tokens.length === 0) this.firstIndex = index;
        this.tokens.push(token);
        this.scheduledFlush ??= setImmediate(() => {
            this.flush();
        });
    }

    flush(): void {
        clearImmediate(this.scheduledFlush);
        this.scheduledFlush = undefined;
        if (this.tokens.length === 0) return;
        const tokens = this.tokens;
        this.tokens = [];
        this.send(this.firstIndex, tokens);
    }
}

/** Checks a message before anything is run. Returns a refusal when a field that the run needs is missing or invalid. */
function checkFields(message: RunStage, service: string): Refusal | undefined {
    const problem = findInvalidField(message, service);
    if (problem !== undefined) return refusedStage("unsupported", problem);
    if (message.remainingMilliseconds === 0) return refusedStage("deadline", "no budget is left");
    return undefined;
}

function findInvalidField(message: RunStage, service: string): string | undefined {
    if (message.service !== service) return `this target serves ${service}`;
    if (message.requestId === "") return "request id is missing";
    if (message.operation === "") return "operation is missing";
    if (!isJson(message.payload)) return "payload is not JSON";
    if (message.idempotent) return undefined;
    if (message.idempotencyKey === "") return "idempotency key is missing";
    if (message.account === "" || message.stage === "") return "account or stage is missing";
    return undefined;
}

function isJson(text: string): boolean {
    try {
        JSON.parse(text);
        return true;
    } catch {
        return false;
    }
}

type OutcomeInit = NonNullable<Extract<Parameters<Link["send"]>[0], { case: "stageResult" }>["value"]["outcome"]>;

function encodeOutcome(outcome: StageOutcome): OutcomeInit {
    switch (outcome.kind) {
        case "completed": {
            const { output, tokens, costMilliseconds, replayed } = outcome;
            return { case: "completed", value: { output, tokens, costMilliseconds, replayed } };
        }
        case "refused": {
            const { reason, retryAfterMilliseconds, message } = outcome;
            return { case: "refused", value: { reason, retryAfterMilliseconds, message } };
        }
        case "failed": {
            const { reason, message, costMilliseconds } = outcome;
            return { case: "failed", value: { reason, message, costMilliseconds } };
        }
        case "unknown":
            return { case: "unknown", value: { reason: outcome.reason, message: outcome.message } };
    }
}
