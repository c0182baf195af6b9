/** Commands of an endpoint process for calls: unary Connect over HTTP/2, plain HTTP, and event streams to callers. */
import * as http from "node:http";
import * as http2 from "node:http2";
import type { AddressInfo, Server } from "node:net";
import { create, createFileRegistry, type DescMethodUnary } from "@bufbuild/protobuf";
import { FileDescriptorProtoSchema } from "@bufbuild/protobuf/wkt";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { file_parsleyrun_link, LinkMessageSchema } from "../link/index.js";
import * as samples from "./samples.js";

/** Concurrent event streams. */
const EVENT_STREAMS = 32;

/** Time between two events on one stream, in milliseconds. */
const EVENT_SPACING_MS = 5;

/** A unary method over link messages; the link's own service has only a streaming one. */
function unaryMethod(): DescMethodUnary {
    const method = { name: "Call", inputType: ".parsleyrun.LinkMessage", outputType: ".parsleyrun.LinkMessage" };
    const file = create(FileDescriptorProtoSchema, {
        name: "bench.proto",
        package: "bench",
        syntax: "proto3",
        dependency: [file_parsleyrun_link.proto.name],
        service: [{ name: "BenchService", method: [method] }],
    });
    const registry = createFileRegistry(file, name =>
        name === file_parsleyrun_link.proto.name ? file_parsleyrun_link.proto : undefined,
    );
    const found = registry.getService("bench.BenchService")?.methods[0];
    if (found?.methodKind !== "unary") throw new Error("the bench service has no unary method");
    return { ...found, methodKind: "unary" };
}

async function bind(server: Server): Promise<string> {
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Serves unary Connect calls over HTTP/2; each returns its request. */
export function listenUnary(): Promise<string> {
    const method = unaryMethod();
    const handler = connectNodeAdapter({ routes: router => router.rpc(method, request => request) });
    return bind(http2.createServer(handler));
}

/** Makes sequential unary Connect calls on one HTTP/2 connection. */
export async function callUnary(address: string, count: number, seed: number): Promise<void> {
    const method = unaryMethod();
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({ httpVersion: "2", baseUrl, sessionManager });
    const message = create(LinkMessageSchema, { body: samples.runStage(seed, 256) });
    for (let index = 0; index < count; index += 1) {
        await transport.unary(method, undefined, undefined, undefined, message);
    }
    sessionManager.abort();
}

/** Serves plain HTTP calls; each returns its body. */
export function listenHttp(): Promise<string> {
    return bind(http.createServer((request, response) => void request.pipe(response)));
}

/** Makes plain HTTP calls with a body of 256 bytes one after the other on one keep-alive connection. */
export async function callHttp(address: string, count: number, seed: number): Promise<void> {
    const [host, port] = address.split(":");
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const body = samples.hexTexts(seed, 1, 256)[0] ?? "";
    for (let index = 0; index < count; index += 1) {
        await new Promise<void>((resolve, reject) => {
            const headers = { "content-length": body.length, "content-type": "application/json" };
            const request = http.request({ host, port, agent, method: "POST", path: "/v1/call", headers }, response => {
                response.resume().on("end", resolve);
            });
            request.on("error", reject).end(body);
        });
    }
    agent.destroy();
}

/** Serves event streams: one event of `tokens` tokens every 5 ms, `count` times on each connection. */
export function listenEvents(count: number, tokens: number, seed: number): Promise<string> {
    const event = `data: ${JSON.stringify({ index: 200, tokens: samples.tokens(seed, tokens) })}\n\n`;
    const server = http.createServer((_, response) => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        let written = 0;
        const timer = setInterval(() => {
            response.write(event);
            written += 1;
            if (written < count) return;
            clearInterval(timer);
            response.end();
        }, EVENT_SPACING_MS);
    });
    return bind(server);
}

/** Reads 32 event streams to their end; returns the mean bytes on the wire of one event, without packet headers. */
export async function readEvents(address: string, count: number): Promise<number> {
    const streams = Array.from({ length: EVENT_STREAMS }, () => readStream(address));
    const bytes = await Promise.all(streams);
    return bytes.reduce((sum, value) => sum + value, 0) / (EVENT_STREAMS * count);
}

function readStream(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
        const request = http.get(`http://${address}/`, { agent: false }, response => {
            const headerBytes = response.socket.bytesRead;
            const socket = response.socket;
            response.resume().on("end", () => {
                resolve(socket.bytesRead - headerBytes);
            });
        });
        request.on("error", reject);
    });
}
