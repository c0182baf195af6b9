/** What the stand-ins' servers share. */
import type { IncomingMessage } from "node:http";
import type { AddressInfo, Server } from "node:net";

/** Listens on a free port of the loopback address; resolves to `ip:port`. */
export async function listen(server: Server): Promise<string> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Reads the body of a request. */
export function readAll(request: IncomingMessage): Promise<string> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks).toString()));
    });
}
