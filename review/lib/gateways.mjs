/** Gateway processes, built and started as the deploy file says, on loopback addresses. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { freePort } from "./ports.mjs";
import { pause, until } from "./record.mjs";

const ROOT = resolve(fileURLToPath(import.meta.url), "../../..");

/** Bounds and limits of the sheet of kettleby-ops. */
export const BOUNDS = {
    ContactMs: 3_000,
    DrainMs: 2_000,
    GraceS: 8,
    ConfigApplyMs: 2_000,
    RetryBudgetRatio: 0.2,
    BudgetWindowS: 10,
    RetryAllowance: 56,
    ExposureShare: 0.1,
    ExposureTolerance: 50,
    RollbackMs: 5_000,
    ColdOvershoot: 1.5,
    ColdTolerance: 5,
};
const LIMITS = { CpuQuota: 0.513, Cores: 1, MemoryMb: 350, MaxFds: 4_100, LinkMbps: 1_000 };

/** Two misses in a row take a gateway out of the rotation for new connections. */
const READINESS_INTERVAL_MS = 1_000;
const READINESS_MISSES = 2;

/** The command that starts a gateway, from the deploy file. */
function runCommand() {
    const line = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"));
    return line[1].split(" ");
}

/** Fills the template of the settings in, as far as it uses plain placeholders. */
function renderSettings(fields) {
    const template = readFileSync(join(ROOT, "deploy/gateway.template"), "utf8");
    return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_, path) =>
        String(path.split(".").reduce((value, key) => value[key], fields)),
    );
}

export class Gateway {
    output = "";
    isReady = false;
    misses = 0;
    hasEnded = true;

    constructor(name, zone, fields, file) {
        this.name = name;
        this.zone = zone;
        this.frontend = fields.Listen.Frontend;
        this.readiness = fields.Listen.Readiness;
        this.file = file;
    }

    start() {
        const [program, ...words] = runCommand();
        const { PATH, HOME, LANG = "C" } = process.env;
        this.child = spawn(program, words, {
            cwd: ROOT,
            env: { PATH, HOME, LANG, PARSLEYRUN_NODE_FILE: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.hasEnded = false;
        for (const stream of [this.child.stdout, this.child.stderr]) {
            stream.on("data", text => (this.output = (this.output + text).slice(-100_000)));
        }
        this.child.once("exit", () => (this.hasEnded = true));
    }

    /** Sends a signal to the process that this object has started. */
    signal(name) {
        if (!this.hasEnded) this.child.kill(name);
    }

    async ask() {
        const [host, port] = this.readiness.split(":");
        return new Promise(done => {
            const question = request({ host, port, path: "/readyz", timeout: 900 }, answer => {
                answer.resume();
                done(answer.statusCode === 200);
            });
            question.on("timeout", () => question.destroy());
            question.on("error", () => done(false));
            question.end();
        });
    }
}

/** The gateways, and the platform's rotation of those that take new connections. */
export class Fleet {
    gateways = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));

    constructor(platform) {
        this.platform = platform;
        // Whatever ends this process, none of those that it started is left.
        process.once("exit", () => this.gateways.forEach(gateway => gateway.signal("SIGKILL")));
    }

    async add(name, zone) {
        const address = async () => `127.0.0.1:${await freePort()}`;
        const fields = {
            NodeName: name,
            Zone: zone,
            Ip: "127.0.0.1",
            PortRange: [await freePort(), await freePort()],
            Listen: { Frontend: await address(), Readiness: await address() },
            Limits: LIMITS,
            Bounds: BOUNDS,
            Platform: { Address: await this.platform.listenFor(name) },
        };
        const file = join(this.folder, `${name}.yaml`);
        writeFileSync(file, renderSettings(fields));
        const gateway = new Gateway(name, zone, fields, file);
        this.gateways.push(gateway);
        gateway.start();
        return gateway;
    }

    find(name) {
        return this.gateways.find(gateway => gateway.name === name);
    }

    /** Asks all gateways whether they are ready, once a second. */
    watchReadiness() {
        this.timer = setInterval(() => {
            for (const gateway of this.gateways) {
                void gateway.ask().then(isReady => {
                    gateway.misses = isReady ? 0 : gateway.misses + 1;
                    if (isReady) gateway.isReady = true;
                    else if (gateway.misses >= READINESS_MISSES) gateway.isReady = false;
                });
            }
        }, READINESS_INTERVAL_MS);
    }

    async untilAllReady() {
        const areReady = () => this.gateways.every(({ isReady }) => isReady);
        await until("all gateways are ready", areReady);
        // Machines are in touch once they have run for this long.
        await pause(BOUNDS.ContactMs + 500);
    }

    /** The gateway to which a new connection of a client goes: among those of its zone, else among all. */
    choose(client) {
        const ready = this.gateways.filter(({ isReady }) => isReady);
        const near = ready.filter(({ zone }) => zone === client.zone);
        const among = near.length > 0 ? near : ready;
        return among[client.hash % among.length];
    }

    /** Ends all processes and removes their files. */
    async stop() {
        clearInterval(this.timer);
        for (const gateway of this.gateways) gateway.signal("SIGKILL");
        await until("all gateways have ended", () => this.gateways.every(({ hasEnded }) => hasEnded));
        rmSync(this.folder, { recursive: true, force: true });
    }
}
