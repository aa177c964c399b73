/**
 * Readings of both clocks of a process. Together they measure a period during which the
 * instance may have been suspended.
 */
import {type Clock} from './clock.js';

export interface ClockReading {
  /** Monotonic clock; does not advance while the instance is suspended. */
  readonly nowMs: number;
  /** Wall clock; may jump. */
  readonly wallMs: number;
}

export function readClocks(clock: Clock): ClockReading {
  return {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
}

/** Upper bound of the time between two readings, in ms: the larger difference. */
export function maxElapsedMs(from: ClockReading, to: ClockReading): number {
  return Math.max(to.nowMs - from.nowMs, to.wallMs - from.wallMs);
}
