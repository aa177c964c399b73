/** Outcomes of the requests that a gate accepted, kept for its callers. */
import {Outcome, type Settlement} from '../core/outcome.js';

/** One accepted request. */
export interface RequestRecord {
  readonly req: string;
  readonly workspace: string;
  settlement?: Settlement;
}

type Waiter = () => void;

/**
 * Bounded store of records. Drops the oldest settled records first, and no pending ones.
 */
export class RecordStore {
  private readonly records = new Map<string, RequestRecord>();
  private readonly waiters = new Map<string, Set<Waiter>>();

  constructor(private readonly capacity: number) {}

  add(req: string, workspace: string): RequestRecord {
    const record: RequestRecord = {req, workspace};
    this.records.set(req, record);
    this.dropOldest();
    return record;
  }

  get(req: string): RequestRecord | undefined {
    return this.records.get(req);
  }

  /** Records the outcome. Only an unknown outcome can be replaced later. */
  settle(req: string, settlement: Settlement): void {
    const record = this.records.get(req);
    if (!record) return;
    if (record.settlement && record.settlement.outcome !== Outcome.UNKNOWN)
      return;
    record.settlement = settlement;
    const waiters = this.waiters.get(req);
    this.waiters.delete(req);
    for (const wake of waiters ?? []) wake();
  }

  /**
   * Waits at most `waitMs` for the end of the request. Returns undefined if it is
   * still pending.
   */
  wait(record: RequestRecord, waitMs: number): Promise<Settlement | undefined> {
    if (record.settlement) return Promise.resolve(record.settlement);
    return new Promise(resolve => {
      const waiters = this.waiters.get(record.req) ?? new Set<Waiter>();
      this.waiters.set(record.req, waiters);
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve(record.settlement);
      };
      const timer = setTimeout(wake, waitMs);
      waiters.add(wake);
    });
  }

  private dropOldest(): void {
    if (this.records.size <= this.capacity) return;
    for (const [req, record] of this.records) {
      if (!record.settlement) continue;
      this.records.delete(req);
      if (this.records.size <= this.capacity) return;
    }
  }
}
