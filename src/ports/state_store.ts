/** Interface of the store for all state that must survive a process. */

/** A row of the store. */
export interface StoredRow {
  readonly key: string;
  /** Store-wide version, increased by every transaction on any row. */
  readonly version: number;
  /** Undefined if the row was removed. */
  readonly value: Uint8Array | undefined;
}

/** Version that a row must have for a transaction to apply; 0 if it must not exist. */
export interface RowPrecondition {
  readonly key: string;
  readonly version: number;
}

export interface RowValue {
  readonly key: string;
  readonly value: Uint8Array;
}

/**
 * An atomic write. All rows of a transaction must belong to the same transaction
 * group. The module that defines the row keys decides which group a row belongs to.
 */
export interface Transaction {
  /** All of them must hold for the transaction to apply. */
  readonly expect: readonly RowPrecondition[];
  readonly put: readonly RowValue[];
  readonly remove: readonly string[];
}

export type TransactionResult =
  | {readonly type: 'committed'; readonly version: number}
  /**
   * A precondition failed. `rows` holds the current state of the rows in `expect`. If an
   * earlier attempt got no answer, that attempt may have changed them.
   */
  | {readonly type: 'conflict'; readonly rows: readonly StoredRow[]}
  /** The transaction was not applied and will not be. */
  | {readonly type: 'refused'; readonly reason: string}
  /** The transaction may have been applied, or may still be applied. */
  | {readonly type: 'unknown'; readonly reason: string};

export interface RowSnapshot {
  readonly rows: readonly StoredRow[];
  /** Store version up to which the rows are complete. */
  readonly version: number;
}

/**
 * Rows changed since a version. `historyLost` means that the store no longer has these
 * changes; the reader must read all rows again.
 */
export type RowChanges = RowSnapshot | 'historyLost';

export abstract class StateStore {
  /**
   * Applies a transaction. Retries it unchanged for at most `timeoutMs` while the store
   * does not answer. Returns early, after `busyTimeoutMs`, if the store has rejected
   * every attempt until then.
   */
  abstract transact(
    tx: Transaction,
    timeoutMs: number,
    busyTimeoutMs?: number,
  ): Promise<TransactionResult>;

  /** Reads all rows whose keys start with `prefix`. Throws `TableServiceError`. */
  abstract read(prefix: string, timeoutMs: number): Promise<RowSnapshot>;

  /**
   * Returns the rows changed after a version, in order. Waits up to `waitMs` for the
   * first change. Throws `TableServiceError`.
   */
  abstract changes(afterVersion: number, waitMs: number): Promise<RowChanges>;

  abstract close(): Promise<void>;
}

/** Maximum number of rows in one transaction. */
export const MAX_TRANSACTION_ROWS = 100;
