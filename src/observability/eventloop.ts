/**
 * Measures how late the timers of this process run.
 *
 * A process that is short of processor time, or suspended, reads its sockets and timers late. A timeout that it then
 * observes says as much about itself as about the other end, so decisions on timeouts are logged with this delay.
 */

/** Interval in milliseconds between measurements; delays shorter than this may be missed. */
const INTERVAL_MS = 100;

/** Age in milliseconds up to which a measurement counts as recent; a timeout of a call lies within it. */
const RECENT_MS = 1_000;

/** A delay from which it is reported, in milliseconds. */
const REPORTED_DELAY_MS = 150;

/** A measured delay. */
export interface EventLoopDelay {
    /** Milliseconds by which a timer ran late. */
    readonly delayMs: number;
    /** Processor time in milliseconds that this process used since the timer was set. */
    readonly processorMs: number;
}

/** Measures the delay of the event loop of this process. */
export class EventLoopMonitor {
    private recent: { readonly delayMs: number; readonly at: number }[] = [];
    private timer: NodeJS.Timeout | undefined;

    private constructor(
        private readonly onDelay: (delay: EventLoopDelay) => void,
        private readonly onMeasured: (meanDelayMs: number) => void,
    ) {}

    /**
     * Starts measuring. `onDelay` is called for each delay that is long enough to be reported, `onMeasured` after each
     * measurement with the mean of the recent delays in milliseconds.
     */
    static start(
        onDelay: (delay: EventLoopDelay) => void = () => undefined,
        onMeasured: (meanDelayMs: number) => void = () => undefined,
    ): EventLoopMonitor {
        const monitor = new EventLoopMonitor(onDelay, onMeasured);
        monitor.schedule();
        return monitor;
    }

    /** The longest delay in milliseconds among the recent measurements. */
    recentDelayMs(): number {
        const now = performance.now();
        return Math.max(0, ...this.recent.filter(({ at }) => now - at <= RECENT_MS).map(({ delayMs }) => delayMs));
    }

    stop(): void {
        clearTimeout(this.timer);
    }

    private schedule(): void {
        const dueAt = performance.now() + INTERVAL_MS;
        const usageBefore = process.cpuUsage();
        this.timer = setTimeout(() => {
            this.record(performance.now() - dueAt, usageBefore);
            this.schedule();
        }, INTERVAL_MS);
        this.timer.unref();
    }

    private record(delayMs: number, usageBefore: NodeJS.CpuUsage): void {
        const now = performance.now();
        this.recent = [...this.recent.filter(({ at }) => now - at <= RECENT_MS), { delayMs, at: now }];
        this.onMeasured(this.recent.reduce((sum, measured) => sum + measured.delayMs, 0) / this.recent.length);
        if (delayMs < REPORTED_DELAY_MS) return;
        const { user, system } = process.cpuUsage(usageBefore);
        this.onDelay({ delayMs, processorMs: (user + system) / 1_000 });
    }
}
