/** parsleyrun as a library: the processes of the serving system and the values that they work with. */
export * from "./model/index.js";
export {
    type AgentEnvironment,
    type AgentProcess,
    composeAgent,
    composeEntry,
    type EntryEnvironment,
    type EntryProcess,
    startAgent,
    startEntry,
} from "./daemon/index.js";
export {
    type AgentSettings,
    agentSettingsSchema,
    type EntrySettings,
    entrySettingsSchema,
    loadSettings,
} from "./settings/index.js";
