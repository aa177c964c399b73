/**
 * Decides how long the runs on the worker may continue. The leader may reassign an
 * unresponsive agent's work once `isolationMs` plus the lease length have passed since
 * the leader last answered that agent. No lease is extended past that time.
 */
import {type ClockReading, maxElapsedMs} from '../core/clock_reading.js';

/** Maximum rate error of the worker's clock. */
const CLOCK_ERROR_RATIO = 0.02; // specified by the platform
/** Allowance for rounding and for calls in flight, in ms. */
const EXPIRY_MARGIN_MS = 300;

export interface LeaseTimes {
  /** Length of a lease, in ms. */
  readonly leaseMs: number;
  /**
   * Time for which leases are renewed without an answer from the leader, in ms. It is
   * measured from the sending of a report that the leader answered while its latest
   * commit was younger than the takeover time. No successor can have started its own
   * contact timeout before that.
   */
  readonly isolationMs: number;
}

interface WorkerClockReading {
  readonly clockMs: number;
  readonly receivedAtMs: number;
}

/** Time after the leader's last answer at which every lease has expired, in ms. */
export function contactTimeoutMs(times: LeaseTimes): number {
  return (
    (times.isolationMs + times.leaseMs) * (1 + CLOCK_ERROR_RATIO) +
    EXPIRY_MARGIN_MS
  );
}

/** Time after a worker's last answer at which every lease on it has expired, in ms. */
export function silenceTimeoutMs({leaseMs}: LeaseTimes): number {
  return leaseMs * (1 + CLOCK_ERROR_RATIO) + EXPIRY_MARGIN_MS;
}

/** The agent's latest contact with the leader. */
export class LeaderContact {
  private lastAt: ClockReading | undefined;

  /** Records that the leader answered a report sent at `sentAt`. */
  record(sentAt: ClockReading): void {
    if (!this.lastAt || sentAt.nowMs > this.lastAt.nowMs) this.lastAt = sentAt;
  }

  /** When the answered report was sent; undefined if there was no contact. */
  get latest(): ClockReading | undefined {
    return this.lastAt;
  }

  /** Time since the contact, in ms; infinite if there was none. */
  elapsedMs(at: ClockReading): number {
    return this.lastAt ? maxElapsedMs(this.lastAt, at) : Infinity;
  }
}

/** Leases of the runs on one worker incarnation, on that incarnation's clock. */
export class LeaseRenewer {
  private workerClock: WorkerClockReading | undefined;
  private latestLeaseEndMs = 0;

  constructor(
    private readonly times: LeaseTimes,
    private readonly contact: LeaderContact,
  ) {}

  /** Records the worker's clock as given in an answer. */
  recordClock(
    clockMs: number,
    requestedAtMs: number,
    receivedAtMs: number,
  ): void {
    if (this.workerClock && requestedAtMs < this.workerClock.receivedAtMs)
      return;
    // An earlier process of this agent may have renewed the leases just before.
    if (!this.workerClock) this.latestLeaseEndMs = clockMs + this.times.leaseMs;
    this.workerClock = {clockMs, receivedAtMs};
  }

  mayRenew(at: ClockReading): boolean {
    return this.contact.elapsedMs(at) <= this.times.isolationMs;
  }

  /** The latest contact with the leader; undefined if there was none. */
  get latestContact(): ClockReading | undefined {
    return this.contact.latest;
  }

  /**
   * Whether an order may still be carried out that was received after this contact. A later
   * contact does not prolong that: the leader may have declared the run lost in between.
   */
  mayCarryOut(contact: ClockReading | undefined, at: ClockReading): boolean {
    if (!contact) return false;
    return maxElapsedMs(contact, at) <= this.times.isolationMs;
  }

  /** Lease end to request, on the worker's clock; undefined if renewal is not allowed. */
  nextLeaseUntilMs(at: ClockReading): number | undefined {
    if (!this.workerClock || !this.mayRenew(at)) return undefined;
    const elapsedMs =
      (at.nowMs - this.workerClock.receivedAtMs) * (1 - CLOCK_ERROR_RATIO);
    const untilMs = Math.floor(
      this.workerClock.clockMs + elapsedMs + this.times.leaseMs,
    );
    this.latestLeaseEndMs = Math.max(this.latestLeaseEndMs, untilMs);
    return untilMs;
  }

  /** Whether every requested lease has certainly expired. */
  hasExpired(nowMs: number): boolean {
    if (!this.workerClock) return false;
    const remainingMs = Math.max(
      0,
      this.latestLeaseEndMs - this.workerClock.clockMs,
    );
    const expiresAtMs =
      this.workerClock.receivedAtMs +
      remainingMs * (1 + CLOCK_ERROR_RATIO) +
      EXPIRY_MARGIN_MS;
    return nowMs >= expiresAtMs;
  }
}
