/** Renders parts of a self-contained HTML page: escaped text, tables and SVG bar charts. */

/** HTML or SVG, as opposed to plain text, which has to be escaped first. */
export type Markup = { readonly markup: string };

/** A row of a bar chart, with one value for each series. */
export interface ChartRow {
    readonly label: string;
    readonly values: readonly number[];
}

const BAR_HEIGHT = 10;
const ROW_GAP = 10;
const LABEL_WIDTH = 260;
const BAR_WIDTH = 440;
const VALUE_WIDTH = 100;
const LEGEND_HEIGHT = 24;
/** Number of label characters that fit beside the bars. */
const LABEL_CHARACTERS = 40;
const COLOURS = ["#4878a8", "#e0953c", "#b8473d"];

const ESCAPES: Readonly<Record<string, string>> = {
    "&": "&amp;",
    "<": "&lt;",
    ">": "&gt;",
    '"': "&quot;",
    "'": "&#39;",
};

/** Escapes text for HTML content and quoted attribute values. */
export function escapeText(text: string): string {
    return text.replace(/[&<>"']/g, character => ESCAPES[character] ?? "");
}

/** Formats a number with one decimal below 100 and none from 100. */
export function formatFigure(value: number): string {
    return value.toFixed(value < 100 ? 1 : 0);
}

/** A table; the first `textColumns` columns are aligned to the left, the others to the right as numbers. */
export function table(head: readonly string[], rows: readonly (readonly string[])[], textColumns: number): Markup {
    const renderRow = (cells: readonly string[], tag: string): string => {
        const cellMarkup = cells.map((cell, column) => {
            const kind = column < textColumns ? "" : ' class="number"';
            return `<${tag}${kind}>${escapeText(cell)}</${tag}>`;
        });
        return `<tr>${cellMarkup.join("")}</tr>`;
    };
    const body = rows.map(row => renderRow(row, "td")).join("\n");
    return { markup: `<table>\n<thead>${renderRow(head, "th")}</thead>\n<tbody>\n${body}\n</tbody>\n</table>` };
}

/** A chart of horizontal bars, grouped by row, with one colour for each series. */
export function barChart(title: string, series: readonly string[], rows: readonly ChartRow[]): Markup {
    const largest = Math.max(...rows.flatMap(({ values }) => values), Number.MIN_VALUE);
    const rowHeight = series.length * BAR_HEIGHT + ROW_GAP;
    const width = LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH;
    const height = LEGEND_HEIGHT + rows.length * rowHeight;
    const bars = rows.map((row, index) => renderChartRow(row, LEGEND_HEIGHT + index * rowHeight, largest));
    const markup = [
        `<svg viewBox="0 0 ${width} ${height}" width="${width}" height="${height}" role="img">`,
        `<title>${escapeText(title)}</title>`,
        ...series.map(renderLegendItem),
        ...bars,
        "</svg>",
    ].join("\n");
    return { markup };
}

function renderLegendItem(name: string, index: number): string {
    const x = LABEL_WIDTH + index * 90;
    const mark = `<rect x="${x}" y="4" width="10" height="10" fill="${colourOf(index)}"/>`;
    return `${mark}<text x="${x + 14}" y="13">${escapeText(name)}</text>`;
}

function renderChartRow({ label, values }: ChartRow, top: number, largest: number): string {
    const middle = top + (values.length * BAR_HEIGHT) / 2 + 4;
    const text = label.length > LABEL_CHARACTERS ? `${label.slice(0, LABEL_CHARACTERS - 1)}…` : label;
    const name = `<text x="${LABEL_WIDTH - 8}" y="${middle}" text-anchor="end">${escapeText(text)}</text>`;
    const bars = values.map((value, index) => {
        const length = Math.max(1, (value / largest) * BAR_WIDTH).toFixed(1);
        const y = top + index * BAR_HEIGHT;
        const bar = `<rect x="${LABEL_WIDTH}" y="${y}" width="${length}" height="8" fill="${colourOf(index)}"/>`;
        const x = (LABEL_WIDTH + Number(length) + 4).toFixed(1);
        return `${bar}<text x="${x}" y="${y + 8}" class="value">${formatFigure(value)}</text>`;
    });
    return [name, ...bars].join("\n");
}

function colourOf(index: number): string {
    return COLOURS[index % COLOURS.length] ?? "";
}
