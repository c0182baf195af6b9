/** The services whose number of targets is ordered, by zone, with what this gateway has open at their targets. */
import type { ScaledZone } from "../duties/index.js";
import type { GatewayConfiguration } from "./configuration.js";
import type { TargetDirectory } from "./targetdirectory.js";

/**
 * Zones are those in which a service has a target. Stage services are left out: pieces wait at their gatherers, so that what
 * is open at targets does not show the work.
 */
export function scaledZones(
    configuration: GatewayConfiguration | undefined,
    targets: Pick<TargetDirectory, "registered" | "isClosed">,
): readonly (ScaledZone & { readonly open: number })[] {
    const zones: (ScaledZone & { readonly open: number })[] = [];
    for (const { name: service, scaling: bounds, stage } of configuration?.content.services ?? []) {
        if (bounds === undefined || stage !== undefined) continue;
        const registered = targets.registered(service);
        for (const zone of new Set(registered.map(({ registration }) => registration.zone))) {
            const inZone = registered.filter(({ registration }) => registration.zone === zone);
            const available = inZone.filter(({ registration }) => registration.state === "available");
            const slots = inZone.reduce((sum, { registration }) => sum + Math.max(1, registration.slots), 0);
            zones.push({
                service,
                zone,
                bounds,
                registered: available.length,
                slotsPerTarget: slots / inZone.length,
                isClosed: targets.isClosed(zone),
                open: inZone.reduce((sum, { outstanding }) => sum + outstanding, 0),
            });
        }
    }
    return zones;
}
