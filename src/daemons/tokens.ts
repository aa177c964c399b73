/** Comparison of secrets in constant time. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** True when two secrets are equal; takes the same time wherever they differ. */
export function equalSecrets(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

/** The entry whose token was shown. Every entry is compared, also after a match. */
export function findByToken<T extends {readonly token: string}>(
  entries: readonly T[],
  shown: string,
): T | undefined {
  let found: T | undefined;
  for (const entry of entries) {
    if (equalSecrets(entry.token, shown)) found = entry;
  }
  return found;
}

/** Reads the token of an `Authorization: Bearer` header. */
export function bearerToken(header: string | undefined): string | undefined {
  const match = /^Bearer ([\x21-\x7e]+)$/.exec(header ?? '');
  return match?.[1];
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
