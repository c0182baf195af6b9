/**
 * Removes the registrations of gateways that are lost for good.
 *
 * A gateway that crashes, or whose machine is removed, stays registered, and over weeks such registrations would only grow
 * in number. Each of them makes the parts of limits smaller, and lets every task that falls to it wait for another gateway.
 *
 * That a gateway does not answer another one does not say that it is lost: the network between the two may be cut. So its
 * registration is questioned first, by a mark in the store. A gateway that is in touch with the store writes its
 * registration again without the mark. The registration is removed if the mark stands, the gateway is still silent, and
 * nobody has changed it: all writes are conditional. A gateway that was cut off from the store as well finds its
 * registration missing when it comes back, and registers again.
 *
 * Nothing is written while all gateways answer. A lost one costs two writes, however large the fleet is; the writers wait
 * for random times, and each questions one registration at a time, so that one that is cut off itself asks slowly.
 */
import { type OnTaskFailure, runInBackground } from "../model/background.js";
import type { LineFields } from "../observability/index.js";
import type { Store } from "../store/index.js";
import type { GatewayPeer, GatewayPeers, Registration } from "./peers.js";

/** Interval in milliseconds at which silent gateways are called. */
const PROBE_INTERVAL_MS = 2_500;

/** Maximum number of gateways that are called at a time. */
const MAXIMUM_PROBES = 8;

/**
 * Time in milliseconds without an answer after which a registration is questioned, and the longest random time beyond it.
 * Restarts, pauses and partitions of a few seconds are over by then.
 */
const QUESTION_AFTER_MS = 15_000;
const QUESTION_SPREAD_MS = 5_000;

/** Time in milliseconds for the answer to a question: a gateway may see a change only when its watch ends, after 10 s. */
const ANSWER_MS = 15_000;

/** Further time in milliseconds after which another gateway acts on a question, since the one that asked may be lost too. */
const OTHERS_ANSWER_MS = 15_000;

/** Time in milliseconds for which a gateway that has answered a question is not questioned again. */
const ANSWERED_PAUSE_MS = 600_000;

/** What the cleanup depends on. */
export interface RegistrationCleanupEnvironment {
    readonly peers: Pick<GatewayPeers, "self" | "others" | "registrationOf">;
    readonly store: Pick<Store, "write" | "remove">;
    /** Calls a gateway, whatever it answers. */
    readonly probe: (peer: GatewayPeer) => Promise<unknown>;
    /** Milliseconds for which calls to a gateway have gone unanswered. */
    readonly unansweredMs: (peer: GatewayPeer) => number;
    readonly onChange: (change: string, fields: LineFields) => void;
    /** Returns numbers from 0 to 1. */
    readonly random?: () => number;
}

/** A gateway that does not answer. */
interface Silent {
    readonly questionAfterMs: number;
    isProbed: boolean;
    /** When this gateway has seen the registration questioned, and the version that it had then. */
    questioned: { readonly version: number; readonly at: number; readonly isOwn: boolean } | undefined;
    notBefore: number;
}

/** Questions and removes registrations of gateways that do not answer. */
export class RegistrationCleanup {
    private readonly silent = new Map<string, Silent>();
    private readonly timer: NodeJS.Timeout;
    private isWriting = false;

    private constructor(private readonly environment: RegistrationCleanupEnvironment) {
        this.timer = setInterval(() => this.check(), PROBE_INTERVAL_MS);
        this.timer.unref();
    }

