/** Members in the store and the VM list: restarts, lost responses and lagging lists do not make a process disappear. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { encodeSlotTable } from "../../src/claims/index.js";
import {
    entryMemberKey,
    MemberRegistration,
    MembershipView,
    SlotView,
    targetMemberKey,
    VmList,
} from "../../src/membership/index.js";
import { serveStore, StandInStore } from "../../src/standins/index.js";
import { type StoredObject, StoreView } from "../../src/store/index.js";

const KEY = entryMemberKey("entry1");
const closers: (() => unknown)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0)) await close();
    vi.useRealTimers();
});

function start(store: StandInStore, incarnation: string): MemberRegistration {
    const address = "127.0.0.1:1";
    return MemberRegistration.startEntry(store.client(incarnation), {
        name: "entry1",
        zone: "z",
        vm: "v",
        address,
        incarnation,
    });
}

function incarnationOf(object: StoredObject | undefined): unknown {
    return object === undefined ? undefined : (JSON.parse(object.value) as { incarnation: unknown }).incarnation;
}

describe("a member object", () => {
    beforeEach(() => {
        vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
    });

    it.each([true, false])(
        "is written after an outage and a lost answer (applied: %s), and then left alone",
        async applied => {
            const store = StandInStore.create();
            store.setOutage(true);
            const member = start(store, "i1");
            await vi.advanceTimersByTimeAsync(1_000);
            store.setOutage(false);
            store.loseWriteAnswers(1, applied);
            await vi.advanceTimersByTimeAsync(1_000);
            await member.published;
            expect(store.peek(KEY)?.version).toBe(1);
        },
    );

    it("of a restarted process replaces that of the earlier incarnation, whose stop leaves it alone", async () => {
        const store = StandInStore.create();
        const first = start(store, "i1");
        await first.published;
        const second = start(store, "i2");
        await second.published;
        await first.deregister();
        expect(incarnationOf(store.peek(KEY))).toBe("i2");
        await second.deregister();
        expect(store.peek(KEY)).toBeUndefined();
    });

    it("does not hold up a stop while the store is out", async () => {
        const store = StandInStore.create();
        store.setOutage(true);
        const member = start(store, "i1");
        const withdrawn = member.deregister();
        await vi.advanceTimersByTimeAsync(2_000);
        await withdrawn;
    });
});

describe("views", () => {
    it("follow members and slots, ignore what is no member, and give one notice for one list", async () => {
        const store = StandInStore.create();
        const client = store.client("a");
        const target = { name: "t1", service: "s", version: "v1", zone: "z", vm: "v", address: "a", incarnation: "i" };
        await client.write(targetMemberKey("t1"), JSON.stringify(target), 0);
        await client.write(targetMemberKey("t2"), JSON.stringify({ ...target, name: "t2" }), 0);
        await client.write(targetMemberKey("broken"), "{", 0);
        await client.write("slots/book", encodeSlotTable({ service: "book", slots: [undefined] }), 0);
        const members = StoreView.start({ store: client, prefix: "members/" });
        const slots = StoreView.start({ store: client, prefix: "slots/" });
        closers.push(
            () => members.stop(),
            () => slots.stop(),
        );
        const view = MembershipView.of(members);
        const notices: number[] = [];
        view.subscribe(membership => notices.push(membership.targets.length));
        const tables = SlotView.of(slots);
        await Promise.all([members.ready, slots.ready]);
        await Promise.resolve();
        expect(notices).toEqual([2]);
        expect(tables.find("book")?.slots).toEqual([undefined]);
        await client.remove(targetMemberKey("t2"), 1);
        await vi.waitFor(() => expect(view.current.targets).toEqual([target]));
    });
});

describe("the VM list", () => {
    it("does not call a VM gone that one answer leaves out", async () => {
        const both = ["vm1", "vm2"];
        const answers = [both, ["vm1"], both, ["vm1"], both];
        const states: unknown[] = [];
        const server = createServer((_request, response) => {
            states.push(list.state("vm2"));
            const vms = (answers[states.length - 1] ?? both).map(name => ({ name, zone: "z", state: "live" }));
            response.end(JSON.stringify({ vms }));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const list = VmList.start({ address: `127.0.0.1:${port}`, intervalMilliseconds: 5 });
        closers.push(
            () => server.close(),
            () => list.stop(),
        );
        await vi.waitFor(() => expect(states.length).toBeGreaterThan(5));
        expect(states.slice(0, 6)).toEqual([undefined, "live", "live", "live", "live", "live"]);
    });

    it("calls a VM gone only if it was listed, and keeps what it knows while the list cannot be read", async () => {
        const store = StandInStore.create();
        const listed = [
            { name: "vm1", zone: "z", state: "live" as const },
            { name: "vm2", zone: "z", state: "leaving" as const },
        ];
        store.setVms(listed);
        const server = await serveStore(store, "127.0.0.1:0");
        const list = VmList.start({ address: server.address, intervalMilliseconds: 20 });
        closers.push(
            () => server.close(),
            () => list.stop(),
        );
        await vi.waitFor(() => expect(list.state("vm2")).toBe("leaving"));
        expect(list.state("new")).toBeUndefined();
        store.setVms(listed.slice(0, 1));
        await vi.waitFor(() => expect(list.state("vm2")).toBe("gone"));
        expect(list.state("vm1")).toBe("live");
        await server.close();
        await vi.waitFor(() => expect(list.available).toBe(false));
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(list.state("vm1")).toBe("live");
    });
});
