/** Bounded log of the recent events of one process, for operators. */
import {HybridClock, type HybridStamp, compareStamps} from './hybrid_clock.js';

/** At this limit the oldest tenth is discarded. */
const MAX_EVENTS = 2000;

/** One event of one process. */
export interface TimelineEvent {
  readonly stamp: HybridStamp;
  readonly process: string;
  /** Component of the process that recorded the event, such as `router`. */
  readonly part: string;
  /** What happened: the name of the event, or a short phrase. */
  readonly event: string;
  /** Request, gang or pool that the event concerns. */
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

  /** Returns the newest `limit` events, oldest first, optionally of one subject only. */
  list(limit: number, subject?: string): TimelineEvent[] {
    const matching = subject
      ? this.events.filter(e => e.subject === subject)
      : this.events;
    return matching.slice(-limit);
  }
}

/**
 * Merges the timelines of several processes in order of their hybrid logical
 * timestamps. Events that occur in several lists are returned once.
 */
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
