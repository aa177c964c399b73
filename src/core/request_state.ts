/** State that the request router keeps for each request. */
import {type ProcessRef} from './ids.js';
import {type JobClass, Outcome, type Settlement} from './outcome.js';
import {type SubmitInput} from './request_messages.js';

export const Phase = {
  /** Waits for a backend server with a free slot. */
  QUEUED: 'queued',
  /** A claim row that names an agent is being written. */
  CLAIMING: 'claiming',
  /** Sent to an agent. */
  DISPATCHED: 'dispatched',
  /** An attempt of another gate holds the claim; its agent is queried. */
  FOLLOWING: 'following',
  /** The claim row is being closed: no attempt ran. */
  CLOSING: 'closing',
  /** The claim row is being ended with an unknown outcome. */
  ENDING: 'ending',
  /** Shares the outcome of an earlier request of this gate with the same key. */
  JOINED: 'joined',
  SETTLED: 'settled',
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

/** Why the gate abandons a request. */
export interface AbandonCause {
  /** Text for the caller. */
  readonly reason: string;
  /** True when sending the request again can never help. */
  readonly permanent: boolean;
}

/** Times are on the gate's monotonic clock. */
export interface RequestState {
  readonly req: string;
  readonly workspace: string;
  readonly service: string;
  readonly class: JobClass;
  readonly idempotent: boolean;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  readonly claim?: {readonly key: string; readonly hash: string};
  /**
   * Request id that identifies the run at agents. When another gate's claim is followed,
   * or for a joined request, this is the id of that other request.
   */
  run: string;
  phase: Phase;
  attempt: number;
  agent?: ProcessRef;
  /** True while the request counts as outstanding at its agent. */
  inFlight: boolean;
  sentAtMs: number;
  /** Last known version of the claim row; 0 while none is known. */
  claimVersion: number;
  abandonCause?: AbandonCause;
  /** Number of times the request was assigned again. */
  resends: number;
  unseenReplies: number;
  /** Ids of the requests that have joined this one. */
  readonly joined: string[];
}

export function newRequestState(
  input: SubmitInput,
  nowMs: number,
): RequestState {
  return {
    req: input.req,
    workspace: input.workspace,
    service: input.service,
    class: input.class,
    idempotent: input.idempotent,
    acceptedAtMs: nowMs,
    deadlineAtMs: nowMs + input.remainingMs,
    claim: input.claim,
    run: input.req,
    phase: Phase.QUEUED,
    attempt: 0,
    inFlight: false,
    sentAtMs: 0,
    claimVersion: 0,
    resends: 0,
    unseenReplies: 0,
    joined: [],
  };
}

export function notRun(reason: string, permanent = false): Settlement {
  return {outcome: Outcome.NOT_RUN, reason, permanent};
}

export function unknown(reason: string): Settlement {
  return {outcome: Outcome.UNKNOWN, reason};
}
