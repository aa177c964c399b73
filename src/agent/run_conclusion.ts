/** Conclusions that a run is over, with the facts that each rests on, for the log. */
import {type LogFields} from '../plugins/event_log.js';
import {type RunRef} from '../ports/task_worker.js';

/** What an agent takes as proof that runs are over. */
export const RunProof = {
  /** The worker listed the end. */
  END_LISTED: 'endListed',
  /** A list that should contain the run lacks it. */
  NOT_LISTED: 'notListed',
  /** The worker answered a stop, and a list requested later lacks the run. */
  STOP_ANSWERED: 'stopAnswered',
  /** No attempt of the start can have been carried out. */
  START_REJECTED: 'startRejected',
  /** The start was not sent before all leases expired, and will not be sent. */
  START_WITHDRAWN: 'startWithdrawn',
  /** Another incarnation answered under the worker's address. */
  OTHER_INCARNATION: 'otherIncarnation',
  /** All leases that were requested have expired. */
  LEASES_EXPIRED: 'leasesExpired',
} as const;
export type RunProof = (typeof RunProof)[keyof typeof RunProof];

export interface RunConclusion extends RunRef {
  readonly proof: RunProof;
  readonly facts: LogFields;
}
