/** Settings of the stand-ins' own process. */
import { z } from "zod";

const address = z.string().regex(/^127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}$/, "must be a loopback address and port");

const target = z.strictObject({
    address,
    operations: z.array(z.string()).min(1),
    nonIdempotent: z.array(z.string()).default([]),
    concurrency: z.int().min(1),
    coldConcurrency: z.int().min(1).default(1),
    /** Milliseconds. */
    timePerCall: z.number().min(0),
    timePerToken: z.number().min(0).default(0),
    warmAfterCalls: z.int().min(1).default(5),
    fencing: z.enum(["enforced", "ignored"]).default("ignored"),
});

const vm = z.strictObject({ name: z.string(), zone: z.string(), state: z.enum(["live", "leaving"]).default("live") });

/** One store with its VM list, and targets. */
export const standInSettingsSchema = z.strictObject({
    store: z.strictObject({ address }),
    vms: z.array(vm).default([]),
    targets: z.array(target).default([]),
});

/** Settings of the stand-ins. */
export type StandInSettings = Readonly<z.infer<typeof standInSettingsSchema>>;
