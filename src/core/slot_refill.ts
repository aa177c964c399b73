/**
 * Delays the reuse of slots that cancellations free. When callers cancel many requests at
 * once, the delay lets the later cancellations remove queued requests before they start.
 */

/** Longest time that a slot stays idle after a cancelled run. */
export const REFILL_DELAY_MS = 250;

export class SlotRefill {
  private readonly dueAtMs: number[] = [];

  /** Keeps one slot empty for the delay. */
  hold(nowMs: number): void {
    this.dueAtMs.push(nowMs + REFILL_DELAY_MS);
  }

  /** Returns the number of slots whose delay has ended since the last call. */
  release(nowMs: number): number {
    let released = 0;
    while (this.dueAtMs.length > 0 && this.dueAtMs[0] <= nowMs) {
      this.dueAtMs.shift();
      released++;
    }
    return released;
  }
}
