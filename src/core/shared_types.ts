/** Types shared by the state machines and the protocol. */

/** State that a backend server announces. */
export const BackendState = {
  SERVING: 'serving',
  LEAVING: 'leaving',
  ABSENT: 'absent',
} as const;
export type BackendState = (typeof BackendState)[keyof typeof BackendState];

/**
 * Why an agent refused a request. Each reason guarantees that the attempt did not start
 * at this agent and never will.
 */
export const RefusalReason = {
  FULL: 'full',
  LEAVING: 'leaving',
  EXPIRED: 'expired',
  /** The attempt was revoked before it started. */
  SEALED: 'sealed',
  CANCELLED: 'cancelled',
  WRONG_SERVICE: 'wrong_service',
  /** The backend server could not be connected to; nothing was sent. */
  UNREACHABLE: 'unreachable',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** What an agent knows about an attempt, in reply to a gate's query. */
export const AttemptStatus = {
  /** Not received so far; it may still arrive. */
  UNSEEN: 'unseen',
  /** Revoked: it did not start and never will. */
  SEALED: 'sealed',
  /** Started; its result follows in a separate message. */
  STARTED: 'started',
  /** So old that its record may have been deleted; whether it ran is unknown. */
  FORGOTTEN: 'forgotten',
} as const;
export type AttemptStatus = (typeof AttemptStatus)[keyof typeof AttemptStatus];

/** How a run at a backend server ended. */
export const RunEnd = {
  ANSWERED: 'answered',
  /** The connection broke after the request was sent. */
  BROKEN: 'broken',
  /** Stopped at the caller's request after it had started. */
  CANCELLED: 'cancelled',
  /** The answer exceeds the size limit. */
  TOO_LARGE: 'too_large',
  /** The agent discarded the answer of the backend server to limit its memory use. */
  DROPPED: 'dropped',
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** State of a gang share: the part of a gang that one agent runs. */
export const ShareState = {
  RESERVED: 'reserved',
  RUNNING: 'running',
  DONE: 'done',
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** Revoked: it was released before it started and never will start. */
  SEALED: 'sealed',
} as const;
export type ShareState = (typeof ShareState)[keyof typeof ShareState];

/** Slots of a backend server in use, and requests that wait for one. */
export interface Load {
  readonly busy: number;
  readonly queued: number;
}

/** What a backend server announces about itself. */
export interface Announcement {
  readonly service: string;
  readonly slots: number;
  readonly state: BackendState;
}

/** Where a process or a worker is located. */
export interface Location {
  readonly region: string;
  readonly dataCentre: string;
  readonly rack: string;
}

/** Accelerators of one worker that belong to a gang. */
export interface GangMember {
  readonly agent: string;
  readonly incarnation: string;
  readonly accelerators: number[];
}

/** An agent's report on one gang share. */
export interface ShareReport {
  readonly gang: string;
  readonly attempt: number;
  readonly state: ShareState;
  readonly members: GangMember[];
}
