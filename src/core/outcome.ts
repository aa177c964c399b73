/** Outcome of a request, as reported to its caller. */
export const Outcome = {
  /** The backend server answered; the complete answer is forwarded. */
  DONE: 'done',
  /** It ran and failed; there is no answer. */
  FAILED: 'failed',
  /** It had started and was stopped at the caller's request. */
  CANCELLED: 'cancelled',
  /** It did not run and never will. */
  NOT_RUN: 'not_run',
  /** It may have run. It is not run again. */
  UNKNOWN: 'unknown',
  /** It has not ended yet. */
  PENDING: 'pending',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Answer of a backend server, or of the first member of a gang. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Final outcome of a request. */
export interface Settlement {
  readonly outcome: Outcome;
  /** Present when the outcome is `done`. */
  readonly answer?: Answer;
  /** Cause of the outcome, and what the caller can do. */
  readonly reason?: string;
  /** True when sending the request again can never help. */
  readonly permanent?: boolean;
}

/** Priority classes, most urgent first. */
export const JobClass = {
  URGENT: 'urgent',
  NORMAL: 'normal',
  BATCH: 'batch',
} as const;
export type JobClass = (typeof JobClass)[keyof typeof JobClass];
