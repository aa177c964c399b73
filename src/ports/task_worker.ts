/** A worker that runs tasks under leases, as the agent beside it calls it. */

/** How a run ended, as the worker tells it. */
export const EndKind = {
  DONE: 'done',
  /** Through its own fault or through the worker's. */
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** The lease ran out. */
  LAPSED: 'lapsed',
  /** Another member of its gang ended. */
  BROKEN: 'broken',
  /** The other members of its gang did not come in time. */
  ALONE: 'alone',
} as const;
export type EndKind = (typeof EndKind)[keyof typeof EndKind];

/** Names one start of one task. */
export interface RunRef {
  readonly task: string;
  /** Counts the starts of the task, from 1. */
  readonly run: number;
}

export interface RunningTask extends RunRef {
  /** Newest checkpoint; empty when there is none. */
  readonly checkpoint: string;
  /** Share of its work that is done, 0 to 100. */
  readonly percent: number;
}

export interface EndedRun extends RunRef {
  /** Counts the ends of one incarnation of the worker, from 1. */
  readonly number: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

export interface StartRequest extends RunRef {
  readonly payload: string;
  readonly checkpoint: string;
  /** Lease of everything that runs on the worker, in ms of the worker's clock. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
}

export type StartReply =
  | {readonly type: 'started'; readonly clockMs: number}
  | {
      readonly type: 'rejected';
      readonly reason: RejectReason;
      readonly clockMs?: number;
    }
  /** The worker has done nothing, but may take it later. */
  | {readonly type: 'unhealthy'}
  | {readonly type: 'otherIncarnation'}
  /** No connection was made, so it was not carried out. */
  | {readonly type: 'unreachable'}
  /** It may have been carried out, or may still be. */
  | {readonly type: 'unanswered'};

export const RejectReason = {
  /** The worker has seen a higher fencing token. */
  FENCED: 'fenced',
  /** This run or a later one has ended or was stopped there. */
  OUTDATED: 'outdated',
  /** The lease had ended when the order arrived. */
  LATE: 'late',
  NO_ROOM: 'noRoom',
  INVALID: 'invalid',
} as const;
export type RejectReason = (typeof RejectReason)[keyof typeof RejectReason];

export interface RenewRequest {
  readonly fencingToken: number;
  /** Ends up to this number are durable and may be forgotten. */
  readonly acknowledgedUpTo: number;
  /** Absent: the lease stays as it is. */
  readonly leaseUntilMs?: number;
  /** The worker answers at the next end, or after this time. */
  readonly waitMs: number;
}

export type RenewReply =
  | {
      readonly type: 'listed';
      readonly clockMs: number;
      /** When this life of the worker began, in ms since the Unix epoch. */
      readonly bornMs: number;
      readonly running: readonly RunningTask[];
      readonly ended: readonly EndedRun[];
    }
  | {readonly type: 'fenced'}
  | {readonly type: 'otherIncarnation'}
  | {readonly type: 'unreachable'}
  | {readonly type: 'unanswered'};

export type StopReply =
  'stopped' | 'otherIncarnation' | 'fenced' | 'unanswered';

/** All calls end by `timeoutMs` and never throw. */
export abstract class TaskWorker {
  abstract start(
    workerId: string,
    req: StartRequest,
    timeoutMs: number,
  ): Promise<StartReply>;
  abstract stop(
    workerId: string,
    run: RunRef,
    fencingToken: number,
    timeoutMs: number,
  ): Promise<StopReply>;
  abstract renew(
    workerId: string,
    req: RenewRequest,
    timeoutMs: number,
  ): Promise<RenewReply>;
  abstract close(): Promise<void>;
}
