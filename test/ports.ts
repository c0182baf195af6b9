/** Loopback ports of one test file. Files that run at the same time have different pool ids, and so different ports. */

/** Ports for each file; all are below 32768, where the system takes the ports of outgoing connections from. */
const PORTS_OF_FILE = 4_000;

/** Two test runs at the same time use the same ranges, so each process begins elsewhere in the first part of its range. */
const SPREAD = 1_500;
const PORTS_OF_PROCESS = 30;

/** The first port of this file's range. Ranges of files that run one after the other may be the same. */
export function firstPort(): number {
    const range = 10_000 + (Number(process.env.VITEST_POOL_ID ?? 1) % 5) * PORTS_OF_FILE;
    return range + ((process.pid * PORTS_OF_PROCESS) % SPREAD);
}
