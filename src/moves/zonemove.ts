/**
 * A zone move: puts the zone's state into the configuration, waits until it is in force everywhere and, for a zone that
 * goes out, until its work has drained and its slots have moved. What is not reached in time is taken back.
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
    /** Undefined when the entry has not counted since the version came into force there. */
    readonly attempts: number | undefined;
}

/** What zone moves work on. */
export interface ZoneMoveDependencies extends ChangeDependencies {
    readonly slots: SlotDirectory;
    readonly membership: () => Membership;
    /** Names of the known processes that have not acknowledged a version. */
    readonly waitingFor: (version: number) => readonly string[];
    /** Open work in a zone at each known entry, counted with at least this version in force. */
    readonly openWork: (zone: string, version: number) => readonly EntryWork[];
}

const POLL_MS = 200;

/** Names in a reason, at most. A zone of the target size has 700 replicas. */
const MAXIMUM_NAMES = 20;

/** Works on a zone move until it has its result or the session ends. */
export async function runZoneMove(parts: ZoneMoveDependencies, session: MoveSession): Promise<void> {
    const change = SubjectRecordWriter.of(parts, session.move, "zone");
    while (session.held() && session.move.state !== "ended") {
        const ended =
            session.move.state === "takingBack"
                ? await finishTakingBack(session, change)
                : await advance(parts, session, change);
        if (ended) return;
        await session.checkpoint();
        await pause(POLL_MS);
    }
}

/** One look at an open move. Returns whether the move has its result. */
async function advance(
    parts: ZoneMoveDependencies,
    session: MoveSession,
    change: SubjectRecordWriter,
): Promise<boolean> {
    const { move } = session;
    const set = await change.set(zoneRecord(move, wantedState(move)), () => session.held());
    if (set.kind === "overridden") return session.finish("takenBack", describeOverride(set.by));
    const missing = set.kind === "set" ? listMissing(parts, move, set.version) : ["the configuration change"];
    // Asked after the look, so that what is reached in time is not recorded as done after it.
    if (session.mustRollBack) {
        await session.startRollback(describeMissing(missing));
        return false;
    }
    return missing.length === 0 && (await session.finish("done", describeDone(move)));
}

async function finishTakingBack(session: MoveSession, change: SubjectRecordWriter): Promise<boolean> {
    const { move } = session;
    if (move.plan.kind !== "zone") return false;
    const restored = await change.restore(zoneRecord(move, move.plan.before), () => session.held());
    if (restored.kind === "pending") return false;
    const by = restored.kind === "overridden" ? `; ${describeOverride(restored.by)}` : "";
    return await session.finish("takenBack", move.reason + by);
}

/** What has to happen before the move is done, by names. */
function listMissing(parts: ZoneMoveDependencies, move: Move, version: number): readonly string[] {
    const processes = parts.waitingFor(version).map(name => `${name} has not acknowledged version ${version}`);
    if (wantedState(move) === "in") return processes;
    return [...processes, ...listWork(parts, move.subject, version), ...listSlots(parts, move.subject)];
}

function listWork(parts: ZoneMoveDependencies, zone: string, version: number): readonly string[] {
    return parts.openWork(zone, version).flatMap(({ entry, attempts }) => {
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
    for (const { name } of holder.current.valuesOf("service")) {
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

function describeMissing(missing: readonly string[]): string {
    if (missing.length === 0) return "reached too late to be recorded in time";
    const rest = missing.length > MAXIMUM_NAMES ? ` and ${missing.length - MAXIMUM_NAMES} more` : "";
    return `not reached in time: ${missing.slice(0, MAXIMUM_NAMES).join(", ")}${rest}`;
}
