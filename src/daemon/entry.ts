/** Starts an entry process: the entry, its store views, its configuration, and HTTP for callers and operators. */
import { ConfigurationFeed, ConfigurationHolder, ConfigurationLog } from "../configuration/index.js";
import { CallerServer, Entry } from "../entry/index.js";
import { ConnectNetwork, type Network } from "../link/index.js";
import {
    MemberRegistration,
    MEMBERS_PREFIX,
    MembershipView,
    SLOTS_PREFIX,
    SlotView,
    VmList,
} from "../membership/index.js";
import { createIncarnation } from "../model/index.js";
import {
    createLogger,
    createMetrics,
    HistogramSet,
    type ProcessMetrics,
    type StateLogger,
} from "../observability/index.js";
import {
    declareMove,
    listMoves,
    listOpenWork,
    MoveController,
    MOVES_PREFIX,
    reportToControllers,
    runVersionMove,
    runZoneMove,
    type VersionMoveDependencies,
    type ZoneMoveDependencies,
} from "../moves/index.js";
import {
    buildStatus,
    createOperatorHandler,
    type OperatorHandler,
    type ReportBody,
    type StatusSources,
} from "../operators/index.js";
import type { ChooseTarget } from "../routing/index.js";
import type { EntrySettings } from "../settings/index.js";
import { CallCounter, HttpStore, type Store, StoreView } from "../store/index.js";
import { reportStoreCalls, type RunningProcess } from "./process.js";

const VM_LIST_INTERVAL_MS = 5_000;

/** External dependencies of an entry process. */
export interface EntryEnvironment {
    readonly network: Network;
    readonly store: Store;
    /** Absent where there is no VM list. */
    readonly vms?: Pick<VmList, "state">;
    readonly logger?: StateLogger;
    /** Further counters for the report. */
    readonly counts?: () => Readonly<Record<string, number>>;
    /** Replaces the default routing policy, for comparisons. */
    readonly chooseTarget?: ChooseTarget;
}

/** A running entry process. */
export interface EntryProcess extends RunningProcess {
    readonly entry: Entry;
    readonly holder: ConfigurationHolder;
    /** Address (host:port) that serves callers and operators. */
    readonly callerAddress: string;
    /** Durations of the requests that the entry served. */
    readonly histograms: HistogramSet;
    readonly metrics: ProcessMetrics;
    /** Simulates a crash: nothing is finished or deregistered. */
    kill(): void;
}

/** Starts an entry process with its own network and store clients. Throws if an address or a file cannot be used. */
export async function startEntry(settings: EntrySettings): Promise<EntryProcess> {
    const ledger = CallCounter.create();
    const vms = VmList.start({ address: settings.store.address, intervalMilliseconds: VM_LIST_INTERVAL_MS });
    const environment = {
        network: ConnectNetwork.create(settings.systemKey, settings.tls),
        store: HttpStore.create({ ...settings.store, callCounter: ledger }),
        counts: () => reportStoreCalls(ledger),
        vms,
    };
    try {
        return withCleanup(await composeEntry(settings, environment), () => vms.stop());
    } catch (error) {
        vms.stop();
        throw error;
    }
}

function withCleanup(started: EntryProcess, cleanUp: () => void): EntryProcess {
    return {
        ...started,
        stop: async () => {
            await started.stop();
            cleanUp();
        },
        kill: () => {
            started.kill();
            cleanUp();
        },
    };
}

/** Starts an entry with the given dependencies, for example to run several entries in one process. */
export async function composeEntry(settings: EntrySettings, environment: EntryEnvironment): Promise<EntryProcess> {
    const components = createComponents(settings, environment);
    let entry: Entry | undefined;
    try {
        const { network, chooseTarget } = environment;
        const policy = chooseTarget === undefined ? {} : { chooseTarget };
        entry = await Entry.start({ ...components, ...policy, settings, network, configuration: components.holder });
        const callers = await startCallerServer(settings, environment, components, entry);
        return startRegistered(settings, environment, components, entry, callers);
    } catch (error) {
        entry?.kill();
        components.stop();
        await components.metrics.close();
        throw error;
    }
}

interface EntryComponents {
    readonly incarnation: string;
    readonly holder: ConfigurationHolder;
    readonly feed: ConfigurationFeed;
    readonly directory: MembershipView;
    readonly slots: SlotView;
    readonly moves: StoreView;
    readonly logger: StateLogger;
    readonly metrics: ProcessMetrics;
    readonly recorder: HistogramSet;
    /** Stops the store views and the configuration feed. */
    readonly stop: () => void;
}

