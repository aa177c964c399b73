/**
 * Load: workers that fail everything they start, beside jobs that fail everywhere. With
 * two to four attempts a job, the next attempt must go where runs have lately done well.
 */
import {getOrAdd} from '../core/fair_queue.js';

/** Failures of different tasks in a row after which a worker is doubted. */
const UNHEALTHY_AFTER_FAILURES = 2; // one failure happens to any worker by a bad job
/** Time after which a doubted worker is tried again, in ms. */
const RETRY_AFTER_MS = 6000; // the sites' disturbances last 4 to 7 s

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

  /** Runs there stand still: nothing goes there for a while. */
  recordStall(worker: string, nowMs: number): void {
    this.recordFailure(worker, nowMs);
    this.records.get(worker)!.failuresInRow = UNHEALTHY_AFTER_FAILURES;
  }

  /** 0 for a trusted worker; doubted ones come after all trusted ones. */
  penalty(worker: string, nowMs: number): number {
    const record = this.records.get(worker);
    if (!record || nowMs - record.lastFailureMs > RETRY_AFTER_MS) return 0;
    return record.failuresInRow >= UNHEALTHY_AFTER_FAILURES ? 2 : 1;
  }

  forget(worker: string): void {
    this.records.delete(worker);
  }
}

/** A worker at this doubt gets nothing while another has room or soon will. */
export const UNHEALTHY_PENALTY = 2;
