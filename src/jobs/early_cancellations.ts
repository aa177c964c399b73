/**
 * Cancellations of jobs that are not stored. A submission may still be under way, and its
 * job must not run, so each cancellation is kept for a while and then removed.
 */
import {transactionGroupOf, rowKeys} from './job_rows.js';

/** Maximum number of cancellations that one transaction removes. */
const MAX_REMOVED_CANCELLATIONS = 50; // a row to expect and one to remove for each

export class EarlyCancellations {
  /** When each became known, in ms of the monotonic clock, the oldest first. */
  private readonly sinceMs = new Map<string, number>();

  /** Returns false if the cancellation is already known. */
  add(job: string, nowMs: number): boolean {
    if (this.sinceMs.has(job)) return false;
    this.sinceMs.set(job, nowMs);
    return true;
  }

  delete(job: string): void {
    this.sinceMs.delete(job);
  }

  /** Jobs of cancellations that are this old, as many as one transaction may remove. */
  olderThan(ageMs: number, nowMs: number): string[] {
    const jobs: string[] = [];
    let firstGroup: string | undefined;
    for (const [job, sinceMs] of this.sinceMs) {
      if (nowMs - sinceMs < ageMs) break;
      const group = transactionGroupOf(rowKeys.cancellation(job));
      firstGroup ??= group;
      if (group === firstGroup) jobs.push(job);
      if (jobs.length === MAX_REMOVED_CANCELLATIONS) break;
    }
    return jobs;
  }
}
