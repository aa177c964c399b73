/** Rendezvous hashing: every process ranks the members of a list for a key equally. */

/** Returns the member with the highest hash for a key; undefined for an empty list. */
export function pickByRendezvous(
  key: string,
  members: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestHash = -1;
  for (const member of members) {
    const hash = rendezvousHash(key, member);
    if (hash <= bestHash) continue;
    best = member;
    bestHash = hash;
  }
  return best;
}

/** Weight of a member for a key; the member with the highest weight comes first. */
export function rendezvousHash(key: string, member: string): number {
  return hashText(`${key}/${member}`);
}

/** 32-bit FNV-1a hash with a final mixing step. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return (hash ^ (hash >>> 16)) >>> 0;
}
