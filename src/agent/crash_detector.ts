/**
 * Tells a worker that crashed from one that left as announced, was cut off, or stopped
 * with its instance: its agent lived on and saw the connections to it break, and then
 * another incarnation took its place.
 */
import {type RenewReply} from '../ports/task_worker.js';

export interface RenewalTimes {
  readonly requestedAtMs: number;
  readonly answeredAtMs: number;
  readonly timeoutMs: number;
}

export class CrashDetector {
  private hasAnswered = false;
  private brokenSinceMs: number | undefined;

  recordRenewal({type}: RenewReply, times: RenewalTimes): void {
    const {requestedAtMs, answeredAtMs, timeoutMs} = times;
    if (type === 'otherIncarnation') return;
    const isTimeout = answeredAtMs - requestedAtMs >= timeoutMs;
    const isBroken =
      type === 'refused' || (type === 'unanswered' && !isTimeout);
    if (isBroken && this.hasAnswered) this.brokenSinceMs ??= answeredAtMs;
    if (type !== 'listed') return;
    this.hasAnswered = true;
    this.brokenSinceMs = undefined;
  }

  /** When the connections broke; undefined unless they are broken. */
  get crashedAtMs(): number | undefined {
    return this.brokenSinceMs;
  }
}
