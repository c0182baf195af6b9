/** The links to all targets in the directory, and which of them an attempt may use. */
import type { ConfigurationHolder } from "../configuration/index.js";
import type { Directory, Membership } from "../membership/index.js";
import { TargetLink, type TargetLinkContext } from "./targetlink.js";

/** Links to the targets in the directory. */
export class TargetLinks {
    private readonly links = new Map<string, TargetLink>();
    private unsubscribe: () => void = () => undefined;
    private listedNames: ReadonlySet<string> = new Set();

    private constructor(
        private readonly context: TargetLinkContext,
        private readonly onRemoved: (target: string) => void,
    ) {}

    /** Opens a link to each target, now and as the directory changes. `onRemoved` is called for removed targets. */
    static start(
        directory: Directory,
        context: TargetLinkContext,
        onRemoved: (target: string) => void = () => undefined,
    ): TargetLinks {
        const created = new TargetLinks(context, onRemoved);
        created.update(directory.current);
        created.unsubscribe = directory.subscribe(membership => created.update(membership));
        return created;
    }

    /** All links, open or not. */
    all(): readonly TargetLink[] {
        return [...this.links.values()];
    }

    find(name: string): TargetLink | undefined {
        return this.links.get(name);
    }

    /** Targets of a service that take new work: linked, not leaving, zone in service. */
    usable(service: string, holder: ConfigurationHolder): readonly TargetLink[] {
        return this.all().filter(
            link =>
                link.service === service &&
                link.connected &&
                !link.leaving &&
                holder.current.isZoneInService(link.zone),
        );
    }

    /** Maintains the links; called about once a second. */
    maintain(): void {
        this.removeAbsent();
        for (const link of this.links.values()) link.maintain();
    }

    /** Tells every linked agent that this entry stops. */
    announceLeaving(reason: string): void {
        for (const link of this.links.values()) link.announceLeaving(reason);
    }

    /** Closes all links. */
    stop(reason: string): void {
        this.unsubscribe();
        for (const link of this.links.values()) link.stop(reason);
    }

    private update(membership: Membership): void {
        this.listedNames = new Set(membership.targets.map(target => target.name));
        this.removeAbsent();
        for (const target of membership.targets) {
            const existing = this.links.get(target.name);
            if (existing === undefined) this.links.set(target.name, TargetLink.start(target, this.context));
            else existing.updateTarget(target);
        }
    }

    /** Keeps open links, because the directory lags and can be wrong: a connected agent is present. */
    private removeAbsent(): void {
        for (const [name, link] of this.links) {
            if (!this.listedNames.has(name) && !link.connected) this.remove(name, link);
        }
    }

    private remove(name: string, link: TargetLink): void {
        link.stop("no longer in the directory");
        this.links.delete(name);
        this.onRemoved(name);
    }
}
