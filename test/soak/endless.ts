/** Targets and callers that send bytes without end, or no answers, in series and overlapping. */
import { Agent } from "node:http";
import { pause } from "../processes/daemons.js";
import { pick, type SoakCallers } from "./callers.js";
import type { SoakDeployment, SoakTarget } from "./deployment.js";
import { ENDLESS_ANSWERS, ENDLESS_CALLERS, type EndlessAnswer } from "./endlessbytes.js";
import type { TroubleSpan } from "./endlesspromises.js";
import type { FaultTable } from "./faults.js";
import type { RequestKind } from "./promises.js";

/** Duration of a trouble in milliseconds: at least, and longer by at most. */
const SHORTEST_TROUBLE_MS = 500;
const TROUBLE_SPREAD_MS = 2_500;

/** Troubles of one series. */
const TROUBLES_OF_SERIES = 3;

/** Fraction of a service's targets to which the same happens at the same time. */
const SEVERAL = 2 / 3;

/** Largest number of faulty callers, and of requests that are sent at the same time, of one fault. */
const MOST_CALLERS = 60;
const MOST_REQUESTS = 80;

/** Requests that need a service. */
const KINDS_OF: Readonly<Record<string, readonly RequestKind[]>> = {
    bookings: ["check", "book"],
    engines: ["chat", "draft"],
    encode: ["staged"],
    rank: ["staged"],
};

/** Parties of a deployment that send without end. */
export class SoakEndless {
    readonly troubles: TroubleSpan[] = [];
    /** Number of answers and callers by name. */
    readonly counts: Record<string, number> = {};
    private readonly troubled = new Set<string>();

    private constructor(
        private readonly deployment: SoakDeployment,
        private readonly callers: SoakCallers,
    ) {}

    static create(deployment: SoakDeployment, callers: SoakCallers): SoakEndless {
        return new SoakEndless(deployment, callers);
    }

    faults(): FaultTable {
        return {
            endlessTarget: random => this.trouble(random, this.anyTarget(random)),
            endlessTargets: random => {
                const { service } = this.anyTarget(random);
                return this.troubleSeveral(random, service);
            },
            endlessSeries: async random => {
                const target = this.anyTarget(random);
                for (let count = 0; count < TROUBLES_OF_SERIES; count += 1) await this.trouble(random, target);
            },
            endlessBeforeMany: async random => {
                const { service } = this.anyTarget(random);
                const count = 1 + Math.floor(random() * MOST_REQUESTS);
                const agent = new Agent();
                await Promise.all([
                    this.troubleSeveral(random, service),
                    ...Array.from({ length: count }, () => this.callers.callOnce(agent, KINDS_OF[service])),
                ]);
            },
            endlessCallers: random => Promise.resolve(this.call(random)),
            moreEndlessCallers: random => Promise.resolve(this.call(random)),
        };
    }

    private anyTarget(random: () => number): SoakTarget {
        return pick(random, [...this.deployment.targets.values()]);
    }

    private async troubleSeveral(random: () => number, service: string): Promise<void> {
        const targets = [...this.deployment.targets.values()].filter(each => each.service === service);
        const chosen = targets.filter(() => random() < SEVERAL);
        const answer = this.pickAnswer(random, service);
        await Promise.all(chosen.map(target => this.trouble(random, target, answer)));
    }

    private pickAnswer(random: () => number, service: string): EndlessAnswer {
        return pick(random, ENDLESS_ANSWERS[service] ?? []);
    }

    /** Replaces the answers of a target for a time, unless they are replaced already. */
    private async trouble(
        random: () => number,
        { id, service }: SoakTarget,
        answer = this.pickAnswer(random, service),
    ): Promise<void> {
        const milliseconds = SHORTEST_TROUBLE_MS + random() * TROUBLE_SPREAD_MS;
        if (this.troubled.has(id)) return;
        this.troubled.add(id);
        this.count(`answer: ${answer.name}`);
        const span = { service, from: performance.now(), until: Number.POSITIVE_INFINITY };
        this.troubles.push(span);
        this.deployment.parties?.trouble(id, answer);
        await pause(milliseconds);
        this.deployment.parties?.trouble(id, undefined);
        span.until = performance.now();
        this.troubled.delete(id);
    }

    private call(random: () => number): void {
        const { deployment } = this;
        const caller = pick(random, ENDLESS_CALLERS);
        const { settings } = pick(random, deployment.gateways);
        const count = 1 + Math.floor(random() * MOST_CALLERS);
        this.count(`caller: ${caller.name}`);
        const ids = Array.from({ length: count }, () => deployment.unobservedId(caller.answerBytes));
        deployment.parties?.call(String(settings.callerAddress), ids, caller);
    }

    private count(name: string): void {
        this.counts[name] = (this.counts[name] ?? 0) + 1;
    }
}
