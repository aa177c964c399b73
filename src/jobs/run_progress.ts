/**
 * Detects stalled runs. Declared run times are too inaccurate to distinguish a slow
 * run from a long one, so only a run without any progress counts as stalled and is moved.
 */

/** Time without progress after which a run counts as stalled, in ms. */
const STALL_TIMEOUT_MS = 3500; // reported every second, and a poll may be lost

export interface RunProgress {
  /** Reported progress, 0 to 100. */
  readonly percent: number;
  /** When `percent` last changed, in ms of the monotonic clock. */
  readonly progressAtMs: number;
  /**
   * When the agent last reported the run, in ms of the monotonic clock. Time without
   * reports does not count as time without progress.
   */
  readonly statusAtMs: number;
}

export function isStalled(run: RunProgress): boolean {
  return (
    run.percent < 100 && run.statusAtMs - run.progressAtMs > STALL_TIMEOUT_MS
  );
}
