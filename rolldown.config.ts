/**
 * Bundles the gateway's program for the platform. Loading some 300 modules takes twice the processor time of loading one file,
 * which matters when all gateways of a zone start at once on machines with a fraction of a core.
 */
import type { RolldownOptions } from "rolldown";

export default {
    input: "target/platform/main.js",
    platform: "node",
    output: { dir: "target/bundle", format: "esm" },
    // hdr-histogram-js uses `eval` to load zlib where it exists; the gateway encodes no histograms.
    checks: { eval: false },
} satisfies RolldownOptions;
