/** Duration histograms by account, plan, kind, pipeline, stage and measure. They can be merged across processes. */
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from "hdr-histogram-js";
import { z } from "zod";
import type { DurationLabels, DurationRecorder } from "./recorder.js";

export interface HistogramSetOptions {
    /** Limit on label sets with a histogram of their own; each takes about 10 KB. */
    readonly maximumLabelSets?: number;
}

/** Summary of one label set, in milliseconds. */
export interface DurationSummary {
    readonly labels: DurationLabels;
    readonly count: number;
    readonly mean: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** Value of all labels except the measure for durations beyond the limit on label sets. */
export const OVERFLOW_LABEL = "(other)";

const DEFAULT_MAXIMUM_LABEL_SETS = 1_000;
/** Resolution of 10 µs, fine enough for gaps between tokens. */
const UNITS_PER_MILLISECOND = 100;
/** Ten minutes. Longer durations are recorded as this value. */
const MAXIMUM_UNITS = 600_000 * UNITS_PER_MILLISECOND;
/** Measures that get an overflow histogram each; all other measures share one. */
const KNOWN_MEASURES = ["total", "firstToken", "tokenGap", "stage", "cost", "peerCall", "eventLoopDelay"];

const labelsSchema = z.strictObject({
    account: z.string(),
    plan: z.string(),
    kind: z.string(),
    pipeline: z.string(),
    stage: z.string().exactOptional(),
    measure: z.string(),
});
const encodedSchema = z.array(z.tuple([labelsSchema, z.string()]));

interface Entry {
    readonly labels: DurationLabels;
    readonly histogram: Histogram;
}

function createHistogram(): Histogram {
    return build({
        bitBucketSize: 32,
        autoResize: false,
        highestTrackableValue: MAXIMUM_UNITS,
        numberOfSignificantValueDigits: 2,
    });
}

function overflowLabels(measure: string): DurationLabels {
    const knownMeasure = KNOWN_MEASURES.includes(measure) ? measure : OVERFLOW_LABEL;
    const other = OVERFLOW_LABEL;
    return { account: other, plan: other, kind: other, pipeline: other, measure: knownMeasure };
}

function keyOf(labels: DurationLabels): string {
    const { account, plan, kind, pipeline, stage, measure } = labels;
    return JSON.stringify([account, plan, kind, pipeline, stage ?? null, measure]);
}

/** Histograms by label set, each created on first use. */
export class HistogramSet implements DurationRecorder {
    private readonly entries = new Map<string, Entry>();

    private constructor(private readonly maximumLabelSets: number) {}

    static create(options: HistogramSetOptions = {}): HistogramSet {
        return new HistogramSet(options.maximumLabelSets ?? DEFAULT_MAXIMUM_LABEL_SETS);
    }

    /** Records one duration with an error of at most 1%. Ignores NaN. */
    record(labels: DurationLabels, milliseconds: number): void {
        if (Number.isNaN(milliseconds)) return;
        const units = Math.round(milliseconds * UNITS_PER_MILLISECOND);
        this.histogramOf(labels).recordValue(Math.min(MAXIMUM_UNITS, Math.max(0, units)));
    }

    /** Encodes the whole set as text, for `merge` in another process. */
    encode(): string {
        const encoded = [...this.entries.values()].map(entry => [
            entry.labels,
            encodeIntoCompressedBase64(entry.histogram),
        ]);
        return JSON.stringify(encoded);
    }

    /** Adds the histograms of an encoded set. Returns false and adds nothing if the text is malformed. */
    merge(encoded: string): boolean {
        try {
            const decoded = encodedSchema.parse(JSON.parse(encoded)).map(([labels, text]) => {
                const histogram = decodeFromCompressedBase64(text, 32, false);
                if (histogram.maxValue > createHistogram().highestTrackableValue) throw new Error("out of range");
                return { labels, histogram };
            });
            for (const { labels, histogram } of decoded) this.histogramOf(labels).add(histogram);
            return true;
        } catch {
            return false;
        }
    }

    /** A new set with mapped labels. Merges histograms with the same new labels; omits those mapped to undefined. */
    regroup(relabel: (labels: DurationLabels) => DurationLabels | undefined): HistogramSet {
        const regrouped = new HistogramSet(this.maximumLabelSets);
        for (const { labels, histogram } of this.entries.values()) {
            const newLabels = relabel(labels);
            if (newLabels !== undefined) regrouped.histogramOf(newLabels).add(histogram);
        }
        return regrouped;
    }

    /** Count, mean, percentiles and maximum of each label set. */
    summary(): readonly DurationSummary[] {
        return [...this.entries.values()].map(({ labels, histogram }) => {
            const at = (percentile: number): number =>
                histogram.getValueAtPercentile(percentile) / UNITS_PER_MILLISECOND;
            const max = histogram.maxValue / UNITS_PER_MILLISECOND;
            const mean = histogram.mean / UNITS_PER_MILLISECOND;
            return { labels, count: histogram.totalCount, mean, p50: at(50), p95: at(95), p99: at(99), max };
        });
    }

    private histogramOf(labels: DurationLabels): Histogram {
        const found = this.entries.get(keyOf(labels));
        if (found !== undefined) return found.histogram;
        const fits = this.entries.size < this.maximumLabelSets;
        const usedLabels = fits ? labels : overflowLabels(labels.measure);
        const overflow = fits ? undefined : this.entries.get(keyOf(usedLabels));
        if (overflow !== undefined) return overflow.histogram;
        const entry = { labels: { ...usedLabels }, histogram: createHistogram() };
        this.entries.set(keyOf(usedLabels), entry);
        return entry.histogram;
    }
}
