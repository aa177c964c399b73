/**
 * Load: workers on which tasks stand still. Declared run times are too far off to tell a
 * slow run from a long one, but a run that makes no progress at all can only be moved.
 */

/** Time without progress after which a run counts as standing still, in ms. */
const STALL_TIMEOUT_MS = 3500; // progress is told once a second, and a poll may be lost

export interface RunProgress {
  /** Share of the work that is done, 0 to 100. */
  readonly percent: number;
  /** When the share last changed, in ms of the clock. */
  readonly progressAtMs: number;
  /** When the agent last told of the run; without news nothing is known of its pace. */
  readonly statusAtMs: number;
}

export function isStalled(run: RunProgress): boolean {
  return (
    run.percent < 100 && run.statusAtMs - run.progressAtMs > STALL_TIMEOUT_MS
  );
}
