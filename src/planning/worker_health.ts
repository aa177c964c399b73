/**
 * Distinguishes faulty workers from failing jobs. A worker is quarantined when several
 * jobs in a row fail on it while jobs on other workers succeed. After the quarantine
 * the worker is on probation: one more failure quarantines it again, for longer.
 */
import {getOrAdd} from '../core/fair_queue.js';

/** Consecutive failures on a worker before it is quarantined. */
const MIN_CONSECUTIVE_FAILURES = 3;
/** Minimum number of distinct jobs among these failures. */
const MIN_FAILED_JOBS = 2;
/** Above this failure rate of the other workers, no failure is attributed to a worker. */
const MAX_FAILURE_RATE_ELSEWHERE = 0.5;
/** Weight of the newest result in the moving failure rate. */
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
  /** Moving failure rate, by worker. */
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

  /** Returns true when this failure starts a quarantine of the worker. */
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

  /** Ends expired quarantines and puts these workers on probation; returns their ids. */
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
