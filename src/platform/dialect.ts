/** Encodes and decodes the platform's headers and bodies of requests, responses and stage calls. */
import type { IncomingHttpHeaders } from "node:http";
import { z } from "zod";
import type {
    ResponseMetadata,
    AttemptHeaders,
    Dialect,
    PieceAnswer,
    PieceRequest,
    PromptPart,
    RequestedPause,
    RequestMetadata,
    TargetCall,
    TargetLoad,
} from "../gateway/dialect.js";
import { parseJson } from "../model/json.js";
import { RESULT_HANDLE } from "../stages/piece.js";
import { HEADER, PATH } from "./names.js";

/** Headers that are not forwarded: those that hold for one connection, and the length, which the gateway sets. */
const CONNECTION_HEADERS = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/** Headers that callers may not set; the gateway drops them. */
const GATEWAY_HEADERS: readonly string[] = [
    HEADER.deadlineMs,
    HEADER.accountName,
    HEADER.expectedTarget,
    HEADER.priority,
    HEADER.expectedModelVersion,
    HEADER.pinMs,
    HEADER.reservation,
    HEADER.cacheBackup,
    HEADER.cacheSource,
    HEADER.cacheFetch,
    HEADER.inputs,
];

const DROPPED_HEADERS = new Set([...CONNECTION_HEADERS, ...GATEWAY_HEADERS]);

const API_KEY_AUTHORIZATION = /^Token +(\S+)$/i;

/** The line of the request id in a raw head, and the number of bytes in which it is looked for. */
const REQUEST_ID_LINE = new RegExp(`^${HEADER.requestId}:[ \\t]*([\\x21-\\x7e]{1,256})[ \\t]*\\r?$`, "im");
const MAXIMUM_SEARCHED_BYTES = 16_384;

/** Largest pace that is read: a thousand times slower than usual. */
const MAXIMUM_PACE_PERCENT = 100_000;

const PAUSE_SECONDS = /^\d+(\.\d*)?$/;

const pieceAnswersSchema = z.object({
    Entries: z.array(z.object({ Handle: z.string().optional(), Reason: z.string().optional() })),
});

/** The platform's wire format. */
export const platformDialect: Dialect = {
    readRequest(headers: IncomingHttpHeaders): RequestMetadata {
        const [promptTokens = 0, outputTokens = 0] = readNumbers(headers[HEADER.tokens]);
        return {
            requestId: firstValue(headers[HEADER.requestId]),
            deadlineMs: readNumbers(headers[HEADER.deadlineMs])[0],
            key: API_KEY_AUTHORIZATION.exec(headers.authorization ?? "")?.[1],
            promptTokens,
            outputTokens,
            promptParts: readPromptParts(firstValue(headers[HEADER.promptParts])),
            pieces: readNumbers(headers[HEADER.pieces]),
            pieceKey: firstValue(headers[HEADER.pieceKey]) ?? "",
            lastEventId: firstValue(headers[HEADER.lastEventId]),
        };
    },

    findRequestId(head: Buffer): string | undefined {
        return REQUEST_ID_LINE.exec(head.toString("latin1", 0, MAXIMUM_SEARCHED_BYTES))?.[1];
    },

    attemptHeaders(raw: readonly string[], attempt: AttemptHeaders): string[] {
        const connectionNames = connectionOptions(raw);
        const headers: string[] = [];
        for (let index = 0; index + 1 < raw.length; index += 2) {
            const name = (raw[index] ?? "").toLowerCase();
            if (DROPPED_HEADERS.has(name) || connectionNames.has(name)) continue;
            if (name === HEADER.authorization && attempt.accountName !== undefined) continue;
            if (name === HEADER.lastEventId && attempt.lastEventId !== undefined) continue;
            headers.push(raw[index] ?? "", raw[index + 1] ?? "");
        }
        headers.push(HEADER.deadlineMs, String(Math.max(1, Math.floor(attempt.remainingMs))));
        headers.push(HEADER.expectedTarget, attempt.targetId);
        if (attempt.accountName !== undefined) headers.push(HEADER.accountName, attempt.accountName);
        if (attempt.priority !== undefined) headers.push(HEADER.priority, String(attempt.priority));
        if (attempt.inputs.length > 0) headers.push(HEADER.inputs, attempt.inputs.join(","));
        if (attempt.lastEventId !== undefined) headers.push(HEADER.lastEventId, attempt.lastEventId);
        return headers;
    },

    readResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata {
        return {
            requestId: firstValue(headers[HEADER.requestId]),
            notExecuted: status === 421 || headers[HEADER.notExecuted] !== undefined,
            wrongTarget: status === 421,
            load: readLoad(firstValue(headers[HEADER.targetLoad])),
            limitPerSecond: readNumber(firstValue(headers[HEADER.targetLimit])),
            isLeaving: firstValue(headers[HEADER.targetLeaving])?.trim() === "1",
            pause: status === 503 ? readPause(headers["retry-after"]) : undefined,
        };
    },

    pieceCall(targetId: string, requests: readonly PieceRequest[]): TargetCall {
        const entries = requests.map(order => ({
            Id: order.requestId,
            Phase: order.stage,
            Segment: order.index,
            LeftMs: Math.max(1, Math.floor(order.remainingMs)),
            ...(order.inputs.length > 0 ? { Inputs: order.inputs } : { Key: order.key ?? "" }),
        }));
        return jsonCall(targetId, PATH.makePieces, { Entries: entries });
    },

    readPieces(body: string, count: number): readonly PieceAnswer[] | undefined {
        const parsed = pieceAnswersSchema.safeParse(parseJson(body));
        if (!parsed.success || parsed.data.Entries.length !== count) return undefined;
        return parsed.data.Entries.map(({ Handle, Reason }): PieceAnswer => {
            if (Handle !== undefined) {
                const isUsable = RESULT_HANDLE.test(Handle);
                return isUsable ? { kind: "made", handle: Handle } : { kind: "failed", reason: "unreadable handle" };
            }
            if (Reason === "late") return { kind: "late" };
            if (Reason === "gone") return { kind: "inputGone" };
            if (Reason === "room") return { kind: "noRoom" };
            return { kind: "failed", reason: Reason ?? "no reason" };
        });
    },

    releaseCall(targetId: string, handles: readonly string[]): TargetCall {
        return jsonCall(targetId, PATH.releaseResults, { Handles: handles });
    },

    holderOf(handle: string): string {
        return handle.slice(0, Math.max(0, handle.indexOf("/")));
    },
};

