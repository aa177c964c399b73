/** Estimates run times from completed tasks, starting from the declared run times. */
import {getOrAdd} from '../core/fair_queue.js';

/** Weight of the newest run in the moving average of the ratio. */
const NEWEST_WEIGHT = 0.2;
/** Expected remaining time of a task past its estimate, as a fraction of its run time. */
const OVERRUN_SHARE = 0.3;

/** Moving average of the ratio of observed to declared run times of one queue. */
interface ObservedRatio {
  ratio: number;
}

export class RunTimeEstimates {
  private readonly queues = new Map<string, ObservedRatio>();

  /** Records that a task was done after `ranMs`. */
  record(queue: string, declaredMs: number, ranMs: number): void {
    const observed = getOrAdd(this.queues, queue, () => ({ratio: 1}));
    const ratio = ranMs / Math.max(1, declaredMs);
    observed.ratio += NEWEST_WEIGHT * (ratio - observed.ratio);
  }

  expectedMs(queue: string, declaredMs: number): number {
    return declaredMs * (this.queues.get(queue)?.ratio ?? 1);
  }

  /** Expected remaining run time of a running task, in ms. */
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
