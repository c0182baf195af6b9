/**
 * The gateways of the system, as they register themselves in the store.
 *
 * Limits that hold for all gateways together are split by their number. A registration stays until its gateway stops as
 * planned or is registered anew, so the number is at worst too high and the parts too small.
 */
import { z } from "zod";
import { parseJson } from "../model/json.js";
import { pause } from "../model/pause.js";
import type { Store, StoreEvent } from "../store/index.js";

/** A registered gateway. */
export interface GatewayPeer {
    readonly name: string;
    readonly zone: string;
    /** Address of its interface for other gateways (host:port). */
    readonly address: string;
}

const peerSchema = z.object({ name: z.string(), zone: z.string(), address: z.string() });

/** Gateways that are assumed before the store has told their number; a small first deployment has about as many. */
const ASSUMED_COUNT = 5;

const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 2_000;

/** The registered gateways. */
export class GatewayPeers {
    private readonly peers = new Map<string, GatewayPeer>();
    private known = false;

    private constructor(
        readonly self: GatewayPeer,
        private readonly prefix: string,
    ) {}

    /** `prefix` is the store's prefix of registrations. */
    static create(self: GatewayPeer, prefix: string): GatewayPeers {
        return new GatewayPeers(self, prefix);
    }

    /** All registered gateways. */
    get all(): readonly GatewayPeer[] {
        return [...this.peers.values()];
    }

    /** Number of gateways among which a limit is split. */
    get count(): number {
        return this.known ? Math.max(1, this.peers.size) : Math.max(ASSUMED_COUNT, this.peers.size);
    }

    /** Takes over a change of the registrations. */
    apply(event: StoreEvent): void {
        const name = event.key.slice(this.prefix.length);
        const parsed = event.object === undefined ? undefined : peerSchema.safeParse(parseJson(event.object.value));
        if (parsed?.success === true && parsed.data.name === name) this.peers.set(name, parsed.data);
        else this.peers.delete(name);
        this.known ||= this.peers.has(this.self.name);
    }

    /** Registers this gateway; keeps trying until it succeeds or `stopped` says so. */
    async register(store: Store, stopped: () => boolean): Promise<void> {
        const key = this.prefix + this.self.name;
        const value = JSON.stringify(this.self);
        for (let retryMs = FIRST_RETRY_MS; !stopped(); retryMs = Math.min(LONGEST_RETRY_MS, retryMs * 2)) {
            const read = await store.read(key);
            if (read.kind === "found" && read.object.value === value) return;
            if (read.kind !== "unavailable") {
                const version = read.kind === "found" ? read.object.version : 0;
                const written = await store.write(key, value, version);
                if (written.kind === "written") return;
            }
            await pause(retryMs * (0.5 + Math.random() / 2));
        }
    }

    /** Removes this gateway's registration before a planned stop. */
    async unregister(store: Store): Promise<void> {
        const read = await store.read(this.prefix + this.self.name);
        if (read.kind === "found") await store.remove(read.object.key, read.object.version);
    }
}
