/** Expected run times by kind and workspace, from what was seen. Never decides safety. */
import {type Job, type JobSpec} from './job.js';

const NEWEST_WEIGHT = 0.2;
const DEFAULT_RUN_MS = 60_000;
/** Expected rest of a job that outlasts its estimate, as a share of its run time so far. */
const OVERRUN_SHARE = 0.5;

export class RuntimeEstimator {
  private readonly means = new Map<string, number>();

  /** Takes in the run time of a job that ended by itself. */
  record(spec: JobSpec, runMs: number): void {
    const key = keyOf(spec);
    const before = this.means.get(key);
    this.means.set(
      key,
      before === undefined ? runMs : before + NEWEST_WEIGHT * (runMs - before),
    );
  }

  expectedMs(spec: JobSpec): number {
    return this.means.get(keyOf(spec)) ?? DEFAULT_RUN_MS;
  }

  /** Expected rest of a running job, in ms. */
  remainingMs(job: Job, nowMs: number): number {
    const elapsedMs = nowMs - job.startedMs;
    const expectedMs = this.expectedMs(job.spec);
    return elapsedMs < expectedMs
      ? expectedMs - elapsedMs
      : elapsedMs * OVERRUN_SHARE;
  }
}

function keyOf(spec: JobSpec): string {
  return `${spec.workspace}/${spec.kind}`;
}
