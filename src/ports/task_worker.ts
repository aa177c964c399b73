/** Interface through which an agent runs leased tasks on its worker. */

/** How a run ended, as reported by the worker. */
export const RunEndKind = {
  DONE: 'done',
  /** Failed because of an error in the task or on the worker. */
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** The lease expired. */
  LAPSED: 'lapsed',
  /** Another member of its gang ended. */
  BROKEN: 'broken',
  /** The other members of its gang did not start in time. */
  ALONE: 'alone',
} as const;
export type RunEndKind = (typeof RunEndKind)[keyof typeof RunEndKind];

/** Identifies one run of a task. */
export interface RunRef {
  readonly task: string;
  /** Number of the run among the runs of its task, from 1. */
  readonly run: number;
}

export interface RunningTask extends RunRef {
  /** Newest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Progress, 0 to 100. */
  readonly percent: number;
}

export interface EndedRun extends RunRef {
  /** Sequence number among the ended runs of one worker incarnation, from 1. */
  readonly number: number;
  readonly kind: RunEndKind;
  readonly checkpoint: string;
}

export interface StartRequest extends RunRef {
  readonly payload: string;
  readonly checkpoint: string;
  /** End of the lease for all runs on the worker, in ms of the worker's clock. */
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
  /** The worker did nothing, but may accept the start later. */
  | {readonly type: 'unhealthy'}
  | {readonly type: 'otherIncarnation'}
  /** No connection was established, so the start was not carried out. */
  | {readonly type: 'unreachable'}
  /** The start may have been carried out, or may still be. */
  | {readonly type: 'unanswered'};

export const RejectReason = {
  /** The worker has seen a higher fencing token. */
  FENCED: 'fenced',
  /** This run or a later run of the task has already ended or been stopped there. */
  OUTDATED: 'outdated',
  /** The lease had expired when the order arrived. */
  LATE: 'late',
  NO_ROOM: 'noRoom',
  INVALID: 'invalid',
} as const;
export type RejectReason = (typeof RejectReason)[keyof typeof RejectReason];

export interface RenewRequest {
  readonly fencingToken: number;
  /** Ends up to this number are durable; the worker may discard them. */
  readonly acknowledgedUpTo: number;
  /** If absent, the lease is not extended. */
  readonly leaseUntilMs?: number;
  /** The worker answers when a run ends, or after this time. */
  readonly waitMs: number;
}

export type RenewReply =
  | {
      readonly type: 'listed';
      readonly clockMs: number;
      /** Start time of this worker incarnation, in ms since the Unix epoch. */
      readonly bornMs: number;
      readonly running: readonly RunningTask[];
      readonly ended: readonly EndedRun[];
      /** Whether the worker holds further ends that the list does not contain. */
      readonly hasMoreEnds: boolean;
    }
  | {readonly type: 'fenced'}
  | {readonly type: 'otherIncarnation'}
  /** No process listens at the worker's address. */
  | {readonly type: 'refused'}
  | {readonly type: 'unreachable'}
  | {readonly type: 'unanswered'};

export type StopReply =
  'stopped' | 'otherIncarnation' | 'fenced' | 'unanswered';

/** All calls return within `timeoutMs` and never throw. */
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
