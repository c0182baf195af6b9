#!/usr/bin/env node
/**
 * A gateway on the platform. The settings file is the first argument, or named by the platform's environment variable;
 * the platform writes it from `deploy/gateway.template` and says by SIGHUP that it has changed.
 */
import { startGateway } from "../daemon/gateway.js";
import { DecisionLog } from "../observability/decisionlog.js";
import { formatSettingsErrors, gatewaySettingsSchema, loadSettings } from "../settings/index.js";
import { CallLedger } from "../store/index.js";
import { platformDialect } from "./dialect.js";
import { platformSource } from "./source.js";
import { PlatformStore } from "./store.js";

const SETTINGS_VARIABLE = "PARSLEYRUN_NODE_FILE";

/** Exit code for settings that cannot be used. */
const EXIT_USAGE = 2;

const file = process.argv[2] ?? process.env[SETTINGS_VARIABLE] ?? "";

// Until there is something to reload, the signal must not end the process, which is what it does by default.
let reload = (): void => undefined;
process.on("SIGHUP", () => reload());

const loaded = await loadSettings(gatewaySettingsSchema, file);
if (loaded.kind === "invalid") {
    for (const line of formatSettingsErrors(file, loaded.errors)) process.stderr.write(`error: ${line}\n`);
    process.exit(EXIT_USAGE);
}
const { settings } = loaded;
const log = DecisionLog.create(settings.name);
const ledger = CallLedger.create();
const running = await startGateway(settings, {
    dialect: platformDialect,
    source: platformSource,
    store: PlatformStore.create({ ...settings.store, ledger }),
    ledger,
    log,
});
reload = (): void => {
    void loadSettings(gatewaySettingsSchema, file).then(changed => {
        if (changed.kind === "loaded") running.reload(changed.settings);
        else log.writeUnthrottled("settings not reloaded", { errors: formatSettingsErrors(file, changed.errors) });
    });
};
process.once("SIGTERM", () => {
    void running.stop().then(() => process.exit(0));
});
