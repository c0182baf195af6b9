/**
 * Open attempts by zone, which entries report to each other while a zone is taken out of service. A count applies to
 * one incarnation of an entry and to the configuration in force there. A count of zero with the zone out stays valid,
 * since the entry no longer sends attempts to that zone.
 */

/** One entry's counts. */
export interface WorkReport {
    readonly incarnation: string;
    readonly configurationVersion: number;
    readonly zones: readonly { readonly zone: string; readonly attempts: number }[];
}

/** The newest counts of the other entries. */
export class PeerOpenWork {
    private readonly reports = new Map<string, WorkReport>();

    private constructor() {}

    static create(): PeerOpenWork {
        return new PeerOpenWork();
    }

    /** Replaces the counts of an entry. */
    receive(entry: string, report: WorkReport): void {
        this.reports.set(entry, report);
    }

    /** Open attempts of an entry in a zone, if it counted them with at least this version in force. */
    find(entry: string, incarnation: string, zone: string, version: number): number | undefined {
        const report = this.reports.get(entry);
        if (report?.incarnation !== incarnation || report.configurationVersion < version) return undefined;
        return report.zones.find(counted => counted.zone === zone)?.attempts;
    }
}
