/** Jobs as the planner knows them. */
import {JobClass} from '../core/outcome.js';
import {type Shape} from '../core/tables.js';
import {type Block} from './buddy_pool.js';
import {type Cell} from './cells.js';

/** A gang that waits for accelerators or holds some. */
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
  /** Its accelerators are chosen, but some still run other work that is being stopped. */
  CLAIMING: 'claiming',
  RUNNING: 'running',
  /** It was told to stop and still holds its accelerators. */
  STOPPING: 'stopping',
} as const;
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

export interface Job {
  readonly spec: JobSpec;
  readonly cells: readonly Cell[];
  /** Accelerators of all cells. */
  readonly size: number;
  readonly lane: string;
  phase: JobPhase;
  /** Accelerators that it holds or claims. */
  blocks: readonly Block[];
  startedMs: number;
  /** Jobs that must end before it can start. */
  readonly pendingVictims: Set<string>;
  /** Workers that it failed on. */
  readonly failedOn: Set<string>;
  /** True when a stop is to end the job and not to put it back in the queue. */
  cancelled: boolean;
}

const CLASS_RANK: Readonly<Record<JobClass, number>> = {
  [JobClass.URGENT]: 0,
  [JobClass.NORMAL]: 1,
  [JobClass.BATCH]: 2,
};

/** Rank of a class: lower is more urgent. */
export function classRank(jobClass: JobClass): number {
  return CLASS_RANK[jobClass];
}

/** Work that is lost when the job is stopped now, in accelerator-ms. */
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
