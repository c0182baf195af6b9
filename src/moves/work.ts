/**
 * Reports from entries to the controllers of open moves: open work in a zone that goes out of service, and evidence of
 * a version under trial. While a move is open, each entry reports to the controller that the stored move names.
 */
import type { EntryMember } from "../membership/index.js";
import type { Move } from "./move.js";
import type { EntryWork } from "./zonemove.js";

/** The part of an entry that sends reports. */
export interface MoveReporter {
    readonly name: string;
    announceOpenWork(controller: string, zone: string): void;
    announceEvidence(controller: string, service: string): void;
}

/** The part of an entry that counts open work and has the other entries' counts. */
export interface WorkCounter {
    countOpenWork(zone: string): number;
    openWorkOf(entry: string, incarnation: string, zone: string, version: number): number | undefined;
}

const REPORT_INTERVAL_MS = 1_000;

/** Reports to the controllers of open moves once a second. Returns a function that stops the reports. */
export function reportToControllers(reporter: MoveReporter, openMoves: () => readonly Move[]): () => void {
    const timer = setInterval(() => {
        for (const { plan, subject, controller } of openMoves()) {
            if (controller === "" || controller === reporter.name) continue;
            if (plan.kind === "version") reporter.announceEvidence(controller, subject);
            else if (plan.direction === "out") reporter.announceOpenWork(controller, subject);
        }
    }, REPORT_INTERVAL_MS);
    return () => {
        clearInterval(timer);
    };
}

/** Open work in a zone at this entry and at each other entry whose VM is not gone. */
export function listOpenWork(
    counter: WorkCounter,
    own: string,
    others: readonly EntryMember[],
    zone: string,
    version: number,
): readonly EntryWork[] {
    return [
        { entry: own, attempts: counter.countOpenWork(zone) },
        ...others
            .filter(({ name }) => name !== own)
            .map(({ name, incarnation }) => ({
                entry: name,
                attempts: counter.openWorkOf(name, incarnation, zone, version),
            })),
    ];
}
