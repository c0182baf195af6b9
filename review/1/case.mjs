/**
 * Replicas answer without a length, so that the end of the connection is the end of the answer. One in three breaks off a
 * few of its answers: it sends the first half, and the connection is reset.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { Fleet } from "../lib/gateways.mjs";
import { Platform } from "../lib/platform.mjs";
import { pause, runCase } from "../lib/record.mjs";
import { Replica } from "../lib/replica.mjs";

const ZONES = ["toowoomba", "stanthorpe", "gatton"];
const BOOKINGS = "bookings";
const POOL = "parsley-pool";
/** The replicas that break off answers are those of one zone, a third of all, and the part of their answers that they break off. */
const FAULTY_ZONE = "gatton";
const BROKEN_SHARE = 0.02;
/** They do so for some seconds, several times. */
const FAULTY_MS = 5_500;
const SOUND_MS = 3_000;
const TIMES = 5;
const CLIENTS = 36;
const REQUEST_INTERVAL_MS = 250;
const WORK_MS = 20;

const common = { Priority: 2, TimeoutMs: 6_000 };
const CONFIGURATION = {
    Version: 7,
    Routes: [
        {
            ...{ ...common, Name: "r-book-heater", Host: "book.example", PathPrefix: "/book/", Kind: "unsafe" },
            ...{ TargetLatencyMs: 121, Service: BOOKINGS, MaxAttempts: 1 },
        },
        {
            ...{ ...common, Name: "r-stock-check", Host: "stock.example", PathPrefix: "/stock/", Kind: "safe" },
            ...{ TargetLatencyMs: 121, Service: BOOKINGS, MaxAttempts: 2 },
        },
        {
            ...{ ...common, Name: "r-yard-chat", Host: "chat.example", PathPrefix: "/chat/", Kind: "streaming" },
            ...{ Resumable: true, Sticky: true, TargetLatencyMs: 1_800, ItlTargetMs: 400 },
            ...{ Service: POOL, MaxAttempts: 2 },
        },
    ],
    Services: [
        { Name: BOOKINGS, HealthPath: "/healthz", MaxConns: 110, ColdStartS: 0, ColdPerS: 0 },
        {
            ...{ Name: POOL, HealthPath: "/healthz", MaxConns: 370, ColdStartS: 3, ColdPerS: 14 },
            Backend: { Slots: 64, KvCapacity: 399_952 },
        },
    ],
    Tenants: [{ Name: "bozi300", ApiKeys: ["key-1"], Priority: 1 }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
};

/** The kinds of request, with the whole answer to each. */
const KINDS = [
    {
        request: { method: "POST", host: "book.example", path: "/book/heater", body: "a heater" },
        answer: id => `booked ${id} ${"b".repeat(760)} end`,
    },
    {
        request: { method: "GET", host: "stock.example", path: "/stock/heater" },
        answer: id => `in stock ${id} ${"s".repeat(760)} end`,
    },
    {
        request: {
            ...{ method: "POST", host: "chat.example", path: "/chat/1", body: "a question" },
            headers: { "x-parsleyrun-model": "m", "x-parsleyrun-token-count": "715,282" },
        },
        answer: () => Array.from({ length: 8 }, (_, index) => `id: ${index + 1}\ndata: some words\n\n`).join(""),
    },
];

const platform = new Platform();
const fleet = new Fleet(platform);
const replicas = [];

async function run(record, hasTrouble) {
    const kindOf = new Map();
    const brokenOff = new Set();
    let isFaulty = false;
    let answers = 0;
    for (const service of [BOOKINGS, POOL]) {
        for (const zone of ZONES) {
            const replica = new Replica({
                ...{ id: `i-${service}-${zone}`, service, zone, slots: service === POOL ? 64 : 6 },
                run: ({ id, headers }) => {
                    const kind = kindOf.get(id);
                    const body = kind.answer(id);
                    answers += 1;
                    const isBroken = isFaulty && zone === FAULTY_ZONE && Math.random() < BROKEN_SHARE;
                    // A stream is broken off between two events.
                    const half = service === POOL ? body.length / 2 : Math.floor(body.length / 2);
                    if (isBroken) brokenOff.add(id);
                    record.add("runs", { id, replica: replica.id, isBroken, after: headers["last-event-id"] });
                    return {
                        ...{ status: 200, workMs: WORK_MS, body, isFramed: false },
                        ...(service === POOL ? { headers: { "content-type": "text/event-stream" } } : {}),
                        ...(isBroken ? { resetAfter: half } : {}),
                    };
                },
            });
            replicas.push(replica);
            await replica.start();
            platform.put("servers", replica.id, replica.entry());
        }
    }
    platform.put("config", "main", CONFIGURATION);
    for (const zone of ZONES) await fleet.add(`edge-${zone}-1`, zone);
    fleet.watchReadiness();
    await fleet.untilAllReady();

    let isOver = false;
    let successes = 0;
    const others = new Map();
    const violations = [];
    const clients = Array.from({ length: CLIENTS }, (_, index) => new Client(fleet, ZONES[index % 3], index));
    const traffic = clients.map(async (client, index) => {
        const kind = KINDS[index % KINDS.length];
        await pause(Math.random() * REQUEST_INTERVAL_MS);
        for (let number = 1; !isOver; number += 1) {
            const next = pause(REQUEST_INTERVAL_MS);
            const parts = { "x-parsleyrun-prefix-hash": `a0a0a0a0:172,${(index * 65_536 + number).toString(16)}:543` };
            const result = await client.send({
                ...{ ...kind.request, key: "key-1", deadlineMs: 5_000 },
                headers: { ...kind.request.headers, ...(kind.request.headers === undefined ? {} : parts) },
                onSent: id => kindOf.set(id, kind),
            });
            const { id, gateway, status, body = "" } = result;
            const whole = kind.answer(id);
            const isWhole = body === whole;
            record.add("answered", {
                id,
                gateway,
                status,
                bytes: body.length,
                whole: whole.length,
                reason: result.reason,
            });
            if (status !== 200) others.set(status, (others.get(status) ?? 0) + 1);
            else if (isWhole) successes += 1;
            else {
                violations.push(
                    `${kind.request.method} ${kind.request.path} ${id}: a success with ${body.length} bytes of ${whole.length}, ` +
                        `broken off by its replica: ${brokenOff.has(id)}`,
                );
            }
            await next;
        }
        client.close();
    });
    for (let time = 1; time <= TIMES; time += 1) {
        await pause(SOUND_MS);
        isFaulty = hasTrouble;
        record.add("replicas may break off answers", { isFaulty });
        await pause(FAULTY_MS);
        isFaulty = false;
    }
    await pause(SOUND_MS);
    isOver = true;
    await Promise.all(traffic);

    record.add("end", { answers, brokenOff: brokenOff.size, successes, others: [...others], cut: violations.length });
    console.log(
        `${successes} whole successes, ${brokenOff.size} answers broken off; other results ${JSON.stringify([...others])}`,
    );
    if (successes < 1_000) throw new Error("too few requests were served");
    return violations;
}

async function stopAll() {
    await fleet.stop();
    for (const replica of replicas) replica.stop();
    platform.close();
}

await runCase(dirname(fileURLToPath(import.meta.url)), run, stopAll);
