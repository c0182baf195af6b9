/** The registered targets of all services, by name, service and address. */
import type { KnownTarget } from "./knowntarget.js";
import { startKey, type TargetRegistration, type TargetStart } from "./target.js";

/** Number of targets that are remembered without a registration. */
const MAXIMUM_LAPSED = 2_000;

/** The registered targets, one for each name. */
export class TargetIndex {
    private readonly byName = new Map<string, KnownTarget>();
    private readonly byService = new Map<string, Set<KnownTarget>>();
    private readonly byAddress = new Map<string, KnownTarget>();
    /** Targets by start whose registrations are missing. They may return, and attempts at them may be in progress. */
    private readonly lapsed = new Map<string, KnownTarget>();

    /** Increases when a target is added or removed. */
    revision = 0;

    private constructor() {}

    static create(): TargetIndex {
        return new TargetIndex();
    }

    get size(): number {
        return this.byName.size;
    }

    names(): readonly string[] {
        return [...this.byName.keys()];
    }

    find(name: string): KnownTarget | undefined {
        return this.byName.get(name);
    }

    /** The target with an address; if there are several, the one registered last. */
    findByAddress(address: string): KnownTarget | undefined {
        return this.byAddress.get(address);
    }

    ofService(service: string): readonly KnownTarget[] {
        return [...(this.byService.get(service) ?? [])];
    }

    /** Adds a target whose name is free. */
    add(target: KnownTarget): void {
        this.revision += 1;
        const { address, service } = target.registration;
        this.byName.set(target.name, target);
        this.byAddress.set(address, target);
        const others = this.byService.get(service) ?? new Set();
        others.add(target);
        this.byService.set(service, others);
    }

    /** Removes a target, which is remembered in case its registration returns. */
    remove(target: KnownTarget): void {
        this.revision += 1;
        this.byName.delete(target.name);
        this.byService.get(target.registration.service)?.delete(target);
        this.forgetAddress(target);
        this.lapsed.set(startKey(target.registration), target);
        for (const oldest of this.lapsed.keys()) {
            if (this.lapsed.size <= MAXIMUM_LAPSED) break;
            this.lapsed.delete(oldest);
        }
    }

    /** Takes a target out of those that are remembered without a registration. */
    takeLapsed(start: TargetStart): KnownTarget | undefined {
        const key = startKey(start);
        const target = this.lapsed.get(key);
        this.lapsed.delete(key);
        return target;
    }

    /** Replaces a target's registration by one for the same service. */
    replaceRegistration(target: KnownTarget, registration: TargetRegistration): void {
        this.forgetAddress(target);
        target.registration = registration;
        this.byAddress.set(registration.address, target);
    }

    private forgetAddress(target: KnownTarget): void {
        const { address } = target.registration;
        if (this.byAddress.get(address) === target) this.byAddress.delete(address);
    }
}
