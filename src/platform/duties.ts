/**
 * Sends calls that are the duty of one gateway at a time, each on a connection of its own.
 *
 * A connection that is given up is reset: a close would leave the kernel to send what it still holds, which can arrive after
 * a successor's calls when a network link comes back.
 */
import { request } from "node:http";
import { connect } from "node:net";
import type { CallPlatform, DutyCall, DutyCallOutcome } from "../duties/calls.js";
import { parseSocketAddress } from "../model/address.js";
import { startTimeout } from "../model/timeout.js";
import { DUTY_PATH, HEADER } from "./names.js";

const RETRY_AFTER_SECONDS = /^\d+(\.\d+)?$/;

/** Sends one call to the platform. */
export const callPlatform: CallPlatform = (call, { address: text, holder, fencing, timeoutMs, mayAct }) => {
    const address = parseSocketAddress(text);
    if (address === undefined) return Promise.resolve(failed("no connection can be made to this address", false));
    return new Promise(resolve => {
        const socket = connect(address);
        socket.setNoDelay(true);
        let isSent = false;
        let isSettled = false;
        const finish = (outcome: DutyCallOutcome): void => {
            if (isSettled) return;
            isSettled = true;
            cancelTimeout();
            socket.resetAndDestroy();
            resolve(outcome);
        };
        const cancelTimeout = startTimeout(() => finish(failed("no answer in time", isSent)), timeoutMs);
        socket.on("error", error => finish(failed(error.message, isSent)));
        socket.on("close", () => finish(failed("connection closed", isSent)));
        socket.once("connect", () => {
            if (isSettled) return;
            if (!mayAct()) return finish(failed("the duty has ended", false));
            isSent = true;
            const { path, body } = encode(call);
            const headers = {
                "host": text,
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                [HEADER.dutyHolder]: holder,
                [HEADER.fencingToken]: String(fencing),
            };
            const outgoing = request({ method: "POST", path, headers, createConnection: () => socket });
            outgoing.on("error", error => finish(failed(error.message, true)));
            outgoing.on("response", response => {
                // The status says all; the body is discarded with the connection.
                response.on("error", () => undefined);
                finish(outcomeOf(response.statusCode ?? 0, response.headers["retry-after"]));
            });
            outgoing.end(body);
        });
    });
};

function encode(call: DutyCall): { readonly path: string; readonly body: string } {
    return call.kind === "usage"
        ? { path: DUTY_PATH.usage, body: JSON.stringify({ WindowId: call.windowId, Counts: call.counts }) }
        : {
              path: DUTY_PATH.scale,
              body: JSON.stringify({ Service: call.service, Zone: call.zone, Desired: call.desired }),
          };
}

function outcomeOf(status: number, retryAfter: string | undefined): DutyCallOutcome {
    if (status >= 200 && status < 300) return { kind: "accepted" };
    if (status !== 429) return failed(`status ${status}`, true);
    const isTime = retryAfter !== undefined && RETRY_AFTER_SECONDS.test(retryAfter.trim());
    return { kind: "limited", retryAfterMs: isTime ? Number(retryAfter) * 1_000 : undefined };
}

function failed(reason: string, mayHaveArrived: boolean): DutyCallOutcome {
    return { kind: "failed", reason, mayHaveArrived };
}
