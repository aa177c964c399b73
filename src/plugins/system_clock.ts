import {performance} from 'node:perf_hooks';
import {Clock} from '../core/clock.js';

/** The clock of the machine: monotonic for intervals, wall time for stamps. */
export class SystemClock extends Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
