#!/usr/bin/env node
import { processConsole } from "./console.js";
import { run } from "./run.js";

// Exits explicitly because an open connection would keep the stopped process alive.
process.exit(await run(process.argv.slice(2), processConsole));
