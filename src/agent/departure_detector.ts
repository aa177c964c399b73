/**
 * Decides when a worker that announced its end has terminated. Its runs have ended then, so
 * they need not wait for their leases to expire. A refused connection alone is no proof: a
 * worker may be restarting its listener. A deregistration alone is none either: a worker
 * that gets no answer to it in time continues for a while.
 */

/** Time for which the worker must refuse all connections, in ms. */
const REFUSAL_TIME_MS = 1000; // ten polls
/** The same after the worker has deregistered, in ms. */
const DEREGISTERED_REFUSAL_TIME_MS = 200; // two polls

export class DepartureDetector {
  /** Earliest end that the worker announced; undefined if it is not draining. */
  private leavesFromMs: number | undefined;
  private refusedSinceMs: number | undefined;
  private isDeregistered = false;

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
