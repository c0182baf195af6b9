/** Target times of stages: when each must be ready for its request to be on time. */
import type { RouteStage, StageCapacity } from "../gateway/configuration.js";
import type { Deadline } from "../model/index.js";
import { fullCallMs } from "./batch.js";

/** What a schedule is computed from. */
export interface StageScheduleEnvironment {
    readonly capacity: (service: string) => StageCapacity | undefined;
    /** Recent queueing time in milliseconds of pieces of a service. */
    readonly waitMs: (service: string) => number;
}

/** Computes the target times of routes with stages. */
export class StageSchedule {
    private constructor(private readonly environment: StageScheduleEnvironment) {}

    static create(environment: StageScheduleEnvironment): StageSchedule {
        return new StageSchedule(environment);
    }

    /** Time by which a stage must be ready for the results of all stages to be ready at `latestReady`. */
    targetTimeOf(stages: readonly RouteStage[], stage: number, latestReady: Deadline): Deadline {
        return latestReady.earlierBy(this.followingMs(stages, stage));
    }

    /** Expected time in milliseconds of a full call to a service, without queueing; 0 for an unknown service. */
    callMs(service: string): number {
        const capacity = this.environment.capacity(service);
        return capacity === undefined ? 0 : fullCallMs(capacity);
    }

    /** Expected time in milliseconds of the stages after one, with their queueing, along the longest path. */
    private followingMs(stages: readonly RouteStage[], stage: number): number {
        const following = stages.flatMap(({ service, after }, index) => {
            if (!after.includes(stage)) return [];
            return [this.callMs(service) + this.environment.waitMs(service) + this.followingMs(stages, index)];
        });
        return Math.max(0, ...following);
    }
}
