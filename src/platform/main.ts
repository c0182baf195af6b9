#!/usr/bin/env node
/**
 * Runs a gateway on the platform. The first argument or an environment variable names the settings file. The platform
 * writes that file from `deploy/gateway.template` and sends SIGHUP when it has changed.
 *
 * A signal without a handler ends the process, so the handlers are installed before the program is loaded. A stop that is
 * requested while it is loaded or starts follows at once, and its grace period counts from the signal.
 */
const SETTINGS_VARIABLE = "PARSLEYRUN_NODE_FILE";

let reload = (): void => undefined;
let stopRequestedAt: number | undefined;
let stop = (requestedAt: number): void => void (stopRequestedAt ??= requestedAt);
process.on("SIGHUP", () => reload());
process.on("SIGTERM", () => stop(performance.now()));

const { runGateway } = await import("./program.js");
const program = await runGateway(process.argv[2] ?? process.env[SETTINGS_VARIABLE] ?? "");
({ reload, stop } = program);
if (stopRequestedAt !== undefined) stop(stopRequestedAt);
