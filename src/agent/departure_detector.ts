/**
 * Decides when a worker that announced its end has terminated without a further word. Its
 * runs have ended then, so they need not wait for their leases to expire. A refused
 * connection alone is no proof: a worker may be restarting its listener.
 */

/** Time for which the worker must refuse all connections, in ms. */
const REFUSAL_TIME_MS = 1000; // ten polls

export class DepartureDetector {
  /** Earliest end that the worker announced; undefined if it is not draining. */
  private leavesFromMs: number | undefined;
  private refusedSinceMs: number | undefined;

  /** Records a heartbeat of the worker. */
  recordHeartbeat(
    report: {readonly draining: boolean; readonly drainRemainingMs: number},
    nowMs: number,
  ): void {
    this.leavesFromMs = report.draining
      ? nowMs + report.drainRemainingMs
      : undefined;
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
    return nowMs >= leavesFromMs && nowMs - refusedSinceMs >= REFUSAL_TIME_MS;
  }
}
