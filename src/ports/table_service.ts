/** Interface of the platform's transactional table service. */
import {type ComponentKind} from '../core/kernel.js';

/** A row. Its version increases by one with each write. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** A conditional write of one row. */
export interface RowWrite {
  readonly key: string;
  /** Version that the row must have; 0 if it must not exist. */
  readonly expectVersion: number;
  /** New value; undefined removes the row. */
  readonly value: unknown;
  /** Row whose version is also checked; the write fails if it differs. */
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
  /** Reads one row. Throws `TableServiceError` after `timeoutMs`. */
  abstract get(key: string, timeoutMs: number): Promise<Row | undefined>;

  /** Reads all rows whose keys start with `prefix`. */
  abstract scan(prefix: string, timeoutMs: number): Promise<Row[]>;

  /** Reads the versions of rows; 0 for a row that does not exist. */
  abstract versions(
    keys: readonly string[],
    timeoutMs: number,
  ): Promise<number[]>;

  /**
   * Writes one row. If an answer is lost, finds out whether the write was applied. Throws
   * `TableServiceError` if that is still unknown after `timeoutMs`.
   */
  abstract write(write: RowWrite, timeoutMs: number): Promise<WriteReply>;

  /** Reads, write transactions and failed calls since the client was created. */
  abstract counts(): {
    readonly reads: number;
    readonly writes: number;
    readonly failures: number;
  };

  abstract close(): Promise<void>;
}

export interface TableServiceOptions {
  /** Base URL, such as `http://127.0.0.1:7000`. */
  readonly address: string;
  readonly process: string;
  readonly readsPerS: number;
  readonly writesPerS: number;
  readonly seed: number;
}

export const TABLE_SERVICE: ComponentKind<TableService, TableServiceOptions> = {
  kind: 'tableService',
};
