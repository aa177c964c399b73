/**
 * Decides how long what runs on the worker may go on. The seat holder may give a silent
 * agent's work to others once `isolationMs` plus the lease have passed since it last
 * answered, so no lease is extended past that.
 */
import {type Moment, longestMsBetween} from '../core/moment.js';

/** Largest error of the worker's clock. */
const CLOCK_ERROR = 0.02; // the platform's figure
/** Allowance for rounding and for calls under way, in ms. */
const LAPSE_MARGIN_MS = 300;

export interface LeaseTimes {
  /** Length of a lease, in ms. */
  readonly leaseMs: number;
  /**
   * Time up to which leases are renewed without an answer of the seat holder, in ms. It
   * counts from a report that was answered while the holder's newest commit was younger
   * than the takeover time, so no successor can have begun to count before.
   */
  readonly isolationMs: number;
}

interface WorkerClock {
  readonly clockMs: number;
  readonly seenAtMs: number;
}

/** Time after the holder's last answer at which nothing can run any more, in ms. */
export function silenceBoundMs(times: LeaseTimes): number {
  return (
    (times.isolationMs + times.leaseMs) * (1 + CLOCK_ERROR) + LAPSE_MARGIN_MS
  );
}

export class LeaseKeeper {
  private contact: Moment | undefined;
  private clock: WorkerClock | undefined;
  private longestUntilMs = 0;

  constructor(private readonly times: LeaseTimes) {}

  /** The seat holder answered a report that was sent at `sentAt`. */
  recordContact(sentAt: Moment): void {
    if (!this.contact || sentAt.nowMs > this.contact.nowMs)
      this.contact = sentAt;
  }

  /** The worker's clock, as it stood in an answer. */
  recordClock(clockMs: number, askedAtMs: number, seenAtMs: number): void {
    if (this.clock && askedAtMs < this.clock.seenAtMs) return;
    this.clock = {clockMs, seenAtMs};
  }

  /** Another incarnation has another clock and holds nothing. */
  resetClock(): void {
    this.clock = undefined;
    this.longestUntilMs = 0;
  }

  mayRenew(at: Moment): boolean {
    if (!this.contact) return false;
    return longestMsBetween(this.contact, at) <= this.times.isolationMs;
  }

  /** End of the lease to ask for, on the worker's clock; undefined while it may not be. */
  nextLeaseUntilMs(at: Moment): number | undefined {
    if (!this.clock || !this.mayRenew(at)) return undefined;
    const elapsedMs = (at.nowMs - this.clock.seenAtMs) * (1 - CLOCK_ERROR);
    const untilMs = Math.floor(
      this.clock.clockMs + elapsedMs + this.times.leaseMs,
    );
    this.longestUntilMs = Math.max(this.longestUntilMs, untilMs);
    return untilMs;
  }

  /** Whether every lease that was ever asked for has surely run out. */
  hasLapsed(nowMs: number): boolean {
    if (!this.clock) return false;
    const restMs = Math.max(0, this.longestUntilMs - this.clock.clockMs);
    const lapsesAtMs =
      this.clock.seenAtMs + restMs * (1 + CLOCK_ERROR) + LAPSE_MARGIN_MS;
    return nowMs >= lapsesAtMs;
  }
}
