/** Inputs and effects of the request router. */
import {type ProcessRef} from './ids.js';
import {type Answer, type JobClass, type Settlement} from './outcome.js';
import {
  type Announcement,
  type Load,
  type Place,
  type RefusalReason,
  type RunEnd,
  type Trace,
} from './vocabulary.js';

/** State of a claim row. */
export const ClaimState = {
  /** An agent may start the request, or has. */
  OPEN: 'open',
  /** No attempt ran; a later send may open the next attempt. */
  CLOSED: 'closed',
  /** Ended for good. */
  ENDED: 'ended',
} as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** Row that binds an idempotency key to one run. */
export interface ClaimRow {
  readonly state: ClaimState;
  /** Hash of the payload that the key was first used with. */
  readonly hash: string;
  /** Request id that the agents know the run by. */
  readonly run: string;
  readonly attempt: number;
  readonly agent?: ProcessRef;
  /** Present when the state is `ended`. */
  readonly settlement?: Settlement;
}

/** A conditional write of a claim row. */
export interface ClaimWrite {
  readonly key: string;
  /** Version that the row must have; 0 when it must not exist. */
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
      /** How long ago the row was closed, when it is closed. */
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
  /** Key and payload hash, when the caller sent an idempotency key. */
  readonly claim?: {readonly key: string; readonly hash: string};
}

export type RouterInput =
  | SubmitInput
  | {readonly type: 'cancel'; readonly req: string}
  | {
      readonly type: 'agentUp';
      readonly agent: ProcessRef;
      readonly place: Place;
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
      readonly trace: Trace;
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
  /** Write a claim row and report the reply. */
  | {readonly type: 'claim'; readonly req: string; readonly write: ClaimWrite}
  /** Write the end of a claim when the table service allows; no reply is awaited. */
  | {readonly type: 'recordEnd'; readonly write: ClaimWrite}
  | {
      readonly type: 'settle';
      readonly req: string;
      readonly settlement: Settlement;
    };
