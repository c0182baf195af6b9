/** What all gateways have open at targets, by service and zone. Gateways tell the holder with their counts. */
import { z } from "zod";

const MAXIMUM_NAME_LENGTH = 256;

/** Time in milliseconds after which what a gateway has told counts no more; it tells once a second. */
const VALID_MS = 3_000;

/** What one gateway has open at the targets of a service in a zone. */
export const zoneLoadSchema = z.object({
    service: z.string().max(MAXIMUM_NAME_LENGTH),
    zone: z.string().max(MAXIMUM_NAME_LENGTH),
    open: z.int().min(0),
});

/** What one gateway has open at the targets of a service in a zone. */
export type ZoneLoad = Readonly<z.infer<typeof zoneLoadSchema>>;

/** The loads that one gateway knows. */
export class FleetLoads {
    private readonly told = new Map<string, { readonly at: number; readonly loads: readonly ZoneLoad[] }>();

    private constructor() {}

    static create(): FleetLoads {
        return new FleetLoads();
    }

    put(gateway: string, loads: readonly ZoneLoad[]): void {
        this.told.set(gateway, { at: performance.now(), loads });
    }

    /** Requests that are open at the targets of a service in a zone, and whether all of `gateways` have told theirs. */
    total(service: string, zone: string, gateways: readonly string[]): { open: number; isComplete: boolean } {
        const oldest = performance.now() - VALID_MS;
        for (const [name, { at }] of this.told) if (at < oldest) this.told.delete(name);
        let open = 0;
        for (const { loads } of this.told.values()) {
            for (const load of loads) if (load.service === service && load.zone === zone) open += load.open;
        }
        return { open, isComplete: gateways.every(name => this.told.has(name)) };
    }
}
