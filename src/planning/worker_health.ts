/**
 * Tells workers that fail everything from jobs that fail everywhere. A worker is
 * quarantined when several different jobs in a row failed there while jobs
 * elsewhere fare well; after a while it is tried again on probation.
 */
import {getOrAdd} from '../core/fair_queue.js';

const FAILURES_IN_ROW = 3;
const DIFFERENT_JOBS = 2;
/** Highest share of failures elsewhere at which a worker may be blamed. */
const ELSEWHERE_LIMIT = 0.5;
/** Weight of the newest end in the running share of failures. */
const NEWEST_WEIGHT = 0.1;
const QUARANTINE_BASE_MS = 60_000;
const QUARANTINE_CAP_MS = 30 * 60_000;

interface WorkerRecord {
  failuresInRow: number;
  readonly failedJobs: Set<string>;
  quarantines: number;
  quarantinedUntilMs: number;
  onProbation: boolean;
}

export class WorkerHealth {
  private readonly workers = new Map<string, WorkerRecord>();
  /** Running share of failures, by worker. */
  private readonly failureShares = new Map<string, number>();

  isQuarantined(worker: string): boolean {
    return (this.workers.get(worker)?.quarantinedUntilMs ?? 0) > 0;
  }

  quarantined(): string[] {
    return [...this.workers.keys()].filter(w => this.isQuarantined(w));
  }

  recordSuccess(worker: string): void {
    this.updateShare(worker, 0);
    const record = this.record(worker);
    record.failuresInRow = 0;
    record.failedJobs.clear();
    record.onProbation = false;
    record.quarantines = 0;
  }

  /** Returns true when the worker is to be quarantined now. */
  recordFailure(worker: string, job: string, nowMs: number): boolean {
    this.updateShare(worker, 1);
    const record = this.record(worker);
    record.failuresInRow++;
    record.failedJobs.add(job);
    if (this.isQuarantined(worker) || !this.isToBlame(worker, record))
      return false;
    const lastsMs = Math.min(
      QUARANTINE_CAP_MS,
      QUARANTINE_BASE_MS * 2 ** record.quarantines,
    );
    record.quarantines++;
    record.quarantinedUntilMs = nowMs + lastsMs;
    return true;
  }

  /** Workers whose quarantine has passed; they are on probation from now on. */
  takeReleased(nowMs: number): string[] {
    const released: string[] = [];
    for (const [worker, record] of this.workers) {
      if (record.quarantinedUntilMs === 0 || record.quarantinedUntilMs > nowMs)
        continue;
      record.quarantinedUntilMs = 0;
      record.onProbation = true;
      released.push(worker);
    }
    return released;
  }

  private isToBlame(worker: string, record: WorkerRecord): boolean {
    if (this.shareElsewhere(worker) > ELSEWHERE_LIMIT) return false;
    if (record.onProbation) return true;
    return (
      record.failuresInRow >= FAILURES_IN_ROW &&
      record.failedJobs.size >= DIFFERENT_JOBS
    );
  }

  private shareElsewhere(worker: string): number {
    const others = [...this.failureShares].filter(
      ([w]) => w !== worker && !this.isQuarantined(w),
    );
    if (others.length === 0) return 0;
    return others.reduce((sum, [, share]) => sum + share, 0) / others.length;
  }

  private updateShare(worker: string, failed: number): void {
    const before = this.failureShares.get(worker) ?? 0;
    this.failureShares.set(worker, before + NEWEST_WEIGHT * (failed - before));
  }

  private record(worker: string): WorkerRecord {
    return getOrAdd(this.workers, worker, () => ({
      failuresInRow: 0,
      failedJobs: new Set<string>(),
      quarantines: 0,
      quarantinedUntilMs: 0,
      onProbation: false,
    }));
  }
}
