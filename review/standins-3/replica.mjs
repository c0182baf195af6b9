/** A stand-in for a replica of a plain service: it runs requests, tells its load and checks the instance that is expected. */
import { createServer } from "node:http";
import { pause } from "./time.mjs";

const STAMP = "x-parsleyrun-server-stamp";

/** One replica. `runs` has each request that it began to run. */
export class Replica {
    runs = [];
    running = 0;

    /**
     * `workMs` is the time of a request. `answer` writes the response of a run request; by default 200 with a short body.
     */
    static async start({ id, service, zone = "zone-a", version = "v1", slots = 6, workMs = 20, answer, onRun }) {
        const replica = new Replica();
        Object.assign(replica, { id, service, zone, version, slots, workMs, answer, onRun, born: Date.now() });
        replica.server = createServer((request, response) => {
            replica.serve(request, response).catch(() => response.destroy());
        });
        await new Promise(resolve => replica.server.listen(0, "127.0.0.1", resolve));
        replica.address = `127.0.0.1:${replica.server.address().port}`;
        return replica;
    }

    /** What it registers in the store. */
    entry(state = "available") {
        return {
            Service: this.service,
            Address: this.address,
            Zone: this.zone,
            Version: this.version,
            Slots: this.slots,
            State: state,
            ColdRemainingMs: 0,
            Seqno: 1,
            born: this.born,
        };
    }

    register(store, state) {
        return store.put("servers", this.id, this.entry(state));
    }

    /** Ends the process of the replica: connections are closed and none is accepted. */
    exit() {
        this.hasExited = true;
        this.server.close();
        this.server.closeAllConnections();
    }

    async serve(request, response) {
        const { headers } = request;
        const parts = [];
        const expected = headers["x-parsleyrun-expect-instance"];
        const common = {
            "x-parsleyrun-request-id": headers["x-parsleyrun-request-id"] ?? "",
            "x-parsleyrun-instance-id": this.id,
        };
        if (expected !== undefined && expected !== this.id) {
            request.resume();
            response.writeHead(421, { ...common, "content-length": 0 });
            response.end();
            return;
        }
        const arrivedAt = performance.now();
        for await (const part of request) parts.push(part);
        const body = Buffer.concat(parts).toString();
        const { method, url } = request;
        const run = {
            at: arrivedAt,
            replica: this.id,
            id: common["x-parsleyrun-request-id"],
            method,
            url,
            headers,
            body,
        };
        this.runs.push(run);
        this.onRun?.(run);
        this.running += 1;
        await pause(this.workMs);
        this.running -= 1;
        run.endedAt = performance.now();
        run.cut = response.destroyed;
        const load = `${this.running},0,${this.slots}`;
        const answerHeaders = { ...common, [STAMP]: `stamp.${this.id}.${run.id}`, "x-parsleyrun-server-load": load };
        if (this.answer !== undefined) {
            this.answer(run, response, answerHeaders);
            return;
        }
        const text = Buffer.from(`answer of ${this.id} to ${run.id}\n`);
        response.writeHead(200, { ...answerHeaders, "content-length": text.length });
        response.end(text);
    }
}
