/** Converts settlements to the form in which rows carry them, and back. */
import {Outcome, type Settlement} from '../core/outcome.js';
import {type StoredSettlement} from './rows.js';

/** Largest answer that a row carries, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;

export function storeSettlement(settlement: Settlement): StoredSettlement {
  const {outcome, reason, permanent, answer} = settlement;
  if (outcome === Outcome.PENDING)
    throw new TypeError('a pending request has no settlement to store');
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

export function loadSettlement(stored: StoredSettlement): Settlement {
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
