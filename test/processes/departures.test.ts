/**
 * Callers that leave while the process does not run: it reads their requests late, and none may be sent to a target, since
 * the end of the connection has arrived by then.
 */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { pause } from "./daemons.js";
import type { RawCaller } from "./rawcaller.js";
import { Stage } from "./stage.js";

const CALLERS = 20;

/** Times in milliseconds for requests, and for closes, to arrive at the stopped process. */
const ARRIVAL_MS = 300;

let stage: Stage;

beforeAll(async () => {
    stage = await Stage.start();
}, 60_000);

afterAll(async () => {
    await stage.close();
});

interface DepartureCase {
    readonly path: string;
    readonly connections: "new" | "kept";
    readonly ending: "closed" | "reset";
}

const CASES: readonly DepartureCase[] = ["/check", "/book", "/chat", "/draft"].flatMap(path =>
    (["new", "kept"] as const).flatMap(connections =>
        (["closed", "reset"] as const).map(ending => ({ path, connections, ending })),
    ),
);

describe("a gateway process that continues after a pause", () => {
    it.each(CASES)(
        "sends no request to $path whose $connections connection was $ending meanwhile",
        async ({ path, connections, ending }) => {
            const idOf = (number: number): string => `${path.slice(1)}-${connections}-${ending}-${number}`;
            const callers: RawCaller[] = [];
            while (connections === "kept" && callers.length < CALLERS) callers.push(await stage.connectKept());
            stage.gateway.signal("SIGSTOP");
            while (callers.length < CALLERS) callers.push(await stage.connect());
            callers.forEach((caller, number) => caller.sendRequest(`${path}/1`, idOf(number)));
            await pause(ARRIVAL_MS);
            for (const caller of callers) {
                if (ending === "reset") caller.resetConnection();
                else caller.close();
            }
            await pause(ARRIVAL_MS);
            stage.gateway.signal("SIGCONT");
            // Connections are accepted in the order in which they were opened.
            const last = await stage.connect();
            expect((await last.send("/public/1", "last")).status).toBe(200);
            last.close();
            await pause(ARRIVAL_MS);
            expect([...callers.keys()].map(idOf).filter(id => stage.arrivals(id).length > 0)).toEqual([]);
        },
    );
});
