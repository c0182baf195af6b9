/** The gateway's program on the platform: reads the settings, starts the gateway and answers signals. */
import { startGateway } from "../daemon/gateway.js";
import { DecisionLog } from "../observability/decisionlog.js";
import { formatSettingsErrors, gatewaySettingsSchema, loadSettings } from "../settings/index.js";
import { CallCounter } from "../store/index.js";
import { platformEnvironment } from "./source.js";

/** Exit code for invalid settings. */
const EXIT_USAGE = 2;

/** What signals do with a running gateway. */
export interface GatewayProgram {
    /** Reads the settings again. */
    readonly reload: () => void;
    /** Stops gracefully, once, and ends the process. `requestedAt` is a reading of the monotonic clock. */
    readonly stop: (requestedAt: number) => void;
}

/** Runs a gateway on a settings file. Resolves once it has started. */
export async function runGateway(file: string): Promise<GatewayProgram> {
    const loaded = await loadSettings(gatewaySettingsSchema, file);
    if (loaded.kind === "invalid") {
        for (const line of formatSettingsErrors(file, loaded.errors)) process.stderr.write(`error: ${line}\n`);
        process.exit(EXIT_USAGE);
    }
    const { settings } = loaded;
    const log = DecisionLog.create(settings.name);
    const environment = platformEnvironment({
        ...settings.store,
        ledger: CallCounter.create(),
        onEntryIgnored: (kind, reason) => log.write("entry ignored", { kind, reason }),
    });
    const running = await startGateway(settings, { ...environment, log });
    const reload = (): void => {
        void loadSettings(gatewaySettingsSchema, file).then(changed => {
            if (changed.kind === "loaded") running.reload(changed.settings);
            else log.writeUnthrottled("settings not reloaded", { errors: formatSettingsErrors(file, changed.errors) });
        });
    };
    let isStopping = false;
    const stop = (requestedAt: number): void => {
        if (isStopping) return;
        isStopping = true;
        void running.stop(requestedAt).then(() => process.exit(0));
    };
    return { reload, stop };
}
