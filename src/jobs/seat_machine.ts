/**
 * Decides when a gate tries to take the seat. The holder writes the seat's row with
 * every commit, so a row that stays the same for the takeover time has no live holder.
 */
import {type SeatRow} from './run_record.js';

export interface SeatTimes {
  /** Time without a change of the row after which the seat is free, in ms. */
  readonly takeoverMs: number;
  /** Longest extra wait, so that gates don't all try at once, in ms. */
  readonly spreadMs: number;
}

/** The seat's row as this process saw it last. */
export interface SeenSeat {
  readonly row: SeatRow;
  readonly version: number;
}

export class SeatMachine {
  private seen: SeenSeat | undefined;
  private changedAtMs: number;
  private readonly extraMs: number;
  private goneHolder: string | undefined;

  constructor(
    private readonly times: SeatTimes,
    startMs: number,
    random: () => number,
  ) {
    this.changedAtMs = startMs;
    this.extraMs = Math.round(random() * times.spreadMs);
  }

  get current(): SeenSeat | undefined {
    return this.seen;
  }

  get epoch(): number {
    return this.seen?.row.epoch ?? 0;
  }

  /** Takes in the row; older versions than the one known are ignored. */
  see(seat: SeenSeat, nowMs: number): void {
    if (this.seen && seat.version <= this.seen.version) return;
    this.seen = seat;
    this.changedAtMs = nowMs;
  }

  /** The incarnation has surely ended: its seat need not be waited for. */
  noteGone(holder: string): void {
    this.goneHolder = holder;
  }

  /**
   * Whether to try a takeover. `readAtMs` is when the newest successful reading of the
   * row was asked for: silence of the store is no silence of the holder, which gets the
   * whole time again once the store answers.
   */
  shouldTakeOver(nowMs: number, readAtMs: number): boolean {
    if (nowMs - readAtMs > STALE_READING_MS) {
      this.changedAtMs = nowMs;
      return false;
    }
    const silentMs = nowMs - this.changedAtMs;
    const holder = this.seen?.row.holder ?? '';
    if (holder === '') return silentMs >= this.extraMs;
    if (holder === this.goneHolder) return true;
    return silentMs >= this.times.takeoverMs + this.extraMs;
  }
}

/** Age of a reading at which the store counts as silent, in ms. */
const STALE_READING_MS = 1500; // a reading waits 500 ms, and answers come 0.4 s late at times
