/** A stand-in for another gateway that gathers pieces: it makes them itself, and is slow or silent as a test says. */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { pause } from "../../src/model/pause.js";

const PROGRESS_MS = 100;

export interface Order {
    readonly service: string;
    readonly indexes: readonly number[];
    readonly stage?: { readonly requestId: string };
}

/** A gatherer with much capacity, so that it is chosen for every service. */
export class StandInGatherer {
    readonly orders: Order[] = [];
    /** Number of orders whose connection was closed before their answer. */
    closedOrders = 0;
    readonly server: Server = createServer((request, response) => {
        let text = "";
        request.on("data", (chunk: Buffer) => (text += chunk.toString()));
        request.on("end", () => {
            if (request.url !== "/pieces") return void this.endAfterSilence(response, "");
            const order = JSON.parse(text) as Order;
            this.orders.push(order);
            void this.serve(order, response);
        });
    });
    private readonly progressing = new Set<ServerResponse>();
    private silentFrom = 0;
    private silentUntil = 0;
    private readonly timer = setInterval(() => {
        if (this.isSilent()) return;
        for (const response of this.progressing) response.write(" ");
    }, PROGRESS_MS);

    /**
     * `takesMs` says how long an order is in progress, `unreadMs` how long it is not read before. A silence, in
     * which nothing is answered, begins a time after the first order was read.
     */
    constructor(
        private readonly times: (order: Order) => { readonly unreadMs: number; readonly takesMs: number },
        private readonly silence?: { readonly after: number; readonly milliseconds: number },
    ) {}

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
        response.once("close", () => {
            if (!response.writableFinished) this.closedOrders += 1;
        });
        await pause(unreadMs);
        if (this.orders.length === 1 && this.silence !== undefined) {
            const { after, milliseconds } = this.silence;
            this.silentFrom = performance.now() + after;
            this.silentUntil = this.silentFrom + milliseconds;
        }
        if (!this.isSilent()) response.write(" ");
        this.progressing.add(response);
        await pause(takesMs);
        this.progressing.delete(response);
        const results = order.indexes.map(index => ({ kind: "made", handle: `127.0.0.1:9/${index}` }));
        await this.endAfterSilence(response, JSON.stringify({ waitMs: 0, results }));
    }

    private isSilent(): boolean {
        const now = performance.now();
        return now >= this.silentFrom && now < this.silentUntil;
    }

    private async endAfterSilence(response: ServerResponse, text: string): Promise<void> {
        if (this.isSilent()) await pause(this.silentUntil - performance.now());
        response.end(text);
    }
}
