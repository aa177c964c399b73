/**
 * Decides when a gate tries to take the seat. The holder writes the seat's row with
 * every commit, so a row that stays the same for the takeover time has no live holder.
 */
import {type SeatRow} from './run_record.js';

export interface ElectionTimes {
  /** Time without a change of the row after which the seat is free, in ms. */
  readonly takeoverMs: number;
  /** Longest extra wait, so that gates don't all try at once, in ms. */
  readonly spreadMs: number;
}

/** The seat's row as this process saw it last. */
export interface ObservedLeaderRow {
  readonly row: SeatRow;
  readonly version: number;
}

export class SeatMachine {
  private observed: ObservedLeaderRow | undefined;
  private changedAtMs: number;
  private readonly takeoverDelayMs: number;
  private terminatedLeader: string | undefined;

  constructor(
    private readonly times: ElectionTimes,
    startMs: number,
    random: () => number,
  ) {
    this.changedAtMs = startMs;
    this.takeoverDelayMs = Math.round(random() * times.spreadMs);
  }

  get current(): ObservedLeaderRow | undefined {
    return this.observed;
  }

  get epoch(): number {
    return this.observed?.row.epoch ?? 0;
  }

  /** Takes in the row; older versions than the one known are ignored. */
  see(leaderRow: ObservedLeaderRow, nowMs: number): void {
    if (this.observed && leaderRow.version <= this.observed.version) return;
    this.observed = leaderRow;
    this.changedAtMs = nowMs;
  }

  /** The incarnation has surely ended: its seat need not be waited for. */
  noteGone(leader: string): void {
    this.terminatedLeader = leader;
  }

  /**
   * Whether to try a takeover. `readAtMs` is when the newest successful reading of the
   * row was asked for: silence of the store is no silence of the holder, which gets the
   * whole time again once the store answers.
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

/** Age of a reading at which the store counts as silent, in ms. */
const STALE_READ_MS = 1500; // a reading waits 500 ms, and answers come 0.4 s late at times
