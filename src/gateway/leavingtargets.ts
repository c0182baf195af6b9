/** Targets that have said that they leave; the store may not know of it, or have lost it. */
import { startKey, type TargetStart } from "./target.js";

/** Number of targets of which is remembered that they leave. */
const MAXIMUM_LEAVING = 2_000;

/** The starts of targets that leave, the latest ones if there are many. */
export class LeavingTargets {
    private readonly starts = new Set<string>();

    private constructor() {}

    static create(): LeavingTargets {
        return new LeavingTargets();
    }

    has(target: TargetStart): boolean {
        return this.starts.has(startKey(target));
    }

    /** Adds a target. Returns whether it was not known to leave. */
    add(target: TargetStart): boolean {
        if (this.has(target)) return false;
        this.starts.add(startKey(target));
        for (const oldest of this.starts) {
            if (this.starts.size <= MAXIMUM_LEAVING) break;
            this.starts.delete(oldest);
        }
        return true;
    }
}
