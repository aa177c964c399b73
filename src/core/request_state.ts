/** State that the router keeps for one request. */
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
  /** Another gate's attempt holds the claim; its agent is asked. */
  FOLLOWING: 'following',
  /** The claim row is being closed: no attempt ran. */
  CLOSING: 'closing',
  /** The claim row is being ended with an unknown outcome. */
  ENDING: 'ending',
  /** Joined to another request of this gate with the same key. */
  JOINED: 'joined',
  SETTLED: 'settled',
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

/** Why the gate no longer wants a request to run. */
export interface AbandonCause {
  readonly reason: string;
  readonly permanent: boolean;
}

export interface RequestState {
  readonly req: string;
  readonly workspace: string;
  readonly service: string;
  readonly class: JobClass;
  readonly idempotent: boolean;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  readonly claim?: {readonly key: string; readonly hash: string};
  /** Id that agents know the run by; another gate's id when the claim is shared. */
  run: string;
  phase: Phase;
  attempt: number;
  agent?: ProcessRef;
  /** True while the request counts as outstanding at its agent. */
  inFlight: boolean;
  sentAtMs: number;
  /** Version of the claim row as last seen; 0 when none was seen. */
  claimVersion: number;
  abandonCause?: AbandonCause;
  resends: number;
  unseenReplies: number;
  /** Requests of this gate that wait for the same key. */
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
