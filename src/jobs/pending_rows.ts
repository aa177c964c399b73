/** Rows that the leader has changed and not committed yet. */
import {type RowValue} from '../ports/state_store.js';

/** Maximum number of rows in a batch; the leader row is added to each batch. */
const MAX_BATCH_ROWS = 90;
/** Size of the row values after which a batch takes no more rows, in bytes. */
const MAX_BATCH_BYTES = 500_000; // a transaction holds 1 MB of base64

type Encode = () => Uint8Array;

export interface RowChanges {
  readonly puts: readonly RowValue[];
  readonly removes: readonly string[];
}

export class PendingRows {
  private readonly changed = new Map<string, Encode>();
  private readonly deferred = new Map<string, Encode>();
  private readonly removed = new Set<string>();

  /** Writes a row, with the value that it has when it is taken. */
  put(key: string, encode: Encode): void {
    this.deferred.delete(key);
    this.changed.set(key, encode);
  }

  /** Writes a row with the next commit, but causes none. */
  defer(key: string, encode: Encode): void {
    if (!this.changed.has(key)) this.deferred.set(key, encode);
  }

  remove(key: string): void {
    this.deferred.delete(key);
    this.removed.add(key);
  }

  /** Whether a commit is needed. */
  get needsCommit(): boolean {
    return this.changed.size + this.removed.size > 0;
  }

  /** Whether changed rows are left that a batch could not take. */
  get hasMorePuts(): boolean {
    return this.changed.size > 0;
  }

  /**
   * Takes the rows of the next batch.
   *
   * @param isCommitDue Whether a commit is made in any case, so that it takes deferred rows.
   */
  take(isCommitDue: boolean): RowChanges {
    const isCommitting = isCommitDue || this.needsCommit;
    const puts: RowValue[] = [];
    const bytes = moveRows(this.changed, puts, 0);
    if (isCommitting) moveRows(this.deferred, puts, bytes);
    const removes = [...this.removed].slice(0, MAX_BATCH_ROWS - puts.length);
    for (const key of removes) this.removed.delete(key);
    return {puts, removes};
  }
}

/** Moves rows to `puts` up to the limits of a batch; returns the size of its values. */
function moveRows(
  rows: Map<string, Encode>,
  puts: RowValue[],
  bytes: number,
): number {
  for (const [key, encode] of rows) {
    if (puts.length >= MAX_BATCH_ROWS || bytes >= MAX_BATCH_BYTES) break;
    const value = encode();
    puts.push({key, value});
    bytes += value.length;
    rows.delete(key);
  }
  return bytes;
}
