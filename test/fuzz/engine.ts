/** Observes the calls between an agent of the fuzz test and its stand-in target. */
import type { Engine, EngineEvent, EngineRequest } from "../../src/agent/index.js";
import type { StandInEngine } from "../../src/standins/index.js";
import type { World } from "./world.js";

/** Reports starts to the oracle, and delays calls while the agent is paused. */
export class ObservedEngine implements Engine {
    constructor(
        private readonly name: string,
        private readonly engine: StandInEngine,
        private readonly world: World,
    ) {}

    async *execute(request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent> {
        await this.world.whenResumed(this.name);
        if (signal.aborted) {
            yield { kind: "lost", message: "cancelled" };
            return;
        }
        for await (const event of this.engine.execute(request, signal)) {
            if (event.kind === "started") this.world.recordStart(this.name, this.engine, request);
            yield event;
        }
    }

    async load(): ReturnType<Engine["load"]> {
        await this.world.whenResumed(this.name);
        return this.engine.load();
    }

    order(order: Parameters<Engine["order"]>[0]): ReturnType<Engine["order"]> {
        return this.engine.order(order);
    }
}
