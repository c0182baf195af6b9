/** Starts an agent process, which serves one target. */
import { HttpEngine } from "../agent/engineclient.js";
import { Agent, type Engine } from "../agent/index.js";
import { ConnectNetwork, type Network } from "../link/index.js";
import { createLogger, createMetrics, type ProcessMetrics, type StateLogger } from "../observability/index.js";
import type { AgentSettings } from "../settings/index.js";
import { CallCounter, HttpStore, type Store } from "../store/index.js";
import type { RunningProcess } from "./process.js";

/** External dependencies of an agent process. */
export interface AgentEnvironment {
    readonly network: Network;
    readonly store: Store;
    readonly engine: Engine;
    readonly logger?: StateLogger;
}

/** A running agent process. */
export interface AgentProcess extends RunningProcess {
    readonly agent: Agent;
    readonly metrics: ProcessMetrics;
    /** Simulates a crash: nothing is finished or released. */
    kill(): void;
}

/** Starts an agent process with its own outbound clients. Throws if an address or a file cannot be used. */
export function startAgent(settings: AgentSettings): Promise<AgentProcess> {
    return composeAgent(settings, {
        network: ConnectNetwork.create(settings.systemKey, settings.tls),
        store: HttpStore.create({ ...settings.store, callCounter: CallCounter.create() }),
        engine: HttpEngine.create(settings.targetAddress),
    });
}

/** Starts an agent with the given dependencies, for example to run several agents in one process. */
export async function composeAgent(settings: AgentSettings, environment: AgentEnvironment): Promise<AgentProcess> {
    const { network, store, engine } = environment;
    const logger = environment.logger ?? createLogger(settings.logging, settings.name);
    const metrics = createMetrics(settings.metrics);
    const agent = await startOrCloseMetrics(metrics, () =>
        Agent.start({ settings, network, store, engine, logger, metrics }),
    );
    logger.info("agent started", { links: agent.address, incarnation: agent.incarnation });
    return {
        name: settings.name,
        agent,
        metrics,
        stop: async () => {
            logger.info("agent stops");
            await agent.stop();
            await metrics.close();
        },
        kill: () => {
            agent.kill();
        },
    };
}

/** Closes the socket of the counters if the start fails. */
async function startOrCloseMetrics(metrics: ProcessMetrics, start: () => Promise<Agent>): Promise<Agent> {
    try {
        return await start();
    } catch (error) {
        await metrics.close();
        throw error;
    }
}
