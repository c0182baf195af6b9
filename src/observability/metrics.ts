/** Counters of a process, kept as totals in memory and sent to a StatsD collector if one is configured. */
import { StatsD } from "hot-shots";
import type { AgentSettings } from "../settings/schema.js";
import type { Metrics } from "./recorder.js";

/** Bounds the memory for tag values; increments of further series are counted without their tags. */
const MAXIMUM_SERIES = 5_000;

export class ProcessMetrics implements Metrics {
    private readonly counts = new Map<string, number>();

    private constructor(private readonly collector: StatsD | undefined) {}

    static create(collector: StatsD | undefined): ProcessMetrics {
        return new ProcessMetrics(collector);
    }

    increment(name: string, by = 1, tags: Readonly<Record<string, string>> = {}): void {
        const labels = Object.entries(tags).sort(([a], [b]) => (a < b ? -1 : 1));
        const tagged = `${name}{${labels.map(([key, value]) => `${key}=${value}`).join(",")}}`;
        const fits = this.counts.size < MAXIMUM_SERIES || this.counts.has(tagged);
        const series = labels.length > 0 && fits ? tagged : name;
        this.counts.set(series, (this.counts.get(series) ?? 0) + by);
        this.collector?.increment(name, by, series === name ? {} : { ...tags });
    }

    /** Totals since the start, by `name` or `name{tag=value,...}` with tags in alphabetical order. */
    totals(): ReadonlyMap<string, number> {
        return new Map(this.counts);
    }

    /** Sends buffered increments and closes the socket. */
    close(): Promise<void> {
        const { collector } = this;
        return collector === undefined ? Promise.resolve() : new Promise(resolve => collector.close(() => resolve()));
    }
}

/** Creates the counters of a process. They are sent by UDP only if the settings have an address. */
export function createMetrics(settings: AgentSettings["metrics"]): ProcessMetrics {
    if (settings.address === undefined) return ProcessMetrics.create(undefined);
    const [host = "", port = ""] = settings.address.split(":");
    const collector = new StatsD({
        host,
        port: Number(port),
        prefix: settings.prefix,
        // Sums increments in the process, so that a frequent counter does not need a datagram line for each increment.
        aggregation: true,
        // An unreachable collector must not affect the process.
        errorHandler: () => undefined,
    });
    return ProcessMetrics.create(collector);
}
