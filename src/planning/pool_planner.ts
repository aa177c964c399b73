/** What every planner of a pool takes in and puts out. */
import {type Pool} from '../core/tables.js';
import {type Block, type WorkerSite} from './buddy_pool.js';
import {type JobSpec} from './job.js';

/** How a job gave its accelerators back. */
export const JobEnd = {
  DONE: 'done',
  /** It failed on the named workers. */
  FAILED: 'failed',
  /** It was stopped, or could not be started, and goes back in the queue. */
  STOPPED: 'stopped',
} as const;
export type JobEnd = (typeof JobEnd)[keyof typeof JobEnd];

export type PlannerInput =
  | {readonly type: 'configure'; readonly pool: Pool}
  | {readonly type: 'workerUp'; readonly site: WorkerSite}
  | {readonly type: 'workerDown'; readonly worker: string}
  /** The worker finishes what runs there and gets nothing new. */
  | {readonly type: 'workerLeaving'; readonly worker: string}
  /** All workers that the pool is expected to have are known. */
  | {readonly type: 'inventoryKnown'}
  | {readonly type: 'submit'; readonly job: JobSpec}
  /** A job that runs already, started by an earlier owner of the pool. */
  | {
      readonly type: 'adopt';
      readonly job: JobSpec;
      readonly sites: readonly WorkerSite[];
      readonly blocks: readonly Block[];
    }
  | {readonly type: 'cancel'; readonly job: string; readonly reason: string}
  | {
      readonly type: 'ended';
      readonly job: string;
      readonly end: JobEnd;
      readonly failedWorkers: readonly string[];
      /** Whether a failed job may be tried again. */
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
  /** The job left the queue without running; `permanent` when it can never run. */
  | {
      readonly type: 'reject';
      readonly job: string;
      readonly reason: string;
      readonly permanent: boolean;
    }
  /** The job failed on several workers and is not tried again. */
  | {readonly type: 'fail'; readonly job: string; readonly reason: string}
  | {readonly type: 'quarantine'; readonly worker: string};

/** State shown to operators. */
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
