/**
 * Decides when a gate tries to become the leader. The leader writes the leader row with
 * every commit, so a row that does not change for the takeover time has no live leader.
 */
import {type LeaderRow} from './job_rows.js';

export interface ElectionTimes {
  /** Time without a change of the leader row after which a gate takes over, in ms. */
  readonly takeoverMs: number;
  /** Upper bound of the random delay that spreads the gates' attempts, in ms. */
  readonly spreadMs: number;
  /**
   * Delay by which a gate without processor capacity would come after the most capable
   * one, in ms. The gates between them are delayed in proportion.
   */
  readonly weaknessDelayMs: number;
}

/** The leader row as this process last read it. */
export interface ObservedLeaderRow {
  readonly row: LeaderRow;
  readonly version: number;
}

export class LeaderElection {
  private observed: ObservedLeaderRow | undefined;
  private changedAtMs: number;
  private readonly randomDelayMs: number;
  private relativeCapacity = 1;
  private terminatedLeader: string | undefined;

  constructor(
    private readonly times: ElectionTimes,
    startMs: number,
    random: () => number,
  ) {
    this.changedAtMs = startMs;
    this.randomDelayMs = Math.round(random() * times.spreadMs);
  }

  get observedRow(): ObservedLeaderRow | undefined {
    return this.observed;
  }

  get epoch(): number {
    return this.observed?.row.epoch ?? 0;
  }

  /** Sets the processor capacity of this gate, as a share of the most capable gate's. */
  setRelativeCapacity(share: number): void {
    this.relativeCapacity = share;
  }

  /** Records a reading of the leader row and ignores versions that are not newer. */
  observe(leaderRow: ObservedLeaderRow, nowMs: number): void {
    if (this.observed && leaderRow.version <= this.observed.version) return;
    this.observed = leaderRow;
    this.changedAtMs = nowMs;
  }

  /** Records that a leader has certainly terminated, so a takeover need not wait. */
  recordTerminated(leader: string): void {
    this.terminatedLeader = leader;
  }

  private get takeoverDelayMs(): number {
    const weakness = 1 - this.relativeCapacity;
    return this.randomDelayMs + weakness * this.times.weaknessDelayMs;
  }

  /**
   * Whether to try a takeover. `readAtMs` is the time at which the newest successful read
   * of the row was requested. An outage of the store does not mean that the leader is
   * unresponsive, so the takeover time starts again once the store answers.
   */
  shouldTakeOver(nowMs: number, readAtMs: number): boolean {
    if (nowMs - readAtMs > STALE_READ_MS) {
      this.changedAtMs = nowMs;
      return false;
    }
    const unchangedMs = nowMs - this.changedAtMs;
    const leader = this.observed?.row.holder ?? '';
    if (leader === '') return unchangedMs >= this.takeoverDelayMs;
    if (leader === this.terminatedLeader) return true;
    return unchangedMs >= this.times.takeoverMs + this.takeoverDelayMs;
  }
}

/** Age of the newest read after which the store counts as unresponsive, in ms. */
const STALE_READ_MS = 1500; // a read waits up to 500 ms, and answers can be 0.4 s late
