/** Time line: a bounded list of what happened in one process. */
import {HybridClock, type HybridStamp, compareStamps} from './hybrid_clock.js';

const MAX_EVENTS = 2000;

/** One event of one process. */
export interface TimelineEvent {
  readonly stamp: HybridStamp;
  readonly process: string;
  /** Part of the process, such as `router`. */
  readonly part: string;
  /** What happened, in a few words. */
  readonly event: string;
  /** Request, gang or pool that it is about. */
  readonly subject?: string;
}

export class Timeline {
  private readonly events: TimelineEvent[] = [];

  constructor(
    private readonly process: string,
    private readonly clock: HybridClock,
  ) {}

  add(part: string, event: string, subject?: string): void {
    this.events.push({
      stamp: this.clock.now(),
      process: this.process,
      part,
      event,
      subject,
    });
    if (this.events.length > MAX_EVENTS) this.events.splice(0, MAX_EVENTS / 10);
  }

  /** The newest `limit` events, oldest first; of one subject when it is given. */
  list(limit: number, subject?: string): TimelineEvent[] {
    const matching = subject
      ? this.events.filter(e => e.subject === subject)
      : this.events;
    return matching.slice(-limit);
  }
}

/** Merges the time lines of several processes into one order, each event once. */
export function mergeTimelines(
  lists: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  const byIdentity = new Map<string, TimelineEvent>();
  for (const event of lists.flat()) {
    const {process, stamp} = event;
    byIdentity.set(`${process}/${stamp.wallMs}/${stamp.count}`, event);
  }
  return [...byIdentity.values()].sort(
    (a, b) =>
      compareStamps(a.stamp, b.stamp) || a.process.localeCompare(b.process),
  );
}
