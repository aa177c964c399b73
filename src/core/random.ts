/** Seeded random number generator (mulberry32), so that runs can be reproduced. */
export class Random {
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0 || 1;
  }

  /** A number in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let t = this.state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  }

  /** An integer in [0, limit). */
  nextInt(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** Returns one element of a non-empty list. */
  pick<T>(list: readonly T[]): T {
    return list[this.nextInt(list.length)];
  }

  /** An exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }
}

/**
 * Exponential backoff before attempt `attempt` (counted from 0), in ms. The upper half of
 * the delay is random.
 */
export function backoffMs(
  random: Random,
  attempt: number,
  baseMs: number,
  capMs: number,
): number {
  const ceilingMs = Math.min(capMs, baseMs * 2 ** attempt);
  return Math.ceil(ceilingMs / 2 + (random.next() * ceilingMs) / 2);
}
