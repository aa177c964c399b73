/** Constant-time comparison of secrets. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** Compares two secrets in constant time. */
export function equalSecrets(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

/** Finds entries by their secret tokens. The digests are computed once. */
export class TokenTable<T extends {readonly token: string}> {
  private readonly digests: readonly {
    readonly entry: T;
    readonly digest: Buffer;
  }[];

  constructor(entries: readonly T[]) {
    this.digests = entries.map(entry => ({entry, digest: digest(entry.token)}));
  }

  /**
   * Returns the entry with this token. Compares all entries, so that the time is
   * constant.
   */
  find(token: string): T | undefined {
    const tokenDigest = digest(token);
    let found: T | undefined;
    for (const candidate of this.digests) {
      if (timingSafeEqual(candidate.digest, tokenDigest))
        found = candidate.entry;
    }
    return found;
  }
}

/** Returns the token in an `Authorization: Bearer` header. */
export function bearerToken(header: string | undefined): string | undefined {
  const match = /^Bearer ([\x21-\x7e]+)$/.exec(header ?? '');
  return match?.[1];
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
