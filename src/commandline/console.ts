/** Where commands write, and the exit codes that they end with. */

/** Exit codes of the command line; docs/operators.md explains them. */
export const ExitCode = {
    done: 0,
    /** The entry refused, or the command did not reach its end. */
    failed: 1,
    /** Wrong usage or wrong settings; nothing was started or sent. */
    usage: 2,
    /** No entry could be reached. */
    unreachable: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Output of a command. */
export interface Console {
    /** Writes a line to standard output. */
    readonly out: (line: string) => void;
    /** Writes a line to standard error. */
    readonly error: (line: string) => void;
}

/** The console of this process. */
export const processConsole: Console = {
    out: line => process.stdout.write(`${line}\n`),
    error: line => process.stderr.write(`${line}\n`),
};

/** Columns of equal width, two spaces apart. */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
    const widths: number[] = [];
    for (const row of rows) {
        row.forEach((cell, column) => {
            widths[column] = Math.max(widths[column] ?? 0, cell.length);
        });
    }
    return rows.map(row =>
        row
            .map((cell, column) => cell.padEnd(widths[column] ?? 0))
            .join("  ")
            .trimEnd(),
    );
}
