/** Console output and exit codes of the commands. */

/** Exit codes of the command line; docs/operators.md explains them. */
export const ExitCode = {
    done: 0,
    /** The entry refused the request, or the command did not complete. */
    failed: 1,
    /** Invalid arguments or settings; nothing was started or sent. */
    usage: 2,
    /** No entry could be reached. */
    unreachable: 3,
} as const;

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

/** Pads the cells of each column to the same width, with two spaces between columns. */
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
