/** One moment on both clocks of a process, for times that an instance may sleep through. */
import {type Clock} from './clock.js';

export interface Moment {
  /** Steady clock, which stands still while the instance is suspended. */
  readonly nowMs: number;
  /** Wall clock, which may jump. */
  readonly wallMs: number;
}

export function momentOf(clock: Clock): Moment {
  return {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
}

/** Time between two moments at most, in ms: the later of both clocks counts. */
export function longestMsBetween(from: Moment, to: Moment): number {
  return Math.max(to.nowMs - from.nowMs, to.wallMs - from.wallMs);
}
