/** parsleyrun as a library: the processes of the serving system and the values that they work with. */
export * from "./model/index.js";
