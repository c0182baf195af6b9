/** Starts gateways with the command of the deploy file and settings like those of a small deployment. */
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Bounds of the small deployment. */
export const BOUNDS = { contactMs: 3_000, drainMs: 2_000, graceS: 8, configApplyMs: 2_000 };

async function freePorts(count) {
    const servers = Array.from({ length: count }, () => createServer());
    const ports = [];
    for (const server of servers) {
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        ports.push(server.address().port);
    }
    for (const server of servers) await new Promise(resolve => server.close(resolve));
    return ports;
}

export class Gateways {
    constructor() {
        this.running = [];
    }

    static async create() {
        const gateways = new Gateways();
        // Whatever ends this process, the gateways end with it.
        process.once("exit", () => gateways.kill());
        for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.once(signal, () => process.exit(2));
        gateways.folder = await mkdtemp(join(tmpdir(), "parsleyrun-review-"));
        return gateways;
    }

    /** Starts a gateway; `name` is that of its machine. Resolves once it is ready. */
    async start(name, zone, storeAddress, variables = {}) {
        const [caller, readiness, peer, metrics] = await freePorts(4);
        const settings = [
            `name: ${name}`,
            `zone: ${zone}`,
            `callerAddress: 127.0.0.1:${caller}`,
            `readinessAddress: 127.0.0.1:${readiness}`,
            `peerAddress: 127.0.0.1:${peer}`,
            `metricsAddress: 127.0.0.1:${metrics}`,
            "store:",
            `  address: ${storeAddress}`,
            "  timeoutMilliseconds: 600",
            "stopGraceSeconds: 8",
            "machine:",
            "  processorShare: 0.513",
            "  processorCores: 1",
            "  linkMegabits: 1000",
            "  memoryMegabytes: 350",
            "  descriptors: 4100",
            "retries:",
            "  fractionOfRequests: 0.2",
            "  allowance: 56",
            "  windowSeconds: 10",
            "rollouts:",
            "  share: 0.1",
            "  allowance: 50",
            "",
        ].join("\n");
        const file = join(this.folder, `${name}.yaml`);
        await writeFile(file, settings);
        // The words of `run` in deploy/system.toml.
        const child = spawn("node", ["--max-old-space-size=192", "target/platform/main.js"], {
            cwd: REPOSITORY,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, PARSLEYRUN_NODE_FILE: file, ...variables },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.folder, `${name}.log`));
        child.stdout.pipe(log);
        child.stderr.pipe(log);
        const gateway = { name, child, port: caller, readiness, metrics, log: join(this.folder, `${name}.log`) };
        child.once("exit", (code, signal) => (gateway.ended = { code, signal }));
        this.running.push(gateway);
        await this.untilReady(gateway);
        return gateway;
    }

    async untilReady(gateway) {
        const endsAt = performance.now() + 15_000;
        while (performance.now() < endsAt) {
            if (gateway.ended !== undefined) break;
            const status = await new Promise(resolve => {
                const request = get({ host: "127.0.0.1", port: gateway.readiness, path: "/readyz" }, response => {
                    response.resume();
                    resolve(response.statusCode);
                });
                request.on("error", () => resolve(0));
            });
            if (status === 200) return;
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        throw new Error(`${gateway.name} is not ready`);
    }

    kill() {
        for (const { child, ended } of this.running) if (ended === undefined) child.kill("SIGKILL");
    }

    /** Ends all gateways that were started here. */
    async close() {
        this.kill();
        await new Promise(resolve => setTimeout(resolve, 200));
        if (process.env.KEEP === undefined) await rm(this.folder, { recursive: true, force: true });
        else console.log(this.folder);
    }
}
