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

/** Length of a hash in a trait, 132 bits. */
const HASH_LENGTH = 22;

/** Length of an id of a part above which its trait has a hash of the id. */
const MAXIMUM_ID_LENGTH = 22;

/** Traits of a request: the parts of its prompt that other requests may share, and a hash of its content. */
export function traitsOf({ method, path, accountName, body, promptParts }: RequestContent): readonly string[] {
    const hash = createHash("sha256").update(`${method} ${path}\n${accountName ?? ""}\n`);
    const content = hash.update(body ?? "").digest("base64url");
    return [...promptParts.slice(0, -1).map(({ id }) => partTrait(id)), `content ${content.slice(0, HASH_LENGTH)}`];
}

/** The trait of a prompt part. Its length is limited whatever the length of the id, since traits are kept and sent. */
function partTrait(id: string): string {
    if (id.length <= MAXIMUM_ID_LENGTH) return `part ${id}`;
    return `part ~${createHash("sha256").update(id).digest("base64url").slice(0, HASH_LENGTH)}`;
}

/** The traits of a request, computed once and only if they are needed: a crash is rare, and a body may be long. */
export function lazyTraitsOf(content: RequestContent): () => readonly string[] {
    let traits: readonly string[] | undefined;
    return () => (traits ??= traitsOf(content));
}
