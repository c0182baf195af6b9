#!/usr/bin/env node
/** Runs the stand-ins of a settings file until SIGTERM or SIGINT: `node dist/standins/main.js --settings FILE`. */
import meow from "meow";
import { formatSettingsErrors, loadSettings } from "../settings/index.js";
import { StandInEngine } from "./engine.js";
import { serveEngine, serveStore } from "./server.js";
import { type StandInSettings, standInSettingsSchema } from "./settings.js";
import { StandInStore } from "./store.js";

const EXIT_USAGE = 2;

async function serveAll(settings: StandInSettings): Promise<void> {
    const store = StandInStore.create();
    store.setVms(settings.vms);
    await serveStore(store, settings.store.address);
    for (const { address, ...options } of settings.targets) {
        await serveEngine(StandInEngine.create(options), address);
    }
}

const { flags } = meow("Usage: node dist/standins/main.js --settings FILE", {
    importMeta: import.meta,
    flags: { settings: { type: "string", isRequired: true } },
});
const outcome = await loadSettings(standInSettingsSchema, flags.settings);
if (outcome.kind === "invalid") {
    for (const line of formatSettingsErrors(flags.settings, outcome.errors)) console.error(`error: ${line}`);
    process.exit(EXIT_USAGE);
}
await serveAll(outcome.settings);
console.error(`stand-ins: store at ${outcome.settings.store.address}, ${outcome.settings.targets.length} targets`);
for (const signal of ["SIGTERM", "SIGINT"]) process.once(signal, () => process.exit(0));
