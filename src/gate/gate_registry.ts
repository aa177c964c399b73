/** The gates as their rows describe them, as followed by one gate. */
import {type GateRow} from '../jobs/job_rows.js';

/** Age at which the row of another gate is removed, in ms. */
const ROW_MAX_AGE_MS = 60_000; // far longer than jumps of the wall clock

export class GateRegistry {
  private readonly rows = new Map<string, GateRow>();
  private addressList: readonly string[] = [];

  /** @param name Name of the gate that follows the rows. */
  constructor(private readonly name: string) {}

  /** Link addresses of all gates. The list is replaced only when an address changes. */
  get addresses(): readonly string[] {
    return this.addressList;
  }

  set(name: string, row: GateRow): void {
    const before = this.rows.get(name);
    this.rows.set(name, row);
    if (before?.address !== row.address) this.updateAddresses();
  }

  delete(name: string): void {
    if (this.rows.delete(name)) this.updateAddresses();
  }

  /** Processor capacity of a gate with `cores`, as a share of the most capable gate's. */
  relativeCapacity(cores: number): number {
    const others = [...this.rows.values()].map(r => r.cores);
    return cores / Math.max(cores, ...others);
  }

  /** Whether the stored row of this gate says the same and will not expire soon. */
  isStored(row: GateRow): boolean {
    const stored = this.rows.get(this.name);
    return (
      stored?.incarnation === row.incarnation &&
      stored.address === row.address &&
      row.writtenWallMs - stored.writtenWallMs < ROW_MAX_AGE_MS / 2
    );
  }

  /** Names of other gates whose rows have not been renewed. */
  expiredNames(wallMs: number): string[] {
    return [...this.rows]
      .filter(
        ([name, row]) =>
          name !== this.name && wallMs - row.writtenWallMs > ROW_MAX_AGE_MS,
      )
      .map(([name]) => name);
  }

  private updateAddresses(): void {
    this.addressList = [...this.rows.values()].map(r => r.address);
  }
}
