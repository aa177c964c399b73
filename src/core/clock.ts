/** Source of time. All times in the project are milliseconds. */
export abstract class Clock {
  /** Milliseconds since an arbitrary fixed origin; never goes backwards. */
  abstract nowMs(): number;

  /** Milliseconds since the Unix epoch, for time stamps shown to people. */
  abstract wallMs(): number;
}

/** Clock that moves only when it is told to. Used by tests and measurements. */
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

  /** Sets the clock; a time in the past is ignored. */
  moveTo(ms: number): void {
    this.currentMs = Math.max(this.currentMs, ms);
  }
}
