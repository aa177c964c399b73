/** Converts settlements to and from the format of stored rows. */
import {Outcome, type Settlement} from '../core/outcome.js';
import {type StoredSettlement} from './rows.js';

/** Largest answer stored in a row, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/** Encodes a settlement. If the answer is too large, encodes the outcome `unknown`. */
export function encodeSettlement(settlement: Settlement): StoredSettlement {
  const {outcome, reason, permanent, answer} = settlement;
  if (outcome === Outcome.PENDING)
    throw new TypeError(
      'expected the settlement of an ended request, found a pending one',
    );
  if (!answer) return {outcome, reason, permanent};
  if (answer.body.length > MAX_STORED_ANSWER_BYTES) {
    return {
      outcome: 'unknown',
      reason: 'it ran and was answered, but the answer was too large to keep',
    };
  }
  const bodyBase64 = Buffer.from(answer.body).toString('base64');
  return {
    outcome,
    reason,
    permanent,
    answer: {
      status: answer.status,
      contentType: answer.contentType,
      bodyBase64,
    },
  };
}

export function decodeSettlement(stored: StoredSettlement): Settlement {
  const {outcome, reason, permanent, answer} = stored;
  if (!answer) return {outcome, reason, permanent};
  const body = Buffer.from(answer.bodyBase64, 'base64');
  return {
    outcome,
    reason,
    permanent,
    answer: {status: answer.status, contentType: answer.contentType, body},
  };
}
