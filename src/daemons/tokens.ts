/** Comparison of secrets in constant time. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** True when two secrets are equal; takes the same time wherever they differ. */
export function equalSecrets(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

/** Entries by their secret tokens; the digests are computed once. */
export class TokenTable<T extends {readonly token: string}> {
  private readonly digests: readonly {
    readonly entry: T;
    readonly digest: Buffer;
  }[];

  constructor(entries: readonly T[]) {
    this.digests = entries.map(entry => ({entry, digest: digest(entry.token)}));
  }

  /** The entry whose token was shown. Every entry is compared, also after a match. */
  find(shown: string): T | undefined {
    const shownDigest = digest(shown);
    let found: T | undefined;
    for (const known of this.digests) {
      if (timingSafeEqual(known.digest, shownDigest)) found = known.entry;
    }
    return found;
  }
}

/** Reads the token of an `Authorization: Bearer` header. */
export function bearerToken(header: string | undefined): string | undefined {
  const match = /^Bearer ([\x21-\x7e]+)$/.exec(header ?? '');
  return match?.[1];
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
