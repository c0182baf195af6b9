/**
 * Polls the platform's list of VMs. The list lags, so a VM counts as gone only after it was listed and is then missing
 * from two responses in a row.
 */
import { get } from "node:http";
import { z } from "zod";
import { MemoryAccount, readWhole } from "../memory/index.js";
import { whenBrokenOff } from "../model/connectionreset.js";
import type { Vm } from "../model/index.js";

const POLL_TIMEOUT_MS = 2_000;
const MISSING_ANSWERS_UNTIL_GONE = 2;

/** A list of 6,000 VMs takes about 400 KB. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

const listSchema = z.object({
    vms: z.array(z.object({ name: z.string(), zone: z.string(), state: z.enum(["live", "leaving"]) })),
});

/** Options of a VM list. */
export interface VmListOptions {
    /** Address (host:port) that serves `GET /vms`. */
    readonly address: string;
    readonly intervalMilliseconds: number;
}

interface Sighting {
    readonly vm: Vm;
    readonly missing: number;
}

/** The VM list as of the last successful poll. */
export class VmList {
    private sightings: ReadonlyMap<string, Sighting> = new Map();
    private answered = false;
    private timer: NodeJS.Timeout | undefined;
    private stopped = false;

    private constructor(private readonly options: VmListOptions) {}

    /** Starts polling. */
    static start(options: VmListOptions): VmList {
        const list = new VmList(options);
        void list.poll();
        return list;
    }

    /** Every VM that was ever listed, with its state. */
    get vms(): readonly Vm[] {
        return [...this.sightings.values()].map(({ vm }) => vm);
    }

    /** Whether the last poll was answered. */
    get available(): boolean {
        return this.answered;
    }

    /** State of a VM; undefined when it was never listed. */
    state(name: string): Vm["state"] | undefined {
        return this.sightings.get(name)?.vm.state;
    }

    /** Stops polling. */
    stop(): void {
        this.stopped = true;
        clearTimeout(this.timer);
    }

    private async poll(): Promise<void> {
        const vms = await fetchVms(this.options.address);
        this.answered = vms !== undefined;
        if (vms !== undefined) this.sightings = merge(this.sightings, vms);
        if (this.stopped) return;
        this.timer = setTimeout(() => void this.poll(), this.options.intervalMilliseconds);
        this.timer.unref();
    }
}

/** The VMs that the platform lists; undefined when it does not respond in time or the response is invalid. */
async function fetchVms(address: string): Promise<readonly Vm[] | undefined> {
    const account = MemoryAccount.create({ maximumBytes: 2 * MAXIMUM_ANSWER_BYTES });
    const text = await new Promise<string | undefined>(resolve => {
        const request = get(`http://${address}/vms`, { timeout: POLL_TIMEOUT_MS }, response => {
            whenBrokenOff(request, response, error => response.destroy(error));
            void readWhole(response, { account, party: "store", maximumBytes: MAXIMUM_ANSWER_BYTES }).then(read => {
                resolve(read.kind === "read" && response.statusCode === 200 ? read.bytes.toString() : undefined);
                if (read.kind !== "read") request.destroy();
            });
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => {
            resolve(undefined);
        });
        // A body that was read is handed over first.
        request.on("close", () => setImmediate(() => resolve(undefined)));
    });
    return text === undefined ? undefined : parseVms(text);
}

function parseVms(text: string): readonly Vm[] | undefined {
    try {
        return listSchema.parse(JSON.parse(text)).vms;
    } catch {
        return undefined;
    }
}

function merge(before: ReadonlyMap<string, Sighting>, listed: readonly Vm[]): ReadonlyMap<string, Sighting> {
    const sightings = new Map<string, Sighting>();
    for (const [name, { vm, missing }] of before) {
        const gone = missing + 1 >= MISSING_ANSWERS_UNTIL_GONE;
        sightings.set(name, { vm: gone ? { ...vm, state: "gone" } : vm, missing: missing + 1 });
    }
    for (const vm of listed) sightings.set(vm.name, { vm, missing: 0 });
    return sightings;
}
