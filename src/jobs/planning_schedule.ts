/**
 * Decides when the leader plans. Under overload, changes arrive faster than passes can
 * follow them, and passes take longer, the more work waits. One pass therefore covers all
 * changes since the last one, and passes take at most a share of the time. The rest is
 * left for commits, agents and callers, so that the overload can't cost the leader its
 * lead.
 */

/** Largest share of the time that planning takes, up to passes of a third of `MAX_REST_MS`. */
const MAX_PLANNING_SHARE = 0.25;
/**
 * Longest rest after a pass, in ms. The time of a pass includes any time in which the
 * process was suspended, and guaranteed work must begin soon afterwards.
 */
const MAX_REST_MS = 1200; // guaranteed work must begin in 2.7 s; stops take 0.6 s
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
    const restMs = Math.min(MAX_REST_MS, (endMs - startMs) * restShare);
    this.nextPassMs = endMs + restMs;
  }
}
