/** Interface through which an agent runs gang tasks on its worker. */
import {type ComponentKind} from '../core/kernel.js';
import {type Answer} from '../core/outcome.js';

export interface TaskSpec {
  readonly task: string;
  readonly kind: string;
  readonly workspace: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly accelerators: readonly number[];
  readonly rank: number;
  readonly size: number;
  /** The worker stops the task if the lease is not renewed within this time. */
  readonly leaseMs: number;
}

export const TaskState = {
  RUNNING: 'running',
  DONE: 'done',
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** The worker does not know the task. */
  ABSENT: 'absent',
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

export interface TaskReport {
  readonly state: TaskState;
  /** Present if the state is `done`. */
  readonly answer?: Answer;
}

export abstract class GangWorker {
  /** Starts a task. Idempotent: a second start of the same task has no effect. */
  abstract start(spec: TaskSpec): Promise<TaskReport>;
  /** Renews the lease of a running task. */
  abstract renew(task: string, leaseMs: number): Promise<TaskReport>;
  abstract stop(task: string, checkpoint: boolean): Promise<TaskReport>;
  /** Waits at most `waitMs` for the task to end. */
  abstract wait(task: string, waitMs: number): Promise<TaskReport>;
  /** Stops all tasks that an earlier incarnation of the agent started. */
  abstract stopAll(): Promise<void>;
  abstract close(): Promise<void>;
}

export interface GangWorkerOptions {
  readonly address: string;
}

export const GANG_WORKER: ComponentKind<GangWorker, GangWorkerOptions> = {
  kind: 'worker',
};
