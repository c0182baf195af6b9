/** A deployment of gateways with duties, and the rules that hold whatever fails. */
import { expect, vi } from "vitest";
import { Deployment } from "../gateway/harness.js";
import { type ArrivedCall, StandInCloud } from "../platform/standincloud.js";

export const WINDOW_MS = 1_000;
export const DUE_MS = 6_000;
export const LEASE_MS = 800;

/** Gateways with duties, and the platform that takes their calls. */
export class DutyDeployment {
    private sent = 0;

    private constructor(
        readonly cloud: StandInCloud,
        readonly deployment: Deployment,
    ) {}

    /** Starts gateways and waits until one of them holds the duties. */
    static async start(gateways: number, configuration?: unknown): Promise<DutyDeployment> {
        const cloud = await StandInCloud.start();
        const settings = {
            address: cloud.address,
            callsPerSecond: 50,
            leaseMilliseconds: LEASE_MS,
            resumeMilliseconds: 300,
            usageWindowSeconds: WINDOW_MS / 1_000,
            usageTolerance: 0.05,
            usageDueSeconds: DUE_MS / 1_000,
        };
        const services = { bookings: 2, engines: 2 };
        const deployment = await Deployment.start(services, gateways, configuration, { duties: settings });
        for (const id of ["engines-0", "engines-1"]) {
            deployment.target(id).behaviour = () => ({ kind: "stream", events: 3 });
        }
        await vi.waitFor(() => expect(deployment.linesOf("duty taken")).toHaveLength(1), 10_000);
        return new DutyDeployment(cloud, deployment);
    }

    async close(): Promise<void> {
        await this.deployment.close();
        this.cloud.close();
    }

    send(gateway: number, path: string): Promise<{ readonly status: number }> {
        this.sent += 1;
        return this.deployment.call({ path, id: `request-${this.sent}`, body: "b" }, gateway);
    }

    /** Index of the gateway that last took the duties. */
    holder(): number {
        const line = this.deployment.linesOf("duty taken").at(-1);
        return Number(String(line?.process).slice("gateway-".length));
    }

    /** Requests in all accepted reports, by account. A window counts once. */
    reported(): Readonly<Record<string, number>> {
        const sums: Record<string, number> = {};
        for (const [first] of this.cloud.reports.values()) {
            for (const [account, count] of Object.entries(first?.body.Counts ?? {})) {
                sums[account] = (sums[account] ?? 0) + count;
            }
        }
        return sums;
    }

    /** No token falls or belongs to two holders, and no window has two reports with different counts. */
    expectRules(): void {
        const tokens = this.cloud.calls.map(({ token }) => token);
        expect(tokens).toEqual([...tokens].sort((left, right) => left - right));
        expectOne(
            this.cloud.calls,
            ({ token }) => token,
            ({ holder }) => holder,
        );
        expectOne(
            this.cloud.calls,
            ({ body }) => body.WindowId ?? 0,
            ({ body }) => JSON.stringify(body.Counts),
        );
    }

    /** No window is missing, and each report was in time. */
    expectContiguous(): void {
        const ids = [...this.cloud.reports.keys()].sort((left, right) => left - right);
        expect(ids).toEqual(ids.map((_, index) => (ids[0] ?? 0) + index));
        for (const [id, calls] of this.cloud.reports) {
            const afterMs = (calls[0]?.at ?? 0) - (id + 1) * WINDOW_MS;
            expect(afterMs).toBeGreaterThan(0);
            expect(afterMs).toBeLessThan(DUE_MS);
        }
    }
}

/** Checks that all calls with the same key have the same value. */
function expectOne(
    calls: readonly ArrivedCall[],
    keyOf: (call: ArrivedCall) => number,
    valueOf: (call: ArrivedCall) => string,
): void {
    const values = new Map<number, Set<string>>();
    for (const call of calls) values.set(keyOf(call), (values.get(keyOf(call)) ?? new Set()).add(valueOf(call)));
    for (const [key, found] of values) expect([key, [...found]]).toEqual([key, [[...found][0]]]);
}
