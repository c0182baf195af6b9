/** The `parsleyrun` command line: parses the arguments and runs a command. */
import meow from "meow";
import { OperatorClient } from "./client.js";
import { applyCommand, trafficCommand, zoneCommand } from "./changes.js";
import type { CommandContext } from "./command.js";
import { type Console, ExitCode } from "./console.js";
import { checkSettingsCommand, daemonCommand } from "./daemons.js";
import { moveCommand, movesCommand, parseSeconds } from "./moves.js";
import { reportCommand } from "./report.js";
import { showCommand, statusCommand } from "./views.js";

const HELP = `Usage
  parsleyrun entry --settings FILE              run an entry
  parsleyrun agent --settings FILE              run an agent
  parsleyrun check-settings ROLE FILE           check a settings file of an entry, agent or gateway

  parsleyrun apply FILE [--dry-run] [--base VERSION] [--wait]
                                                apply lists
  parsleyrun show                               print the lists in force
  parsleyrun status                             who has which version, members, slots, zones, store
  parsleyrun zone NAME out|back [--wait]        take a zone out of service or bring it back
  parsleyrun traffic SERVICE --stable VERSION [--candidate VERSION --fraction F] [--wait]
                                                split a service's traffic between versions
  parsleyrun move zone NAME out|back --within TIME [--wait]
                                                take a zone out or bring it back by a time, or undo it
  parsleyrun move version SERVICE VERSION --within TIME [--share F] [--wait]
                                                bring a version into use in steps, or undo it
  parsleyrun moves                              open moves and results
  parsleyrun report [--html FILE]               counters and durations, merged over the entries named

Options of the operators' commands
  --entry ADDRESS    address (host:port) of an entry; may be repeated
  --key KEY          operators' key; by default PARSLEYRUN_OPERATOR_KEY
  --author NAME      who makes a change, for other operators to read
  --wait             wait until a change is in force everywhere
  --within TIME      time by which a move has to end, such as 60s or 10m
  --share F          share of a new version at first, by default 0.05
  --timeout SECONDS  longest wait, by default 10
  --json             output as JSON

  --help, --version

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, 3 no entry can be reached.`;

const FLAGS = {
    settings: { type: "string" },
    entry: { type: "string", isMultiple: true },
    key: { type: "string" },
    author: { type: "string" },
    json: { type: "boolean" },
    help: { type: "boolean", shortFlag: "h" },
    version: { type: "boolean" },
    dryRun: { type: "boolean" },
    wait: { type: "boolean" },
    timeout: { type: "number", default: 10 },
    base: { type: "number" },
    stable: { type: "string" },
    candidate: { type: "string" },
    fraction: { type: "number" },
    html: { type: "string" },
    within: { type: "string" },
    share: { type: "number" },
} as const;

/** Invalid arguments. Thrown only while arguments are parsed. */
class UsageError extends Error {}

type Arguments = ReturnType<typeof parseArguments>;

/** Parses the arguments, runs the command and returns its exit code. */
export async function run(argv: readonly string[], console: Console): Promise<ExitCode> {
    try {
        return await dispatch(parseArguments(argv), console);
    } catch (error) {
        if (!(error instanceof UsageError)) throw error;
        console.error(`error: ${error.message}`);
        console.error("next: parsleyrun --help shows the usage");
        return ExitCode.usage;
    }
}

function parseArguments(argv: readonly string[]) {
    const parsed = meow({
        importMeta: import.meta,
        argv: [...argv],
        flags: FLAGS,
        help: false,
        autoHelp: false,
        autoVersion: false,
        booleanDefault: undefined,
    });
    const unknown = Object.keys(parsed.flags).filter(flag => !(flag in FLAGS));
    if (unknown.length > 0) throw new UsageError(`unknown option: ${unknown.join(", ")}`);
    for (const flag of ["timeout", "base", "fraction", "share"] as const) {
        if (Number.isNaN(parsed.flags[flag])) throw new UsageError(`--${flag} takes a number`);
    }
    return { input: parsed.input, flags: parsed.flags, version: parsed.pkg.version ?? "" };
}

async function dispatch({ input, flags, version }: Arguments, console: Console): Promise<ExitCode> {
    const [command, ...operands] = input;
    if (flags.version === true) console.out(version);
    else if (flags.help === true) console.out(HELP);
    if (flags.version === true || flags.help === true) return ExitCode.done;
    switch (command) {
        case undefined:
            throw new UsageError("no command is given");
        case "entry":
        case "agent":
            requireOperands(command, operands, []);
            return daemonCommand(console, command, requireValue(flags.settings, "--settings FILE"));
        case "check-settings": {
            const [role, file] = requireOperands(command, operands, ["entry|agent|gateway", "FILE"]);
            return checkSettingsCommand(console, parseChoice(role, ["entry", "agent", "gateway"]), file);
        }
        default:
            return dispatchOperatorCommand(command, operands, flags, console);
    }
}

