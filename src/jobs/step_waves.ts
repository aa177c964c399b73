/**
 * Estimates for steps with more tasks than the workers can run at once. The objective of
 * such a step is computed in waves. Only some of its tasks have to run at the same time,
 * and preemption frees capacity for no more than these.
 */

/** Largest wave, as a fraction of the total capacity of the workers. */
const MAX_WAVE_SHARE = 0.25; // service terms: wider steps than a quarter count in waves

/** Number of waves of a step, if empty workers can run `capacityTasks` of its tasks. */
export function countWaves(tasks: number, capacityTasks: number): number {
  const waveTasks = Math.max(1, Math.floor(capacityTasks * MAX_WAVE_SHARE));
  return Math.max(1, Math.ceil(tasks / waveTasks));
}

export interface StepProgress {
  /** Number of tasks that are not done. */
  readonly tasksLeft: number;
  /** Expected run time of one task, in ms. */
  readonly runMs: number;
  /** Time left until the step should be done, in ms. */
  readonly leftMs: number;
}

/**
 * Number of tasks that must run at once for the step to finish in time. This is all
 * remaining tasks if there is not enough time for two runs in sequence.
 */
export function minConcurrentTasks(step: StepProgress): number {
  const sequentialRuns = Math.floor(step.leftMs / Math.max(1, step.runMs));
  return sequentialRuns <= 1
    ? step.tasksLeft
    : Math.ceil(step.tasksLeft / sequentialRuns);
}
