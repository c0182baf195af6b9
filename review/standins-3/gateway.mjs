/** Starts gateways as the deploy file says, with settings from its template. */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { until } from "./time.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** Fields of a small deployment, as the settings of a process have them. */
const FIELDS = {
    Limits: { CpuQuota: 0.513, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000 },
    Bounds: {
        GraceS: 8,
        RetryBudgetRatio: 0.2,
        RetryAllowance: 56,
        BudgetWindowS: 10,
        ExposureShare: 0.1,
        ExposureTolerance: 50,
    },
};

/** Ports on which nothing listens. */
export async function freePorts(count) {
    const servers = Array.from({ length: count }, () => createServer());
    await Promise.all(servers.map(server => new Promise(resolve => server.listen(0, "127.0.0.1", resolve))));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Fills in the plain placeholders of a template; those without a value become empty. */
function render(template, fields) {
    return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) => {
        const value = path.split(".").reduce((found, name) => found?.[name], fields);
        return value === undefined ? "" : String(value);
    });
}

/** Number of ports on which a gateway listens. */
export const PORTS_OF_GATEWAY = 4;

/** A gateway process. */
export class GatewayProcess {
    static start({ name, zone = "zone-a", storePort, directory, ports }) {
        const gateway = new GatewayProcess();
        const [callers, readiness, peers, metrics] = ports;
        const fields = {
            ...FIELDS,
            NodeName: name,
            Zone: zone,
            Ip: "127.0.0.1",
            PortRange: [peers, metrics],
            Listen: { Frontend: `127.0.0.1:${callers}`, Readiness: `127.0.0.1:${readiness}` },
            Platform: { Address: `127.0.0.1:${storePort}` },
        };
        const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
        const [, run] = /^run = "(.*)"$/m.exec(deploy);
        const [, template] = /^template = "(.*)"$/m.exec(deploy);
        const file = join(directory, `${name}.yaml`);
        writeFileSync(file, render(readFileSync(join(ROOT, template), "utf8"), fields));
        Object.assign(gateway, { name, callers, readiness, file, run, directory });
        gateway.launch();
        return gateway;
    }

    launch() {
        const [command, ...words] = this.run.split(" ");
        const environment = { PATH: process.env.PATH, HOME: process.env.HOME, PARSLEYRUN_NODE_FILE: this.file };
        this.child = spawn(command, words, { cwd: ROOT, env: environment, stdio: ["ignore", "pipe", "pipe"] });
        const log = createWriteStream(join(this.directory, `${this.name}.log`), { flags: "a" });
        this.child.stdout.pipe(log);
        this.child.stderr.pipe(log);
        this.ended = new Promise(resolve => this.child.once("exit", (code, signal) => resolve({ code, signal })));
    }

    isReady() {
        return new Promise(resolve => {
            const call = get({ host: "127.0.0.1", port: this.readiness, path: "/readyz", agent: false }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            call.on("error", () => resolve(false));
        });
    }

    async ready(milliseconds = 15_000) {
        if (!(await until(() => this.isReady(), milliseconds))) throw new Error(`${this.name} is not ready`);
    }

    kill(signal = "SIGKILL") {
        this.child.kill(signal);
    }
}

/** A temporary folder that is removed when the process ends. */
export function temporaryFolder() {
    const directory = mkdtempSync(join(tmpdir(), "review-"));
    process.on("exit", () => rmSync(directory, { recursive: true, force: true }));
    return directory;
}
