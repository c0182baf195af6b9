/**
 * A gatherer that is alive but slow to answer an order must not be replaced: a second gatherer would send calls to the
 * same targets, and orders would be made twice.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { pause } from "../../src/model/pause.js";
import { KIND } from "../../src/platform/names.js";
import { Deployment } from "./harness.js";

/** Time in milliseconds for which the gatherer leaves an order unread; longer than the timeout of an order. */
const UNREAD_MS = 1_000;

const PROGRESS_MS = 100;

interface Order {
    readonly service: string;
    readonly indexes: readonly number[];
    readonly stage?: { readonly requestId: string };
}

/** A gatherer with much capacity, so that it is chosen for every service. */
class SlowGatherer {
    readonly orders: Order[] = [];
    readonly server: Server = createServer((request, response) => {
        let text = "";
        request.on("data", (chunk: Buffer) => (text += chunk.toString()));
        request.on("end", () => {
            if (request.url !== "/pieces") return void response.end();
            const order = JSON.parse(text) as Order;
            this.orders.push(order);
            void this.serve(order, response);
        });
    });
    private readonly progressing = new Set<ServerResponse>();
    private readonly timer = setInterval(() => {
        for (const response of this.progressing) response.write(" ");
    }, PROGRESS_MS);

    /** `takesMs` says how long an order is in progress, `unreadMs` how long it is not read before. */
    constructor(private readonly times: (order: Order) => { readonly unreadMs: number; readonly takesMs: number }) {}

    async listen(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    ordersOf(requestId: string): number {
        return this.orders.filter(({ stage }) => stage?.requestId === requestId).length;
    }

    close(): void {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    private async serve(order: Order, response: ServerResponse): Promise<void> {
        const { unreadMs, takesMs } = this.times(order);
        await pause(unreadMs);
        response.write(" ");
        this.progressing.add(response);
        await pause(takesMs);
        this.progressing.delete(response);
        const results = order.indexes.map(index => ({ kind: "made", handle: `127.0.0.1:9/${index}` }));
        response.end(JSON.stringify({ waitMs: 0, results }));
    }
}

let deployment: Deployment;
let gatherer: SlowGatherer;

async function startWith(slow: SlowGatherer): Promise<void> {
    gatherer = slow;
    const address = await gatherer.listen();
    const capacity = { processors: 16, linkMegabits: 10_000 };
    deployment.platform.put(KIND.gateways, "large", { name: "large", zone: "east", address, capacity });
    const router = deployment.gateways[0]?.gateway.pieceRouter;
    await vi.waitFor(() => expect(router?.gathererOf("encode")?.name).toBe("large"));
}

function callStaged(id: string): Promise<number> {
    const headers = { "x-parsleyrun-pieces": "1,0", "x-parsleyrun-piece-key": "k" };
    return deployment.call({ path: "/staged/1", headers, id }).then(({ status }) => status);
}

beforeEach(async () => {
    deployment = await Deployment.start({ engines: 1, encode: 1, rank: 1 });
    deployment.target("engines-0").behaviour = () => ({ kind: "stream", events: 1 });
});

afterEach(async () => {
    gatherer.close();
    await deployment.close();
});

describe("a gatherer", () => {
    it("that leaves one order unread while it works on another is not taken for unreachable", async () => {
        await startWith(
            new SlowGatherer(({ stage }) =>
                stage?.requestId === "steady" ? { unreadMs: 0, takesMs: 1_600 } : { unreadMs: UNREAD_MS, takesMs: 50 },
            ),
        );
        const steady = callStaged("steady");
        await vi.waitFor(() => expect(gatherer.ordersOf("steady")).toBe(1));
        expect(await callStaged("unread")).toBe(200);
        expect(await steady).toBe(200);
        expect(deployment.linesOf("gatherer unreachable")).toEqual([]);
        expect(deployment.target("encode-0").pieceCalls).toEqual([]);
        await vi.waitFor(() => expect(deployment.linesOf("order sent again")).toHaveLength(1));
    });

    it("that is silent altogether is replaced", async () => {
        await startWith(new SlowGatherer(() => ({ unreadMs: 5_000, takesMs: 0 })));
        expect(await callStaged("silent")).toBe(200);
        await vi.waitFor(() => expect(deployment.linesOf("gatherer unreachable")).toHaveLength(1));
        expect(deployment.target("encode-0").pieceCalls).toHaveLength(1);
    });
});
