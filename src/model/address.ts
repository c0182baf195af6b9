/** Addresses of sockets, as registrations and settings name them. */
import { isIPv4 } from "node:net";

/** An IPv4 address and a port. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

const MAXIMUM_PORT = 65_535;

/** Parses an address such as 10.0.0.1:8080; undefined for anything to which no connection can be made. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
    const [host = "", port = "", ...rest] = text.split(":");
    if (rest.length > 0 || !isIPv4(host) || !/^[1-9]\d{0,4}$/.test(port)) return undefined;
    return Number(port) <= MAXIMUM_PORT ? { host, port: Number(port) } : undefined;
}
