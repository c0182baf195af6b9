/** A loopback proxy in front of a stand-in, by which connections are delayed, cut, reset or silenced from outside. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { freeAddress } from "../processes/daemons.js";

/** What happens to bytes. `silent` loses them in both directions, `oneWay` only those of answers. */
export type ProxyMode = "pass" | "slow" | "silent" | "oneWay" | "refuse";

const SLOW_MS = 400;

/** Loopback address of this run. Runs at the same time must not take each other's ports while a process restarts. */
export const RUN_HOST = `127.${1 + (Math.floor(process.pid / 250) % 250)}.${1 + (process.pid % 250)}.1`;

function addressOf(text: string): { readonly host: string; readonly port: number } {
    const [host = "", port = ""] = text.split(":");
    return { host, port: Number(port) };
}

interface Connection {
    readonly caller: Socket;
    readonly callee: Socket;
}

function holdUp({ caller, callee }: Connection): void {
    caller.pause();
    callee.pause();
}

export class FaultProxy {
    mode: ProxyMode = "pass";
    private readonly sockets = new Set<Socket>();
    private readonly connections = new Set<Connection>();
    private holdsNewConnections = false;

    private constructor(
        readonly address: string,
        private readonly server: Server,
    ) {}

    static async start(backend: string): Promise<FaultProxy> {
        const server = createServer(socket => proxy.accept(socket, backend));
        const proxy: FaultProxy = new FaultProxy(await freeAddress(RUN_HOST), server);
        const { host, port } = addressOf(proxy.address);
        await new Promise<void>(resolve => server.listen(port, host, resolve));
        return proxy;
    }

    /**
     * Holds up the open connections for which `isHeld` returns true, and new ones if `holdsNew`: nothing passes in either
     * direction, not even the end of a connection. Returns a function that lets everything pass which came meanwhile.
     */
    hold(isHeld: () => boolean, holdsNew: boolean): () => void {
        this.holdsNewConnections = holdsNew;
        for (const connection of this.connections) if (isHeld()) holdUp(connection);
        return () => {
            this.holdsNewConnections = false;
            for (const { caller, callee } of this.connections) {
                caller.resume();
                callee.resume();
            }
        };
    }

    /** Resets all open connections. */
    reset(): void {
        for (const socket of this.sockets) socket.resetAndDestroy();
    }

    close(): void {
        this.server.close();
        this.reset();
    }

    private accept(caller: Socket, backend: string): void {
        if (this.mode === "refuse") {
            caller.resetAndDestroy();
            return;
        }
        const callee = connect(addressOf(backend));
        const connection = { caller, callee };
        this.connections.add(connection);
        caller.once("close", () => this.connections.delete(connection));
        this.forward(caller, callee, () => this.mode === "silent");
        this.forward(callee, caller, () => this.mode === "silent" || this.mode === "oneWay");
        if (this.holdsNewConnections) holdUp(connection);
    }

    private forward(from: Socket, to: Socket, isLost: () => boolean): void {
        this.sockets.add(from);
        from.setNoDelay(true);
        from.on("error", () => undefined);
        from.on("data", (chunk: Buffer) => {
            if (isLost()) return;
            if (this.mode === "slow") setTimeout(() => to.destroyed || to.write(chunk), SLOW_MS);
            else to.write(chunk);
        });
        from.on("end", () => isLost() || to.end());
        from.on("close", () => {
            this.sockets.delete(from);
            // A lost connection stays open at the other end, as after a cut.
            if (!isLost()) to.destroy();
        });
    }
}
