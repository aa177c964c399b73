/** Jobs as callers submit them, and the operators' tables that apply to them. */

/** Resources that one task requests or that a worker has. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

export interface StepSpec {
  /** Number of tasks. */
  readonly count: number;
  readonly request: Resources;
  /** Declared run time of one task in ms; often inaccurate. */
  readonly estimateMs: number;
  /** Indices of earlier steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** Whether a stopped task continues from a checkpoint. */
  readonly checkpointing: boolean;
  /** Whether all tasks must run at the same time. */
  readonly gang: boolean;
  /** Whether the tasks run much slower when spread over several racks. */
  readonly sameRack: boolean;
  /** Rack that holds the input data; tasks run much slower on other racks. */
  readonly preferredRack?: string;
  /** Label that the worker must have. */
  readonly requiredLabel?: string;
  /** Maximum number of tasks of one occurrence of the step on one worker. */
  readonly maxPerWorker?: number;
}

/** Times at which a recurring job runs. */
export interface Schedule {
  /** Number of times that the job runs. */
  readonly occurrences: number;
  /** Due time of the first occurrence in ms since the Unix epoch. */
  readonly firstWallMs: number;
  readonly intervalMs: number;
}

export interface JobSpec {
  /** Chosen by the caller; submissions with the same id are the same job. */
  readonly id: string;
  readonly queue: string;
  /** Absent when the queue is open to all workspaces. */
  readonly workspace?: string;
  readonly acceptedWallMs: number;
  /** Opaque to the scheduler; passed to each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: Schedule;
  /** The queue's settings at submission, used when the queue has been removed since. */
  readonly queueAtHandIn: Queue;
}

/** Settings of one queue. */
export interface Queue {
  readonly name: string;
  readonly service: string;
  /** 0 is the highest priority and may preempt all others. */
  readonly priority: number;
  /** Number of failed runs of one task after which the job fails. */
  readonly maxAttempts: number;
  /** The objective is `stretch` times the critical path plus `targetMs`. */
  readonly stretch: number;
  readonly targetMs: number;
}

export interface Workspace {
  readonly name: string;
  /** Number of accelerators guaranteed to the workspace's jobs of priority 0. */
  readonly guaranteedAccelerators: number;
}

/** The operators' tables that are in force. */
export interface JobTables {
  readonly version: number;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
}

/** Maximum number of tasks in one step; a larger step is rejected. */
export const MAX_STEP_TASKS = 10_000;

export const JobState = {
  PENDING: 'pending',
  RUNNING: 'running',
  COMPLETED: 'completed',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
} as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

/** Identifies one task of one occurrence of a job. */
export interface TaskRef {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

export function formatTaskName(ref: TaskRef): string {
  return `${ref.job}.${ref.occurrence}.${ref.step}.${ref.index}`;
}

export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpu: a.cpu + b.cpu,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpu: a.cpu - b.cpu,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

export function fits(request: Resources, free: Resources): boolean {
  return (
    request.cpu <= free.cpu &&
    request.memoryMb <= free.memoryMb &&
    request.accelerators <= free.accelerators
  );
}

/** How many tasks with this request fit into the capacity. */
export function countFits(request: Resources, capacity: Resources): number {
  const count = Math.min(
    quotient(capacity.cpu, request.cpu),
    quotient(capacity.memoryMb, request.memoryMb),
    quotient(capacity.accelerators, request.accelerators),
  );
  return Math.max(0, Math.floor(count));
}

/** Quotient; infinite if nothing is requested of a capacity that is not exceeded. */
function quotient(capacity: number, request: number): number {
  if (request > 0) return capacity / request;
  return capacity < 0 ? 0 : Infinity;
}

/** Number of cores that one accelerator is equivalent to when work is compared. */
const CORES_PER_ACCELERATOR = 8; // the price list counts a GPU as 8 cores

/** Size of a task in cores, with each accelerator counted as several cores. */
export function coreEquivalents(request: Resources): number {
  return request.cpu / 1000 + request.accelerators * CORES_PER_ACCELERATOR;
}
