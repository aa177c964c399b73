/**
 * Bars start orders that the leader sent before it learned that the runs on the worker are
 * over. Having learned it, the leader places their tasks elsewhere, so carrying out such an
 * order would run a task twice. Orders and answers share a link, which keeps their order:
 * what follows the answer to a report was sent after the leader applied that report.
 */
export class StartBarrier {
  /** Send time of the newest report of a loss that no leader has answered. */
  private unansweredSinceMs: number | undefined;

  /** Records that a report sent at `sentAtMs` says that the runs on the worker are over. */
  raise(sentAtMs: number): void {
    this.unansweredSinceMs = sentAtMs;
  }

  /** Records that the leader answered a message sent at `sentAtMs`. */
  recordAnswer(sentAtMs: number): void {
    const {unansweredSinceMs} = this;
    if (unansweredSinceMs === undefined || sentAtMs < unansweredSinceMs) return;
    this.unansweredSinceMs = undefined;
  }

  get isRaised(): boolean {
    return this.unansweredSinceMs !== undefined;
  }
}
