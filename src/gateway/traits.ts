/** Traits of requests: what they may have in common with others that crash targets. */
import { createHash } from "node:crypto";
import type { PromptPart } from "./dialect.js";

/** The content of a request, from which its traits follow. */
export interface RequestContent {
    readonly method: string;
    readonly path: string;
    readonly accountName: string | undefined;
    readonly body: Buffer | undefined;
    readonly promptParts: readonly PromptPart[];
}

/** Traits of a request: the parts of its prompt that other requests may share, and a hash of its content. */
export function traitsOf({ method, path, accountName, body, promptParts }: RequestContent): readonly string[] {
    const hash = createHash("sha256").update(`${method} ${path}\n${accountName ?? ""}\n`);
    const content = hash.update(body ?? "").digest("base64url");
    return [...promptParts.slice(0, -1).map(({ id }) => `part ${id}`), `content ${content.slice(0, 22)}`];
}

/** The traits of a request, computed once and only if they are needed: a crash is rare, and a body may be long. */
export function lazyTraitsOf(content: RequestContent): () => readonly string[] {
    let traits: readonly string[] | undefined;
    return () => (traits ??= traitsOf(content));
}
