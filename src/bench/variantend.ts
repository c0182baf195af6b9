/** A process that runs one variant of a load case and prints its report as JSON. Argument: the run as JSON. */
import { runVariant, type VariantRun } from "./variants.js";

const run = JSON.parse(process.argv[2] ?? "{}") as VariantRun;
const report = await runVariant(run);
process.stdout.write(JSON.stringify(report), () => process.exit(0));
