/** State of a job in the planner. */
import {JobClass} from '../core/outcome.js';
import {type Shape} from '../core/tables.js';
import {type Block} from './buddy_pool.js';
import {type Cell} from './cells.js';

/** A gang that waits for accelerators or holds them. */
export interface JobSpec {
  readonly id: string;
  readonly workspace: string;
  readonly kind: string;
  readonly shape: Shape;
  readonly class: JobClass;
  readonly preemptible: boolean;
  readonly checkpointable: boolean;
  readonly acceptedMs: number;
}

export const JobPhase = {
  QUEUED: 'queued',
  /** Its accelerators are chosen, but other jobs on some of them are still stopping. */
  CLAIMING: 'claiming',
  RUNNING: 'running',
  /** A stop was ordered; the job still holds its accelerators. */
  STOPPING: 'stopping',
} as const;
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

export interface Job {
  readonly spec: JobSpec;
  readonly cells: readonly Cell[];
  /** Number of accelerators of all cells. */
  readonly size: number;
  readonly lane: string;
  phase: JobPhase;
  /** Accelerators that it holds or claims. */
  blocks: readonly Block[];
  startedMs: number;
  /** Ids of the preempted jobs that must end before this job can start. */
  readonly pendingVictims: Set<string>;
  /** Workers on which the job failed. */
  readonly failedOn: Set<string>;
  /** True when the job ends with its stop and is not queued again. */
  cancelled: boolean;
}

const CLASS_RANK: Readonly<Record<JobClass, number>> = {
  [JobClass.URGENT]: 0,
  [JobClass.NORMAL]: 1,
  [JobClass.BATCH]: 2,
};

/** Returns the rank of a class; a lower rank is more urgent. */
export function classRank(jobClass: JobClass): number {
  return CLASS_RANK[jobClass];
}

/** Returns the work that is lost if the job is stopped now, in accelerator-ms. */
export function lostWorkOf(
  job: Job,
  nowMs: number,
  checkpointMs: number,
): number {
  const atRiskMs = Math.max(0, nowMs - job.startedMs);
  return (
    job.size *
    (job.spec.checkpointable ? Math.min(atRiskMs, checkpointMs) : atRiskMs)
  );
}
