/** The gateway as a process: signals, and the end of a planned stop, as callers and the load balancer see them. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { StandInTarget } from "../platform/standintarget.js";
import { StandInPlatform } from "../platform/standinplatform.js";
import { CONFIGURATION } from "../gateway/harness.js";
import { type Daemon, freeAddress, ProcessGroup, until } from "./daemons.js";

let group: ProcessGroup;
let platform: StandInPlatform;
let target: StandInTarget;
let gateway: Daemon;
let callers: string;
let readiness: string;

/** Delays the loading of the gateway's modules, and says when it begins. */
const SLOW_LOADING = `import { register } from "node:module";
register("data:text/javascript," + encodeURIComponent(\`
    import { writeSync } from "node:fs";
    export async function load(url, context, next) {
        if (url.endsWith("/daemon/gateway.js")) {
            writeSync(2, "loading\\\\n");
            await new Promise(resolve => setTimeout(resolve, 1_000));
        }
        return next(url, context);
    }
\`));`;

async function start(
    settings: Readonly<Record<string, unknown>> = {},
    nodeArguments: readonly string[] = [],
    whileLoading: () => Promise<void> = () => Promise.resolve(),
): Promise<void> {
    callers = await freeAddress();
    readiness = await freeAddress();
    gateway = group.spawn(
        "gateway",
        "gateway",
        {
            name: "gateway-1",
            zone: "east",
            callerAddress: callers,
            readinessAddress: readiness,
            peerAddress: await freeAddress(),
            store: { address: platform.address, timeoutMilliseconds: 300 },
            ...settings,
        },
        nodeArguments,
    );
    await whileLoading();
    await gateway.logged('"started"');
}

async function readinessStatus(): Promise<number | undefined> {
    return (await fetch(`http://${readiness}/readyz`).catch(() => undefined))?.status;
}

function call(path: string, id: string): Promise<Response> {
    const headers = {
        "x-parsleyrun-request-id": id,
        "x-parsleyrun-deadline-ms": "2000",
        "authorization": "Token good-key",
    };
    return fetch(`http://${callers}${path}`, { method: "POST", body: "b", headers });
}

beforeEach(async () => {
    group = ProcessGroup.create();
    platform = await StandInPlatform.start();
    target = await StandInTarget.start("bookings-0");
    const routes = CONFIGURATION.Routes.map(route => ({ ...route, Host: "127.0.0.1" }));
    platform.put("config", "main", { ...CONFIGURATION, Routes: routes });
    const record = { Service: "bookings", Address: target.address, Zone: "east", Version: "v1", Slots: 4, born: 1 };
    platform.put("servers", "bookings-0", { ...record, State: "available" });
});

afterEach(async () => {
    await group.close();
    platform.close();
    target.close();
});

describe("a gateway process", () => {
    it("survives a signal to reload that comes while its program is loaded", async () => {
        const slowLoading = `data:text/javascript,${encodeURIComponent(SLOW_LOADING)}`;
        await start({}, ["--import", slowLoading], async () => {
            await gateway.logged("loading");
            gateway.signal("SIGHUP");
        });
        await until("the gateway is ready", async () => (await readinessStatus()) === 200);
    });

    // Guards against a stop in which the process is ended by the signal, as it has no handler yet.
    it("ends with 0 after a signal to stop that comes while its program is loaded", async () => {
        const slowLoading = `data:text/javascript,${encodeURIComponent(SLOW_LOADING)}`;
        await start({}, ["--import", slowLoading], async () => {
            await gateway.logged("loading");
            gateway.signal("SIGTERM");
        });
        expect(await gateway.ended).toEqual({ code: 0, signal: null });
        expect(platform.names("parsleyrun-gateways")).toEqual([]);
    });

    it("serves, survives a reload, and ends a planned stop within its time without cutting an answer", async () => {
        await start({ stopGraceSeconds: 6 });
        await until("ready", async () => (await readinessStatus()) === 200);
        expect((await call("/check/1", "first")).status).toBe(200);
        gateway.signal("SIGHUP");
        await gateway.logged('"settings reloaded"');
        let answer: (() => void) | undefined;
        const held = new Promise<void>(resolve => (answer = resolve));
        target.behaviour = () => ({ kind: "answer", after: held });
        const open = call("/book/1", "open");
        await until("the request is at the target", () => target.arrivals.length === 2);
        gateway.signal("SIGTERM");
        await until("not ready", async () => (await readinessStatus()) === 503);
        answer?.();
        expect(await (await open).text()).toBe("answer to open");
        expect(await gateway.ended).toEqual({ code: 0, signal: null });
        expect(platform.names("parsleyrun-gateways")).toEqual([]);
    });

    it("is not ready while it has no configuration, and refuses with a time to come back", async () => {
        platform.down = true;
        await start();
        expect(await readinessStatus()).toBe(503);
        const answer = await call("/check/1", "early");
        expect(answer.status).toBe(503);
        expect(Number(answer.headers.get("retry-after"))).toBeGreaterThan(0);
        platform.down = false;
        await until("ready", async () => (await readinessStatus()) === 200);
    });

    it("ends with 2 and names the key when its settings have a fault", async () => {
        gateway = group.spawn("gateway", "faulty", { name: "gateway-1", zone: "east", port: 7 });
        expect(await gateway.ended).toEqual({ code: 2, signal: null });
        expect(gateway.errors).toContain("port: unknown key");
    });
});
