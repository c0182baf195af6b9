/** Guards against a call to the store that never ends, and with it a view that follows nothing any more. */
import { createServer } from "node:net";
import { expect, it } from "vitest";
import { PlatformStore } from "../../src/platform/store.js";
import { CallCounter } from "../../src/store/index.js";

it("an upgrade of the connection counts as no answer", async () => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () =>
            socket.write("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n"),
        );
    });
    const address = await new Promise<string>(resolve =>
        server.listen(0, "127.0.0.1", () => {
            const bound = server.address();
            resolve(typeof bound === "object" ? `127.0.0.1:${bound?.port}` : "");
        }),
    );
    const store = PlatformStore.create({ address, timeoutMilliseconds: 500, ledger: CallCounter.create() });
    expect(await store.read("config/main")).toMatchObject({ kind: "unavailable" });
    store.close();
    server.close();
});
