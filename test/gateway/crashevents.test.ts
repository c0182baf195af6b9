/**
 * One prompt part crashes each engine at some event of the stream that it answers with, while sound streams are in progress at
 * the engine. The gateways must recognise the part from few crashes, and go on serving sound requests with the other parts.
 */
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/model/pause.js";
import {
    ask,
    CRASHES_TO_RECOGNISE,
    crashesOf,
    DOWN_MS,
    registerAfterCrashes,
    REQUESTS_AFTER_RECOGNITION,
} from "./crashingengines.js";
import { type CallAnswer, Deployment } from "./harness.js";

let deployment: Deployment;

afterEach(() => deployment.close());

/** How sound and deadly streams are served, and what their prompts have beside the deadly part. */
interface StreamCase {
    readonly path: string;
    /** Events of a deadly stream before its target crashes, by the number of the request. */
    readonly eventsBeforeCrash: (index: number) => number;
    readonly soundEvents: number;
    readonly gapMs: number;
    readonly sharedParts: number;
    readonly ownParts: number;
    /** Position of the deadly part among the shared ones, which it takes the place of. */
    readonly position: number;
}

const SHORT: StreamCase = {
    path: "/draft/1",
    eventsBeforeCrash: () => 1,
    soundEvents: 4,
    gapMs: 10,
    sharedParts: 2,
    ownParts: 0,
    position: 1,
};
const LONG: StreamCase = { ...SHORT, soundEvents: 25, gapMs: 30 };

/** Time in milliseconds between sound requests, and number of sound requests for each deadly one. */
const SOUND_INTERVAL_MS = 40;
const SOUND_PER_DEADLY = 5;
const SOUND_REQUESTS = 70;

/** Fraction of the later sound requests that have to be served to the end: LOST allows half of the usual ones to begin. */
const SERVED_FRACTION = 0.5;

/** Sends sound and deadly streams with these prompts to three gateways, and returns the answers to the sound ones. */
async function serveStreams(streams: StreamCase): Promise<readonly CallAnswer[]> {
    const { path, eventsBeforeCrash, soundEvents, gapMs, sharedParts, ownParts, position } = streams;
    const shared = Array.from({ length: sharedParts }, (_, index) => `shared-${index}`);
    const deadly = shared.map((part, index) => (index === position ? "deadly" : part));
    registerAfterCrashes(deployment, "engines");
    let deadlyCount = 0;
    for (const target of deployment.targets.values()) {
        target.behaviour = ({ headers }) => {
            if (!String(headers["x-parsleyrun-prefix-hash"]).includes("deadly:")) {
                return { kind: "stream", events: soundEvents, gapMs };
            }
            deadlyCount += 1;
            return { kind: "crash", downMs: DOWN_MS, events: eventsBeforeCrash(deadlyCount), gapMs };
        };
    }
    const sound: Promise<CallAnswer>[] = [];
    const others: Promise<CallAnswer>[] = [];
    for (let index = 0; index < SOUND_REQUESTS; index += 1) {
        const own = Array.from({ length: ownParts }, (_, part) => `own-${index}-${part}`);
        sound.push(ask(deployment, { id: `sound-${index}`, path, parts: [...shared, ...own] }, index % 3));
        if (index % SOUND_PER_DEADLY === 0) {
            others.push(ask(deployment, { id: `deadly-${index}`, path, parts: deadly }, (index + 1) % 3));
        }
        await pause(SOUND_INTERVAL_MS);
    }
    await Promise.all(others);
    return Promise.all(sound);
}

describe("a prompt part that crashes targets at some event of a stream", () => {
    // A first event once counted as proof that a request is harmless. With streams in progress at each crash, the parts that
    // sound requests share are at all of them as well.
    it.each<{ name: string; streams: StreamCase }>([
        { name: "before the first event", streams: { ...SHORT, eventsBeforeCrash: () => 0 } },
        { name: "after the first event", streams: SHORT },
        { name: "after the first event of a stream that can be resumed", streams: { ...SHORT, path: "/chat/1" } },
        { name: "after the last event", streams: { ...SHORT, eventsBeforeCrash: () => 4 } },
        { name: "at another event each time", streams: { ...SHORT, eventsBeforeCrash: index => (index * 3) % 5 } },
        { name: "before the first event, beside long streams", streams: { ...LONG, eventsBeforeCrash: () => 0 } },
        { name: "after the first event, beside long streams", streams: LONG },
        { name: "after the fifth event, beside long streams", streams: { ...LONG, eventsBeforeCrash: () => 5 } },
        {
            name: "at another event each time, beside long streams with a few parts of their own",
            streams: { ...LONG, eventsBeforeCrash: index => (index * 7) % 20, ownParts: 2 },
        },
        {
            name: "after the first event, as the first part",
            streams: { ...SHORT, position: 0 },
        },
        // Of the traits of a crash only 64 were once kept, those that came first.
        {
            name: "before the first event, behind 88 other parts",
            streams: { ...SHORT, eventsBeforeCrash: () => 0, sharedParts: 98, position: 88 },
        },
        {
            name: "after the third event, behind 140 other parts, beside long streams with 40 parts of their own",
            streams: { ...LONG, eventsBeforeCrash: () => 3, sharedParts: 150, position: 140, ownParts: 40 },
        },
    ])("is recognised $name", async ({ streams }) => {
        deployment = await Deployment.start({ engines: 6 }, 3);
        const sound = await serveStreams(streams);
        expect(crashesOf(deployment)).toBeLessThanOrEqual(CRASHES_TO_RECOGNISE + REQUESTS_AFTER_RECOGNITION);
        const later = sound.slice(SOUND_REQUESTS / 2);
        const served = later.filter(({ status, complete }) => status === 200 && complete);
        expect(served.length).toBeGreaterThanOrEqual(later.length * SERVED_FRACTION);
    });
});
