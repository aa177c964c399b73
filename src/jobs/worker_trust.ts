/**
 * Load: workers that fail everything they start, beside jobs that fail everywhere. With
 * two to four attempts a job, the next attempt must go where runs have lately done well.
 */
import {getOrAdd} from '../core/fair_queue.js';

/** Failures of different tasks in a row after which a worker is doubted. */
const DOUBT_AFTER_FAILURES = 2; // one failure happens to any worker by a bad job
/** Time after which a doubted worker is tried again, in ms. */
const RETRIAL_AFTER_MS = 6000; // the sites' disturbances last 4 to 7 s

interface Trust {
  failuresInRow: number;
  lastFailureMs: number;
}

export class WorkerTrust {
  private readonly workers = new Map<string, Trust>();

  recordDone(worker: string): void {
    this.workers.delete(worker);
  }

  recordFailure(worker: string, nowMs: number): void {
    const trust = getOrAdd(this.workers, worker, () => ({
      failuresInRow: 0,
      lastFailureMs: nowMs,
    }));
    trust.failuresInRow++;
    trust.lastFailureMs = nowMs;
  }

  /** Runs there stand still: nothing goes there for a while. */
  recordStill(worker: string, nowMs: number): void {
    this.recordFailure(worker, nowMs);
    this.workers.get(worker)!.failuresInRow = DOUBT_AFTER_FAILURES;
  }

  /** 0 for a trusted worker; doubted ones come after all trusted ones. */
  doubt(worker: string, nowMs: number): number {
    const trust = this.workers.get(worker);
    if (!trust || nowMs - trust.lastFailureMs > RETRIAL_AFTER_MS) return 0;
    return trust.failuresInRow >= DOUBT_AFTER_FAILURES ? 2 : 1;
  }

  forget(worker: string): void {
    this.workers.delete(worker);
  }
}

/** A worker at this doubt gets nothing while another has room or soon will. */
export const DOUBTED = 2;
