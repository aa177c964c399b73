/**
 * Room that urgent work has lately wanted at once, which tells how much it may want next.
 * Arrivals are taken from the accepted jobs, so a new leader learns them from its rows.
 */
import {type Resources} from './job.js';

/** Time for which an arrival counts, in ms. */
const WINDOW_MS = 10_000; // several arrivals of a queue that gets one a second

/** Time in which a run holds its room beside its run time, in ms. */
const HANDOVER_MS = 500; // commits of its placement and its end, and the calls between

/** Tasks of urgent work that want room at the same time. */
export interface UrgentArrival {
  readonly service: string;
  readonly atMs: number;
  readonly count: number;
  readonly request: Resources;
  readonly runMs: number;
}

export class UrgentDemand {
  private arrivals: UrgentArrival[] = [];

  /** Number of arrivals that count. */
  get size(): number {
    return this.arrivals.length;
  }

  record(arrival: UrgentArrival): void {
    this.forgetBefore(arrival.atMs - WINDOW_MS);
    this.arrivals.push(arrival);
  }

  /**
   * Largest room that the work of a service would have used at once if all of it had started
   * on arrival, in workers of this capacity.
   */
  peakWorkers(service: string, capacity: Resources, nowMs: number): number {
    this.forgetBefore(nowMs - WINDOW_MS);
    const ofService = this.arrivals.filter(a => a.service === service);
    let peak = 0;
    for (const {atMs} of ofService) {
      const atOnce = ofService
        .filter(a => a.atMs <= atMs && atMs < a.atMs + a.runMs + HANDOVER_MS)
        .reduce((sum, a) => sum + a.count * share(a.request, capacity), 0);
      peak = Math.max(peak, atOnce);
    }
    return peak;
  }

  private forgetBefore(atMs: number): void {
    this.arrivals = this.arrivals.filter(a => a.atMs > atMs);
  }
}

/** Largest fraction of the capacity that a request takes of any resource. */
export function share(request: Resources, capacity: Resources): number {
  return Math.max(
    fraction(request.cpu, capacity.cpu),
    fraction(request.memoryMb, capacity.memoryMb),
    fraction(request.accelerators, capacity.accelerators),
  );
}

function fraction(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0;
}
