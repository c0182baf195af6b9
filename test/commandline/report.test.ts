/** The merge of several entries' reports, and the HTML page of `report --html`. */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import { run } from "../../src/commandline/index.js";
import { mergeReports } from "../../src/commandline/report.js";
import { renderPage } from "../../src/commandline/reportpage.js";
import { type DurationLabels, HistogramSet } from "../../src/observability/index.js";
import type { ReportBody } from "../../src/operators/index.js";

const WRITTEN_AT = new Date("2026-01-02T03:04:05Z");
const whole = { account: "kettleby", plan: "large", kind: "question", pipeline: "plan", measure: "total" };
const closers: (() => unknown)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) await close();
});

/** The test cases use durations below 2.56 ms because histograms are exact up to there. */
type Durations = readonly (readonly [Partial<DurationLabels>, readonly number[]])[];

function reportOf(entry: string, durations: Durations, counters: Record<string, number> = {}): ReportBody {
    const histograms = HistogramSet.create();
    for (const [labels, values] of durations) {
        for (const value of values) histograms.record({ ...whole, ...labels }, value);
    }
    return { entry, counters, durations: histograms.summary(), histograms: histograms.encode() };
}

function pageOf(...bodies: readonly ReportBody[]): string {
    return renderPage(mergeReports(bodies), WRITTEN_AT);
}

/** Cells of the table rows below a heading. */
function rowsOf(page: string, heading: string): readonly (readonly string[])[] {
    const [, section = ""] = page.split(`<h2>${heading}</h2>`);
    const [body = ""] = (section.split("<h2>")[0] ?? "").match(/<tbody>[^]*<\/tbody>/) ?? [];
    return [...body.matchAll(/<tr>(.*?)<\/tr>/g)].map(([, row = ""]) =>
        [...row.matchAll(/<td[^>]*>(.*?)<\/td>/g)].map(([, cell = ""]) => cell),
    );
}