    static start(environment: RegistrationCleanupEnvironment): RegistrationCleanup {
        return new RegistrationCleanup(environment);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private check(): void {
        const { peers, unansweredMs } = this.environment;
        const others = peers.others.filter(peer => unansweredMs(peer) > 0 || this.silent.has(peer.name));
        const names = new Set(others.map(({ name }) => name));
        for (const name of this.silent.keys()) if (!names.has(name)) this.silent.delete(name);
        for (const peer of others) {
            const silent = this.silentOf(peer);
            if (unansweredMs(peer) === 0 && performance.now() >= silent.notBefore) this.silent.delete(peer.name);
            else this.act(peer, silent);
        }
        let probes = [...this.silent.values()].filter(({ isProbed }) => isProbed).length;
        for (const peer of others) {
            const silent = this.silent.get(peer.name);
            if (silent === undefined || silent.isProbed || unansweredMs(peer) === 0) continue;
            if (probes >= MAXIMUM_PROBES) break;
            probes += 1;
            this.run(() => this.probe(peer, silent));
        }
    }

    private async probe(peer: GatewayPeer, silent: Silent): Promise<void> {
        silent.isProbed = true;
        await this.environment.probe(peer).finally(() => (silent.isProbed = false));
    }

    /** Questions or removes the registration of a gateway if it is time to. */
    private act(peer: GatewayPeer, silent: Silent): void {
        const { peers, unansweredMs } = this.environment;
        const registration = peers.registrationOf(peer.name);
        if (registration === undefined) return;
        const now = performance.now();
        const { questioned } = silent;
        if (questioned !== undefined && questioned.version !== registration.version && !registration.isQuestioned) {
            // It was written again, so its gateway is in touch with the store.
            silent.questioned = undefined;
            silent.notBefore = now + ANSWERED_PAUSE_MS;
            return;
        }
        if (registration.isQuestioned && questioned?.version !== registration.version) {
            silent.questioned = { version: registration.version, at: now, isOwn: questioned?.isOwn === true };
            return;
        }
        if (unansweredMs(peer) < silent.questionAfterMs || now < silent.notBefore || this.isWriting) return;
        if (registration.isQuestioned && questioned !== undefined) {
            const waitMs = questioned.isOwn ? ANSWER_MS : ANSWER_MS + OTHERS_ANSWER_MS;
            if (now - questioned.at >= waitMs) this.run(() => this.remove(peer, registration));
        } else if (questioned === undefined && !this.hasOwnQuestion) {
            this.run(() => this.question(peer, silent, registration));
        }
    }

    private get hasOwnQuestion(): boolean {
        return [...this.silent.values()].some(({ questioned }) => questioned?.isOwn === true);
    }

    private async question(peer: GatewayPeer, silent: Silent, { key, version }: Registration): Promise<void> {
        const { peers, store, unansweredMs, onChange } = this.environment;
        const value = JSON.stringify({ ...peer, questionedBy: peers.self.name });
        const outcome = await this.write(() => store.write(key, value, version));
        if (outcome.kind === "written") {
            silent.questioned = { version: outcome.version, at: performance.now(), isOwn: true };
        }
        const fields = { peer: peer.name, unansweredMs: Math.round(unansweredMs(peer)), outcome: outcome.kind };
        onChange("registration questioned", fields);
    }

    private async remove(peer: GatewayPeer, { key, version }: Registration): Promise<void> {
        const { store, unansweredMs, onChange } = this.environment;
        const outcome = await this.write(() => store.remove(key, version));
        const fields = { peer: peer.name, unansweredMs: Math.round(unansweredMs(peer)), outcome: outcome.kind };
        onChange("registration removed", fields);
    }

    private async write<Outcome>(write: () => Promise<Outcome>): Promise<Outcome> {
        this.isWriting = true;
        return write().finally(() => (this.isWriting = false));
    }

    private silentOf({ name }: GatewayPeer): Silent {
        const known = this.silent.get(name);
        if (known !== undefined) return known;
        const { random = Math.random } = this.environment;
        const questionAfterMs = QUESTION_AFTER_MS + random() * QUESTION_SPREAD_MS;
        const created = { questionAfterMs, isProbed: false, questioned: undefined, notBefore: 0 };
        this.silent.set(name, created);
        return created;
    }

    private run(task: () => Promise<void>): void {
        const onFailure: OnTaskFailure = fields => this.environment.onChange("task failed unexpectedly", fields);
        runInBackground("cleanup of registrations", onFailure, task);
    }
}
