/**
 * Bytes on the wire for each kind of message. A relay between the two ends of a link counts the bytes and chunks that
 * its sockets read. Messages are sent one at a time, so each chunk counts as a packet.
 */
import * as net from "node:net";
import { ConnectNetwork, type Link, type LinkBodyInit, splitAddress } from "../link/index.js";
import { pause } from "../model/pause.js";
import { wireSamples } from "./samples.js";
import type { FigureCollector } from "./statistics.js";

/** Estimated bytes of TCP and IP headers for each packet, without options and link layer. */
export const PACKET_HEADER_BYTES = 40;

const MESSAGES_PER_REPETITION = 50;

interface Traffic {
    bytes: number;
    packets: number;
}

interface Relay {
    readonly address: string;
    readonly opener: Traffic;
    readonly acceptor: Traffic;
    close(): void;
}

function forward(from: net.Socket, to: net.Socket, traffic: Traffic): void {
    from.setNoDelay(true);
    from.on("data", chunk => {
        traffic.bytes += chunk.length;
        traffic.packets += 1;
        to.write(chunk);
    });
    from.on("error", () => undefined).on("close", () => to.destroy());
}

/** Opens a relay to an address; it counts the traffic of both directions. */
async function openRelay(target: string): Promise<Relay> {
    const [host, port] = splitAddress(target);
    const opener: Traffic = { bytes: 0, packets: 0 };
    const acceptor: Traffic = { bytes: 0, packets: 0 };
    const server = net.createServer(near => {
        const far = net.connect(port, host);
        forward(near, far, opener);
        forward(far, near, acceptor);
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const bound = server.address() as net.AddressInfo;
    return { address: `127.0.0.1:${bound.port}`, opener, acceptor, close: () => server.close() };
}

async function sendSingly(link: Link, body: LinkBodyInit): Promise<void> {
    for (let index = 0; index < MESSAGES_PER_REPETITION; index += 1) {
        link.send(body);
        await pause(2);
    }
    await pause(20);
}

async function drain(link: Link): Promise<void> {
    for await (const body of link.messages) if (body.case === "hello") break;
}

/** Adds `wire.<message>.framed` (bytes of HTTP/2), `.total` (with packet headers) and `.reverse` (other direction). */
export async function measureWire(collector: FigureCollector, seed: number, repetitions: number): Promise<void> {
    const network = ConnectNetwork.create("bench");
    let resolveAccepted: (link: Link) => void = () => undefined;
    const accepted = new Promise<Link>(resolve => {
        resolveAccepted = resolve;
    });
    const listener = await network.listen("127.0.0.1:0", () => ({ name: "acceptor" }), resolveAccepted);
    const relay = await openRelay(listener.address);
    const outcome = await network.connect(relay.address, { name: "opener" });
    if (outcome.kind === "failed") throw new Error(outcome.message);
    const links = { opener: outcome.link, acceptor: await accepted };
    void drain(links.opener);
    void drain(links.acceptor);
    for (let repetition = 0; repetition < repetitions; repetition += 1) {
        for (const { name, from, body } of wireSamples(seed + repetition)) {
            const back = from === "opener" ? relay.acceptor : relay.opener;
            Object.assign(relay.opener, { bytes: 0, packets: 0 });
            Object.assign(relay.acceptor, { bytes: 0, packets: 0 });
            await sendSingly(links[from], body);
            addTraffic(collector, `wire.${name}`, relay[from], back);
        }
    }
    links.opener.close("measured");
    await listener.close();
    relay.close();
}

function addTraffic(collector: FigureCollector, name: string, forth: Traffic, back: Traffic): void {
    const withHeaders = (traffic: Traffic): number => traffic.bytes + traffic.packets * PACKET_HEADER_BYTES;
    collector.add(`${name}.framed`, forth.bytes / MESSAGES_PER_REPETITION, "B");
    collector.add(`${name}.total`, withHeaders(forth) / MESSAGES_PER_REPETITION, "B");
    collector.add(`${name}.reverse`, withHeaders(back) / MESSAGES_PER_REPETITION, "B");
}
