/**
 * The messages in which gateways tell each other of crashes.
 *
 * Many requests at a crash share their traits, and many gateways report the same crash, so a message has each trait once and
 * numbers it. Beside that, it has the lists that earlier versions read, which do not count requests.
 */
import { z } from "zod";
import type { Trial } from "./crashfrequency.js";
import type { TraitsByRequests } from "./crashrecord.js";

/** Number of crashes in a message. */
const MAXIMUM_CRASHES = 64;

/** Number of traits in each list of a crash, and of those served, that earlier versions read. */
const EARLIER_MAXIMUM_TRAITS = 64;
const EARLIER_MAXIMUM_SERVED = 8_192;

/** A crash, as it is sent. */
export interface SentCrash {
    readonly target: string;
    readonly ageMs: number;
    /** Its traits, first those that tell most of its cause. */
    readonly mostTelling: readonly string[];
    /** Suspect traits for which requests were on trial. */
    readonly tried: readonly string[];
    /** Traits by the gateway that has sent the requests. */
    readonly reports: Readonly<Record<string, TraitsByRequests>>;
    readonly trials: readonly Trial[];
}

/** A crash, as it is received. */
export interface ReceivedCrash extends Omit<SentCrash, "mostTelling"> {
    /** Traits from a gateway of an earlier version. */
    readonly uncounted: readonly string[];
}

/** A trait that was served, and the time in milliseconds since then. */
export interface ServedTrait {
    readonly trait: string;
    readonly ageMs: number;
}

const traitSchema = z.string().max(128);
const earlierTraitsSchema = z.array(traitSchema).max(EARLIER_MAXIMUM_TRAITS).readonly();
const numbersSchema = z.array(z.number()).readonly();

const newsSchema = z.object({
    /** The traits that are numbered by their index here. */
    traits: z.array(traitSchema).readonly().optional(),
    crashes: z
        .array(
            z.object({
                target: z.string(),
                ageMs: z.number(),
                responding: earlierTraitsSchema,
                waiting: earlierTraitsSchema,
                tried: earlierTraitsSchema,
                reports: z.record(z.string(), z.record(z.string(), numbersSchema)).optional(),
                trials: z
                    .array(z.object({ traits: numbersSchema, ageMs: z.number() }))
                    .readonly()
                    .optional(),
            }),
        )
        .max(MAXIMUM_CRASHES)
        .readonly(),
    served: z
        .array(z.object({ trait: z.string(), ageMs: z.number() }))
        .max(EARLIER_MAXIMUM_SERVED)
        .readonly(),
});

/** News as a value that can be encoded as JSON. */
export function encodeNews(news: {
    readonly crashes: readonly SentCrash[];
    readonly served: readonly ServedTrait[];
}): unknown {
    const numbers = new Map<string, number>();
    const numbersOf = (traits: readonly string[]): number[] =>
        traits.map(trait => {
            const number = numbers.get(trait) ?? numbers.size;
            numbers.set(trait, number);
            return number;
        });
    const crashes = news.crashes.map(({ target, ageMs, mostTelling, tried, reports, trials }) => ({
        target,
        ageMs,
        responding: mostTelling.slice(0, EARLIER_MAXIMUM_TRAITS),
        waiting: [],
        tried: tried.slice(0, EARLIER_MAXIMUM_TRAITS),
        reports: mapValues(reports, byRequests => mapValues(byRequests, numbersOf)),
        trials: trials.map(trial => ({ traits: numbersOf(trial.traits), ageMs: trial.ageMs })),
    }));
    const encoded: z.infer<typeof newsSchema> = { traits: [...numbers.keys()], crashes, served: news.served };
    return encoded;
}

/** Reads news of another gateway; undefined if it is malformed. */
export function decodeNews(
    encoded: unknown,
): { readonly crashes: readonly ReceivedCrash[]; readonly served: readonly ServedTrait[] } | undefined {
    const news = newsSchema.safeParse(encoded).data;
    if (news === undefined) return undefined;
    const traitsOf = (numbers: readonly number[]): readonly string[] =>
        numbers.flatMap(number => news.traits?.[number] ?? []);
    return {
        crashes: news.crashes.map(({ target, ageMs, responding, waiting, tried, reports, trials = [] }) => ({
            target,
            ageMs,
            uncounted: reports === undefined ? [...responding, ...waiting] : [],
            tried,
            reports: mapValues(reports ?? {}, byRequests => mapValues(byRequests, traitsOf)),
            trials: trials.map(trial => ({ traits: traitsOf(trial.traits), ageMs: trial.ageMs })),
        })),
        served: news.served,
    };
}

function mapValues<From, To>(record: Readonly<Record<string, From>>, map: (value: From) => To): Record<string, To> {
    return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, map(value)]));
}
