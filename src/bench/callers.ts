/** Open-loop callers of the load cases: they send each arrival on time and check the answers. */
import type { RequestOutcome } from "../model/index.js";
import { pause } from "../model/pause.js";
import { expectedOutput, expectedTokens } from "../standins/index.js";
import type { Arrival } from "./arrivals.js";
import { DEADLINE_MS, type Deployment, type RequestKind } from "./deployment.js";
import { ONE_WAY_DELAY_MS, type Fleet, type FleetEntry } from "./fleet.js";
import type { RequestRecord } from "./summary.js";

/** How long callers wait for an answer after its deadline. */
const GRACE_MS = 2_000;

/** Pause before a caller sends again after an error of its connection, in milliseconds. */
const RECONNECT_MS = 20;

/** Resends of a caller that retries every request that was not done. */
export const RETRY_THREE_RESENDS = 3;

type Answer = RequestOutcome | { readonly kind: "connectionLost" } | { readonly kind: "none" };

/** Tokens as they arrived at the caller. */
interface TokenLog {
    readonly tokens: string[];
    readonly times: number[];
}

/** Sends arrivals to a deployment. */
export class Callers {
    private next = 0;

    private constructor(
        private readonly fleet: Fleet,
        private readonly deployment: Deployment,
        /** Resends of every caller, besides those of the arrival itself. */
        private readonly resends: number,
    ) {}

    static create(fleet: Fleet, deployment: Deployment, resends: number): Callers {
        return new Callers(fleet, deployment, resends);
    }

    /** Sends each arrival at its time after `start` and resolves when all have ended. */
    async sendAll(arrivals: readonly Arrival[], start: number): Promise<readonly RequestRecord[]> {
        const open: Promise<RequestRecord>[] = [];
        for (const arrival of arrivals) {
            const wait = start + arrival.at - performance.now();
            if (wait > 0) await pause(wait);
            open.push(this.send(arrival, start));
        }
        const records = await Promise.all(open);
        return records.map(record => this.addRunCounts(record));
    }

    private async send(arrival: Arrival, start: number): Promise<RequestRecord> {
        const kind = this.deployment.kinds[arrival.kind];
        if (kind === undefined) throw new Error(`deployment has no request kind ${arrival.kind}`);
        const arrivedAt = start + arrival.at;
        const log: TokenLog = { tokens: [], times: [] };
        let answer: Answer = { kind: "none" };
        let submissions = 0;
        for (let resends = Math.max(this.resends, arrival.resends); ;) {
            const remaining = arrivedAt + DEADLINE_MS - performance.now();
            if (remaining <= 0) break;
            log.tokens.length = 0;
            submissions += 1;
            answer = await this.submit(arrival, kind, remaining, log);
            if (answer.kind === "connectionLost") {
                await pause(RECONNECT_MS);
                continue;
            }
            if (answer.kind === "done" || answer.kind === "none" || resends === 0) break;
            resends -= 1;
            if (answer.kind === "refused") await pause(Math.min(answer.retryAfterMilliseconds, remaining));
        }
        return record(arrival, kind, { answer, submissions, arrivedAt, log });
    }

    /** One submission to the next live entry. */
    private async submit(arrival: Arrival, kind: RequestKind, remaining: number, log: TokenLog): Promise<Answer> {
        const entry = this.chooseEntry();
        if (entry === undefined) return { kind: "none" };
        await pause(ONE_WAY_DELAY_MS);
        const request = {
            account: arrival.account,
            pipeline: kind.name,
            kind: kind.name,
            deadlineMilliseconds: Math.ceil(remaining),
            priority: 0,
            input: inputOf(arrival),
            ...(kind.stages.some(stage => !stage.idempotent) ? { idempotencyKey: arrival.id } : {}),
        };
        const onToken = (index: number, token: string): void => {
            if (!entry.alive) return;
            log.tokens[index] = token;
            log.times.push(performance.now() + ONE_WAY_DELAY_MS);
        };
        let timer: NodeJS.Timeout | undefined;
        const late = new Promise<Answer>(resolve => {
            timer = setTimeout(resolve, remaining + GRACE_MS, { kind: "none" });
        });
        const lost = entry.died.then((): Answer => ({ kind: "connectionLost" }));
        const handled = entry.process.entry.handle(request, new AbortController().signal, onToken);
        const answer = await Promise.race([lost, handled, late]);
        clearTimeout(timer);
        await pause(ONE_WAY_DELAY_MS);
        return answer;
    }

    /** Stands for the platform's load balancer: round robin over the live entries. */
    private chooseEntry(): FleetEntry | undefined {
        const live = this.fleet.entries.filter(entry => entry.alive);
        this.next += 1;
        return live[this.next % Math.max(1, live.length)];
    }

    private addRunCounts(record: RequestRecord): RequestRecord {
        const keyRuns = this.fleet.targets.reduce((sum, { engine }) => sum + engine.keyRuns(record.id), 0);
        return { ...record, runs: this.fleet.runCounter.runsOf(record.id), keyRuns };
    }
}

function inputOf({ id, text }: Arrival): object {
    return { id, text };
}

function record(
    arrival: Arrival,
    kind: RequestKind,
    sent: { answer: Answer; submissions: number; arrivedAt: number; log: TokenLog },
): RequestRecord {
    const { answer, submissions, arrivedAt, log } = sent;
    const [firstToken] = log.times;
    const outcome = answer.kind === "connectionLost" ? "none" : answer.kind;
    return {
        ...{ id: arrival.id, account: arrival.account, kind: arrival.kind, at: arrival.at },
        submissions,
        outcome,
        reason: "reason" in answer ? answer.reason : "",
        duration: performance.now() - arrivedAt,
        firstToken: firstToken === undefined ? undefined : firstToken - arrivedAt,
        tokenGaps: log.times.slice(1).map((time, index) => time - (log.times[index] ?? time)),
        ...check(arrival, kind, answer, log),
        runs: 0,
        keyRuns: 0,
    };
}

/** Compares an answer with what the stand-ins answer for this request's own content. */
function check(
    arrival: Arrival,
    kind: RequestKind,
    answer: Answer,
    log: TokenLog,
): { whole: boolean; crossed: boolean } {
    let previous = "null";
    let whole = true;
    let crossed = false;
    for (const { name, operation, maximumTokens, streaming } of kind.stages) {
        const payload = `{"input":${JSON.stringify(inputOf(arrival))},"previous":${previous}}`;
        previous = expectedOutput(operation, payload, maximumTokens);
        if (streaming) {
            const tokens = expectedTokens(operation, payload, maximumTokens);
            if (log.tokens.some((token, index) => token !== tokens[index])) crossed = true;
            if (log.tokens.length !== tokens.length) whole = false;
        }
        if (answer.kind !== "done") continue;
        if (!(name in answer.stages)) whole = false;
        else if (JSON.stringify(answer.stages[name]) !== previous) crossed = true;
    }
    return { whole: answer.kind === "done" && whole, crossed };
}
