/** In-memory stand-in of the platform's row store, with fault injection. */
import {TableServiceError} from '../src/core/errors.js';
import {transactionGroupOf} from '../src/jobs/job_rows.js';
import {
  type RowChanges,
  type RowSnapshot,
  StateStore,
  type StoredRow,
  type Transaction,
  type TransactionResult,
} from '../src/ports/state_store.js';

/** Rows shared by all clients: transactions, prefix reads and the change history. */
export class RowTable {
  private readonly rows = new Map<string, StoredRow>();
  private history: StoredRow[] = [];
  private oldestVersion = 0;
  private changeListeners: (() => void)[] = [];
  version = 0;

  apply(tx: Transaction): TransactionResult {
    const versionsMatch = tx.expect.every(
      e => (this.rows.get(e.key)?.version ?? 0) === e.version,
    );
    if (!versionsMatch) {
      const rows = tx.expect.flatMap(e => this.rows.get(e.key) ?? []);
      return {type: 'conflict', rows};
    }
    this.version++;
    for (const {key, value} of tx.put) this.putRow(key, value);
    for (const key of tx.remove) this.putRow(key, undefined);
    const {changeListeners} = this;
    this.changeListeners = [];
    for (const notify of changeListeners) notify();
    return {type: 'committed', version: this.version};
  }

  rowsWithPrefix(prefix: string): RowSnapshot {
    const rows = [...this.rows.values()]
      .filter(r => r.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {rows, version: this.version};
  }

  changesAfter(version: number): RowChanges {
    if (version < this.oldestVersion) return 'historyLost';
    const rows = this.history.filter(r => r.version > version);
    return {rows, version: this.version};
  }

  discardHistory(): void {
    this.history = [];
    this.oldestVersion = this.version;
  }

  /** Registers a listener that is called once, at the next change. */
  onNextChange(listener: () => void): void {
    this.changeListeners.push(listener);
  }

  private putRow(key: string, value: Uint8Array | undefined): void {
    const row = {key, value, version: this.version};
    this.history.push(row);
    if (value === undefined) this.rows.delete(key);
    else this.rows.set(key, row);
  }
}

export interface RowStoreFaults {
  /** Reads and writes fail immediately. */
  isDown: boolean;
  /** Number of upcoming writes that are applied but reported as `unknown`. */
  lostResponses: number;
  /** Number of upcoming writes that are applied after they are reported as `unknown`. */
  delayedWrites: number;
}

/** Time after which a delayed write is applied, in ms. */
const LATE_WRITE_DELAY_MS = 150;

/** Client of one process to a table that all processes share. */
export class MemoryStateStore extends StateStore {
  readonly faults: RowStoreFaults = {
    isDown: false,
    lostResponses: 0,
    delayedWrites: 0,
  };

  constructor(private readonly table: RowTable) {
    super();
  }

  async transact(tx: Transaction): Promise<TransactionResult> {
    await yieldToEventLoop();
    requireSingleGroup(tx);
    if (this.faults.isDown)
      return {type: 'refused', reason: 'the store is unavailable'};
    if (this.faults.delayedWrites > 0) {
      this.faults.delayedWrites--;
      setTimeout(() => this.table.apply(tx), LATE_WRITE_DELAY_MS);
      return {type: 'unknown', reason: 'no response within the timeout'};
    }
    const result = this.table.apply(tx);
    if (this.faults.lostResponses === 0) return result;
    this.faults.lostResponses--;
    return {type: 'unknown', reason: 'the response was lost'};
  }

  async read(prefix: string): Promise<RowSnapshot> {
    await yieldToEventLoop();
    this.throwIfDown();
    return this.table.rowsWithPrefix(prefix);
  }

  async changes(afterVersion: number, waitMs: number): Promise<RowChanges> {
    await yieldToEventLoop();
    this.throwIfDown();
    if (this.table.version <= afterVersion) await this.waitForChange(waitMs);
    this.throwIfDown();
    return this.table.changesAfter(afterVersion);
  }

  async close(): Promise<void> {
    await yieldToEventLoop();
  }

  private throwIfDown(): void {
    if (this.faults.isDown)
      throw new TableServiceError(
        'the store is unavailable; retry when it is available again',
      );
  }

  private waitForChange(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.table.onNextChange(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

/**
 * Throws if a transaction contains rows of more than one group. The platform's store
 * rejects such transactions.
 */
function requireSingleGroup(tx: Transaction): void {
  const keys = [...tx.expect, ...tx.put].map(r => r.key).concat(tx.remove);
  const groups = new Set(keys.map(transactionGroupOf));
  if (groups.size > 1)
    throw new TableServiceError(
      `transaction spans the row groups ${[...groups].join(', ')}; write each group in its own transaction`,
    );
}

function yieldToEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
