/**
 * An endpoint process: one end of a connection under measurement. The bench tool sends it commands as messages. Each
 * end has a process of its own, so that its processor time can be read separately.
 */
import { callHttp, callUnary, listenHttp, listenUnary, listenEvents, readEvents } from "./callend.js";
import { connectLink, connectMany, listenLink, reportEach, sendBulk, sendSingly, sendTokens } from "./linkend.js";
import { callDirect, callSystem, listenStandIns, startSystem } from "./pathend.js";
import type { Command, Reply } from "./peer.js";

let usageAtStart = process.cpuUsage();

/** Bytes in use after a garbage collection; `resident` includes HTTP/2 memory outside of the JavaScript heap. */
function memory(): { heap: number; external: number; resident: number } {
    globalThis.gc?.();
    globalThis.gc?.();
    const usage = process.memoryUsage();
    return { heap: usage.heapUsed, external: usage.external, resident: usage.rss };
}

const commands: Readonly<Record<string, (command: Command) => unknown>> = {
    begin: () => {
        usageAtStart = process.cpuUsage();
    },
    finish: () => {
        const used = process.cpuUsage(usageAtStart);
        return used.user + used.system;
    },
    memory,
    listenLink,
    connectLink: command => connectLink(command.address ?? ""),
    connectMany: command => connectMany(command.address ?? "", command.count ?? 0),
    sendBulk: command => sendBulk(command.count ?? 0, command.seed ?? 1),
    reportEach: command => reportEach(command.count === 1),
    sendSingly: command => sendSingly(command.count ?? 0, command.seed ?? 1),
    sendTokens: command => sendTokens(command.count ?? 0, command.tokens ?? 1, command.seed ?? 1),
    listenUnary,
    callUnary: command => callUnary(command.address ?? "", command.count ?? 0, command.seed ?? 1),
    listenHttp,
    callHttp: command => callHttp(command.address ?? "", command.count ?? 0, command.seed ?? 1),
    listenEvents: command => listenEvents(command.count ?? 0, command.tokens ?? 1, command.seed ?? 1),
    listenStandIns,
    startSystem: command => startSystem(command.addresses ?? [], command.tokens ?? 0),
    callSystem: command => callSystem(command.address ?? "", command.count ?? 0, command.seed ?? 1),
    callDirect: ({ addresses, count, tokens, seed }) => callDirect(addresses ?? [], count ?? 0, tokens ?? 0, seed ?? 1),
    readEvents: command => readEvents(command.address ?? "", command.count ?? 0),
};

async function execute(command: Command): Promise<Reply> {
    try {
        const handler = commands[command.name];
        if (handler === undefined) return { error: "unknown command" };
        return { value: await handler(command) };
    } catch (error) {
        return { error: error instanceof Error ? error.message : "command failed" };
    }
}

process.on("message", message => {
    void execute(message as Command).then(reply => process.send?.(reply));
});

// Listening sockets would keep this process running after the bench tool has ended.
process.on("disconnect", () => process.exit());
