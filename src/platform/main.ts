#!/usr/bin/env node
/**
 * Runs a gateway on the platform. The first argument or an environment variable names the settings file. The platform
 * writes that file from `deploy/gateway.template` and sends SIGHUP when it has changed.
 */
import { startGateway } from "../daemon/gateway.js";
import { DecisionLog } from "../observability/decisionlog.js";
import { formatSettingsErrors, gatewaySettingsSchema, loadSettings } from "../settings/index.js";
import { CallCounter } from "../store/index.js";
import { platformDialect } from "./dialect.js";
import { encodeRolloutStatus } from "./configuration.js";
import { KIND } from "./names.js";
import { platformSource } from "./source.js";
import { PlatformStore } from "./store.js";

const SETTINGS_VARIABLE = "PARSLEYRUN_NODE_FILE";

/** Exit code for invalid settings. */
const EXIT_USAGE = 2;

const file = process.argv[2] ?? process.env[SETTINGS_VARIABLE] ?? "";

// Without a handler, a SIGHUP before the gateway has started would end the process.
let reload = (): void => undefined;
process.on("SIGHUP", () => reload());

const loaded = await loadSettings(gatewaySettingsSchema, file);
if (loaded.kind === "invalid") {
    for (const line of formatSettingsErrors(file, loaded.errors)) process.stderr.write(`error: ${line}\n`);
    process.exit(EXIT_USAGE);
}
const { settings } = loaded;
const log = DecisionLog.create(settings.name);
const ledger = CallCounter.create();
const store = PlatformStore.create({ ...settings.store, ledger });
const running = await startGateway(settings, {
    dialect: platformDialect,
    source: platformSource,
    store,
    writeRolloutState: (rollout, state) =>
        store.writeStatus(`${KIND.rollouts}/${rollout.service}`, encodeRolloutStatus(rollout, state), rollout.revision),
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
