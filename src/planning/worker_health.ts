/**
 * Tells workers that fail everything from jobs that fail everywhere. A worker is
 * quarantined when several different jobs in a row failed there while jobs
 * elsewhere fare well; after a while it is tried again on probation.
 */
import {getOrAdd} from '../core/fair_queue.js';

const MIN_CONSECUTIVE_FAILURES = 3;
const MIN_FAILED_JOBS = 2;
/** Highest share of failures elsewhere at which a worker may be blamed. */
const MAX_FAILURE_RATE_ELSEWHERE = 0.5;
/** Weight of the newest end in the running share of failures. */
const NEWEST_RESULT_WEIGHT = 0.1;
const QUARANTINE_BASE_MS = 60_000;
const QUARANTINE_MAX_MS = 30 * 60_000;

interface WorkerRecord {
  consecutiveFailures: number;
  readonly failedJobs: Set<string>;
  quarantines: number;
  quarantinedUntilMs: number;
  onProbation: boolean;
}

export class WorkerHealth {
  private readonly workers = new Map<string, WorkerRecord>();
  /** Running share of failures, by worker. */
  private readonly failureRates = new Map<string, number>();

  isQuarantined(worker: string): boolean {
    return (this.workers.get(worker)?.quarantinedUntilMs ?? 0) > 0;
  }

  quarantined(): string[] {
    return [...this.workers.keys()].filter(w => this.isQuarantined(w));
  }

  recordSuccess(worker: string): void {
    this.updateFailureRate(worker, 0);
    const record = this.record(worker);
    record.consecutiveFailures = 0;
    record.failedJobs.clear();
    record.onProbation = false;
    record.quarantines = 0;
  }

  /** Returns true when the worker is to be quarantined now. */
  recordFailure(worker: string, job: string, nowMs: number): boolean {
    this.updateFailureRate(worker, 1);
    const record = this.record(worker);
    record.consecutiveFailures++;
    record.failedJobs.add(job);
    if (this.isQuarantined(worker) || !this.isFaulty(worker, record))
      return false;
    const durationMs = Math.min(
      QUARANTINE_MAX_MS,
      QUARANTINE_BASE_MS * 2 ** record.quarantines,
    );
    record.quarantines++;
    record.quarantinedUntilMs = nowMs + durationMs;
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

  private isFaulty(worker: string, record: WorkerRecord): boolean {
    if (this.failureRateElsewhere(worker) > MAX_FAILURE_RATE_ELSEWHERE)
      return false;
    if (record.onProbation) return true;
    return (
      record.consecutiveFailures >= MIN_CONSECUTIVE_FAILURES &&
      record.failedJobs.size >= MIN_FAILED_JOBS
    );
  }

  private failureRateElsewhere(worker: string): number {
    const others = [...this.failureRates].filter(
      ([w]) => w !== worker && !this.isQuarantined(w),
    );
    if (others.length === 0) return 0;
    return others.reduce((sum, [, rate]) => sum + rate, 0) / others.length;
  }

  private updateFailureRate(worker: string, failed: number): void {
    const before = this.failureRates.get(worker) ?? 0;
    this.failureRates.set(
      worker,
      before + NEWEST_RESULT_WEIGHT * (failed - before),
    );
  }

  private record(worker: string): WorkerRecord {
    return getOrAdd(this.workers, worker, () => ({
      consecutiveFailures: 0,
      failedJobs: new Set<string>(),
      quarantines: 0,
      quarantinedUntilMs: 0,
      onProbation: false,
    }));
  }
}
