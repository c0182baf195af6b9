/** Links over TCP and in memory behave alike: hello, order, both directions, close. TCP links also check the key. */
import { afterEach, describe, expect, it } from "vitest";
import { ConnectNetwork, type Link, type Listener, MemoryNetwork, type Network, Role } from "../../src/link/index.js";

const implementations: readonly { name: string; client: Network; server: Network; address: string }[] = [
    {
        name: "connect",
        client: ConnectNetwork.create("secret"),
        server: ConnectNetwork.create("secret"),
        address: "127.0.0.1:0",
    },
    memoryCase(),
];

function memoryCase(): { name: string; client: Network; server: Network; address: string } {
    const network = MemoryNetwork.create();
    return { name: "memory", client: network.at("client"), server: network.at("server"), address: "server" };
}

async function firstMessages(link: Link, count: number): Promise<unknown[]> {
    const received: unknown[] = [];
    for await (const body of link.messages) {
        received.push(body.case === "cancelStage" ? body.value.attempt : body.case);
        if (received.length === count) break;
    }
    return received;
}

describe.each(implementations)("link over $name", ({ client, server, address }) => {
    const open: (Listener | Link)[] = [];
    afterEach(async () => {
        for (const item of open.splice(0)) await item.close("test ended");
    });

    it("delivers messages in order in both directions and reports the close", async () => {
        let accepted: Link | undefined;
        const listener = await server.listen(
            address,
            () => ({ role: Role.AGENT, name: "server" }),
            link => {
                accepted = link;
                void (async () => {
                    for await (const body of link.messages) {
                        if (body.case === "cancelStage") link.send(body);
                    }
                })();
            },
        );
        open.push(listener);
        const outcome = await client.connect(listener.address, { role: Role.ENTRY, name: "client" });
        if (outcome.kind !== "connected") throw new Error(outcome.message);
        expect(outcome.link.peer.name).toBe("server");
        expect(accepted?.peer.name).toBe("client");
        const numbers = Array.from({ length: 200 }, (_, index) => index);
        for (const attempt of numbers) outcome.link.send({ case: "cancelStage", value: { attempt } });
        expect(await firstMessages(outcome.link, numbers.length)).toEqual(numbers);
        outcome.link.close("done");
        expect(outcome.link.send({ case: "cancelStage", value: { attempt: 1 } })).toBe(false);
        await accepted?.closed;
    });
});

describe("connect network", () => {
    it("refuses a peer with another key, so that an unauthorised process cannot control an agent", async () => {
        let accepted = 0;
        const listener = await ConnectNetwork.create("right").listen(
            "127.0.0.1:0",
            () => ({ name: "server" }),
            () => {
                accepted += 1;
            },
        );
        const outcome = await ConnectNetwork.create("wrong").connect(listener.address, { name: "client" });
        expect(outcome.kind).toBe("failed");
        expect(accepted).toBe(0);
        await listener.close();
    });
});
