/**
 * Deliberate faults, one for each mechanism that a guarantee depends on. `npm run fuzz:mutations` applies each to the
 * source while it is loaded, and checks that the fuzz test finds it. A fault that can no longer be applied is an error.
 */

/** One deliberate fault: source text and its replacement. */
export interface Mutation {
    readonly name: string;
    /** File below `src/`. */
    readonly file: string;
    readonly from: string;
    readonly to: string;
}

export const MUTATIONS: readonly Mutation[] = [
    {
        name: "claim is not committed before the run",
        file: "claims/registry.ts",
        from: "const refusal = await this.commit(claim, deadline);",
        to: "const refusal = await Promise.resolve(undefined as StageOutcome | undefined);",
    },
    {
        name: "an owner whose journal was closed runs",
        file: "claims/journal.ts",
        from: "if (found !== undefined) return found;",
        to: 'if (found !== undefined) return "written";',
    },
    {
        name: "duplicates do not join the run in progress",
        file: "claims/registry.ts",
        from: 'if (known?.kind === "running") {\n            this.options.metrics',
        to: 'if (known?.kind === ("never" as "running")) {\n            this.options.metrics',
    },
    {
        name: "stored results are not replayed",
        file: "claims/registry.ts",
        from: 'if (known?.kind === "final") {\n            this.options.metrics',
        to: 'if (known?.kind === ("never" as "final")) {\n            this.options.metrics',
    },
    {
        name: "a new owner takes a claim without result for free",
        file: "claims/registry.ts",
        from: 'if (kind === "claim" && !released.has(claim)) {',
        to: 'if (kind === "claim" && released.has("never")) {',
    },
    {
        name: "a withdrawn key runs",
        file: "claims/registry.ts",
        from: 'if (known?.kind === "withdrawn" && known.until > performance.now()) {',
        to: 'if (known?.kind === "withdrawn" && known.until < 0) {',
    },
    {
        name: "a new owner does not read the journals before it",
        file: "claims/registry.ts",
        from: "const keys = recordedKeys(records.filter(",
        to: "const keys = recordedKeys([].filter(",
    },
    {
        name: "not run is said without asking the owner",
        file: "entry/resolution.ts",
        from: "if (undecidedStages.length === 0 || key === undefined) return conclude(run, end);",
        to: "return conclude(run, end);",
    },
    {
        name: "not run is said after a run",
        file: "entry/resolution.ts",
        from: "if (!run.mayHaveRun) return end;",
        to: 'if (end.kind === "refused") return end;',
    },
    {
        name: "answers of two attempts are crossed",
        file: "entry/targetlink.ts",
        from: "const attempt = connection.attempts.get(number);",
        to: "const attempt = [...connection.attempts.values()].at(-1);",
    },
    {
        name: "a resumed stream starts again",
        file: "entry/tokenstream.ts",
        from: "const newTokens = tokens.slice(this.count - firstIndex);",
        to: "const newTokens = tokens.slice(0);",
    },
    {
        name: "the agent ignores that its zone is out",
        file: "agent/agent.ts",
        from: "if (!this.configurationHolder.current.isZoneInService(this.options.settings.zone)) {",
        to: "if (!this.configurationHolder.current.isZoneInService(`no ${this.options.settings.zone}`)) {",
    },
    {
        name: "entries and agents keep the old state of a zone",
        file: "configuration/configuration.ts",
        from: 'return this.find("zone", zone)?.state !== "out";',
        to: 'return this.find("zone", zone)?.state !== ("never" as "out");',
    },
    {
        name: "the cold limit is ignored",
        file: "agent/gate.ts",
        from: "this.limits = { warm, cold: Math.min(warm, atLeastOne(limits.cold)) };",
        to: "this.limits = { warm, cold: warm + limits.cold };",
    },
    {
        name: "a target that turned cold is not noticed",
        file: "agent/gate.ts",
        from: "if (this.cold) this.cancelExcess();\n    }",
        to: "this.cold = false;\n        this.limit = warm;\n        this.queue.concurrency = warm;\n        this.limits = { warm, cold: warm };\n    }",
    },
    {
        name: "a transfer is put in force change by change",
        file: "configuration/holder.ts",
        from: "next = applied;\n            this.retain(change);",
        to: "next = applied;\n            this.retain(change);\n            this.activate(next);",
    },
    {
        name: "a fresh process trusts a stale read of the configuration",
        file: "configuration/feed.ts",
        from: 'if (head.kind !== "confirmed" || head.version > configuration.version) return false;',
        to: 'if (head.kind === "unavailable") return false;',
    },
    {
        name: "shares are not enforced",
        file: "admission/share.ts",
        from: "if (this.rate > 0 && this.level >= needed) {",
        to: "if (this.rate > 0) {",
    },
    {
        name: "a restarted entry has a full burst",
        file: "admission/share.ts",
        from: "this.level = rate * Math.min(idleSeconds, BURST_SECONDS);",
        to: "this.level = rate * Math.max(idleSeconds * 0, BURST_SECONDS);",
    },
    {
        name: "the deadline is ignored",
        file: "entry/attempt.ts",
        from: "limits.deadline.remainingMs(),",
        to: "limits.deadline.remainingMs() + 1_000,",
    },
];
