/** Free ports on the loopback address. */
import { createServer } from "node:net";

/** Ports are below 32768, where the system takes the ports of outgoing connections from. */
const FIRST_PORT = 20_000;
const PORTS = 12_000;

let next = Math.floor(Math.random() * PORTS);

export async function freePort() {
    for (;;) {
        next = (next + 1) % PORTS;
        const port = FIRST_PORT + next;
        const isFree = await new Promise(done => {
            const server = createServer();
            server.once("error", () => done(false));
            server.listen(port, "127.0.0.1", () => server.close(() => done(true)));
        });
        if (isFree) return port;
    }
}

/** Listens on a free port. Resolves to `ip:port`. */
export async function listen(server) {
    const port = await freePort();
    await new Promise(done => server.listen(port, "127.0.0.1", done));
    return `127.0.0.1:${port}`;
}