function dispatchOperatorCommand(
    command: string,
    operands: readonly string[],
    flags: Arguments["flags"],
    console: Console,
): Promise<ExitCode> {
    switch (command) {
        case "apply": {
            const [file] = requireOperands(command, operands, ["FILE"]);
            const options = { file, dryRun: flags.dryRun === true, base: flags.base };
            return applyCommand(createContext(flags, console), options);
        }
        case "zone": {
            const [zone, state] = requireOperands(command, operands, ["NAME", "out|back"]);
            const zoneState = parseChoice(state, ["out", "back"]);
            return zoneCommand(createContext(flags, console), zone, zoneState);
        }
        case "traffic": {
            const [service] = requireOperands(command, operands, ["SERVICE"]);
            const stable = requireValue(flags.stable, "--stable VERSION");
            const options = { service, stable, candidate: parseCandidate(flags) };
            return trafficCommand(createContext(flags, console), options);
        }
        case "move": {
            const [kind, name, goal] = requireOperands(command, operands, ["zone|version", "NAME", "out|back|VERSION"]);
            const moveGoal = parseMoveGoal(parseChoice(kind, ["zone", "version"]), goal, flags.share);
            return moveCommand(createContext(flags, console), { ...moveGoal, name, withinSeconds: parseWithin(flags) });
        }
        case "show":
        case "status":
        case "moves":
        case "report": {
            requireOperands(command, operands, []);
            const html = flags.html === undefined ? undefined : requireValue(flags.html, "--html FILE");
            const context = createContext(flags, console);
            if (command === "report") return reportCommand(context, html);
            const views = { show: showCommand, status: statusCommand, moves: movesCommand };
            return views[command](context);
        }
        default:
            throw new UsageError(`unknown command: ${command}`);
    }
}

function createContext(flags: Arguments["flags"], console: Console): CommandContext {
    const entries = flags.entry ?? [];
    if (entries.length === 0) throw new UsageError("--entry ADDRESS is required");
    for (const entry of entries) {
        if (!/^[^\s:/]+:\d{1,5}$/.test(entry)) throw new UsageError(`--entry ${entry} is not host:port`);
    }
    const key = requireValue(flags.key ?? process.env["PARSLEYRUN_OPERATOR_KEY"], "--key or PARSLEYRUN_OPERATOR_KEY");
    return {
        client: OperatorClient.create(entries, key),
        console,
        json: flags.json === true,
        author: flags.author ?? "operator",
        wait: flags.wait === true,
        timeoutMilliseconds: flags.timeout * 1_000,
    };
}

function parseCandidate(
    flags: Arguments["flags"],
): { readonly version: string; readonly fraction: number } | undefined {
    const { candidate, fraction } = flags;
    if (candidate === undefined && fraction === undefined) return undefined;
    if (candidate === undefined || fraction === undefined) {
        throw new UsageError("--candidate and --fraction are given together");
    }
    return { version: candidate, fraction };
}

function parseMoveGoal(kind: "zone" | "version", goal: string, share: number | undefined) {
    if (kind === "version") return { kind, version: goal, ...(share === undefined ? {} : { share }) };
    if (share !== undefined) throw new UsageError("--share belongs to move version");
    return { kind, direction: parseChoice(goal, ["out", "back"]) };
}

function parseWithin(flags: Arguments["flags"]): number {
    const seconds = parseSeconds(requireValue(flags.within, "--within TIME"));
    if (seconds === undefined) throw new UsageError("--within takes a time such as 60s or 10m");
    return seconds;
}

/** Returns the operands of a command; throws unless there is exactly one for each name in its usage. */
function requireOperands<Names extends readonly string[]>(
    command: string,
    operands: readonly string[],
    names: readonly [...Names],
): { readonly [Index in keyof Names]: string } {
    if (operands.length !== names.length) {
        const usage = names.length === 0 ? "no operands" : names.join(" ");
        throw new UsageError(`${command} takes ${usage}`);
    }
    return operands as unknown as { readonly [Index in keyof Names]: string };
}

function requireValue(value: string | undefined, description: string): string {
    if (value === undefined || value === "") throw new UsageError(`${description} is required`);
    return value;
}

function parseChoice<Choice extends string>(value: string, choices: readonly Choice[]): Choice {
    const chosen = choices.find(choice => choice === value);
    if (chosen === undefined) throw new UsageError(`${value} is not one of: ${choices.join(", ")}`);
    return chosen;
}
