/** Words shared by the machines and by the protocol. */

/** State of a backend server as it announces itself. */
export const BackendState = {
  SERVING: 'serving',
  LEAVING: 'leaving',
  ABSENT: 'absent',
} as const;
export type BackendState = (typeof BackendState)[keyof typeof BackendState];

/** Why an agent refused a request. Each reason means that it never started there and never will. */
export const RefusalReason = {
  FULL: 'full',
  LEAVING: 'leaving',
  EXPIRED: 'expired',
  SEALED: 'sealed',
  CANCELLED: 'cancelled',
  WRONG_SERVICE: 'wrong_service',
  /** No connection to the backend server could be made; nothing was sent. */
  UNREACHABLE: 'unreachable',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** What an agent knows about a request that it is asked about. */
export const Trace = {
  /** Not seen so far; it may still arrive. */
  UNSEEN: 'unseen',
  /** Never started, and now never will. */
  SEALED: 'sealed',
  /** Started; its answer will follow. */
  STARTED: 'started',
  /** Too old to tell. */
  FORGOTTEN: 'forgotten',
} as const;
export type Trace = (typeof Trace)[keyof typeof Trace];

/** How a run at a backend server ended. */
export const RunEnd = {
  ANSWERED: 'answered',
  /** The connection broke after the request was sent. */
  BROKEN: 'broken',
  /** Stopped at the caller's wish after it had started. */
  CANCELLED: 'cancelled',
  /** The answer is larger than the limit. */
  TOO_LARGE: 'too_large',
  /** It was answered, but the agent had to drop the answer. */
  DROPPED: 'dropped',
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** State of one gang's share at one agent. */
export const ShareState = {
  RESERVED: 'reserved',
  RUNNING: 'running',
  DONE: 'done',
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** Released before it started, and never will start. */
  SEALED: 'sealed',
} as const;
export type ShareState = (typeof ShareState)[keyof typeof ShareState];

/** Slots of a backend server in use. */
export interface Load {
  readonly busy: number;
  readonly queued: number;
}

/** What a backend server says of itself. */
export interface Announcement {
  readonly service: string;
  readonly slots: number;
  readonly state: BackendState;
}

/** Where a process or a worker is. */
export interface Place {
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

/** What an agent reports about a gang that it holds a share of. */
export interface ShareReport {
  readonly gang: string;
  readonly attempt: number;
  readonly state: ShareState;
  readonly members: GangMember[];
}
