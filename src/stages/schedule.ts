/** When the stages of a request have to be ready for the request to be on time. */
import type { RouteStage, StageCapacity } from "../gateway/configuration.js";
import type { Deadline } from "../model/index.js";
import { fullCallMs } from "./batch.js";

/** What a schedule is made from. */
export interface StageScheduleEnvironment {
    readonly capacity: (service: string) => StageCapacity | undefined;
    /** Time in milliseconds that pieces of a service waited of late. */
    readonly waitMs: (service: string) => number;
}

/** Schedules of routes with stages. */
export class StageSchedule {
    private constructor(private readonly environment: StageScheduleEnvironment) {}

    static create(environment: StageScheduleEnvironment): StageSchedule {
        return new StageSchedule(environment);
    }

    /** Time by which a stage has to be ready when the last results have to be there at `latest`. */
    targetTimeOf(stages: readonly RouteStage[], stage: number, latest: Deadline): Deadline {
        return latest.earlierBy(this.followingMs(stages, stage));
    }

    /** Time in milliseconds of a full call to a service, without a queue; 0 for an unknown one. */
    callMs(service: string): number {
        const capacity = this.environment.capacity(service);
        return capacity === undefined ? 0 : fullCallMs(capacity);
    }

    /** Time in milliseconds of the stages that follow one and of their queues, along the longest way. */
    private followingMs(stages: readonly RouteStage[], stage: number): number {
        const following = stages.flatMap(({ service, after }, index) => {
            if (!after.includes(stage)) return [];
            return [this.callMs(service) + this.environment.waitMs(service) + this.followingMs(stages, index)];
        });
        return Math.max(0, ...following);
    }
}
