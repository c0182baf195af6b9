/** Links that are cut in the middle, by a relay between the entries and the agents. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type CallerAnswer, Deployment, isTrueOutcome, until } from "./deployment.js";
import { freeAddress } from "./daemons.js";

/** A TCP relay whose connections a test cuts. */
class Relay {
    private readonly sockets = new Set<Socket>();
    private accepting = true;

    private constructor(
        private readonly server: Server,
        readonly address: string,
    ) {}

    static async start(target: string): Promise<Relay> {
        const [host, port] = split(target);
        const server = createServer(socket => relay.join(socket, connect(port, host)));
        const address = await freeAddress();
        const relay = new Relay(server, address);
        const [, own] = split(address);
        await new Promise<void>(resolve => server.listen(own, "127.0.0.1", resolve));
        return relay;
    }

    get connections(): number {
        return this.sockets.size / 2;
    }

    /** Resets all connections. */
    cut(): void {
        for (const socket of this.sockets) socket.resetAndDestroy();
    }

    /** Refuses connections from now on, or takes them again. */
    setAccepting(on: boolean): void {
        this.accepting = on;
    }

    close(): void {
        this.cut();
        this.server.close();
    }

    private join(near: Socket, far: Socket): void {
        if (!this.accepting) {
            near.destroy();
            far.destroy();
            return;
        }
        for (const [socket, other] of [
            [near, far],
            [far, near],
        ] as const) {
            this.sockets.add(socket);
            socket.on("error", () => other.destroy());
            socket.on("close", () => {
                this.sockets.delete(socket);
                other.destroy();
            });
            socket.pipe(other);
        }
    }
}

function split(address: string): readonly [host: string, port: number] {
    const [host = "", port = ""] = address.split(":");
    return [host, Number(port)];
}

let deployment: Deployment;
const relays = new Map<string, Relay>();

/** Puts relays before the agents: entries find agents by the address in the store. */
async function insertRelays(): Promise<void> {
    for (const { key, value } of await deployment.objects("members/agents/")) {
        const member = JSON.parse(value) as { name: string; address: string };
        const relay = await Relay.start(member.address);
        relays.set(member.name, relay);
        await deployment.writeObject(key, JSON.stringify({ ...member, address: relay.address }));
    }
    // An entry keeps the link that it has to an agent, so the entries start again.
    await Promise.all(["entry-1", "entry-2"].map(name => deployment.restart(name)));
    await until("both entries use the relays", () => [...relays.values()].every(relay => relay.connections === 2));
}

beforeAll(async () => {
    deployment = await Deployment.start({ bookMilliseconds: 300, tokenMilliseconds: 20 });
    await insertRelays();
    for (const entry of ["entry-1", "entry-2"]) {
        await deployment.serves(entry, "question");
        await deployment.serves(entry, "booking", () => `relayed-${entry}-${Math.round(performance.now())}`);
    }
}, 60_000);

afterAll(async () => {
    await deployment.close();
    for (const relay of relays.values()) relay.close();
});

interface Sent {
    readonly key: string | undefined;
    readonly answer: CallerAnswer;
}

function sendAll(name: string): Promise<readonly Sent[]> {
    const calls = Array.from({ length: 6 }, (_, index) => {
        const entry = `entry-${1 + (index % 2)}`;
        const key = `${name}-${index}`;
        return [
            deployment.call(entry, "booking", { key, deadline: 10_000 }).then(answer => ({ key, answer })),
            deployment
                .call(entry, "question", { stream: true, deadline: 10_000 })
                .then(answer => ({ key: undefined, answer })),
        ];
    });
    return Promise.all(calls.flat());
}

async function checkTruth(sent: readonly Sent[]): Promise<void> {
    for (const { key, answer } of sent) {
        expect({ key, answer, true: isTrueOutcome(answer) }).toMatchObject({ true: true });
        if (key === undefined) {
            expect(answer.outcome).toBe("done");
            expect(answer.body["output"]).toMatchObject({ text: answer.tokens.join("") });
            continue;
        }
        const runs = await deployment.runsOf(key);
        expect(runs, `runs of ${key}`).toBeLessThanOrEqual(1);
        if (answer.outcome === "done") expect(runs).toBe(1);
        if (answer.outcome === "refused") expect(runs).toBe(0);
    }
}

describe("links that are cut in the middle of requests", () => {
    // Guards against lost, repeated or mixed answers, and second runs of bookings, after a reset of every link.
    it("are opened again; streams continue without a gap and bookings are settled with their owner", async () => {
        const sent = sendAll("cut");
        await until("a booking runs", async () => (await deployment.runsOf("cut-0")) === 1);
        for (const relay of relays.values()) relay.cut();
        const answers = await sent;
        await checkTruth(answers);
        // The owners live on and the deadline is long, so that each booking's result is found.
        const bookings = answers.filter(({ key }) => key !== undefined);
        expect(bookings.map(({ answer }) => answer.outcome)).toEqual(bookings.map(() => "done"));
    });

    // Guards against an untrue "not run" for bookings whose owner cannot be asked.
    it("that stay cut past the deadline give unknown for bookings in progress, and the result afterwards", async () => {
        const call = deployment.call("entry-1", "booking", { key: "long-cut", deadline: 1_500 });
        await until("the booking runs", async () => (await deployment.runsOf("long-cut")) === 1);
        for (const [name, relay] of relays) {
            if (!name.startsWith("book")) continue;
            relay.setAccepting(false);
            relay.cut();
        }
        const answer = await call;
        await checkTruth([{ key: "long-cut", answer }]);
        expect(answer.outcome).toBe("unknown");
        for (const relay of relays.values()) relay.setAccepting(true);
        for (const entry of ["entry-1", "entry-2"]) {
            await deployment.serves(entry, "booking", () => `healed-${entry}-${Math.round(performance.now())}`);
            expect((await deployment.call(entry, "booking", { key: "long-cut" })).outcome).toBe("done");
        }
        expect(await deployment.runsOf("long-cut")).toBe(1);
    });
});
