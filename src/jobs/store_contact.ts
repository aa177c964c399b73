/**
 * When a gate last reached the store. Agents pass it on between the gates that they are
 * linked to, so a gate that has lost the store knows whether others still reach it.
 */

/**
 * Difference between the ages of two gates' last reads from which only one of them has lost
 * the store, in ms. A read waits up to 0.5 s for changes, so ages differ without a loss.
 */
const MIN_AGE_DIFFERENCE_MS = 700;

export class StoreContact {
  private reachedAtMs = -Infinity;

  /** Records that a gate reached the store `ageMs` ago; undefined if that is not known. */
  record(ageMs: number | undefined, nowMs: number): void {
    if (ageMs !== undefined)
      this.reachedAtMs = Math.max(this.reachedAtMs, nowMs - ageMs);
  }

  /** Time since a gate last reached the store, in ms; undefined if none is known to have. */
  ageMs(nowMs: number): number | undefined {
    const ageMs = nowMs - this.reachedAtMs;
    return Number.isFinite(ageMs) ? Math.max(0, ageMs) : undefined;
  }

  /** Whether another gate has reached the store since one that did so `ownAgeMs` ago. */
  isNewerThan(ownAgeMs: number, nowMs: number): boolean {
    return ownAgeMs - (this.ageMs(nowMs) ?? Infinity) > MIN_AGE_DIFFERENCE_MS;
  }
}
