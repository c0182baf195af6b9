/**
 * Time in milliseconds within which a sound target or gateway goes on although it was silent. Such silences last for a
 * second or so. After twice that, its answer may be lost: what it has may be given to another one, or to itself again.
 */
export const LONGEST_SOUND_SILENCE_MS = 2_000;
