/** Inputs and effects of the request router, and the claim rows that it writes. */
import {type ProcessRef} from './ids.js';
import {type Answer, type JobClass, type Settlement} from './outcome.js';
import {
  type Announcement,
  type Load,
  type Location,
  type RefusalReason,
  type RunEnd,
  type AttemptStatus,
} from './shared_types.js';

/** State of a claim row. */
export const ClaimState = {
  /** The agent of the row may have started the request, or may still start it. */
  OPEN: 'open',
  /** No attempt ran; a later request with the key may open the next attempt. */
  CLOSED: 'closed',
  /** The run has ended; the row holds its settlement. */
  ENDED: 'ended',
} as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** Stored row that binds an idempotency key to one run. */
export interface ClaimRow {
  readonly state: ClaimState;
  /** Hash of the payload of the key's first request. */
  readonly hash: string;
  /** Request id that identifies the run at agents. */
  readonly run: string;
  readonly attempt: number;
  readonly agent?: ProcessRef;
  /** Present when the state is `ended`. */
  readonly settlement?: Settlement;
}

/** Conditional write of a claim row. */
export interface ClaimWrite {
  readonly key: string;
  /** Version that the row must have; 0 when the row must not exist. */
  readonly expectVersion: number;
  readonly row: ClaimRow;
}

/** Result of a conditional write of a claim row. */
export type ClaimReply =
  | {readonly type: 'committed'; readonly version: number}
  | {
      readonly type: 'conflict';
      readonly version: number;
      readonly row?: ClaimRow;
      /** Time since the row was closed, in ms; present when it is closed. */
      readonly closedAgoMs?: number;
    }
  | {readonly type: 'unavailable'};

export interface SubmitInput {
  readonly type: 'submit';
  readonly req: string;
  readonly kind: string;
  readonly workspace: string;
  readonly service: string;
  readonly class: JobClass;
  readonly idempotent: boolean;
  readonly remainingMs: number;
  /** Key and payload hash; present when the caller sent an idempotency key. */
  readonly claim?: {readonly key: string; readonly hash: string};
}

export type RouterInput =
  | SubmitInput
  | {readonly type: 'cancel'; readonly req: string}
  | {
      readonly type: 'agentUp';
      readonly agent: ProcessRef;
      readonly place: Location;
      readonly accelerators: number;
      readonly announcement: Announcement;
      readonly load: Load;
    }
  | {readonly type: 'agentDown'; readonly agent: ProcessRef}
  | {
      readonly type: 'announce';
      readonly agent: ProcessRef;
      readonly announcement: Announcement;
      readonly load: Load;
    }
  | {readonly type: 'load'; readonly agent: ProcessRef; readonly load: Load}
  /** The agent stops, and has reported all requests that it started. */
  | {readonly type: 'farewell'; readonly agent: ProcessRef}
  | {
      readonly type: 'result';
      readonly agent: ProcessRef;
      readonly run: string;
      readonly end: RunEnd;
      readonly answer?: Answer;
      readonly load: Load;
    }
  | {
      readonly type: 'refused';
      readonly agent: ProcessRef;
      readonly run: string;
      readonly attempt: number;
      readonly reason: RefusalReason;
      readonly load: Load;
    }
  | {
      readonly type: 'trace';
      readonly agent: ProcessRef;
      readonly run: string;
      readonly attempt: number;
      readonly trace: AttemptStatus;
    }
  | {
      readonly type: 'claimReply';
      readonly req: string;
      readonly reply: ClaimReply;
    }
  | {readonly type: 'tick'};

export type RouterEffect =
  | {
      readonly type: 'dispatch';
      readonly agent: ProcessRef;
      readonly req: string;
      readonly run: string;
      readonly attempt: number;
      readonly remainingMs: number;
    }
  | {
      readonly type: 'ask';
      readonly ask: 'seal' | 'inquire' | 'cancel';
      readonly agent: ProcessRef;
      readonly run: string;
      readonly attempt: number;
    }
  | {readonly type: 'ack'; readonly agent: ProcessRef; readonly run: string}
  /** Write a claim row and return the reply as `claimReply`. */
  | {readonly type: 'claim'; readonly req: string; readonly write: ClaimWrite}
  /** Write the end of a claim on a best-effort basis; no reply is expected. */
  | {readonly type: 'recordEnd'; readonly write: ClaimWrite}
  | {
      readonly type: 'settle';
      readonly req: string;
      readonly settlement: Settlement;
    };
