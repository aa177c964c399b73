/**
 * Load: callers that cancel in a wave. A slot that a cancellation frees is filled again
 * after a short wait, so that the cancellations that follow take requests out of the
 * queue before they start.
 */

/** Wait before a slot that a cancellation freed is filled again, in ms. */
export const REFILL_DELAY_MS = 250; // the idle time of a slot that each cancelled run costs at most

export class SlotRefill {
  private readonly dueAtMs: number[] = [];

  /** A slot is kept empty from now on. */
  hold(nowMs: number): void {
    this.dueAtMs.push(nowMs + REFILL_DELAY_MS);
  }

  /** Number of slots that may be filled again since the last call. */
  release(nowMs: number): number {
    let released = 0;
    while (this.dueAtMs.length > 0 && this.dueAtMs[0] <= nowMs) {
      this.dueAtMs.shift();
      released++;
    }
    return released;
  }
}
