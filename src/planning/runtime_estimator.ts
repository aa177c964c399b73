/** Expected run times by kind and workspace, from what was seen. Never decides safety. */
import {type Job, type JobSpec} from './job.js';

const NEWEST_RUN_WEIGHT = 0.2;
const DEFAULT_RUN_MS = 60_000;
/** Expected rest of a job that outlasts its estimate, as a share of its run time so far. */
const OVERRUN_FRACTION = 0.5;

export class RuntimeEstimator {
  private readonly meanRunMs = new Map<string, number>();

  /** Takes in the run time of a job that ended by itself. */
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

  /** Expected rest of a running job, in ms. */
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