function createComponents(settings: EntrySettings, { store, logger }: EntryEnvironment): EntryComponents {
    const holder = ConfigurationHolder.create();
    const members = StoreView.start({ store, prefix: MEMBERS_PREFIX });
    const slots = StoreView.start({ store, prefix: SLOTS_PREFIX });
    const moves = StoreView.start({ store, prefix: MOVES_PREFIX });
    const feed = ConfigurationFeed.start({ store, holder });
    return {
        incarnation: createIncarnation(),
        holder,
        feed,
        directory: MembershipView.of(members),
        slots: SlotView.of(slots),
        moves,
        logger: logger ?? createLogger(settings.logging, settings.name),
        metrics: createMetrics(settings.metrics),
        recorder: HistogramSet.create(),
        stop: () => {
            members.stop();
            slots.stop();
            moves.stop();
            feed.stop();
        },
    };
}

function startCallerServer(
    settings: EntrySettings,
    environment: EntryEnvironment,
    components: EntryComponents,
    entry: Entry,
): Promise<CallerServer> {
    const { holder: configuration, logger, metrics } = components;
    const operators = createOperatorInterface(settings, environment, components, entry);
    return CallerServer.start({ settings, entry, configuration, logger, metrics, operators });
}

function createOperatorInterface(
    settings: EntrySettings,
    environment: EntryEnvironment,
    components: EntryComponents,
    entry: Entry,
): OperatorHandler {
    const { store, counts } = environment;
    const { holder, feed, logger, metrics, recorder, moves } = components;
    return createOperatorHandler({
        key: settings.operatorKey,
        ...statusSources(settings, environment, components, entry),
        holder,
        log: ConfigurationLog.create({ store, holder, isConfirmed: () => feed.confirmed }),
        moves: {
            declare: order => declareMove(store, listMoves(moves.objects), order),
            list: () => listMoves(moves.objects),
        },
        logger,
        ready: () => feed.confirmed,
        report: (): ReportBody => ({
            entry: settings.name,
            counters: { ...Object.fromEntries(metrics.totals()), ...counts?.() },
            durations: recorder.summary(),
            histograms: recorder.encode(),
        }),
    });
}

function statusSources(
    { name }: EntrySettings,
    { vms }: EntryEnvironment,
    { incarnation, directory, slots, feed }: EntryComponents,
    entry: Entry,
): StatusSources {
    return {
        entry: { name, incarnation },
        directory,
        slots,
        acknowledged: () => entry.processVersions(),
        storeAvailable: () => feed.available,
        vmState: vm => vms?.state(vm),
    };
}

/** Starts the controller that runs zone and version moves. */
function startMoveController(
    settings: EntrySettings,
    environment: EntryEnvironment,
    components: EntryComponents,
    entry: Entry,
): MoveController {
    const { store, vms } = environment;
    const { holder, feed, directory, slots, moves, incarnation, logger } = components;
    const { name } = settings;
    const sources = statusSources(settings, environment, components, entry);
    const availableEntries = () => directory.current.entries.filter(({ vm }) => vms?.state(vm) !== "gone");
    const log = ConfigurationLog.create({ store, holder, isConfirmed: () => feed.confirmed });
    const changes = { store, holder, log };
    const versionMoves: VersionMoveDependencies = {
        ...changes,
        evidence: service => entry.evidenceOf(service),
        stoppedReason: (service, version) => entry.stoppedReason(service, version),
        stopVersion: (service, version, reason) => entry.stopVersion(service, version, reason),
    };
    const zoneMoves: ZoneMoveDependencies = {
        ...changes,
        slots,
        membership: () => directory.current,
        waitingFor: version => buildStatus(sources, holder.current, version).configuration.waitingFor,
        openWork: (zone, version) => listOpenWork(entry, name, availableEntries(), zone, version),
    };
    return MoveController.start({
        store,
        view: moves,
        name,
        incarnation,
        membership: () => directory.current,
        logger,
        run: session => {
            const { plan } = session.move;
            return plan.kind === "zone" ? runZoneMove(zoneMoves, session) : runVersionMove(versionMoves, session, plan);
        },
    });
}

/** Starts moves and registers the entry in the store. Called once it accepts links and callers. */
function startRegistered(
    settings: EntrySettings,
    environment: EntryEnvironment,
    components: EntryComponents,
    entry: Entry,
    callers: CallerServer,
): EntryProcess {
    const { store } = environment;
    const { name, zone, vm, linkAddress: address } = settings;
    const moves = startMoveController(settings, environment, components, entry);
    const stopReports = reportToControllers(entry, () => moves.openMoves());
    const { incarnation, logger, metrics } = components;
    const member = MemberRegistration.startEntry(store, { name, zone, vm, address, incarnation });
    logger.info("entry started", { callers: callers.address, links: address, incarnation });
    return {
        name,
        entry,
        holder: components.holder,
        callerAddress: callers.address,
        histograms: components.recorder,
        metrics,
        stop: async () => {
            logger.info("entry stops");
            await Promise.all([entry.stop(), member.deregister(), moves.stop()]);
            stopReports();
            await callers.stop();
            components.stop();
            await metrics.close();
        },
        kill: () => {
            member.abandon();
            moves.kill();
            stopReports();
            entry.kill();
            callers.kill();
            components.stop();
        },
    };
}
