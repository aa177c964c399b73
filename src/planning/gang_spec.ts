/** State of a gang in the coordinator of its pool. */
import {type JobClass, type Settlement} from '../core/outcome.js';
import {type Shape} from '../core/tables.js';
import {type GangMember, ShareState} from '../core/shared_types.js';

/** Description of an accepted gang, as read from its row. */
export interface GangSpec {
  readonly id: string;
  readonly workspace: string;
  readonly kind: string;
  readonly shape: Shape;
  readonly class: JobClass;
  readonly idempotent: boolean;
  readonly preemptible: boolean;
  readonly checkpointable: boolean;
  readonly acceptedWallMs: number;
  readonly deadlineWallMs: number;
}

/**
 * Start record, written to the row of a non-idempotent gang before any member may
 * start. It names the attempt and the members that may have started.
 */
export interface StartRecord {
  readonly epoch: number;
  readonly attempt: number;
  readonly members: GangMember[];
}

export const GangPhase = {
  /** Left by an earlier owner; waits for the reports of its members. */
  RECOVERING: 'recovering',
  /** Queued in the planner, or waiting to be queued again. */
  QUEUED: 'queued',
  RESERVING: 'reserving',
  /** The start record is being written. */
  MARKING: 'marking',
  RUNNING: 'running',
  STOPPING: 'stopping',
  /** Its end is being written; the caller is notified after that. */
  ENDING: 'ending',
  ENDED: 'ended',
} as const;
export type GangPhase = (typeof GangPhase)[keyof typeof GangPhase];

/** Why a gang is being stopped. */
export const StopReason = {
  /** Preempted by the planner, or the reservation or the start record failed. */
  PREEMPTED: 'preempted',
  MEMBER_LOST: 'member_lost',
  MEMBER_FAILED: 'member_failed',
  CANCELLED: 'cancelled',
  /** Left by an earlier owner in a state that cannot be adopted. */
  RECOVERY: 'recovery',
} as const;
export type StopReason = (typeof StopReason)[keyof typeof StopReason];

/** Whether any member may have run since the gang was accepted. */
export const Started = {NO: 'no', MAYBE: 'maybe', YES: 'yes'} as const;
export type Started = (typeof Started)[keyof typeof Started];

export interface Gang {
  readonly spec: GangSpec;
  phase: GangPhase;
  rowVersion: number;
  attempt: number;
  /** Newest start record of this gang, if one was written or is being written. */
  mark?: StartRecord;
  members: GangMember[];
  readonly states: Map<string, ShareState>;
  readonly failedMembers: Set<string>;
  answer?: Settlement['answer'];
  stopReason?: StopReason;
  /** Why the gang is to be cancelled; undefined while it is not. */
  cancelReason?: string;
  started: Started;
  /** True once a start order of the current attempt may have been sent. */
  startOrdered: boolean;
  /** Time at which the current phase times out. */
  phaseDeadlineMs: number;
  /** Time at which a member became unreachable; undefined while all are reachable. */
  unreachableSinceMs?: number;
  /** Settlement that is being written in the phase ENDING. */
  settlement?: Settlement;
}

export function createGang(
  spec: GangSpec,
  rowVersion: number,
  startRecord: StartRecord | undefined,
  recovered: boolean,
): Gang {
  return {
    spec,
    phase: recovered ? GangPhase.RECOVERING : GangPhase.QUEUED,
    rowVersion,
    attempt: startRecord?.attempt ?? 0,
    mark: startRecord,
    members: [],
    states: new Map(),
    failedMembers: new Set(),
    // An earlier owner may have started an idempotent gang without a start record.
    // Any other gang without a record was never started.
    started: recovered && spec.idempotent ? Started.MAYBE : Started.NO,
    startOrdered: false,
    phaseDeadlineMs: 0,
  };
}

/** True when a share has ended, whether or not it ever started. */
export function hasEnded(state: ShareState | undefined): boolean {
  return (
    state !== undefined &&
    state !== ShareState.RESERVED &&
    state !== ShareState.RUNNING
  );
}
