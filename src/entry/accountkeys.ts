/** Finds the account of an API key by the key's hash. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { Configuration } from "../configuration/index.js";

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;

/** Key hashes of all accounts, cached per configuration. */
export class AccountKeys {
    private configuration: Configuration | undefined;
    private hashes: readonly { readonly account: string; readonly hash: Buffer }[] = [];

    private constructor() {}

    static create(): AccountKeys {
        return new AccountKeys();
    }

    /** The account of the key in an authorization header, if any. Compares every hash, in constant time. */
    find(configuration: Configuration, authorization: string | undefined): string | undefined {
        const key = BEARER_PATTERN.exec(authorization ?? "")?.[1];
        if (key === undefined) return undefined;
        this.updateHashes(configuration);
        const keyHash = createHash("sha256").update(key).digest();
        let found: string | undefined;
        for (const { account, hash } of this.hashes) {
            if (timingSafeEqual(hash, keyHash)) found = account;
        }
        return found;
    }

    private updateHashes(configuration: Configuration): void {
        if (this.configuration === configuration) return;
        this.configuration = configuration;
        this.hashes = configuration
            .valuesOf("account")
            .map(({ name, keyHash }) => ({ account: name, hash: Buffer.from(keyHash, "hex") }))
            .filter(({ hash }) => hash.length === 32);
    }
}
