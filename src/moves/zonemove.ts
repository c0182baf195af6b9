/**
 * A zone move: sets the zone's state in the configuration and waits until all known processes have it in force. For a
 * zone that goes out of service, it also waits until its open work has drained and its slots have moved. A move whose
 * conditions are not met in time is rolled back.
 */
import type { SlotDirectory } from "../claims/index.js";
import type { ConfigurationRecord } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import { pause } from "../model/pause.js";
import { type ChangeDependencies, SubjectRecordWriter, type RecordChange } from "./change.js";
import type { Move } from "./move.js";
import type { MoveSession } from "./session.js";

/** Open work of an entry in a zone. */
export interface EntryWork {
    readonly entry: string;
    /** Undefined if the entry has not reported a count since the version came into force there. */
    readonly attempts: number | undefined;
}

/** What zone moves use. */
export interface ZoneMoveDependencies extends ChangeDependencies {
    readonly slots: SlotDirectory;
    readonly membership: () => Membership;
    /** Names of the known processes that have not acknowledged a version. */
    readonly waitingFor: (version: number) => readonly string[];
    /** Open work in a zone at each known entry, counted with at least this version in force. */
    readonly openWork: (zone: string, version: number) => readonly EntryWork[];
}

const POLL_MS = 200;

/** Conditions that a reason lists at most. A zone of the target size has 700 replicas. */
const MAXIMUM_LISTED_CONDITIONS = 20;

/** Runs a zone move until it ends or the session loses its lease. */
export async function runZoneMove(dependencies: ZoneMoveDependencies, session: MoveSession): Promise<void> {
    const record = SubjectRecordWriter.of(dependencies, session.move, "zone");
    while (session.held() && session.move.state !== "ended") {
        const ended =
            session.move.state === "takingBack"
                ? await finishRollback(session, record)
                : await advanceMove(dependencies, session, record);
        if (ended) return;
        await session.checkpoint();
        await pause(POLL_MS);
    }
}

/** Checks an open move once and acts on it. Returns whether the move has ended. */
async function advanceMove(
    dependencies: ZoneMoveDependencies,
    session: MoveSession,
    record: SubjectRecordWriter,
): Promise<boolean> {
    const { move } = session;
    const outcome = await record.set(zoneRecord(move, wantedState(move)), () => session.held());
    if (outcome.kind === "overridden") return session.finish("takenBack", describeOverride(outcome.by));
    const unmet =
        outcome.kind === "set"
            ? listUnmetConditions(dependencies, move, outcome.version)
            : ["the configuration change"];
    // Checked after the conditions, as otherwise a move could be recorded as done after its deadline.
    if (session.mustRollBack) {
        await session.startRollback(describeUnmetConditions(unmet));
        return false;
    }
    return unmet.length === 0 && (await session.finish("done", describeDone(move)));
}

async function finishRollback(session: MoveSession, record: SubjectRecordWriter): Promise<boolean> {
    const { move } = session;
    if (move.plan.kind !== "zone") return false;
    const restored = await record.restore(zoneRecord(move, move.plan.before), () => session.held());
    if (restored.kind === "pending") return false;
    const by = restored.kind === "overridden" ? `; ${describeOverride(restored.by)}` : "";
    return await session.finish("takenBack", move.reason + by);
}

/** Describes the conditions that are not met yet, with the names of processes and targets. */
function listUnmetConditions(dependencies: ZoneMoveDependencies, move: Move, version: number): readonly string[] {
    const processes = dependencies.waitingFor(version).map(name => `${name} has not acknowledged version ${version}`);
    if (wantedState(move) === "in") return processes;
    return [
        ...processes,
        ...listBusyEntries(dependencies, move.subject, version),
        ...listSlots(dependencies, move.subject),
    ];
}

function listBusyEntries(dependencies: ZoneMoveDependencies, zone: string, version: number): readonly string[] {
    return dependencies.openWork(zone, version).flatMap(({ entry, attempts }) => {
        if (attempts === undefined) return [`${entry} has not counted its open work`];
        return attempts === 0 ? [] : [`${entry} has ${attempts} open`];
    });
}

/** Slots that agents in the zone still own. */
function listSlots({ holder, slots, membership }: ZoneMoveDependencies, zone: string): readonly string[] {
    const inZone = new Set(
        membership()
            .targets.filter(target => target.zone === zone)
            .map(target => target.name),
    );
    const counts = new Map<string, number>();
    for (const { name } of holder.current.all("service")) {
        for (const owner of slots.find(name)?.slots ?? []) {
            if (owner === undefined || !inZone.has(owner.target)) continue;
            counts.set(owner.target, (counts.get(owner.target) ?? 0) + 1);
        }
    }
    return [...counts].map(([target, count]) => `${target} owns ${count} slots`);
}

function wantedState(move: Move): "in" | "out" {
    return move.plan.kind === "zone" && move.plan.direction === "out" ? "out" : "in";
}

function zoneRecord({ subject }: Move, state: "in" | "out"): ConfigurationRecord {
    return { kind: "zone", name: subject, value: { name: subject, state } };
}

function describeDone(move: Move): string {
    if (wantedState(move) === "in") return "in service, acknowledged by all known processes";
    return "out of service, acknowledged by all known processes, no open work, no slots";
}

function describeOverride({ author, version }: RecordChange): string {
    return `the zone was changed by ${author} in version ${version}, which is left as it is`;
}

function describeUnmetConditions(unmet: readonly string[]): string {
    if (unmet.length === 0) return "reached too late to be recorded in time";
    const rest =
        unmet.length > MAXIMUM_LISTED_CONDITIONS ? ` and ${unmet.length - MAXIMUM_LISTED_CONDITIONS} more` : "";
    return `not reached in time: ${unmet.slice(0, MAXIMUM_LISTED_CONDITIONS).join(", ")}${rest}`;
}
