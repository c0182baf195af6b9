/**
 * A gateway's machine is lost for good. Some seconds later the operator orders a roll-out of a bad version to a service
 * whose roll-outs fall to that gateway.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { BOUNDS, Fleet } from "../lib/gateways.mjs";
import { Platform } from "../lib/platform.mjs";
import { pause, runCase } from "../lib/record.mjs";
import { Replica } from "../lib/replica.mjs";

const ZONES = ["toowoomba", "stanthorpe", "gatton"];
const SERVICE = "bookings";
/** The machine that is lost. The roll-outs of SERVICE fall to it. */
const LOST = process.env.LOST ?? "edge-gatton-1";
const CLIENTS = 45;
const REQUEST_INTERVAL_MS = 300;
const WORK_MS = 15;
const FAILING_SHARE = 0.4;
const DURATION_S = 12;
const BAD_ANSWERS = 50;
const TRAFFIC_MS = 40_000;

const CONFIGURATION = {
    Version: 7,
    Routes: [
        {
            ...{ Name: "r-stock-check", Host: "stock.example", PathPrefix: "/stock/", Kind: "safe" },
            ...{ TimeoutMs: 800, TargetLatencyMs: 121, Priority: 2, Service: SERVICE, MaxAttempts: 2 },
        },
    ],
    Services: [{ Name: SERVICE, HealthPath: "/healthz", MaxConns: 110, ColdStartS: 0, ColdPerS: 0 }],
    Tenants: [{ Name: "bozi300", ApiKeys: ["key-1"], Priority: 1 }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
};

const platform = new Platform();
const fleet = new Fleet(platform);
const replicas = [];

async function run(record, hasTrouble) {
    const sentAt = new Map();
    const arrivals = [];
    let badAnswers = 0;
    let fiftiethAt;
    let attempt = 0;
    const runAt = version => arrival => {
        const { id, replica } = arrival;
        attempt += 1;
        const isBad = version === "v2" && attempt % 100 < FAILING_SHARE * 100;
        const at = performance.now();
        arrivals.push({ id, version, at });
        record.add("runs", { id, replica: replica.id, version, isBad });
        if (isBad) badAnswers += 1;
        if (badAnswers === BAD_ANSWERS) fiftiethAt ??= at + WORK_MS;
        return { status: isBad ? 500 : 200, workMs: WORK_MS };
    };
    const addReplicas = async version => {
        for (const zone of ZONES) {
            const replica = new Replica({
                ...{ id: `i-${zone}-${version}`, service: SERVICE, zone, version, run: runAt(version) },
            });
            replicas.push(replica);
            await replica.start();
            platform.put("servers", replica.id, replica.entry());
        }
    };
    platform.onWrite = write => {
        record.add("store written", { ...write, status: write.status ?? undefined });
        if (write.kind !== "rollouts" || write.status?.State !== "reverted") return;
        // The new replicas drain some seconds after the version was taken back.
        setTimeout(() => {
            for (const replica of replicas.filter(({ registration }) => registration.Version === "v2")) {
                platform.put("servers", replica.id, replica.entry("draining"));
            }
        }, 3_000);
    };
    platform.put("config", "main", CONFIGURATION);
    await addReplicas("v1");
    for (const zone of ZONES) await fleet.add(`edge-${zone}-1`, zone);
    fleet.watchReadiness();
    await fleet.untilAllReady();
    record.add("all gateways are ready");

    let isOver = false;
    const clients = Array.from({ length: CLIENTS }, (_, index) => new Client(fleet, ZONES[index % 3], index));
    const traffic = clients.map(async client => {
        await pause(Math.random() * REQUEST_INTERVAL_MS);
        while (!isOver) {
            const next = pause(REQUEST_INTERVAL_MS);
            const result = await client.send({
                ...{ host: "stock.example", path: "/stock/heater", key: "key-1", deadlineMs: 1_500 },
            });
            sentAt.set(result.id, result);
            record.add("answered", { id: result.id, gateway: result.gateway, status: result.status });
            await next;
        }
        client.close();
    });
    await pause(3_000);
    if (hasTrouble) {
        fleet.find(LOST).signal("SIGKILL");
        record.add("machine lost for good", { gateway: LOST });
    }
    // The others are long in touch when the roll-out is ordered, and nothing is disturbed any more.
    await pause(8_000);
    await addReplicas("v2");
    platform.put("rollouts", SERVICE, { Service: SERVICE, Target: "v2", DurationS: DURATION_S });
    record.add("roll-out ordered");
    await pause(TRAFFIC_MS);
    isOver = true;
    await Promise.all(traffic);

    const state = platform.find("rollouts", SERVICE).Status?.State;
    const toBad = arrivals.filter(({ version }) => version === "v2");
    record.add("end", { state, requests: arrivals.length, toBad: toBad.length, badAnswers });
    console.log(`state ${state}, ${arrivals.length} runs, ${toBad.length} of v2, ${badAnswers} bad answers`);
    if (arrivals.length < 1_000) throw new Error("too few requests were served");
    if (fiftiethAt === undefined) return [];
    return toBad
        .map(({ id }) => ({ ...sentAt.get(id), id }))
        .filter(sent => sent.gateway !== LOST && sent.sentAt > fiftiethAt + BOUNDS.RollbackMs)
        .map(
            sent =>
                `${sent.id} sent by ${sent.gateway} ${Math.round(sent.sentAt - fiftiethAt)} ms after the 50th bad answer`,
        );
}

async function stopAll() {
    await fleet.stop();
    for (const replica of replicas) replica.stop();
    platform.close();
}

await runCase(dirname(fileURLToPath(import.meta.url)), run, stopAll);
