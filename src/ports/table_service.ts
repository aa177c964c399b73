/** The platform's transactional table service, as the system uses it. */
import {type PartKind} from '../core/kernel.js';

/** One row. Its version grows by one with each write. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** A conditional write of one row. */
export interface RowWrite {
  readonly key: string;
  /** Version that the row must have; 0 when it must not exist. */
  readonly expectVersion: number;
  /** The new value; undefined removes the row. */
  readonly value: unknown;
  /** Another row that must be at this version for the write to be taken. */
  readonly guard?: RowGuard;
}

export interface RowGuard {
  readonly key: string;
  readonly version: number;
}

export type WriteReply =
  | {readonly type: 'committed'; readonly version: number}
  | {readonly type: 'conflict'; readonly row?: Row}
  /** The guard row was at another version. */
  | {readonly type: 'fenced'};

export abstract class TableService {
  /** Reads one row. Throws `TableServiceError` when `timeoutMs` passes. */
  abstract get(key: string, timeoutMs: number): Promise<Row | undefined>;

  /** Reads all rows whose key starts with a prefix. */
  abstract scan(prefix: string, timeoutMs: number): Promise<Row[]>;

  /** Reads the versions of some rows, 0 for a row that does not exist. */
  abstract versions(
    keys: readonly string[],
    timeoutMs: number,
  ): Promise<number[]>;

  /**
   * Writes one row and resolves lost answers. Throws `TableServiceError` when
   * it is not known within `timeoutMs` whether the write was taken.
   */
  abstract write(write: RowWrite, timeoutMs: number): Promise<WriteReply>;

  /** Transactions and reads sent since the start. */
  abstract counts(): {
    readonly reads: number;
    readonly writes: number;
    readonly failures: number;
  };

  abstract close(): Promise<void>;
}

export interface TableServiceOptions {
  /** Address, such as `http://127.0.0.1:7000`. */
  readonly address: string;
  readonly process: string;
  readonly readsPerS: number;
  readonly writesPerS: number;
  readonly seed: number;
}

export const TABLE_SERVICE: PartKind<TableService, TableServiceOptions> = {
  kind: 'tableService',
};
