/**
 * Load: gangs that run much slower on several racks, and tasks that run much slower off the
 * rack of their data, while their racks are full. Placed elsewhere at once they hold
 * three times the room and end late, though a place on their rack may be free in time.
 */

/** How much longer tasks take off their rack. */
const OTHER_RACK_FACTOR = 3; // service terms
/** Wait for the rack, as a fraction of the expected run time, if both places end in time. */
const RACK_WAIT_SHARE = 0.5;
/** Share of the accelerators in use below which work should not wait long. */
const IDLE_USE_SHARE = 0.5;
/** Longest wait for the rack while most workers are idle, in ms. */
const MAX_IDLE_WAIT_MS = 2000; // service terms: 3 s, which include its placement and start
/** Longest wait for the rack of guaranteed work, in ms. */
const MAX_GUARANTEED_WAIT_MS = 1200; // it must begin in 2.7 s; stops of others take 0.6 s

export interface RackChoice {
  /** Guaranteed work must begin soon, wherever it is. */
  readonly isGuaranteed: boolean;
  readonly nowMs: number;
  /** Since when it has been waiting, in ms of the monotonic clock. */
  readonly waitsSinceMs: number;
  /** Expected run time on the rack, in ms. */
  readonly runMs: number;
  /** Expected time from the end of its run to the end of its job, in ms. */
  readonly afterMs: number;
  readonly objectiveAtMs: number;
  readonly lateLimitAtMs: number;
  /** Share of the accelerators of its service that is in use. */
  readonly useShare: number;
}

/** Whether the tasks should be placed on other racks, if their own has no room now. */
export function mayUseOtherRacks(choice: RackChoice): boolean {
  const {nowMs, runMs, afterMs, objectiveAtMs, lateLimitAtMs} = choice;
  const endOnRackMs = nowMs + runMs + afterMs;
  const endElsewhereMs = nowMs + OTHER_RACK_FACTOR * runMs + afterMs;
  const patienceMs = RACK_WAIT_SHARE * runMs;
  const waitedMs = nowMs - choice.waitsSinceMs;
  if (endOnRackMs > lateLimitAtMs) return true;
  if (choice.isGuaranteed)
    return waitedMs > Math.min(patienceMs, MAX_GUARANTEED_WAIT_MS);
  if (choice.useShare < IDLE_USE_SHARE)
    return waitedMs > Math.min(patienceMs, MAX_IDLE_WAIT_MS);
  if (endElsewhereMs <= objectiveAtMs) return waitedMs > patienceMs;
  if (endOnRackMs <= objectiveAtMs) return false;
  // It ends late anywhere, so the rack is worth waiting for until elsewhere is too late.
  return endElsewhereMs + patienceMs > lateLimitAtMs;
}
