/** X.509 certificates for tests, written as DER and signed by node:crypto, so that no outside tool is needed. */
import { generateKeyPairSync, type KeyObject, randomBytes, sign } from "node:crypto";

/** An authority that issues certificates. */
export interface Issuer {
    /** Its own certificate, PEM. */
    readonly certificate: string;
    /** A certificate for an IPv4 address with its private key, both PEM. */
    issue(address: string): { readonly certificate: string; readonly privateKey: string };
}

const INTEGER = 0x02;
const BIT_STRING = 0x03;
const OCTET_STRING = 0x04;
const OBJECT_IDENTIFIER = 0x06;
const UTF8_STRING = 0x0c;
const UTC_TIME = 0x17;
const SEQUENCE = 0x30;
const SET = 0x31;

const ECDSA_WITH_SHA256 = "2a8648ce3d040302";
const COMMON_NAME = "550403";
const SUBJECT_ALTERNATIVE_NAME = "551d11";
const BASIC_CONSTRAINTS = "551d13";

function element(tag: number, ...contents: readonly Buffer[]): Buffer {
    const content = Buffer.concat(contents);
    const { length } = content;
    const bytes = length < 128 ? [length] : length < 256 ? [0x81, length] : [0x82, length >> 8, length & 0xff];
    return Buffer.concat([Buffer.from([tag, ...bytes]), content]);
}

function identifier(hexadecimal: string): Buffer {
    return element(OBJECT_IDENTIFIER, Buffer.from(hexadecimal, "hex"));
}

const ALGORITHM = element(SEQUENCE, identifier(ECDSA_WITH_SHA256));

function name(commonName: string): Buffer {
    const attribute = element(SEQUENCE, identifier(COMMON_NAME), element(UTF8_STRING, Buffer.from(commonName)));
    return element(SEQUENCE, element(SET, attribute));
}

function time(date: Date): Buffer {
    const digits = date.toISOString().replace(/[-:T]/g, "").slice(2, 14);
    return element(UTC_TIME, Buffer.from(`${digits}Z`));
}

function validity(): Buffer {
    const day = 24 * 3_600_000;
    return element(SEQUENCE, time(new Date(Date.now() - day)), time(new Date(Date.now() + day)));
}

function extension(oid: string, value: Buffer): Buffer {
    return element(SEQUENCE, identifier(oid), element(OCTET_STRING, value));
}

const AUTHORITY_EXTENSION = extension(BASIC_CONSTRAINTS, element(SEQUENCE, Buffer.from([0x01, 0x01, 0xff])));

function addressExtension(address: string): Buffer {
    const bytes = Buffer.from(address.split(".").map(Number));
    return extension(SUBJECT_ALTERNATIVE_NAME, element(SEQUENCE, element(0x87, bytes)));
}

interface Contents {
    readonly issuer: string;
    readonly subject: string;
    readonly publicKey: KeyObject;
    readonly extensions: Buffer;
}

function certificate(contents: Contents, signer: KeyObject): string {
    const { issuer, subject, publicKey, extensions } = contents;
    const version = element(0xa0, element(INTEGER, Buffer.from([2])));
    const serial = element(INTEGER, Buffer.concat([Buffer.from([1]), randomBytes(8)]));
    const keyInfo = publicKey.export({ type: "spki", format: "der" });
    const listed = element(0xa3, element(SEQUENCE, extensions));
    const parts = [version, serial, ALGORITHM, name(issuer), validity(), name(subject), keyInfo, listed];
    const body = element(SEQUENCE, ...parts);
    const signature = element(BIT_STRING, Buffer.from([0]), sign("sha256", body, signer));
    const text = element(SEQUENCE, body, ALGORITHM, signature).toString("base64");
    const lines = text.match(/.{1,64}/g) ?? [];
    return `-----BEGIN CERTIFICATE-----\n${lines.join("\n")}\n-----END CERTIFICATE-----\n`;
}

function keyPair() {
    return generateKeyPairSync("ec", { namedCurve: "prime256v1" });
}

/** An authority with a new key. */
export function createAuthority(issuer: string): Issuer {
    const own = keyPair();
    const self = { issuer, subject: issuer, publicKey: own.publicKey, extensions: AUTHORITY_EXTENSION };
    return {
        certificate: certificate(self, own.privateKey),
        issue: address => {
            const { publicKey, privateKey } = keyPair();
            const contents = { issuer, subject: address, publicKey, extensions: addressExtension(address) };
            return {
                certificate: certificate(contents, own.privateKey),
                privateKey: String(privateKey.export({ type: "pkcs8", format: "pem" })),
            };
        },
    };
}
