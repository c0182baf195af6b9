/** The requests of the demo: every pipeline through every entry, whole and streamed, and repeated bookings. */
import { randomUUID } from "node:crypto";
import PQueue from "p-queue";
import { type DemoRequest, sendRequest, type Verdict } from "./caller.js";
import type { Deployment } from "./deployment.js";

/** Pipelines without a non-idempotent stage, each with an account whose plan has it. */
const QUESTIONS: readonly (readonly [pipeline: string, account: string])[] = [
    ["dispatch-plan", "kettleby"],
    ["dispatch-plan", "ashwell"],
    ["quick-question", "brindle"],
    ["stock-check", "corrie"],
    ["quick-question", "dunmore"],
];
/** Each account sends this many requests through each entry, alternately whole and streamed. */
const ROUNDS = 6;
const BOOKING_ACCOUNTS = ["kettleby", "ashwell", "brindle", "corrie"];
const BOOKINGS = 8;
/** Requests in progress at once, while the targets are cold and afterwards: a cold `generate` takes one call at a time. */
const COLD_CONCURRENCY = 4;
const CONCURRENCY = 12;
/** Answers after which the targets count as warm: each of the four `generate` targets needs five calls, unevenly spread. */
const WARM_AFTER_ANSWERS = 40;

/** A request that was sent, with its verdict. */
export interface SentRequest {
    readonly request: DemoRequest;
    readonly verdict: Verdict;
}

/** Sends all requests of the demo and returns them with their verdicts. */
export async function sendTraffic(deployment: Deployment): Promise<readonly SentRequest[]> {
    const queue = new PQueue({ concurrency: COLD_CONCURRENCY });
    let answers = 0;
    queue.on("next", () => {
        answers += 1;
        if (answers === WARM_AFTER_ANSWERS) queue.concurrency = CONCURRENCY;
    });
    const requests = buildQuestions(deployment);
    const questionsSent = requests.map(request => queue.add(() => sendOne(request)));
    const bookingsSent = Array.from({ length: BOOKINGS }, (_, index) => queue.add(() => book(deployment, index)));
    return [...(await Promise.all(questionsSent)), ...(await Promise.all(bookingsSent)).flat()];
}

async function sendOne(request: DemoRequest): Promise<SentRequest> {
    return { request, verdict: await sendRequest(request) };
}

function buildQuestions(deployment: Deployment): readonly DemoRequest[] {
    const requests: DemoRequest[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
        for (const entry of deployment.entries) {
            for (const [pipeline, account] of QUESTIONS) {
                requests.push({
                    entry,
                    account: accountOf(deployment, account),
                    pipeline: deployment.pipeline(pipeline),
                    input: { prefix: "site notes", text: `Is heater ${requests.length} free on Friday?` },
                    streamed: round % 2 === 1,
                });
            }
        }
    }
    return requests;
}

/** Sends a booking through two entries at once, and once more through a third when both are answered. */
async function book(deployment: Deployment, index: number): Promise<readonly SentRequest[]> {
    const request = {
        account: accountOf(deployment, BOOKING_ACCOUNTS[index % BOOKING_ACCOUNTS.length] ?? ""),
        pipeline: deployment.pipeline("book-heater"),
        input: { heater: index, day: "Friday" },
        idempotencyKey: `booking-${randomUUID()}`,
    };
    const through = (offset: number): Promise<SentRequest> => {
        const entry = deployment.entries[(index + offset) % deployment.entries.length] ?? "";
        return sendOne({ ...request, entry, streamed: offset === 1 });
    };
    const first = await Promise.all([through(0), through(1)]);
    return [...first, await through(2)];
}

function accountOf({ accounts }: Deployment, name: string): DemoRequest["account"] {
    const account = accounts.find(each => each.name === name);
    if (account === undefined) throw new Error(`the lists have no account ${name}`);
    return account;
}
