/** Logger on standard error: one JSON object a line, or readable text. */
import { formatWithOptions } from "node:util";
import { Logger } from "tslog";
import type { AgentSettings } from "../settings/schema.js";
import type { StateLogger } from "./recorder.js";

/** Creates a logger. Lines below the level of the settings are not written. */
export function createLogger(settings: AgentSettings["logging"], name: string): StateLogger {
    return new Logger<unknown>({
        name,
        type: settings.format,
        minLevel: settings.level.toUpperCase() as Uppercase<typeof settings.level>,
        // Finding the source position of the caller takes a stack trace for each line.
        hideLogPositionForProduction: true,
        stylePrettyLogs: false,
        overwrite: {
            transportJSON: line => process.stderr.write(`${JSON.stringify(line)}\n`),
            transportFormatted: (head, values, errors) => {
                const text = formatWithOptions({ colors: false, depth: 4 }, ...values);
                process.stderr.write(`${head}${text}${errors.map(error => `\n${error}`).join("")}\n`);
            },
        },
    });
}
