/** Serves the operators' interface of one entry on the loopback address, with a stand-in store. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { ConfigurationHolder, ConfigurationLog } from "../../src/configuration/index.js";
import type { Membership } from "../../src/membership/index.js";
import { declareMove, listMoves, type Move, MOVES_PREFIX } from "../../src/moves/index.js";
import { HistogramSet } from "../../src/observability/index.js";
import { type AcknowledgedVersion, createOperatorHandler } from "../../src/operators/index.js";
import { StandInStore } from "../../src/standins/index.js";

export const KEY = "operator-key";

export const LISTS = `budget: { millisecondsPerSecond: 1000 }
services:
  - { name: encode, kind: engine, concurrency: 4 }
  - { name: book, kind: plain, slots: 4, concurrency: 4 }
pipelines:
  - name: booking
    stages:
      - { name: encode, service: encode, operation: encode, idempotent: true, costMilliseconds: 5 }
      - { name: book, service: book, operation: book, idempotent: false, costMilliseconds: 9 }
plans:
  - { name: large, pipelines: [booking], share: 1 }
accounts:
  - { name: kettleby, plan: large, key: kettleby-key }
`;

const MEMBERSHIP: Membership = {
    entries: [
        { name: "entry1", zone: "east", vm: "vm1", address: "127.0.0.1:1", incarnation: "i1" },
        { name: "entry2", zone: "west", vm: "vm2", address: "127.0.0.1:2", incarnation: "i2" },
    ],
    targets: [
        {
            name: "encode1",
            service: "encode",
            version: "v1",
            zone: "east",
            vm: "vm3",
            address: "127.0.0.1:3",
            incarnation: "i3",
        },
    ],
};

/** The operators' interface of one entry. Tests set `acknowledged`, `goneVms` and `confirmed`. */
export class OperatorHarness {
    readonly holder = ConfigurationHolder.create();
    acknowledged: AcknowledgedVersion[] = [];
    readonly goneVms = new Set<string>();
    confirmed = true;
    readonly histograms = HistogramSet.create();

    private constructor(
        readonly store: StandInStore,
        private readonly server: Server,
    ) {}

    static async start(store = StandInStore.create()): Promise<OperatorHarness> {
        const server = createServer();
        const harness = new OperatorHarness(store, server);
        const handler = harness.createHandler();
        server.on("request", (request, response) => void handler(request, response));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return harness;
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Makes every process except the entry itself acknowledge a version. */
    acknowledgeAll(configurationVersion: number): void {
        this.acknowledged = [
            { name: "entry2", incarnation: "i2", configurationVersion },
            { name: "encode1", incarnation: "i3", configurationVersion },
        ];
    }

    async call(
        method: string,
        path: string,
        body?: unknown,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<{ readonly status: number; readonly body: unknown }> {
        const response = await fetch(`http://${this.address}/operator/v1/${path}`, {
            method,
            headers: { authorization: `Bearer ${KEY}`, ...headers },
            ...(body === undefined ? {} : { body: typeof body === "string" ? body : JSON.stringify(body) }),
        });
        return { status: response.status, body: await response.json() };
    }

    private listMoves(): readonly Move[] {
        const objects = this.store.keys(MOVES_PREFIX).map(key => this.store.peek(key));
        return listMoves(new Map(objects.filter(object => object !== undefined).map(object => [object.key, object])));
    }

    private createHandler() {
        const log = ConfigurationLog.create({ store: this.store.client("entry1"), holder: this.holder });
        const silent = (): undefined => undefined;
        return createOperatorHandler({
            key: KEY,
            entry: { name: "entry1", incarnation: "i1" },
            holder: this.holder,
            log,
            directory: { current: MEMBERSHIP, subscribe: () => silent },
            slots: {
                find: () => ({ service: "book", slots: [{ target: "a", incarnation: "x", epoch: 1, journals: [] }] }),
            },
            logger: { debug: silent, info: silent, warn: silent, error: silent },
            ready: () => this.confirmed,
            acknowledged: () => this.acknowledged,
            storeAvailable: () => true,
            vmState: vm => (this.goneVms.has(vm) ? "gone" : "live"),
            moves: {
                declare: order => declareMove(this.store.client("entry1"), this.listMoves(), order),
                list: () => this.listMoves(),
            },
            report: () => ({
                entry: "entry1",
                counters: { "requests.done": 2 },
                durations: this.histograms.summary(),
                histograms: this.histograms.encode(),
            }),
        });
    }
}
