/**
 * Tracks recent failures of workers, to distinguish faulty workers from jobs that fail
 * everywhere. A job has only two to four attempts, so the next attempt must go to a
 * worker without recent failures.
 */
import {getOrAdd} from '../core/fair_queue.js';

/** Number of consecutive failures after which a worker counts as unhealthy. */
const UNHEALTHY_AFTER_FAILURES = 2; // a faulty job can cause one failure on any worker
/** Time after the last failure for which a worker keeps its penalty, in ms. */
const PENALTY_DURATION_MS = 6000; // disturbances at the sites last 4 to 7 s

interface FailureRecord {
  failuresInRow: number;
  lastFailureMs: number;
}

export class FailureTracker {
  private readonly records = new Map<string, FailureRecord>();

  recordSuccess(worker: string): void {
    this.records.delete(worker);
  }

  recordFailure(worker: string, nowMs: number): void {
    const record = getOrAdd(this.records, worker, () => ({
      failuresInRow: 0,
      lastFailureMs: nowMs,
    }));
    record.failuresInRow++;
    record.lastFailureMs = nowMs;
  }

  /** Records a stalled run, which makes the worker unhealthy at once. */
  recordStall(worker: string, nowMs: number): void {
    this.recordFailure(worker, nowMs);
    this.records.get(worker)!.failuresInRow = UNHEALTHY_AFTER_FAILURES;
  }

  /** Penalty: 0 without recent failures, 1 after one, `UNHEALTHY_PENALTY` after more. */
  penalty(worker: string, nowMs: number): number {
    const record = this.records.get(worker);
    if (!record || nowMs - record.lastFailureMs > PENALTY_DURATION_MS) return 0;
    return record.failuresInRow >= UNHEALTHY_AFTER_FAILURES ? 2 : 1;
  }

  forget(worker: string): void {
    this.records.delete(worker);
  }
}

/** Penalty of an unhealthy worker, which is used only if no other worker fits. */
export const UNHEALTHY_PENALTY = 2;
