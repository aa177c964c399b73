/** Gangs as the coordinator of a pool knows them. */
import {type JobClass, type Settlement} from '../core/outcome.js';
import {type Shape} from '../core/tables.js';
import {type GangMember, ShareState} from '../core/vocabulary.js';

/** An accepted gang. */
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

/** Written before a gang that is not idempotent may start: who may have started it. */
export interface StartMark {
  readonly epoch: number;
  readonly attempt: number;
  readonly members: GangMember[];
}

export const GangPhase = {
  /** Left by an earlier owner; its state is being found out. */
  RECOVERING: 'recovering',
  /** The planner has it. */
  QUEUED: 'queued',
  RESERVING: 'reserving',
  /** The start mark is being written. */
  MARKING: 'marking',
  RUNNING: 'running',
  STOPPING: 'stopping',
  /** Its end is being written before it is told. */
  ENDING: 'ending',
  ENDED: 'ended',
} as const;
export type GangPhase = (typeof GangPhase)[keyof typeof GangPhase];

/** Why a gang is being stopped. */
export const StopReason = {
  /** Its accelerators are needed elsewhere, or some could not be reserved. */
  PREEMPTED: 'preempted',
  MEMBER_LOST: 'member_lost',
  MEMBER_FAILED: 'member_failed',
  CANCELLED: 'cancelled',
  /** Left by an earlier owner in a state that can't be taken over. */
  RECOVERY: 'recovery',
} as const;
export type StopReason = (typeof StopReason)[keyof typeof StopReason];

/** Whether some member may have run since the gang was accepted. */
export const Started = {NO: 'no', MAYBE: 'maybe', YES: 'yes'} as const;
export type Started = (typeof Started)[keyof typeof Started];

export interface Gang {
  readonly spec: GangSpec;
  phase: GangPhase;
  rowVersion: number;
  attempt: number;
  mark?: StartMark;
  members: GangMember[];
  readonly states: Map<string, ShareState>;
  readonly failedMembers: Set<string>;
  answer?: Settlement['answer'];
  stopReason?: StopReason;
  /** Why it is no longer wanted; undefined while it is. */
  cancelReason?: string;
  started: Started;
  /** True once members may have been told to start the present attempt. */
  startOrdered: boolean;
  /** The phase is left at the latest then. */
  phaseDeadlineMs: number;
  /** Since when some member is out of reach; undefined when all are in reach. */
  unreachableSinceMs?: number;
  /** End that is being written. */
  settlement?: Settlement;
}

export function createGang(
  spec: GangSpec,
  rowVersion: number,
  mark: StartMark | undefined,
  recovered: boolean,
): Gang {
  return {
    spec,
    phase: recovered ? GangPhase.RECOVERING : GangPhase.QUEUED,
    rowVersion,
    attempt: mark?.attempt ?? 0,
    mark,
    members: [],
    states: new Map(),
    failedMembers: new Set(),
    // Without a mark, only a gang that needs none may have been started by an earlier owner.
    started: recovered && spec.idempotent ? Started.MAYBE : Started.NO,
    startOrdered: false,
    phaseDeadlineMs: 0,
  };
}

/** True when a share is over, whether or not it ever started. */
export function hasEnded(state: ShareState | undefined): boolean {
  return (
    state !== undefined &&
    state !== ShareState.RESERVED &&
    state !== ShareState.RUNNING
  );
}
