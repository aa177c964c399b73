/**
 * Load: the store is away while callers have a handful of tries each. An outage that has
 * lasted long is likely to last longer, so the wait grows with it.
 */

const SHORTEST_MS = 1000; // a single gate may be turned away, and another serves at once
const LONGEST_MS = 4000; // outages last 4 to 12 s; longer waits come long after their end

/**
 * Time after which a refused caller should come back, in ms.
 * `silentMs`: time since the store last answered this process.
 */
export function returnAfterMs(silentMs: number): number {
  return Math.min(LONGEST_MS, Math.max(SHORTEST_MS, silentMs));
}
