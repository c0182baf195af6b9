/** Figures of the bench tool: the median of several repetitions, with their range. */

/** One measured figure. */
export interface Figure {
    readonly median: number;
    readonly low: number;
    readonly high: number;
    readonly repetitions: number;
    readonly unit: string;
}

/** Figures by name. */
export type Figures = Readonly<Record<string, Figure>>;

/** The value below which a fraction of the sorted values lies (nearest rank). Throws when there is no value. */
export function quantile(sorted: readonly number[], fraction: number): number {
    const rank = Math.max(0, Math.ceil(fraction * sorted.length) - 1);
    const value = sorted[Math.min(rank, sorted.length - 1)];
    if (value === undefined) throw new Error("quantile needs at least one value");
    return value;
}

/** The figure of repeated measurements, rounded to three significant digits. */
export function figureOf(values: readonly number[], unit: string): Figure {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = Math.floor(sorted.length / 2);
    const even = sorted.length % 2 === 0;
    const median = even ? ((sorted[middle - 1] ?? NaN) + (sorted[middle] ?? NaN)) / 2 : (sorted[middle] ?? NaN);
    return {
        median: round(median),
        low: round(quantile(sorted, 0)),
        high: round(quantile(sorted, 1)),
        repetitions: sorted.length,
        unit,
    };
}

/** Rounds to three significant digits, and to a whole number from 100 up. */
function round(value: number): number {
    return Math.abs(value) >= 100 ? Math.round(value) : Number(value.toPrecision(3));
}

/** Collects values by figure name over repetitions. */
export class FigureCollector {
    private readonly values = new Map<string, { unit: string; values: number[] }>();

    private constructor() {}

    static create(): FigureCollector {
        return new FigureCollector();
    }

    /** Adds one repetition's value. */
    add(name: string, value: number, unit: string): void {
        const entry = this.values.get(name) ?? { unit, values: [] };
        entry.values.push(value);
        this.values.set(name, entry);
    }

    /** The figures so far, in the order in which their names were first added. */
    figures(): Figures {
        return Object.fromEntries([...this.values].map(([name, entry]) => [name, figureOf(entry.values, entry.unit)]));
    }
}
