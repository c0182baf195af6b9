/**
 * Learns how long the engines of one service take per prompt token and per running stream.
 *
 * Load pattern: published figures of engines differ by deployment (20 to 57 prompt tokens per millisecond, 3 to 6 ms per
 * step), so constants that fit one deployment are wrong at another. The times are a weighted least-squares fit of measured
 * times to first events. It starts at the published figures, and older samples lose weight with each new one.
 */

/** Prompt tokens that an engine processes per millisecond before anything is measured: a published figure. */
const INITIAL_TOKENS_PER_MS = 57;

/** Time in milliseconds that a running stream adds before anything is measured: the published step time of engines. */
const INITIAL_RUNNING_MS = 2;

/** Prompt tokens that a waiting request stands for: at the initial speed they take 40 ms. */
export const TOKENS_PER_WAITING = 2_280;

/** Weight of the initial figures, in samples. */
const INITIAL_SAMPLES = 10;

/** Factor by which a new sample reduces the weight of the earlier ones: half of the weight is in the last 140. */
const RETENTION = 0.995;

/** Bounds of the learnt times as multiples of the initial ones: twice the range of the published figures. */
const LOWEST_MULTIPLE = 0.2;
const HIGHEST_MULTIPLE = 8;

/** A measured time that differs more from the expectation has another cause, such as a stalled connection. */
const LARGEST_DEVIATION = 10;

/** Time in milliseconds of each kind of work at an engine of the service's usual speed. */
export interface WorkTimes {
    readonly tokenMs: number;
    readonly runningMs: number;
    readonly waitingMs: number;
}

/** Work that precedes a first event. */
export interface Work {
    /** Prompt tokens to process, the request's own ones included. */
    readonly tokens: number;
    readonly running: number;
    readonly waiting: number;
}

/** Times before anything is measured. */
export const INITIAL_WORK_TIMES: WorkTimes = workTimes(1, 1);

/** Time in milliseconds of some work at an engine of usual speed and pace. */
export function workMs({ tokens, running, waiting }: Work, times: WorkTimes): number {
    return tokens * times.tokenMs + running * times.runningMs + waiting * times.waitingMs;
}

/** The times of one service. */
export class ServiceTimes {
    // Sums of the normal equations; both unknowns are multiples of the initial times, so the initial solution is (1, 1).
    private tokenSquares = INITIAL_SAMPLES / 2;
    private runningSquares = INITIAL_SAMPLES / 2;
    private products = 0;
    private tokenResults = INITIAL_SAMPLES / 2;
    private runningResults = INITIAL_SAMPLES / 2;
    private learnt = INITIAL_WORK_TIMES;

    private constructor() {}

    static create(): ServiceTimes {
        return new ServiceTimes();
    }

    get current(): WorkTimes {
        return this.learnt;
    }

    /** Records the time that some work took, converted to usual speed and pace. */
    record(work: Work, milliseconds: number): void {
        const tokenPart = (work.tokens + work.waiting * TOKENS_PER_WAITING) * INITIAL_WORK_TIMES.tokenMs;
        const runningPart = work.running * INITIAL_WORK_TIMES.runningMs;
        const initialMs = tokenPart + runningPart;
        if (!(initialMs > 0) || !(milliseconds > 0)) return;
        // Errors grow with the time, so each sample counts relative to its own expectation.
        const token = tokenPart / initialMs;
        const running = runningPart / initialMs;
        const result = Math.min(LARGEST_DEVIATION, milliseconds / initialMs);
        const prior = (1 - RETENTION) * (INITIAL_SAMPLES / 2);
        this.tokenSquares = RETENTION * this.tokenSquares + prior + token * token;
        this.runningSquares = RETENTION * this.runningSquares + prior + running * running;
        this.products = RETENTION * this.products + token * running;
        this.tokenResults = RETENTION * this.tokenResults + prior + token * result;
        this.runningResults = RETENTION * this.runningResults + prior + running * result;
        const determinant = this.tokenSquares * this.runningSquares - this.products ** 2;
        this.learnt = workTimes(
            (this.tokenResults * this.runningSquares - this.runningResults * this.products) / determinant,
            (this.runningResults * this.tokenSquares - this.tokenResults * this.products) / determinant,
        );
    }
}

function workTimes(tokenMultiple: number, runningMultiple: number): WorkTimes {
    const tokenMs = bounded(tokenMultiple) / INITIAL_TOKENS_PER_MS;
    return {
        tokenMs,
        runningMs: bounded(runningMultiple) * INITIAL_RUNNING_MS,
        waitingMs: TOKENS_PER_WAITING * tokenMs,
    };
}

function bounded(multiple: number): number {
    return Math.min(HIGHEST_MULTIPLE, Math.max(LOWEST_MULTIPLE, multiple));
}
