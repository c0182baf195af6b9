#!/usr/bin/env node
/**
 * Runs a gateway on the platform. The first argument or an environment variable names the settings file. The platform
 * writes that file from `deploy/gateway.template` and sends SIGHUP when it has changed.
 *
 * A SIGHUP without a handler ends the process, so the handler is installed before the program is loaded.
 */
const SETTINGS_VARIABLE = "PARSLEYRUN_NODE_FILE";

let reload = (): void => undefined;
process.on("SIGHUP", () => reload());

const { runGateway } = await import("./program.js");
reload = await runGateway(process.argv[2] ?? process.env[SETTINGS_VARIABLE] ?? "");
