/**
 * Decides when an agent's next periodic report to each gate is due. Every report counts,
 * so that one sent because of a change replaces the next periodic one.
 */
export class ReportSchedule {
  private readonly sentAtMs = new Map<string, number>();

  /** @param intervalMs Maximum interval between reports to one gate. */
  constructor(private readonly intervalMs: number) {}

  recordSent(address: string, nowMs: number): void {
    this.sentAtMs.set(address, nowMs);
  }

  isDue(address: string, nowMs: number): boolean {
    const sentAtMs = this.sentAtMs.get(address) ?? -Infinity;
    return nowMs - sentAtMs >= this.intervalMs;
  }

  /** Called when the link to the gate is closed. */
  forget(address: string): void {
    this.sentAtMs.delete(address);
  }
}
