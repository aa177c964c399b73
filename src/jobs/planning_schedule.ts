/**
 * Decides when the leader plans. Under overload, changes arrive faster than passes can
 * follow them, and passes take longer, the more work waits. One pass therefore covers all
 * changes since the last one, and passes take at most a share of the time. The rest is
 * left for commits, agents and callers, so that the overload can't cost the leader its
 * lead.
 */

/** Largest share of the time that planning takes. */
const MAX_PLANNING_SHARE = 0.25;
/** Longest time between passes, since holds and delays expire without a change, in ms. */
const MAX_PASS_INTERVAL_MS = 100;

export class PlanningSchedule {
  private isRequested = false;
  private lastPassEndMs = -Infinity;
  private nextPassMs = -Infinity;

  /** Records a change that may allow or require a decision. */
  request(): void {
    this.isRequested = true;
  }

  /** Time until the next pass, in ms; 0 if it is due. */
  delayMs(nowMs: number): number {
    const dueMs = this.isRequested
      ? this.nextPassMs
      : Math.max(this.nextPassMs, this.lastPassEndMs + MAX_PASS_INTERVAL_MS);
    return Math.max(0, dueMs - nowMs);
  }

  /** Records a pass that covered all changes up to `startMs`. */
  recordPass(startMs: number, endMs: number): void {
    const restShare = (1 - MAX_PLANNING_SHARE) / MAX_PLANNING_SHARE;
    this.isRequested = false;
    this.lastPassEndMs = endMs;
    this.nextPassMs = endMs + (endMs - startMs) * restShare;
  }
}
