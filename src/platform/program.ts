/** The gateway's program on the platform: reads the settings, starts the gateway and answers signals. */
import { startGateway } from "../daemon/gateway.js";
import { DecisionLog } from "../observability/decisionlog.js";
import { formatSettingsErrors, gatewaySettingsSchema, loadSettings } from "../settings/index.js";
import { CallCounter } from "../store/index.js";
import { platformDialect } from "./dialect.js";
import { encodeRolloutStatus } from "./configuration.js";
import { KIND } from "./names.js";
import { platformSource } from "./source.js";
import { PlatformStore } from "./store.js";

/** Exit code for invalid settings. */
const EXIT_USAGE = 2;

/** Runs a gateway on a settings file. Resolves, once it has started, to a function that reads the settings again. */
export async function runGateway(file: string): Promise<() => void> {
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
            store.writeStatus(
                `${KIND.rollouts}/${rollout.service}`,
                encodeRolloutStatus(rollout, state),
                rollout.revision,
            ),
        ledger,
        log,
    });
    const reload = (): void => {
        void loadSettings(gatewaySettingsSchema, file).then(changed => {
            if (changed.kind === "loaded") running.reload(changed.settings);
            else log.writeUnthrottled("settings not reloaded", { errors: formatSettingsErrors(file, changed.errors) });
        });
    };
    process.once("SIGTERM", () => {
        void running.stop().then(() => process.exit(0));
    });
    return reload;
}