async function serveReport(body: ReportBody): Promise<string> {
    const server: Server = createServer((_, response) => response.end(JSON.stringify(body)));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function execute(...argv: string[]) {
    const out: string[] = [];
    const error: string[] = [];
    const code = await run(argv, { out: line => out.push(line), error: line => error.push(line) });
    return { code, out: out.join("\n"), error: error.join("\n") };
}

describe("the report page", () => {
    const cases: readonly {
        readonly name: string;
        readonly reports: readonly ReportBody[];
        readonly heading: string;
        readonly rows: readonly (readonly string[])[];
    }[] = [
        {
            name: "percentiles over the entries and pipelines of an account and kind, not averages of percentiles",
            reports: [
                reportOf("e1", [[{}, Array.from({ length: 95 }, () => 1)]]),
                reportOf("e2", [[{ pipeline: "other" }, [2, 2, 2, 2, 2]]]),
            ],
            heading: "Latency by account and kind",
            rows: [["kettleby", "question", "100", "1.0", "1.0", "2.0", "2.0"]],
        },
        {
            name: "accounts and kinds apart, without durations of stages",
            reports: [
                reportOf("e1", [
                    [{}, [1]],
                    [{ account: "ashwell" }, [1.5]],
                    [{ kind: "plan" }, [2]],
                    [{ stage: "encode", measure: "stage" }, [0.5]],
                ]),
            ],
            heading: "Latency by account and kind",
            rows: [
                ["ashwell", "question", "1", "1.5", "1.5", "1.5", "1.5"],
                ["kettleby", "plan", "1", "2.0", "2.0", "2.0", "2.0"],
                ["kettleby", "question", "1", "1.0", "1.0", "1.0", "1.0"],
            ],
        },
        {
            name: "measures of a pipeline apart",
            reports: [
                reportOf("e1", [
                    [{}, [2.4]],
                    [{ measure: "firstToken" }, [1.5]],
                ]),
            ],
            heading: "Latency by pipeline",
            rows: [
                ["plan", "firstToken", "1", "1.5", "1.5", "1.5", "1.5"],
                ["plan", "total", "1", "2.4", "2.4", "2.4", "2.4"],
            ],
        },
        {
            name: "latency by stage, apart from cost",
            reports: [
                reportOf("e1", [
                    [{ stage: "encode", measure: "stage" }, [2]],
                    [{ stage: "encode", measure: "cost" }, [1]],
                ]),
                reportOf("e2", [[{ account: "ashwell", stage: "encode", measure: "stage" }, [2]]]),
            ],
            heading: "Latency by pipeline and stage",
            rows: [["plan", "encode", "2", "2.0", "2.0", "2.0", "2.0"]],
        },
        {
            name: "total cost by stage",
            reports: [
                reportOf("e1", [[{ stage: "book", measure: "cost" }, [1, 2]]]),
                reportOf("e2", [[{ stage: "book", measure: "cost" }, [1.5]]]),
            ],
            heading: "Cost by stage (target time)",
            rows: [["plan", "book", "3", "4.5", "1.5", "2.0", "2.0", "2.0"]],
        },
        {
            name: "outcomes of requests by reason, added up over the entries",
            reports: [
                reportOf("e1", [], {
                    "request.outcomes{outcome=done,pipeline=plan,reason=}": 7,
                    "request.outcomes{outcome=refused,pipeline=plan,reason=overShare}": 1,
                    "request.losses{outcome=done,pipeline=plan,reason=}": 9,
                }),
                reportOf("e2", [], { "request.outcomes{outcome=done,pipeline=plan,reason=}": 5 }),
            ],
            heading: "Requests by outcome and reason",
            rows: [
                ["plan", "done", "", "12"],
                ["plan", "refused", "overShare", "1"],
            ],
        },
        {
            name: "outcomes of attempts by service and version",
            reports: [
                reportOf("e1", [], {
                    "attempt.outcomes{outcome=failed,reason=targetLost,service=encode,version=v2}": 3,
                }),
            ],
            heading: "Attempts at stages by outcome and reason",
            rows: [["encode", "v2", "failed", "targetLost", "3"]],
        },
        {
            name: "counters without tags",
            reports: [reportOf("e1", [], { "quarantine.losses": 2 })],
            heading: "All counters",
            rows: [["quarantine.losses", "2"]],
        },
    ];

    it.each(cases)("shows $name", ({ reports, heading, rows }) => {
        expect(rowsOf(pageOf(...reports), heading)).toEqual(rows);
    });

    it("draws each percentile with its value", () => {
        const page = pageOf(reportOf("e1", [[{}, [...Array.from({ length: 95 }, () => 0.5), 1, 1, 1, 2, 2]]]));
        const [, chart = ""] = page.split("Latency by account and kind</title>");
        const values = [...chart.matchAll(/class="value">([^<]*)</g)].slice(0, 3).map(([, value]) => value);
        expect(values).toEqual(["0.5", "0.5", "2.0"]);
        const lengths = [...chart.matchAll(/width="([\d.]+)" height="8"/g)].slice(0, 3).map(([, width]) => width);
        expect(lengths).toEqual(["110.0", "110.0", "440.0"]);
    });

    // Callers and operators choose names, which must not inject markup into text, charts or attributes.
    it("escapes text", () => {
        const name = `<script>"a"&'b'</script>`;
        const page = pageOf(
            reportOf(name, [[{ account: name, stage: name, measure: "cost" }, [1]]], {
                [`request.outcomes{outcome=${name},pipeline=p,reason=}`]: 1,
                [name]: 1,
            }),
            reportOf("e2", [[{ account: name }, [1]]]),
        );
        expect(page).not.toMatch(/<script|"a"|'b'/);
        expect(page.split("&lt;script&gt;&quot;a&quot;&amp;&#39;b&#39;&lt;/script&gt;").length).toBeGreaterThan(6);
    });

    it("loads no external resources and marks sections without data", () => {
        const page = pageOf(reportOf("e1", [[{}, [1]]]));
        expect(page).not.toMatch(/https?:|src=|href=|url\(|@import|<script|<link/);
        expect(page).toContain("Entries: e1. Written 2026-01-02T03:04:05.000Z.");
        expect(page.match(/Nothing was recorded/g)).toHaveLength(5);
    });
});

describe("the report command", () => {
    it("writes the page of several entries and prints the file name", async () => {
        const directory = mkdtempSync(join(tmpdir(), "parsleyrun-"));
        closers.push(() => rmSync(directory, { recursive: true }));
        const file = join(directory, "report.html");
        const addresses = [
            await serveReport(reportOf("e1", [[{}, [1]]])),
            await serveReport(reportOf("e2", [[{}, [2]]])),
        ];
        const entries = addresses.flatMap(address => ["--entry", address]);
        const outcome = await execute("report", "--html", file, "--key", "key", ...entries);
        expect(outcome).toEqual({ code: 0, out: `${file}: report of e1, e2`, error: "" });
        expect(rowsOf(readFileSync(file, "utf8"), "Latency by account and kind")).toEqual([
            ["kettleby", "question", "2", "1.0", "2.0", "2.0", "2.0"],
        ]);
        const unwritable = await execute("report", "--html", directory, "--key", "key", ...entries);
        expect(unwritable).toMatchObject({ code: 1, error: expect.stringContaining("next: ") });
        expect(await execute("report", "--html", "", "--key", "key", ...entries)).toMatchObject({ code: 2 });
    });

    // A report must not look complete when the durations of an entry are missing.
    it("exits with 1 and names the entry when its histograms are malformed", async () => {
        const address = await serveReport({ entry: "e1", counters: { calls: 1 }, durations: [], histograms: "{" });
        const { code, out, error } = await execute("report", "--key", "key", "--entry", address);
        expect(code).toBe(1);
        expect(error).toMatch(/histograms of entry e1 are malformed[^]*next: /);
        expect(out).toContain("calls  1");
    });

    // Accounts that each entry still keeps in separate histograms must stay separate in the merged report.
    it("keeps more label sets separate than a single entry does", () => {
        const accounts = (entry: string): Durations =>
            Array.from({ length: 600 }, (_, index) => [{ account: `${entry}-${index}` }, [1]]);
        const merged = mergeReports([reportOf("e1", accounts("e1")), reportOf("e2", accounts("e2"))]);
        expect(merged.histograms.summary()).toHaveLength(1_200);
    });
});
