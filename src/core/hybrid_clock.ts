import {Clock} from './clock.js';

/** Hybrid logical timestamp: orders causally related events of several processes. */
export interface HybridStamp {
  /** Wall clock part in ms. */
  readonly wallMs: number;
  /** Counter that separates events within one millisecond. */
  readonly count: number;
}

/** Compares two timestamps; negative when `a` is earlier. */
export function compareStamps(a: HybridStamp, b: HybridStamp): number {
  return a.wallMs - b.wallMs || a.count - b.count;
}

/** Hybrid logical clock of one process. */
export class HybridClock {
  private wallMs = 0;
  private count = 0;

  constructor(private readonly clock: Clock) {}

  /** Returns the timestamp of a local event or of a message that is about to be sent. */
  now(): HybridStamp {
    return this.advance(this.clock.wallMs());
  }

  /** Advances the clock to the timestamp of a received message. */
  receive(stamp: HybridStamp): void {
    if (stamp.wallMs < this.wallMs) return;
    if (stamp.wallMs === this.wallMs) {
      this.count = Math.max(this.count, stamp.count);
      return;
    }
    this.wallMs = stamp.wallMs;
    this.count = stamp.count;
  }

  private advance(wallMs: number): HybridStamp {
    if (wallMs > this.wallMs) {
      this.wallMs = wallMs;
      this.count = 0;
    } else {
      this.count++;
    }
    return {wallMs: this.wallMs, count: this.count};
  }
}
