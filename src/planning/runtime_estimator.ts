/**
 * Estimates run times by kind and workspace from earlier runs. The estimates affect
 * only which cells are reserved; no safety decision depends on them.
 */
import {type Job, type JobSpec} from './job.js';

/** Weight of the newest run in the exponential moving average. */
const NEWEST_RUN_WEIGHT = 0.2;
/** Estimate for a kind of job without completed runs. */
const DEFAULT_RUN_MS = 60_000;
/** Expected remaining time of a job past its estimate, as a fraction of elapsed time. */
const OVERRUN_FRACTION = 0.5;

export class RuntimeEstimator {
  private readonly meanRunMs = new Map<string, number>();

  /** Records the run time of a job that completed. */
  record(spec: JobSpec, runMs: number): void {
    const key = keyOf(spec);
    const before = this.meanRunMs.get(key);
    this.meanRunMs.set(
      key,
      before === undefined
        ? runMs
        : before + NEWEST_RUN_WEIGHT * (runMs - before),
    );
  }

  expectedMs(spec: JobSpec): number {
    return this.meanRunMs.get(keyOf(spec)) ?? DEFAULT_RUN_MS;
  }

  /** Expected remaining time of a running job, in ms. */
  remainingMs(job: Job, nowMs: number): number {
    const elapsedMs = nowMs - job.startedMs;
    const expectedMs = this.expectedMs(job.spec);
    return elapsedMs < expectedMs
      ? expectedMs - elapsedMs
      : elapsedMs * OVERRUN_FRACTION;
  }
}

function keyOf(spec: JobSpec): string {
  return `${spec.workspace}/${spec.kind}`;
}
