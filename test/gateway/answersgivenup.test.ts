/**
 * An answer that has to give way while it is written to its caller must not look complete. One without a length ends with
 * its connection, so only a reset tells the caller that the rest is missing.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { expect, it, vi } from "vitest";
import { type HeldBody } from "../../src/gateway/heldbody.js";
import { Reply } from "../../src/gateway/reply.js";

it.each([
    { length: "a length", headers: { "content-length": "1000" } },
    { length: "no length", headers: {} },
])("an answer with $length that gives way resets its connection", async ({ headers }) => {
    const socket = new Socket();
    // The caller does not read: no write ends.
    vi.spyOn(socket, "_write").mockImplementation(() => undefined);
    const reset = vi.spyOn(socket, "resetAndDestroy").mockImplementation(() => socket.destroy());
    const request = new IncomingMessage(socket);
    const response = new ServerResponse(request);
    response.assignSocket(socket);
    let giveWay = (): void => undefined;
    const release = vi.fn();
    const body = {
        failure: undefined,
        bytes: Buffer.alloc(1_000),
        whenGivenUp: (onGivenUp: () => void) => (giveWay = onGivenUp),
        release,
    } as unknown as HeldBody;
    const reply = Reply.to(request, response, () => false);
    const head = { status: 200, statusText: "OK", headers, rawHeaders: Object.entries(headers).flat() };
    const result = reply.forward(head, body);
    expect(reset).not.toHaveBeenCalled();
    giveWay();
    expect(reset).toHaveBeenCalledOnce();
    expect(await reply.delivered(result)).toMatchObject({ outcome: "brokenOff" });
    expect(release).toHaveBeenCalled();
});
