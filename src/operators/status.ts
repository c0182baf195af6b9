/** Builds an entry's status of the system: configuration version of each process, members, slots and zones. */
import type { SlotDirectory } from "../claims/index.js";
import type { Configuration } from "../configuration/index.js";
import type { Directory, Membership } from "../membership/index.js";
import type { Vm } from "../model/index.js";
import type { ProcessStatus, SlotStatus, StatusBody } from "./message.js";

/** The configuration version that a process has acknowledged; 0 when it has acknowledged none. */
export interface AcknowledgedVersion {
    readonly name: string;
    readonly incarnation: string;
    readonly configurationVersion: number;
}

/** Data sources of a status. */
export interface StatusSources {
    /** The entry that answers. */
    readonly entry: { readonly name: string; readonly incarnation: string };
    readonly directory: Directory;
    readonly slots: SlotDirectory;
    readonly acknowledged: () => readonly AcknowledgedVersion[];
    readonly storeAvailable: () => boolean;
    readonly vmState: (vm: string) => Vm["state"] | undefined;
}

/** The status, including which processes have reached the requested version. */
export function buildStatus(
    sources: StatusSources,
    configuration: Configuration,
    requestedVersion: number,
): StatusBody {
    const processes = listProcesses(sources, configuration, requestedVersion);
    const waitingFor = processes.filter(({ reached, vmState }) => !reached && vmState !== "gone");
    return {
        entry: sources.entry.name,
        configuration: {
            version: configuration.version,
            asked: requestedVersion,
            inForceEverywhere: waitingFor.length === 0 && configuration.version >= requestedVersion,
            waitingFor: waitingFor.map(({ name }) => name),
        },
        store: { available: sources.storeAvailable() },
        processes,
        slots: listSlots(sources.slots, configuration),
        zones: listZones(sources.directory.current, configuration),
    };
}

/** Zones of members and zones named in the configuration, sorted by name. */
export function knownZones(membership: Membership, configuration: Configuration): readonly string[] {
    const names = new Set([
        ...membership.targets.map(({ zone }) => zone),
        ...membership.entries.map(({ zone }) => zone),
        ...configuration.valuesOf("zone").map(({ name }) => name),
    ]);
    return [...names].sort();
}

/**
 * All members, plus this entry if its member object is not stored yet. An acknowledged version counts only for the
 * incarnation that sent it: a restarted process has to acknowledge again.
 */
function listProcesses(
    sources: StatusSources,
    configuration: Configuration,
    requestedVersion: number,
): readonly ProcessStatus[] {
    const { entry, directory, vmState } = sources;
    const versions = new Map(
        sources
            .acknowledged()
            .filter(({ configurationVersion }) => configurationVersion > 0)
            .map(({ name, incarnation, configurationVersion }) => [`${name}/${incarnation}`, configurationVersion]),
    );
    versions.set(`${entry.name}/${entry.incarnation}`, configuration.version);
    const { entries, targets } = directory.current;
    const members = [
        ...entries.map(member => ({ role: "entry" as const, ...member })),
        ...targets.map(member => ({ role: "agent" as const, ...member })),
    ];
    const isListed = members.some(({ role, name }) => role === "entry" && name === entry.name);
    const self = { role: "entry" as const, ...entry, zone: "", vm: "" };
    return [...members, ...(isListed ? [] : [self])]
        .map(({ role, name, zone, vm, incarnation }) => {
            const version = versions.get(`${name}/${incarnation}`);
            return {
                role,
                name,
                zone,
                vm,
                vmState: vmState(vm) ?? ("unlisted" as const),
                ...(version === undefined ? {} : { version }),
                reached: version !== undefined && version >= requestedVersion,
            };
        })
        .sort((left, right) => (left.name < right.name ? -1 : 1));
}

function listSlots(slots: SlotDirectory, configuration: Configuration): readonly SlotStatus[] {
    return configuration
        .valuesOf("service")
        .filter(service => service.slots > 0)
        .map(service => {
            const owners: Record<string, number> = {};
            for (const owner of slots.find(service.name)?.slots ?? []) {
                if (owner !== undefined) owners[owner.target] = (owners[owner.target] ?? 0) + 1;
            }
            const owned = Object.values(owners).reduce((sum, count) => sum + count, 0);
            return { service: service.name, slots: service.slots, owned, owners };
        });
}

function listZones(membership: Membership, configuration: Configuration): StatusBody["zones"] {
    return knownZones(membership, configuration).map(name => ({
        name,
        state: configuration.isZoneInService(name) ? ("in" as const) : ("out" as const),
        targets: membership.targets.filter(target => target.zone === name).length,
    }));
}
