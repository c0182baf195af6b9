/** A small deployment for tests of agents: agents with stand-in targets, and links in place of entries. */
import { Agent } from "../../src/agent/index.js";
import { Configuration, type ConfigurationRecord } from "../../src/configuration/index.js";
import {
    type Link,
    type LinkBody,
    type LinkBodyInit,
    MemoryNetwork,
    Role,
    type StageResult,
} from "../../src/link/index.js";
import { hashClaimKey, decodeSlotTable, type SlotOwner, slotTableKey } from "../../src/claims/index.js";
import { decodeSegment } from "../../src/claims/segment.js";
import { type Service, slotOf } from "../../src/model/index.js";
import { agentSettingsSchema } from "../../src/settings/schema.js";
import { StandInEngine, type StandInEngineOptions, StandInStore } from "../../src/standins/index.js";

const ignore = (): undefined => undefined;

export const logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
export const metrics = { increment: ignore };

export const bookingService: Service = {
    name: "booking",
    kind: "plain",
    slots: 8,
    whenStoreUnavailable: "refuse",
    fencing: "ignored",
    concurrency: 6,
    coldConcurrency: 2,
};

type RunFields = Extract<LinkBodyInit, { case: "runStage" }>["value"];
type BodyCase = NonNullable<LinkBody["case"]>;
type BodyValue<Case extends BodyCase> = Extract<LinkBody, { case: Case }>["value"];

/** The entry's end of a link, which records all received messages. */
export class TestEntry {
    readonly received: LinkBody[] = [];
    private nextAttempt = 1;

    private constructor(readonly link: Link) {
        void (async () => {
            for await (const body of link.messages) this.received.push(body);
        })();
    }

    static async connect(network: MemoryNetwork, name: string, address: string): Promise<TestEntry> {
        const outcome = await network.at(name).connect(address, { role: Role.ENTRY, name, incarnation: `${name}-1` });
        if (outcome.kind !== "connected") throw new Error(outcome.message);
        return new TestEntry(outcome.link);
    }

    /** Sends an attempt and returns its number. */
    run(fields: RunFields): number {
        const attempt = this.nextAttempt++;
        this.link.send({
            case: "runStage",
            value: {
                attempt,
                requestId: `request-${attempt}`,
                account: "hire",
                stage: "stage",
                service: "booking",
                operation: "check",
                payload: `{"n":${attempt}}`,
                remainingMilliseconds: 4_000,
                idempotent: true,
                ...fields,
            },
        });
        return attempt;
    }

    result(attempt: number): StageResult | undefined {
        const results = this.bodies("stageResult").filter(result => result.attempt === attempt);
        if (results.length > 1) throw new Error(`attempt ${attempt} was answered ${results.length} times`);
        return results[0];
    }

    /** Outcome of an attempt as text: `open`, `completed`, `replayed`, or kind and reason. */
    outcome(attempt: number): string {
        const outcome = this.result(attempt)?.outcome;
        if (outcome?.case === undefined) return "open";
        if (outcome.case === "completed") return outcome.value.replayed ? "replayed" : "completed";
        return `${outcome.case} ${outcome.value.reason}`;
    }

    bodies<Case extends BodyCase>(name: Case): BodyValue<Case>[] {
        return this.received.filter(body => body.case === name).map(body => body.value as BodyValue<Case>);
    }
}

/** Agents of one service that share a store and a network. */
export class Deployment {
    readonly network = MemoryNetwork.create();
    readonly store = StandInStore.create();
    readonly agents: Agent[] = [];
    readonly engines: StandInEngine[] = [];
    private version = 0;

    constructor(private readonly service: Service = bookingService) {}

    async startAgent(name: string, engineOptions: Partial<StandInEngineOptions> = {}, zone = "z1"): Promise<Agent> {
        const engine = StandInEngine.create({
            operations: ["check", "book"],
            nonIdempotent: ["book"],
            concurrency: this.service.concurrency,
            coldConcurrency: this.service.coldConcurrency,
            timePerCall: 50,
            startsCold: false,
            ...engineOptions,
        });
        const port = 7_000 + this.agents.length;
        const settings = agentSettingsSchema.parse({
            name,
            zone,
            vm: `vm-${name}`,
            systemKey: "test-system-key",
            linkAddress: `127.0.0.1:${port}`,
            store: { address: "127.0.0.1:6000" },
            service: this.service.name,
            version: "1",
            targetAddress: "127.0.0.1:6100",
        });
        const agent = await Agent.start({
            settings,
            network: this.network.at(settings.linkAddress),
            store: this.store.client(name),
            engine,
            logger,
            metrics,
        });
        this.agents.push(agent);
        this.engines.push(engine);
        this.configure(agent);
        return agent;
    }

    /** Replaces an agent's configuration directly, as an update from an entry would. */
    configure(agent: Agent, records: readonly ConfigurationRecord[] = []): void {
        this.version += 1;
        const service = { kind: "service", name: this.service.name, value: this.service } as const;
        agent.configurationHolder.replace(Configuration.of(this.version, [service, ...records]));
    }

    /** Sends a booking to an agent, with the slot epoch that the slot table holds now. */
    book(entry: TestEntry, key: string, fields: RunFields = {}): number {
        const { slot, owner } = this.slotOf(key);
        return entry.run({
            account: "hire",
            stage: "stage",
            operation: "book",
            idempotent: false,
            idempotencyKey: key,
            slot,
            slotEpoch: owner?.epoch ?? 0,
            ...fields,
        });
    }

    /** Sends a withdrawal and returns its query number. */
    withdraw(entry: TestEntry, key: string, epoch?: number): number {
        const { slot, owner } = this.slotOf(key);
        const query = Math.floor(Math.random() * 1_000_000) + 1;
        const slotEpoch = epoch ?? owner?.epoch ?? 0;
        const service = this.service.name;
        const value = { query, account: "hire", idempotencyKey: key, stage: "stage", service, slot, slotEpoch };
        entry.link.send({ case: "withdraw", value });
        return query;
    }

    slotOf(key: string): { slot: number; owner: SlotOwner | undefined } {
        const slot = slotOf("hire", key, "stage", this.service.slots);
        const object = this.store.peek(slotTableKey(this.service.name));
        const table = object === undefined ? undefined : decodeSlotTable(object.value);
        return { slot, owner: table?.slots[slot] };
    }

    /** Number of claims of a key in all journals. */
    claims(key: string): number {
        const records = this.store.keys("claims/").flatMap(object => {
            return decodeSegment(this.store.peek(object)?.value ?? "").records;
        });
        const hash = hashClaimKey("hire", key, "stage");
        return records.filter(record => record.kind === "claim" && record.key === hash).length;
    }

    /** Number of runs of a key at all targets. */
    runs(key: string): number {
        return this.engines.reduce((sum, engine) => sum + (engine.counters().runsByKey[`hire/${key}/stage`] ?? 0), 0);
    }

    async connect(name: string, agent: Agent): Promise<TestEntry> {
        return await TestEntry.connect(this.network, name, agent.address);
    }

    end(): void {
        for (const agent of this.agents) agent.kill();
    }
}
