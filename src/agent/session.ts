/**
 * One link from an entry: a task that reads its messages and answers them.
 *
 * The session owns the attempts that arrived on its link. When the link closes, the idempotent ones are cancelled, since
 * nobody can receive their result; non-idempotent runs continue and their result stays known to the registry.
 */
import { type Link, type LinkBody, type RunStage, type Withdraw, Withdrawn_State } from "../link/index.js";
import { Deadline, failedStage, refusedStage, type StageOutcome } from "../model/index.js";
import type { ConfigurationHolder } from "../configuration/index.js";
import type { Metrics, StateLogger } from "../observability/index.js";
import type { ExecutionListener } from "./execution.js";
import type { GateLoad, Refusal } from "./gate.js";

/** A load report is sent when nothing else was sent for this time, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** The longest deadline that a caller may name, in milliseconds. */
export const LONGEST_DEADLINE_MS = 10_000;

/** Answer to a withdrawal. */
export interface WithdrawalAnswer {
    readonly state: Withdrawn_State;
    /** JSON text of the stored result, when completed; empty otherwise. */
    readonly output: string;
}

/** What a session needs of its agent. */
export interface SessionHost {
    readonly service: string;
    readonly configurationHolder: ConfigurationHolder;
    readonly logger: StateLogger;
    readonly metrics: Metrics;
    load(): GateLoad;
    /** Runs an attempt. `id` is unique for the target; the signal ends idempotent attempts. */
    runStage(attempt: StageAttempt): Promise<StageOutcome>;
    withdraw(query: Withdraw): WithdrawalAnswer;
}

/** One attempt that arrived on a link. */
export interface StageAttempt {
    readonly id: string;
    readonly message: RunStage;
    readonly deadline: Deadline;
    readonly signal: AbortSignal;
    readonly listener: ExecutionListener;
}

/** One open link from an entry. */
export class Session {
    private readonly open = new Map<number, AbortController>();
    private readonly timer: NodeJS.Timeout;
    private lastSent = performance.now();

    private constructor(
        private readonly link: Link,
        private readonly host: SessionHost,
    ) {
        this.timer = setInterval(() => {
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
        this.end();
    }

    private async serve(): Promise<void> {
        try {
            for await (const body of this.link.messages) this.receive(body);
        } catch (error) {
            this.host.logger.error("session failed", error);
            this.link.close("session failed");
        } finally {
            this.end();
        }
    }

    private end(): void {
        clearInterval(this.timer);
        for (const controller of this.open.values()) controller.abort();
        this.open.clear();
    }

    private receive(body: LinkBody): void {
        switch (body.case) {
            case "runStage":
                void this.run(body.value);
                return;
            case "cancelStage":
                this.open.get(body.value.attempt)?.abort();
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
        if (this.open.has(attempt)) {
            // An answer to the repeated message would be read as the answer to the attempt in progress.
            this.host.metrics.increment("session.ignored", 1, { message: "repeatedAttempt" });
            return;
        }
        const controller = new AbortController();
        this.open.set(attempt, controller);
        const tokens = TokenBatch.create((firstIndex, batch) => {
            this.send({ case: "stageTokens", value: { attempt, firstIndex, tokens: batch } });
        });
        const outcome = await this.outcome(message, controller.signal, tokens);
        tokens.flush();
        if (this.open.get(attempt) === controller) this.open.delete(attempt);
        this.sendResult(attempt, outcome);
    }

    private async outcome(message: RunStage, signal: AbortSignal, tokens: TokenBatch): Promise<StageOutcome> {
        const refusal = checkFields(message, this.host.service);
        if (refusal !== undefined) return refusal;
        try {
            return await this.runAtAgent(message, signal, tokens);
        } catch (error) {
            this.host.logger.error("attempt failed inside the agent", error);
            // A broken invariant leaves open how far the run came.
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
        const known = query.account !== "" && query.idempotencyKey !== "" && query.service === this.host.service;
        const answer = known ? this.host.withdraw(query) : { state: Withdrawn_State.NOT_OWNER, output: "" };
        this.send({ case: "withdrawn", value: { query: query.query, ...answer } });
    }

    private configure(update: Extract<LinkBody, { case: "configurationUpdate" }>["value"]): void {
        const { version, snapshot, changes } = update;
        try {
            this.host.configurationHolder.receive({ version, snapshot, changes });
        } catch (error) {
            this.host.logger.warn("configuration update is not readable", {
                version,
                peer: this.link.peer.name,
                error,
            });
        }
        const configurationVersion = this.host.configurationHolder.current.version;
        this.send({ case: "acknowledge", value: { configurationVersion } });
    }

    private reportWhenIdle(): void {
        if (performance.now() - this.lastSent < REPORT_INTERVAL_MS) return;
        const configurationVersion = this.host.configurationHolder.current.version;
        this.send({ case: "loadReport", value: { load: this.host.load(), configurationVersion } });
    }

    private send(body: Parameters<Link["send"]>[0]): void {
        if (this.link.send(body)) this.lastSent = performance.now();
    }
}

/** Tokens of one attempt, sent once for each turn of the event loop in which some arrived. */
class TokenBatch {
    private firstIndex = 0;
    private tokens: string[] = [];
    private scheduled: NodeJS.Immediate | undefined;

    private constructor(private readonly send: (firstIndex: number, tokens: string[]) => void) {}

    static create(send: (firstIndex: number, tokens: string[]) => void): TokenBatch {
        return new TokenBatch(send);
    }

    add(index: number, token: string): void {
        if (this.tokens.length > 0 && index !== this.firstIndex + this.tokens.length) this.flush();
        if (this.tokens.length === 0) this.firstIndex = index;
        this.tokens.push(token);
        this.scheduled ??= setImmediate(() => {
            this.flush();
        });
    }

    flush(): void {
        clearImmediate(this.scheduled);
        this.scheduled = undefined;
        if (this.tokens.length === 0) return;
        const tokens = this.tokens;
        this.tokens = [];
        this.send(this.firstIndex, tokens);
    }
}

/** A refusal when the message lacks something that a run needs, before anything is run. */
function checkFields(message: RunStage, service: string): Refusal | undefined {
    const problem = findProblem(message, service);
    if (problem !== undefined) return refusedStage("unsupported", problem);
    if (message.remainingMilliseconds === 0) return refusedStage("deadline", "no budget is left");
    return undefined;
}

function findProblem(message: RunStage, service: string): string | undefined {
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
