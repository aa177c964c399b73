/** Run times from what was seen; declared ones are only a first guess. */
import {getOrAdd} from '../core/fair_queue.js';

const NEWEST_WEIGHT = 0.2;
/** Expected rest of a task that outlasts its estimate, as a share of its time so far. */
const OVERRUN_SHARE = 0.3;

/** Ratio of seen to declared run times of one queue. */
interface ObservedRatio {
  ratio: number;
}

export class RunTimes {
  private readonly queues = new Map<string, ObservedRatio>();

  /** Takes in a task that was done after `ranMs`. */
  record(queue: string, declaredMs: number, ranMs: number): void {
    const observed = getOrAdd(this.queues, queue, () => ({ratio: 1}));
    const ratio = ranMs / Math.max(1, declaredMs);
    observed.ratio += NEWEST_WEIGHT * (ratio - observed.ratio);
  }

  expectedMs(queue: string, declaredMs: number): number {
    return declaredMs * (this.queues.get(queue)?.ratio ?? 1);
  }

  /** Expected rest of a running task, in ms. */
  remainingMs(
    queue: string,
    declaredMs: number,
    run: {readonly ranMs: number; readonly percent: number},
  ): number {
    if (run.percent > 0 && run.percent < 100 && run.ranMs > 0)
      return (run.ranMs * (100 - run.percent)) / run.percent;
    const restMs = this.expectedMs(queue, declaredMs) - run.ranMs;
    return restMs > 0 ? restMs : run.ranMs * OVERRUN_SHARE;
  }
}
