/**
 * Orders of other gateways that this one works on.
 *
 * A gateway sends an order again when its connection went silent. The pieces are not made twice for it: their inputs may
 * have been released after the first time. An order that arrives again joins the one in progress.
 */
import type { PieceResult } from "./piece.js";
import type { PeerOrder } from "./order.js";

/** Time in milliseconds after its last connection closed for which an order may arrive again. */
const REJOIN_MS = 100;

/** Makes the pieces of an order. */
type MakeOrder = (order: PeerOrder, signal: AbortSignal) => Promise<readonly PieceResult[]>;

interface OpenOrder {
    readonly abort: AbortController;
    readonly results: Promise<readonly PieceResult[]>;
    connections: number;
}

/** Runs each order once, however often it arrives while it is in progress. */
export class OpenOrders {
    private readonly orders = new Map<string, OpenOrder>();

    private constructor() {}

    static create(): OpenOrders {
        return new OpenOrders();
    }

    /**
     * Returns the results of an order and runs it with `make` unless it is in progress. `connection` aborts when the
     * connection on which the order arrived closes; the order is cancelled when all its connections are closed.
     */
    serve(order: PeerOrder, connection: AbortSignal, make: MakeOrder): Promise<readonly PieceResult[]> {
        const key = keyOf(order);
        const open = this.orders.get(key) ?? this.start(key, order, make);
        open.connections += 1;
        const onClose = (): void => {
            open.connections -= 1;
            if (open.connections === 0) setTimeout(() => open.connections === 0 && open.abort.abort(), REJOIN_MS);
        };
        if (connection.aborted) onClose();
        else connection.addEventListener("abort", onClose, { once: true });
        return open.results;
    }

    private start(key: string, order: PeerOrder, make: MakeOrder): OpenOrder {
        const abort = new AbortController();
        const results = make(order, abort.signal).finally(() => this.orders.delete(key));
        const open = { abort, results, connections: 0 };
        this.orders.set(key, open);
        return open;
    }
}

function keyOf({ service, jobs }: PeerOrder): string {
    const [first] = jobs;
    return JSON.stringify([service, first?.requestId, first?.stage, jobs.map(({ index }) => index)]);
}
