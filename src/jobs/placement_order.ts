/**
 * Order in which waiting work is placed when there is more work than capacity.
 * Guaranteed work comes first. Work that can still finish before its late limit comes
 * before work that can't. Remaining ties are decided by priority and then by arrival.
 */
import {type Queue} from './job.js';

/** Multiple of its objective after which a finished job has no value. */
const LATE_LIMIT_FACTOR = 3; // service terms: late up to three times the objective

export interface WaitingWork {
  readonly queue: Queue;
  /** When it was first submitted, or when it was due, in ms of the monotonic clock. */
  readonly arrivalMs: number;
  /** Expected run time of the critical path of the job, in ms. */
  readonly criticalPathMs: number;
  /** Expected run time of its failed runs, by which the objective moves, in ms. */
  readonly failedRunsMs: number;
  /** Whether it lies within the guarantee of its workspace. */
  readonly isGuaranteed: boolean;
}

/** Time by which the work should finish, in ms of the monotonic clock. */
export function objectiveAtMs(work: WaitingWork): number {
  return work.arrivalMs + objectiveMs(work);
}

/** Time after which finishing the work has no value, in ms of the monotonic clock. */
export function lateLimitAtMs(work: WaitingWork): number {
  return work.arrivalMs + LATE_LIMIT_FACTOR * objectiveMs(work);
}

function objectiveMs(work: WaitingWork): number {
  const {queue, criticalPathMs, failedRunsMs} = work;
  return queue.stretch * (criticalPathMs + failedRunsMs) + queue.targetMs;
}

/** Whether the work would finish before its late limit if it were placed now. */
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
