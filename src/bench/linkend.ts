/** Commands of an endpoint process on links: opening them, and sending with flow control. */
import { ConnectNetwork, type Link, type LinkBodyInit } from "../link/index.js";
import * as samples from "./samples.js";

/** Messages in flight before the sender waits for an acknowledgement; far below a link's queue. */
const WINDOW = 256;

const network = ConnectNetwork.create("bench");
let link: Link | undefined;
const retained: Link[] = [];
let acknowledged: (() => void) | undefined;

/** Number of messages that the receiver acknowledges together. */
let reportEvery = WINDOW;

/** Sets whether this end acknowledges each message or each window. */
export function reportEach(single: boolean): void {
    reportEvery = single ? 1 : WINDOW;
}

/** Reads a link: acknowledges messages, and resumes this end's sender when the peer acknowledges. */
async function receive(source: Link): Promise<void> {
    let count = 0;
    for await (const body of source.messages) {
        if (body.case === "acknowledge") {
            acknowledged?.();
            continue;
        }
        count += 1;
        if (count % reportEvery === 0) source.send({ case: "acknowledge", value: { configurationVersion: count } });
    }
}

function useLink(opened: Link): void {
    link = opened;
    retained.push(opened);
    void receive(opened);
}

/** Accepts links and returns the address. */
export async function listenLink(): Promise<string> {
    const listener = await network.listen("127.0.0.1:0", () => ({ name: "acceptor" }), useLink);
    return listener.address;
}

export async function connectLink(address: string): Promise<void> {
    const outcome = await network.connect(address, { name: "opener" });
    if (outcome.kind === "failed") throw new Error(outcome.message);
    useLink(outcome.link);
}

/** Opens a number of links, one after the other. */
export async function connectMany(address: string, count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) await connectLink(address);
}

function openLink(): Link {
    if (link === undefined) throw new Error("no link is open");
    return link;
}

async function sendWindows(body: LinkBodyInit, count: number): Promise<void> {
    const target = openLink();
    for (let sent = 0; sent < count; sent += WINDOW) {
        const reported = new Promise<void>(resolve => {
            acknowledged = resolve;
        });
        for (let index = 0; index < WINDOW; index += 1) target.send(body);
        await reported;
    }
}

/** Sends stage attempts in windows, each after the acknowledgement of the one before; `count` has to be a multiple of the window (256). */
export async function sendBulk(count: number, seed: number): Promise<void> {
    await sendWindows(samples.runStage(seed, 256), count);
}

/** Sends stage tokens in windows, each after the acknowledgement of the one before. */
export async function sendTokens(count: number, tokens: number, seed: number): Promise<void> {
    await sendWindows(samples.stageTokens(seed, tokens), count);
}

/** Sends stage attempts one at a time, each after the acknowledgement of the one before. */
export async function sendSingly(count: number, seed: number): Promise<void> {
    const body = samples.runStage(seed, 256);
    const target = openLink();
    for (let index = 0; index < count; index += 1) {
        const reported = new Promise<void>(resolve => {
            acknowledged = resolve;
        });
        target.send(body);
        await reported;
    }
}
