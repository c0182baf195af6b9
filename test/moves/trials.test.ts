/**
 * A stop of a version may reach an entry before or after the configuration that it is about, and ends with the trial.
 */
import { beforeEach, describe, expect, it } from "vitest";
import { Configuration, ConfigurationHolder } from "../../src/configuration/index.js";
import { VersionTrials } from "../../src/entry/trials.js";
import type { VersionStopped } from "../../src/link/index.js";
import { VersionChooser } from "../../src/routing/index.js";

let holder: ConfigurationHolder;
let versions: VersionChooser;
let trials: VersionTrials;
let stops: number;

beforeEach(() => {
    holder = ConfigurationHolder.create();
    versions = VersionChooser.create();
    stops = 0;
    const metrics = { increment: () => undefined };
    trials = VersionTrials.create({ versions, holder, metrics, onStopped: () => (stops += 1) });
    holder.subscribe(() => {
        trials.configure();
    });
});

const stopped = { service: "s", version: "v2", reason: "r", configurationVersion: 3 } as VersionStopped;

function configure(version: number, candidate?: string): void {
    const split = { service: "s", stable: "v1" };
    const value = candidate === undefined ? split : { ...split, candidate: { version: candidate, fraction: 1 } };
    holder.replace(Configuration.of(version, [{ kind: "traffic", name: "s", value }]));
}

function allowed(): readonly string[] | undefined {
    return versions.allowedVersions("s", holder.current.find("traffic", "s"));
}

describe("a stop from another entry", () => {
    it("that arrives before the split is in force here applies to that split", () => {
        configure(2);
        trials.receiveStop(stopped);
        expect(allowed()).toEqual(["v1"]);
        configure(3, "v2");
        expect(allowed()).toEqual(["v1"]);
        expect(trials.currentStops()).toHaveLength(1);
        expect(stops).toBe(0);
    });

    it("that arrives after the trial has ended does not apply to a later trial", () => {
        configure(4);
        trials.receiveStop(stopped);
        configure(5, "v2");
        expect(allowed()).toEqual(["v2", "v1"]);
    });

    it("ends with the trial, even if no request was sent in between", () => {
        configure(3, "v2");
        trials.receiveStop(stopped);
        expect(allowed()).toEqual(["v1"]);
        configure(4);
        configure(5, "v2");
        expect(allowed()).toEqual(["v2", "v1"]);
        expect(trials.stoppedReason("s", "v2")).toBeUndefined();
    });

    it("is not reported again when this entry stops the same version", () => {
        configure(3, "v2");
        trials.receiveStop(stopped);
        trials.stop("s", "v2", "seen here too");
        expect([stops, trials.stoppedReason("s", "v2")]).toEqual([0, "r"]);
    });
});
