/** A target of the fuzz test between its agent and its stand-in. */
import type { Engine, EngineEvent, EngineRequest } from "../../src/agent/index.js";
import type { StandInEngine } from "../../src/standins/index.js";
import type { World } from "./world.js";

/** An engine whose starts the oracle sees, and whose calls wait while its agent is paused. */
export class ObservedEngine implements Engine {
    constructor(
        private readonly name: string,
        private readonly engine: StandInEngine,
        private readonly world: World,
    ) {}

    async *execute(request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent> {
        await this.world.resumed(this.name);
        if (signal.aborted) {
            yield { kind: "lost", message: "cancelled" };
            return;
        }
        for await (const event of this.engine.execute(request, signal)) {
            if (event.kind === "started") this.world.noteStart(this.name, this.engine, request);
            yield event;
        }
    }

    async load(): ReturnType<Engine["load"]> {
        await this.world.resumed(this.name);
        return this.engine.load();
    }

    order(order: Parameters<Engine["order"]>[0]): ReturnType<Engine["order"]> {
        return this.engine.order(order);
    }
}
