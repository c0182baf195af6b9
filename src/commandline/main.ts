#!/usr/bin/env node
import { processConsole } from "./console.js";
import { run } from "./run.js";

// The exit is explicit, so that a connection that is still open does not hold up a process that has stopped.
process.exit(await run(process.argv.slice(2), processConsole));
