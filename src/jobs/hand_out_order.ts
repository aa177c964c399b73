/**
 * Load: more work than room, of several priorities. Guaranteed work first, then by
 * priority; a job that can no longer earn anything yields to those that can.
 */
import {type Queue} from './job.js';

/** Past this many times its objective a job earns nothing any more. */
const LATE_LIMIT_FACTOR = 3; // the users' terms: up to three times is late

export interface WaitingWork {
  readonly queue: Queue;
  /** When the caller first sent it, or when it was due, in ms of the clock. */
  readonly arrivalMs: number;
  /** Expected time of its longest chain of work, in ms. */
  readonly criticalPathMs: number;
  /** Within what its workspace is guaranteed. */
  readonly isGuaranteed: boolean;
}

/** Time by which the work should be done, in ms of the clock. */
export function objectiveAtMs(work: WaitingWork): number {
  return work.arrivalMs + objectiveMs(work);
}

/** Time by which the work must be done to be worth anything, in ms of the clock. */
export function lateLimitAtMs(work: WaitingWork): number {
  return work.arrivalMs + LATE_LIMIT_FACTOR * objectiveMs(work);
}

function objectiveMs(work: WaitingWork): number {
  return work.queue.stretch * work.criticalPathMs + work.queue.targetMs;
}

/** Whether it would still be done before it is worth nothing. */
export function canMeetLateLimit(work: WaitingWork, nowMs: number): boolean {
  return nowMs + work.criticalPathMs <= lateLimitAtMs(work);
}

/** Negative when `a` is to be placed before `b`. */
export function compareWaiting(
  a: WaitingWork,
  b: WaitingWork,
  nowMs: number,
): number {
  if (a.isGuaranteed !== b.isGuaranteed) return a.isGuaranteed ? -1 : 1;
  const lateLimitOrder =
    Number(canMeetLateLimit(b, nowMs)) - Number(canMeetLateLimit(a, nowMs));
  if (lateLimitOrder !== 0) return lateLimitOrder;
  if (a.queue.priority !== b.queue.priority)
    return a.queue.priority - b.queue.priority;
  return a.arrivalMs - b.arrivalMs;
}
