/**
 * Looks up the gates and the leader in the store after a time without a leader. That finds
 * a leader that no linked gate knows of, and gates at addresses that the agent never heard.
 */
import {type Clock} from '../core/clock.js';
import {
  type LeaderRow,
  decodeGateRow,
  decodeLeaderRow,
  rowKeys,
} from '../jobs/job_rows.js';
import {type ComponentLog} from '../plugins/event_log.js';
import {type StateStore} from '../ports/state_store.js';

/** Time without a leader and without a link after which the store is read, in ms. */
const SEARCH_DELAY_MS = 1000;
/** The same while a gate is linked, which would announce a new leader, in ms. */
const LINKED_SEARCH_DELAY_MS = 3500; // a takeover takes up to 2.5 s
const READ_TIMEOUT_MS = 1500;

export interface LeaderSearchHandlers {
  onGates(addresses: readonly string[]): void;
  onLeader(row: LeaderRow): void;
}

export class LeaderSearch {
  private lastFoundAtMs: number;
  private isReading = false;

  constructor(
    private readonly store: StateStore,
    private readonly handlers: LeaderSearchHandlers,
    private readonly ctx: {readonly clock: Clock; readonly log: ComponentLog},
  ) {
    this.lastFoundAtMs = ctx.clock.nowMs() - SEARCH_DELAY_MS;
  }

  /** Records an answer of a gate that certainly leads. */
  recordLeader(): void {
    this.lastFoundAtMs = this.ctx.clock.nowMs();
  }

  /** Reads the store if there has been no leader for too long. */
  tick(isLinked: boolean): void {
    const nowMs = this.ctx.clock.nowMs();
    const delayMs = isLinked ? LINKED_SEARCH_DELAY_MS : SEARCH_DELAY_MS;
    if (this.isReading || nowMs - this.lastFoundAtMs < delayMs) return;
    this.lastFoundAtMs = nowMs;
    this.isReading = true;
    void this.read().finally(() => (this.isReading = false));
  }

  private async read(): Promise<void> {
    try {
      const [gates, leader] = await Promise.all([
        this.store.read(rowKeys.gate(''), READ_TIMEOUT_MS),
        this.store.read(rowKeys.leader, READ_TIMEOUT_MS),
      ]);
      this.handlers.onGates(
        gates.rows.flatMap(({value}) =>
          value ? [decodeGateRow(value).address] : [],
        ),
      );
      const [leaderRow] = leader.rows;
      if (leaderRow?.value)
        this.handlers.onLeader(decodeLeaderRow(leaderRow.value));
    } catch (err) {
      this.ctx.log.logEvent('gatesNotRead', {reason: (err as Error).message});
    }
  }
}
