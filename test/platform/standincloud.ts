/**
 * A stand-in for the part of the platform that takes calls which are the duty of one gateway at a time. Tests choose its
 * answers and read the calls that arrived.
 */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { listen, readAll } from "./listening.js";

/** A call that arrived. */
export interface ArrivedCall {
    /** Wall-clock time in milliseconds. */
    readonly at: number;
    readonly path: string;
    readonly holder: string;
    readonly token: number;
    readonly body: { readonly WindowId?: number; readonly Counts?: Readonly<Record<string, number>> };
    /** Status with which it was answered; 0 for none. */
    readonly status: number;
}

/** The receiver of calls. */
export class StandInCloud {
    address = "";
    /** The status of the next answer; 0 for no answer. */
    answer: (call: Omit<ArrivedCall, "status">) => number = () => 200;
    delayMs = 0;
    readonly calls: ArrivedCall[] = [];
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {}

    static async start(): Promise<StandInCloud> {
        const server = createServer((request, response) => {
            const at = Date.now();
            void readAll(request).then(text => {
                const { headers, url: path = "" } = request;
                const holder = String(headers["x-parsleyrun-duty-holder"]);
                const token = Number(headers["x-parsleyrun-fencing-token"]);
                const call = { at, path, holder, token, body: JSON.parse(text) as ArrivedCall["body"] };
                const status = cloud.answer(call);
                cloud.calls.push({ ...call, status });
                if (status === 0) return;
                setTimeout(() => response.writeHead(status).end(), cloud.delayMs);
            });
        });
        const cloud: StandInCloud = new StandInCloud(server);
        server.on("connection", socket => {
            socket.on("error", () => undefined);
            cloud.sockets.add(socket);
            socket.once("close", () => cloud.sockets.delete(socket));
        });
        cloud.address = await listen(server);
        return cloud;
    }

    /** Calls that were accepted, by window. */
    get reports(): ReadonlyMap<number, readonly ArrivedCall[]> {
        const reports = new Map<number, ArrivedCall[]>();
        for (const call of this.calls) {
            if (call.path !== "/usage" || call.status !== 200 || call.body.WindowId === undefined) continue;
            reports.set(call.body.WindowId, [...(reports.get(call.body.WindowId) ?? []), call]);
        }
        return reports;
    }

    close(): void {
        this.server.close();
        for (const socket of this.sockets) socket.destroy();
    }
}
