/** Child processes of the bench tool: modules that print a result and exit, and endpoints that take commands. */
import { type ChildProcess, execFile, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";

/** A command to an endpoint process, with its arguments. */
export interface Command {
    readonly name: string;
    readonly address?: string;
    readonly addresses?: readonly string[];
    readonly count?: number;
    readonly tokens?: number;
    readonly seed?: number;
}

/** Reply of an endpoint process. */
export type Reply = { readonly value: unknown } | { readonly error: string };

/** Timeout of a command, and of a module that prints a number. */
const COMMAND_TIMEOUT_MS = 20_000;

const runFile = promisify(execFile);

/** Runs a module of this folder in a child process and returns the number that it prints. */
export async function runForNumber(module: string, args: readonly string[]): Promise<number> {
    return Number(await runModule(module, args, COMMAND_TIMEOUT_MS));
}

/** Runs a module of this folder in a child process and returns its output. Throws when it fails or times out. */
export async function runModule(module: string, args: readonly string[], timeout: number): Promise<string> {
    const file = fileURLToPath(new URL(`./${module}.js`, import.meta.url));
    const { stdout } = await runFile(process.execPath, ["--expose-gc", file, ...args], { timeout });
    return stdout;
}

/** A process at one end of a connection; it runs one command at a time. */
export class EndpointProcess {
    private constructor(private readonly child: ChildProcess) {}

    static start(): EndpointProcess {
        const file = fileURLToPath(new URL("./end.js", import.meta.url));
        return new EndpointProcess(fork(file, [], { execArgv: ["--expose-gc"] }));
    }

    /** Runs a command. Throws when the process reports an error or does not reply in time. */
    async run<Value>(command: Command): Promise<Value> {
        const reply = await new Promise<Reply>((resolve, reject) => {
            const timer = setTimeout(() => {
                reject(new Error(`${command.name} did not finish in time`));
            }, COMMAND_TIMEOUT_MS);
            this.child.removeAllListeners("message");
            this.child.once("message", message => {
                clearTimeout(timer);
                resolve(message as Reply);
            });
            this.child.send(command);
        });
        if ("error" in reply) throw new Error(`${command.name}: ${reply.error}`);
        return reply.value as Value;
    }

    stop(): void {
        this.child.kill();
    }
}
