/**
 * A process of its own for parties that send without end, so that the process that judges a soak neither forwards nor holds
 * their bytes. It stands between gateways and targets, where it replaces answers, and calls gateways. Its messages are in
 * `endlessparties.ts`. What it sends is bounded in count, bytes and time.
 */
import { connect, createServer } from "node:net";

/** Limits of all writers together, and of each one. */
const MOST_WRITERS = 200;
const MOST_BYTES = 64_000_000;
const LONGEST_MS = 10_000;

/**
 * Limits of all writers in one tick: bytes, and chunks, lines or events. A link of 20 Mbit/s carries 400,000 chunks of one
 * byte in a second; more would only show how many a processor can read.
 */
const TICK_MS = 5;
const BYTES_OF_TICK = 1_000_000;
const UNITS_OF_TICK = 2_000;
const PART_BYTES = 65_536;
const UNITS_OF_PART = 250;

/** Repeated bytes of at least this length, or a single one, cost a reader little for each byte. */
const LONG_UNIT_BYTES = 64;

const START_OF_ANSWER = "HTTP/1.1 200";
const LARGE_ANSWER = /-large-(\d+)-/;

const relays = new Map();
const writers = new Set();

/** Answers to calls for pieces have no id. */
function withId(first, id) {
    return first.replaceAll(id === "" ? "x-parsleyrun-request-id: {id}\r\n" : "{id}", id);
}

function addressOf(text) {
    const [host, port] = text.split(":");
    return { host, port: Number(port) };
}

/** Writes to a connection until it is closed or a limit is reached; then the connection is silent, and is reset at last. */
function startWriting(socket, { first, repeated, mostBytes = MOST_BYTES }) {
    const isCostly = repeated.length > 1 && repeated.length < LONG_UNIT_BYTES;
    const units = isCostly ? UNITS_OF_PART : 0;
    const part = Buffer.from(repeated.repeat(isCostly ? units : Math.ceil(PART_BYTES / Math.max(1, repeated.length))));
    const writer = { socket, part, units, bytesLeft: repeated === "" ? 0 : mostBytes };
    writers.add(writer);
    const timer = setTimeout(() => socket.resetAndDestroy(), LONGEST_MS);
    socket.once("close", () => {
        clearTimeout(timer);
        writers.delete(writer);
    });
    socket.write(first);
}

function writeParts() {
    let bytes = BYTES_OF_TICK;
    let units = UNITS_OF_TICK;
    for (const writer of [...writers]) {
        const { socket, part, bytesLeft } = writer;
        if (socket.destroyed || socket.writableNeedDrain || bytesLeft <= 0) continue;
        if (writer.units > units) continue;
        socket.write(part.subarray(0, Math.min(part.length, bytesLeft)));
        writer.bytesLeft -= part.length;
        // Those that have written go to the end of the order.
        writers.delete(writer);
        writers.add(writer);
        units -= writer.units;
        bytes -= part.length;
        if (bytes <= 0) return;
    }
}

function accept(relay, gateway) {
    const target = connect(addressOf(relay.backend));
    let pieceIds = new Set();
    let id = "";
    let isChunked = false;
    let isReplaced = false;
    const replace = answer => {
        isReplaced = true;
        gateway.unpipe(target);
        gateway.resume();
        target.destroy();
        startWriting(gateway, answer);
    };
    gateway.on("error", () => undefined);
    target.on("error", () => undefined);
    gateway.on("close", () => target.destroy());
    target.on("close", () => isReplaced || gateway.destroy());
    gateway.on("data", chunk => {
        for (const [, pieceId] of chunk.toString("latin1").matchAll(/"Id":"([^"]+)"/g)) pieceIds.add(pieceId);
    });
    gateway.pipe(target);
    target.on("data", chunk => {
        if (isReplaced) return;
        const { trouble } = relay;
        const text = chunk.subarray(0, 2_048).toString("latin1");
        const isStart = text.startsWith(START_OF_ANSWER);
        if (isStart) {
            id = /x-parsleyrun-request-id: (\S+)/i.exec(text)?.[1] ?? "";
            isChunked = /transfer-encoding: chunked/i.test(text);
        }
        const large = isStart ? LARGE_ANSWER.exec(id) : null;
        if (large !== null) return replace(largeAnswer(id, Number(large[1])));
        const isDue = isStart ? trouble?.isContinued === false : trouble?.isContinued === true && isChunked;
        if (isDue && writers.size < MOST_WRITERS) {
            process.send({ kind: "replaced", ids: id === "" ? [...pieceIds] : [id] });
            return replace({ ...trouble, first: withId(trouble.first, id) });
        }
        if (isStart) pieceIds = new Set();
        if (gateway.write(chunk)) return;
        target.pause();
        gateway.once("drain", () => target.resume());
    });
}

/** A whole answer, for callers that do not read it. */
function largeAnswer(id, length) {
    const head = `HTTP/1.1 200 OK\r\nx-parsleyrun-request-id: ${id}\r\nx-parsleyrun-server-stamp: s\r\n`;
    return { first: `${head}content-length: ${length}\r\n\r\n`, repeated: "x", mostBytes: length };
}

function startRelay({ name, address, backend }) {
    const relay = { backend, trouble: undefined };
    relays.set(name, relay);
    const { host, port } = addressOf(address);
    createServer(socket => accept(relay, socket)).listen(port, host, () => process.send({ kind: "relayed", name }));
}

function call({ address, ids, caller }) {
    for (const id of ids) {
        if (writers.size >= MOST_WRITERS) return;
        const socket = connect(addressOf(address));
        socket.on("error", () => undefined);
        if (caller.isReader) socket.resume();
        startWriting(socket, { ...caller, first: caller.first.replaceAll("{id}", id) });
    }
}

process.on("message", message => {
    if (message.kind === "relay") startRelay(message);
    else if (message.kind === "trouble") relays.get(message.name).trouble = message.answer;
    else call(message);
});
process.on("disconnect", () => process.exit());
setInterval(writeParts, TICK_MS);
