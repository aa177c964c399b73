/** Estimates run times from completed tasks, starting from the declared run times. */

/** Weight of the newest run in the moving averages. */
const NEWEST_WEIGHT = 0.2;
/**
 * Multiple of the average ratio that one run counts at most. Runs take three times as long off
 * their rack, and declared times are off by half; what lies beyond was declared wrongly.
 */
const MAX_DEVIATION = 6;
/** Expected remaining time of a task past its estimate, as a fraction of its run time. */
const OVERRUN_SHARE = 0.3;

/** Moving averages over the completed runs of one queue. */
interface ObservedRuns {
  /** Ratio of observed to declared run times; 1 until a run with a declared time ended. */
  ratio: number;
  /** Run time, in ms. */
  meanMs: number;
}

export class RunTimeEstimates {
  private readonly queues = new Map<string, ObservedRuns>();

  /**
   * Records that a task was done after `ranMs`.
   *
   * @param declaredMs Declared run time; 0 if none was declared.
   */
  record(queue: string, declaredMs: number, ranMs: number): void {
    const observed = this.queues.get(queue) ?? {ratio: 1, meanMs: ranMs};
    this.queues.set(queue, observed);
    observed.meanMs = movedTowards(observed.meanMs, ranMs);
    if (declaredMs <= 0) return;
    const ratio = Math.min(ranMs / declaredMs, MAX_DEVIATION * observed.ratio);
    observed.ratio = movedTowards(observed.ratio, ratio);
  }

  /** Expected run time; that of the queue's tasks if none was declared, 0 if unknown. */
  expectedMs(queue: string, declaredMs: number): number {
    const observed = this.queues.get(queue);
    if (!observed) return declaredMs;
    return declaredMs > 0 ? declaredMs * observed.ratio : observed.meanMs;
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

function movedTowards(average: number, value: number): number {
  return average + NEWEST_WEIGHT * (value - average);
}
