/** The delay of the event loop, which tells a slow process from a slow peer. */
import { afterEach, describe, expect, it, vi } from "vitest";
import { type EventLoopDelay, EventLoopMonitor } from "../../src/observability/index.js";

/** Time in milliseconds for which a test blocks the event loop; far above the interval of the measurements. */
const BLOCKED_MS = 600;

let monitor: EventLoopMonitor | undefined;

function blockEventLoop(): void {
    const end = performance.now() + BLOCKED_MS;
    while (performance.now() < end);
}

afterEach(() => monitor?.stop());

describe("the delay of the event loop", () => {
    it("is reported with the processor time that was used, and is recent for a time", async () => {
        const delays: EventLoopDelay[] = [];
        monitor = EventLoopMonitor.start(delay => delays.push(delay));
        blockEventLoop();
        await vi.waitFor(() => expect(delays.some(({ delayMs }) => delayMs >= BLOCKED_MS / 2)).toBe(true), 5_000);
        expect(monitor.recentDelayMs()).toBeGreaterThanOrEqual(BLOCKED_MS / 2);
        expect(delays[0]?.processorMs).toBeGreaterThan(0);
        await vi.waitFor(() => expect(monitor?.recentDelayMs()).toBeLessThan(BLOCKED_MS / 2), 20_000);
    });
});
