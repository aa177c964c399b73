/** Interface of the planner of a pool: its inputs, effects and status. */
import {type Pool} from '../core/tables.js';
import {type Block, type WorkerInfo} from './buddy_pool.js';
import {type JobSpec} from './job.js';

/** How an attempt of a job ended and released its accelerators. */
export const JobEnd = {
  DONE: 'done',
  /** The job failed on the workers named in `failedWorkers`. */
  FAILED: 'failed',
  /** The job was stopped or could not be started. It is queued again unless cancelled. */
  STOPPED: 'stopped',
} as const;
export type JobEnd = (typeof JobEnd)[keyof typeof JobEnd];

export type PlannerInput =
  | {readonly type: 'configure'; readonly pool: Pool}
  | {readonly type: 'workerUp'; readonly site: WorkerInfo}
  | {readonly type: 'workerDown'; readonly worker: string}
  /** The worker finishes its running jobs and gets no new ones. */
  | {readonly type: 'workerLeaving'; readonly worker: string}
  /** The time for the workers of the pool to connect has passed. */
  | {readonly type: 'inventoryKnown'}
  | {readonly type: 'submit'; readonly job: JobSpec}
  /** A running job that an earlier owner of the pool started. */
  | {
      readonly type: 'adopt';
      readonly job: JobSpec;
      readonly workers: readonly WorkerInfo[];
      readonly blocks: readonly Block[];
    }
  | {readonly type: 'cancel'; readonly job: string; readonly reason: string}
  | {
      readonly type: 'ended';
      readonly job: string;
      readonly end: JobEnd;
      readonly failedWorkers: readonly string[];
      /** Whether a failed job may be retried. */
      readonly retry: boolean;
    }
  | {readonly type: 'tick'};

export type PlannerEffect =
  | {
      readonly type: 'place';
      readonly job: string;
      readonly blocks: readonly Block[];
    }
  | {readonly type: 'stop'; readonly job: string; readonly checkpoint: boolean}
  /** The job left the queue without running; `permanent` is true if it can never run. */
  | {
      readonly type: 'reject';
      readonly job: string;
      readonly reason: string;
      readonly permanent: boolean;
    }
  /** The job failed and is not retried. */
  | {readonly type: 'fail'; readonly job: string; readonly reason: string}
  /** The worker was quarantined; it gets no jobs for some time. */
  | {readonly type: 'quarantine'; readonly worker: string};

/** Planner state shown to operators; part of the HTTP status response. */
export interface PlannerStatus {
  readonly usableAccelerators: number;
  readonly occupiedAccelerators: number;
  readonly queued: number;
  readonly running: number;
  readonly reservedForLargeJobs: number;
  readonly unmetGuarantees: readonly {
    readonly workspace: string;
    readonly accelerators: number;
  }[];
  readonly quarantinedWorkers: readonly string[];
}

export abstract class PoolPlanner {
  abstract handle(input: PlannerInput, nowMs: number): PlannerEffect[];
  abstract status(): PlannerStatus;
}
