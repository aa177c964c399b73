/**
 * Decides when the runs of a worker that announced its end are stopped, and when it is no
 * longer called. The latter says nothing about its runs: the announced end is the earliest
 * one, a worker may work on while it refuses connections, and one that gets no answer to its
 * deregistration continues for a while.
 */

/** Time for which the worker must refuse all connections, in ms. */
const REFUSAL_TIME_MS = 1000; // ten polls
/** The same after the worker has deregistered, in ms. */
const DEREGISTERED_REFUSAL_TIME_MS = 200; // two polls

export class DepartureDetector {
  /**
   * Earliest end that the worker announced, in ms of the monotonic clock; undefined if it is
   * not draining.
   */
  leavesFromMs: number | undefined;
  /** Whether the worker has deregistered and not taken that back. */
  isDeregistered = false;
  private refusedSinceMs: number | undefined;

  /** Records a heartbeat of the worker. */
  recordHeartbeat(
    report: {readonly draining: boolean; readonly drainRemainingMs: number},
    nowMs: number,
  ): void {
    if (!report.draining) this.isDeregistered = false;
    this.leavesFromMs = report.draining
      ? nowMs + report.drainRemainingMs
      : undefined;
  }

  recordDeregistration(nowMs: number): void {
    this.isDeregistered = true;
    this.leavesFromMs = nowMs;
  }

  /** Whether the newest call found no process at the worker's address. */
  get isRefusing(): boolean {
    return this.refusedSinceMs !== undefined;
  }

  /** Records whether a call found no process at the worker's address. */
  recordCall(isRefused: boolean, nowMs: number): void {
    if (!isRefused) this.refusedSinceMs = undefined;
    else this.refusedSinceMs ??= nowMs;
  }

  /** Times of the decision, for the log. */
  facts(nowMs: number): {drainOverdueMs?: number; refusedMs?: number} {
    const sinceMs = (ms: number | undefined) =>
      ms === undefined ? undefined : Math.round(nowMs - ms);
    return {
      drainOverdueMs: sinceMs(this.leavesFromMs),
      refusedMs: sinceMs(this.refusedSinceMs),
    };
  }

  hasLeft(nowMs: number): boolean {
    const {leavesFromMs, refusedSinceMs} = this;
    if (leavesFromMs === undefined || refusedSinceMs === undefined)
      return false;
    const refusalTimeMs = this.isDeregistered
      ? DEREGISTERED_REFUSAL_TIME_MS
      : REFUSAL_TIME_MS;
    return nowMs >= leavesFromMs && nowMs - refusedSinceMs >= refusalTimeMs;
  }
}
