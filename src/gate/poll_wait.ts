/**
 * Decides how long the store may wait for a change before it answers a poll. A copy counts
 * as old if two polls in a row take too long, so a slow store is asked to wait less.
 */

/** Wait of a store that responds fast, in ms. */
const MAX_WAIT_MS = 500;
/** Shortest wait, which bounds the number of polls of a very slow store, in ms. */
const MIN_WAIT_MS = 100;
/** Time that two polls in a row should take at most, in ms. */
const TWO_POLLS_MS = 1300; // leaves 0.5 s until the configuration counts as old
/** Weight of the newest sample in the moving average of the latency. */
const LATENCY_WEIGHT = 0.3;

export class PollWait {
  /** Moving average of the response time of the store beyond its wait, in ms. */
  private latencyMs = 0;

  /** Time for which the store may wait in the next poll, in ms. */
  get nextMs(): number {
    const waitMs = Math.floor(TWO_POLLS_MS / 2 - this.latencyMs);
    return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs));
  }

  /**
   * Records a poll. If it returned changes, the store waited for an unknown part of
   * `waitMs`, so its latency is at most `tookMs`.
   */
  recordPoll(waitMs: number, tookMs: number, hasChanges: boolean): void {
    const sampleMs = hasChanges
      ? Math.min(this.latencyMs, tookMs)
      : Math.max(0, tookMs - waitMs);
    this.latencyMs += LATENCY_WEIGHT * (sampleMs - this.latencyMs);
  }
}
