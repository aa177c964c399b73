/** The store in which the system keeps everything that must outlive a process. */

/** One row as the store holds it. */
export interface StoredRow {
  readonly key: string;
  /** Grows with each transaction of the store, whichever row it touches. */
  readonly version: number;
  /** Undefined when the row was removed. */
  readonly value: Uint8Array | undefined;
}

/** A row that must be at a version for a transaction to be applied; 0: it must not exist. */
export interface Expectation {
  readonly key: string;
  readonly version: number;
}

export interface RowValue {
  readonly key: string;
  readonly value: Uint8Array;
}

/**
 * Applied as a whole or not at all. All of its rows belong to one group; which row belongs
 * where is up to the owner of the rows.
 */
export interface Transaction {
  readonly expect: readonly Expectation[];
  readonly put: readonly RowValue[];
  readonly remove: readonly string[];
}

export type TransactionResult =
  | {readonly type: 'committed'; readonly version: number}
  /**
   * An expectation did not hold. `rows` are the expected rows as they are now. When an
   * earlier attempt got no answer, it may have been that attempt which changed them.
   */
  | {readonly type: 'conflict'; readonly rows: readonly StoredRow[]}
  /** Nothing was done, and nothing will be. */
  | {readonly type: 'refused'; readonly reason: string}
  /** It may have been applied, or may still be. */
  | {readonly type: 'unknown'; readonly reason: string};

export interface RowsAt {
  readonly rows: readonly StoredRow[];
  /** Version of the store that the rows are complete up to. */
  readonly version: number;
}

/** Rows that a process follows; a reader that falls behind reads everything anew. */
export type Changes = RowsAt | 'historyLost';

export abstract class StateStore {
  /**
   * Applies a transaction; sends it again unchanged while there is no answer, at most
   * until `timeoutMs` has passed. Gives up after `busyTimeoutMs` while the store has
   * turned every attempt away.
   */
  abstract transact(
    tx: Transaction,
    timeoutMs: number,
    busyTimeoutMs?: number,
  ): Promise<TransactionResult>;

  /** Reads all rows whose keys start with a prefix. Throws `TableServiceError`. */
  abstract read(prefix: string, timeoutMs: number): Promise<RowsAt>;

  /**
   * Rows changed after a version, in order; waits up to `waitMs` for the first change.
   * Throws `TableServiceError`.
   */
  abstract changes(afterVersion: number, waitMs: number): Promise<Changes>;

  abstract close(): Promise<void>;
}

/** Largest number of rows in one transaction. */
export const MAX_TRANSACTION_ROWS = 100;
