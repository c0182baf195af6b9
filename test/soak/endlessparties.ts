/** The processes that send without end, as the process that judges sees them. */
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { freeAddress } from "../processes/daemons.js";
import type { EndlessAnswer, EndlessCaller } from "./endlessbytes.js";
import { RUN_HOST } from "./proxy.js";

const WORKER = fileURLToPath(new URL("endlessworker.mjs", import.meta.url));

/** Processes between gateways and targets: a faulty target loads its own process, and at most this part of the others. */
const RELAY_PROCESSES = 3;

type Order =
    | { readonly kind: "relay"; readonly name: string; readonly address: string; readonly backend: string }
    | { readonly kind: "trouble"; readonly name: string; readonly answer: EndlessAnswer | undefined }
    | {
          readonly kind: "call";
          readonly address: string;
          readonly ids: readonly string[];
          readonly caller: EndlessCaller;
      };

type Report =
    | { readonly kind: "relayed"; readonly name: string }
    /** Answers to these requests, or to their pieces, were replaced. */
    | { readonly kind: "replaced"; readonly ids: readonly string[] };

/** Relays in front of targets, and callers. */
export class EndlessParties {
    /** Ids of requests of which a target has sent bytes without end, or no answer. */
    readonly replacedIds = new Set<string>();
    private readonly workerOfTarget = new Map<string, ChildProcess>();
    private readonly relayed = new Map<string, () => void>();

    private constructor(
        private readonly relayWorkers: readonly ChildProcess[],
        private readonly callerWorker: ChildProcess,
    ) {
        for (const worker of relayWorkers) worker.on("message", report => this.read(report as Report));
    }

    static start(): EndlessParties {
        const relayWorkers = Array.from({ length: RELAY_PROCESSES }, () => fork(WORKER, { execArgv: [] }));
        return new EndlessParties(relayWorkers, fork(WORKER, { execArgv: [] }));
    }

    close(): void {
        for (const worker of [...this.relayWorkers, this.callerWorker]) worker.kill("SIGKILL");
    }

    /** Starts a relay in front of a target. Returns its address. */
    async relay(name: string, backend: string): Promise<string> {
        const worker = this.relayWorkers[this.workerOfTarget.size % RELAY_PROCESSES];
        if (worker === undefined) throw new Error("no relay process");
        this.workerOfTarget.set(name, worker);
        const address = await freeAddress(RUN_HOST);
        const isListening = new Promise<void>(resolve => this.relayed.set(name, resolve));
        send(worker, { kind: "relay", name, address, backend });
        await isListening;
        return address;
    }

    /** Replaces the target's answers from now on; without an answer, they pass again. */
    trouble(name: string, answer: EndlessAnswer | undefined): void {
        const worker = this.workerOfTarget.get(name);
        if (worker !== undefined) send(worker, { kind: "trouble", name, answer });
    }

    /** Sends one request for each of the ids to a gateway. */
    call(address: string, ids: readonly string[], caller: EndlessCaller): void {
        send(this.callerWorker, { kind: "call", address, ids, caller });
    }

    private read(report: Report): void {
        if (report.kind === "relayed") this.relayed.get(report.name)?.();
        else for (const id of report.ids) this.replacedIds.add(id);
    }
}

function send(worker: ChildProcess, order: Order): void {
    if (worker.connected) worker.send(order);
}
