/** The stream of messages of a relay, read over HTTP. */
import { sendAttempt } from "../gateway/attempt.js";
import type { GatewayPeer } from "../gateway/peers.js";
import { Deadline } from "../model/index.js";
import { CHANGES_PATH, CONFIRM_INTERVAL_MS } from "./message.js";

/** Silence in milliseconds after which a relay is left: several missed confirmations. */
const SILENCE_MS = 8 * CONFIRM_INTERVAL_MS;

/** Longest time in milliseconds for which one response is read. */
const LONGEST_RESPONSE_MS = 24 * 3_600_000;

/** The reader of a stream. */
export interface RelayStream {
    /** Called when the relay has taken this gateway as a follower. */
    readonly onOpen: () => void;
    /** Takes a part of the stream. The stream is closed if it returns false. */
    readonly receive: (part: string) => boolean;
    /** Closes the stream. */
    readonly signal: AbortSignal;
}

/** Reads the stream of a relay. Resolves to the reason when it has ended. */
export async function openRelayStream(
    { address }: GatewayPeer,
    { onOpen, receive, signal }: RelayStream,
): Promise<string> {
    const request = { address, method: "GET", path: CHANGES_PATH, headers: [], body: undefined };
    const deadline = Deadline.after(LONGEST_RESPONSE_MS);
    const answer = await sendAttempt(request, { deadline, signal, headTimeoutMs: SILENCE_MS });
    if (answer.kind !== "answered") return "reason" in answer ? answer.reason : answer.kind;
    const { head, body } = answer;
    if (head.status !== 200) {
        body.discard();
        return `status ${head.status}`;
    }
    onOpen();
    const decoder = new TextDecoder();
    const outcome = await body.read({
        deadline,
        signal,
        stallTimeoutMs: SILENCE_MS,
        onChunk: chunk => {
            if (!receive(decoder.decode(chunk, { stream: true }))) body.discard();
            return undefined;
        },
    });
    return "reason" in outcome ? outcome.reason : outcome.kind;
}
