/** How a request ended, as told to its caller. */
export const Outcome = {
  /** The backend server answered; its whole answer is passed on. */
  DONE: 'done',
  /** It ran and failed; there is no answer. */
  FAILED: 'failed',
  /** It had started and was stopped at the caller's wish. */
  CANCELLED: 'cancelled',
  /** It never ran and never will. */
  NOT_RUN: 'not_run',
  /** It may have run. It will not be run again. */
  UNKNOWN: 'unknown',
  /** It has not ended yet. */
  PENDING: 'pending',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** An answer of a backend server, or of a gang's first member. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** The end of a request. */
export interface Settlement {
  readonly outcome: Outcome;
  /** Present when the outcome is `done`. */
  readonly answer?: Answer;
  /** Why it ended this way and what the caller may do. */
  readonly reason?: string;
  /** True when sending it again can never help. */
  readonly permanent?: boolean;
}

/** Priority classes, most urgent first. */
export const JobClass = {
  URGENT: 'urgent',
  NORMAL: 'normal',
  BATCH: 'batch',
} as const;
export type JobClass = (typeof JobClass)[keyof typeof JobClass];
