/**
 * Load: an urgent job whose step is wider than the workers can take at once. Its
 * objective counts in waves, so only a part of its tasks needs to run at one time, and
 * no more is stopped for it than that.
 */

/** Share of the workers' room beyond which a step counts in waves. */
const MAX_WAVE_SHARE = 0.25; // the users' terms: wider than a quarter of the room

/** Waves in which a step of `tasks` counts, with room for `roomTasks` on empty workers. */
export function countWaves(tasks: number, capacityTasks: number): number {
  const waveTasks = Math.max(1, Math.floor(capacityTasks * MAX_WAVE_SHARE));
  return Math.max(1, Math.ceil(tasks / waveTasks));
}

export interface StepProgress {
  /** Tasks that are not done. */
  readonly tasksLeft: number;
  /** Expected run time of one task, in ms. */
  readonly runMs: number;
  /** Time until the step should be done, in ms. */
  readonly leftMs: number;
}

/** Tasks that must run at one time for the step to be done in time; all when it is short. */
export function minConcurrentTasks(step: StepProgress): number {
  const sequentialRuns = Math.floor(step.leftMs / Math.max(1, step.runMs));
  return sequentialRuns <= 1
    ? step.tasksLeft
    : Math.ceil(step.tasksLeft / sequentialRuns);
}