function jsonCall(targetId: string, path: string, content: unknown): TargetCall {
    const body = Buffer.from(JSON.stringify(content));
    const headers = ["content-type", "application/json", "content-length", String(body.length)];
    return { method: "POST", path, headers: [...headers, HEADER.expectedTarget, targetId], body };
}

/** Header names that the `Connection` header lists as hop-by-hop. */
function connectionOptions(raw: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let index = 0; index + 1 < raw.length; index += 2) {
        if ((raw[index] ?? "").toLowerCase() !== "connection") continue;
        for (const option of (raw[index + 1] ?? "").split(",")) names.add(option.trim().toLowerCase());
    }
    return names;
}

function firstValue(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}

/** A number that is not negative; undefined for anything else. */
function readNumber(value: string | undefined): number | undefined {
    const number = Number(value?.trim() || undefined);
    return Number.isFinite(number) && number >= 0 ? number : undefined;
}

/** A pause in whole or fractional seconds. */
function readPause(value: string | undefined): RequestedPause | undefined {
    if (value === undefined) return undefined;
    const text = value.trim();
    if (!PAUSE_SECONDS.test(text)) return { kind: "unreadable", text };
    return { kind: "time", milliseconds: Number(text) * 1_000 };
}

function readNumbers(value: string | string[] | undefined): readonly number[] {
    const text = firstValue(value);
    if (text === undefined || text === "") return [];
    return text.split(",").map(part => {
        const number = Number(part.trim());
        return Number.isFinite(number) && number >= 0 ? number : 0;
    });
}

function readPromptParts(value: string | undefined): readonly PromptPart[] {
    if (value === undefined || value === "") return [];
    return value.split(",").map(part => {
        const [id = "", tokens = "0"] = part.trim().split(":");
        return { id, tokens: Number(tokens) || 0 };
    });
}

/** A pace in percent of the usual time; values that no machine can have are dropped. */
function readPace(percent: number | undefined): number | undefined {
    if (percent === undefined || percent <= 0 || percent > MAXIMUM_PACE_PERCENT) return undefined;
    return percent / 100;
}

function readLoad(value: string | undefined): TargetLoad | undefined {
    const [running, waiting, slots, pacePercent] = readNumbers(value);
    if (running === undefined || waiting === undefined || slots === undefined) return undefined;
    return { running, waiting, slots, pace: readPace(pacePercent) };
}
