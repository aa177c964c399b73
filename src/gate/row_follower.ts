/** Follows all rows of the store in order, and tells how fresh its copy is. */
import {type Clock} from '../core/clock.js';
import {type Random, backoffMs} from '../core/random.js';
import {type PartLog} from '../plugins/event_log.js';
import {sleep} from '../plugins/sleep.js';
import {type StateStore, type StoredRow} from '../ports/state_store.js';

/** Longest wait of the store for a change, in ms. */
const WAIT_MS = 500; // two readings from a store whose answers take 0.37 s fit into 1.8 s
const READ_TIMEOUT_MS = 2500;
const BACKOFF_BASE_MS = 30;
const BACKOFF_CAP_MS = 250; // the end of an outage is found within a second
/** Pause after changes for processes that don't need them at once, in ms. */
const RELAXED_PAUSE_MS = 120; // bounds the calls of a gate that only answers callers

export interface FollowerHandlers {
  /** All rows are read anew; what was known before is void. */
  onReset(): void;
  onRow(row: StoredRow): void;
  /** The copy is complete up to a version. */
  onSynced(version: number): void;
}

export class RowFollower {
  private version = -1;
  private askedAtMs = -Infinity;
  private isStopped = false;
  private failures = 0;
  /** Changes are asked for again at once. */
  isEager = false;

  constructor(
    private readonly store: StateStore,
    private readonly handlers: FollowerHandlers,
    private readonly ctx: {clock: Clock; random: Random; log: PartLog},
  ) {}

  /** Version up to which the copy is complete; -1 before the first reading. */
  get syncedVersion(): number {
    return this.version;
  }

  /** When the newest successful reading was asked for, in ms of the clock. */
  get freshAsOfMs(): number {
    return this.askedAtMs;
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.step();
        this.regained();
      } catch (err) {
        await this.failed(err as Error);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async step(): Promise<void> {
    const askedAtMs = this.ctx.clock.nowMs();
    if (this.version < 0) return this.readAll(askedAtMs);
    const changes = await this.store.changes(this.version, WAIT_MS);
    if (changes === 'historyLost') {
      this.ctx.log.event('historyLost', {version: this.version});
      return this.readAll(this.ctx.clock.nowMs());
    }
    for (const row of changes.rows) this.handlers.onRow(row);
    this.moveTo(changes.version, askedAtMs);
    if (changes.rows.length > 0 && !this.isEager) await sleep(RELAXED_PAUSE_MS);
  }

  private async readAll(askedAtMs: number): Promise<void> {
    const all = await this.store.read('', READ_TIMEOUT_MS);
    this.handlers.onReset();
    for (const row of all.rows) this.handlers.onRow(row);
    this.moveTo(all.version, askedAtMs);
    this.ctx.log.event('rowsRead', {
      rows: all.rows.length,
      version: all.version,
    });
  }

  private moveTo(version: number, askedAtMs: number): void {
    this.version = Math.max(this.version, version);
    this.askedAtMs = askedAtMs;
    this.handlers.onSynced(this.version);
  }

  private regained(): void {
    if (this.failures > 0)
      this.ctx.log.event('storeRegained', {failures: this.failures});
    this.failures = 0;
  }

  private async failed(err: Error): Promise<void> {
    if (this.failures === 0)
      this.ctx.log.fault('storeLost', {reason: err.message});
    this.failures++;
    const {random} = this.ctx;
    const attempt = Math.min(this.failures, 6);
    await sleep(backoffMs(random, attempt, BACKOFF_BASE_MS, BACKOFF_CAP_MS));
  }
}
