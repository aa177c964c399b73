/** Follows the changes of all rows in the store and tracks how recent its copy is. */
import {type Clock} from '../core/clock.js';
import {
  type ClockReading,
  maxElapsedMs,
  readClocks,
} from '../core/clock_reading.js';
import {type Random, backoffMs} from '../core/random.js';
import {type ComponentLog} from '../plugins/event_log.js';
import {sleep} from '../plugins/sleep.js';
import {type StateStore, type StoredRow} from '../ports/state_store.js';
import {PollWait} from './poll_wait.js';

const READ_TIMEOUT_MS = 2500;
const BACKOFF_BASE_MS = 30;
const BACKOFF_CAP_MS = 250; // detects the end of an outage within a second
/** Pause after changes in processes that do not need them immediately, in ms. */
const BATCHING_PAUSE_MS = 120; // limits the store calls of a gate that is not the leader

export interface RowFollowerHandlers {
  /** All rows are about to be delivered again; earlier state must be discarded. */
  onReset(): void;
  onRow(row: StoredRow): void;
  /** The copy is complete up to `version`. */
  onSynced(version: number): void;
}

export class RowFollower {
  private version = -1;
  private lastReadRequestedAt: ClockReading | undefined;
  private isStopped = false;
  private failures = 0;
  private readonly pollWait = new PollWait();
  /** Polls again without a pause after changes. */
  isLowLatency = false;

  constructor(
    private readonly store: StateStore,
    private readonly handlers: RowFollowerHandlers,
    private readonly ctx: {clock: Clock; random: Random; log: ComponentLog},
  ) {}

  /** Version up to which the copy is complete; -1 before the first read. */
  get syncedVersion(): number {
    return this.version;
  }

  /** When the latest successful read was requested, in ms of the monotonic clock. */
  get freshAsOfMs(): number {
    return this.lastReadRequestedAt?.nowMs ?? -Infinity;
  }

  /**
   * Upper bound of the time since the latest successful read was requested, in ms, also if the
   * instance was suspended meanwhile; infinite before the first read.
   */
  get ageMs(): number {
    const {lastReadRequestedAt: readAt} = this;
    return readAt ? maxElapsedMs(readAt, readClocks(this.ctx.clock)) : Infinity;
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.pollOnce();
        this.handleSuccess();
      } catch (err) {
        await this.handleFailure(err as Error);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async pollOnce(): Promise<void> {
    const requestedAt = readClocks(this.ctx.clock);
    if (this.version < 0) return this.readAll(requestedAt);
    // After a failure the copy is old, so the store should answer at once.
    const waitMs = this.failures > 0 ? 0 : this.pollWait.nextMs;
    const changes = await this.store.changes(this.version, waitMs);
    if (changes === 'historyLost') {
      this.ctx.log.logEvent('historyLost', {version: this.version});
      return this.readAll(readClocks(this.ctx.clock));
    }
    const tookMs = this.ctx.clock.nowMs() - requestedAt.nowMs;
    this.pollWait.recordPoll(waitMs, tookMs, changes.rows.length > 0);
    for (const row of changes.rows) this.handlers.onRow(row);
    this.advanceTo(changes.version, requestedAt);
    if (changes.rows.length > 0 && !this.isLowLatency)
      await sleep(BATCHING_PAUSE_MS);
  }

  private async readAll(requestedAt: ClockReading): Promise<void> {
    const all = await this.store.read('', READ_TIMEOUT_MS);
    this.handlers.onReset();
    for (const row of all.rows) this.handlers.onRow(row);
    this.advanceTo(all.version, requestedAt);
    this.ctx.log.logEvent('rowsRead', {
      rows: all.rows.length,
      version: all.version,
    });
  }

  private advanceTo(version: number, requestedAt: ClockReading): void {
    this.version = Math.max(this.version, version);
    this.lastReadRequestedAt = requestedAt;
    this.handlers.onSynced(this.version);
  }

  private handleSuccess(): void {
    if (this.failures > 0)
      this.ctx.log.logEvent('storeRegained', {failures: this.failures});
    this.failures = 0;
  }

  private async handleFailure(err: Error): Promise<void> {
    if (this.failures === 0)
      this.ctx.log.logFailure('storeLost', {reason: err.message});
    this.failures++;
    const {random} = this.ctx;
    const attempt = Math.min(this.failures, 6);
    await sleep(backoffMs(random, attempt, BACKOFF_BASE_MS, BACKOFF_CAP_MS));
  }
}
