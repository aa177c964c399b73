import {performance} from 'node:perf_hooks';
import {Clock} from '../core/clock.js';

/** System clock: monotonic time for intervals, wall-clock time for timestamps. */
export class SystemClock extends Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
