/** Source of time. All times in the project are in milliseconds. */
export abstract class Clock {
  /** Monotonic time: milliseconds since an arbitrary fixed origin. */
  abstract nowMs(): number;

  /**
   * Wall-clock time: milliseconds since the Unix epoch, for timestamps shown to people.
   * May jump in either direction.
   */
  abstract wallMs(): number;
}

/** Clock that is advanced explicitly. Used by tests and measurements. */
export class ManualClock extends Clock {
  private currentMs: number;

  constructor(startMs = 0) {
    super();
    this.currentMs = startMs;
  }

  nowMs(): number {
    return this.currentMs;
  }

  wallMs(): number {
    return this.currentMs;
  }

  /** Moves the clock forward by `ms`. */
  advance(ms: number): void {
    this.currentMs += ms;
  }

  /** Advances the clock to `ms`; an earlier time is ignored. */
  moveTo(ms: number): void {
    this.currentMs = Math.max(this.currentMs, ms);
  }
}
