/** Jobs as callers hand them in, and the tables that decide where they run. */

/** What one task needs, or what a worker has. */
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
  /** Declared run time of one task in ms; often far off. */
  readonly estimateMs: number;
  /** Indices of earlier steps that must be done first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** All tasks run together, or none does. */
  readonly gang: boolean;
  /** Tasks are slower by far on more than one rack. */
  readonly sameRack: boolean;
  /** Rack where the data lies; tasks are slower by far elsewhere. */
  readonly preferredRack?: string;
  /** Label that the worker must have. */
  readonly requiredLabel?: string;
  /** Most tasks of one occurrence of the step on one worker. */
  readonly maxPerWorker?: number;
}

/** Times at which a job runs again and again. */
export interface Schedule {
  readonly occurrences: number;
  /** Due time of the first occurrence in ms since the Unix epoch. */
  readonly firstWallMs: number;
  readonly intervalMs: number;
}

export interface JobSpec {
  /** Chosen by the caller; hand-ins with one id are one job. */
  readonly id: string;
  readonly queue: string;
  /** Absent when the queue is open to everybody. */
  readonly workspace?: string;
  readonly acceptedWallMs: number;
  /** Opaque to the system; handed to each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: Schedule;
  /** Queue as it was when the job was accepted, for when it is removed later. */
  readonly queueAtHandIn: Queue;
}

/** What operators say of one queue. */
export interface Queue {
  readonly name: string;
  readonly service: string;
  /** 0 comes first and may preempt others. */
  readonly priority: number;
  /** Failed runs of one task after which the job has failed. */
  readonly maxAttempts: number;
  /** Objective: `stretch` times the longest chain of work, plus `targetMs`. */
  readonly stretch: number;
  readonly targetMs: number;
}

export interface Workspace {
  readonly name: string;
  /** Accelerators kept for the workspace's jobs of priority 0. */
  readonly guaranteedAccelerators: number;
}

/** The operators' tables in force. */
export interface JobTables {
  readonly version: number;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
}

/** Most tasks of one step; a larger step is refused. */
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

/** How often a request fits into a room. */
export function countFits(request: Resources, capacity: Resources): number {
  const counts = [
    capacity.cpu / request.cpu,
    capacity.memoryMb / request.memoryMb,
    capacity.accelerators / request.accelerators,
  ].filter(Number.isFinite);
  return Math.max(0, Math.floor(Math.min(...counts)));
}

/** Cores that one accelerator counts as when work is weighed. */
const CORES_PER_ACCELERATOR = 8; // the users' prices count a GPU as 8 cores

/** Weight of a task: cores, with its accelerators counted as cores. */
export function coresOf(request: Resources): number {
  return request.cpu / 1000 + request.accelerators * CORES_PER_ACCELERATOR;
}
