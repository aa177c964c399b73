/**
 * Largest worker capacities of each service. A submission that fits none of them can never
 * run. Capacities of lost workers are kept, since such workers usually come back.
 */
import {type Resources, fits} from './job.js';

export class ServiceCapacities {
  private readonly byService = new Map<string, readonly Resources[]>();

  /** Takes over the capacities that an earlier leader stored. */
  restore(capacities: ReadonlyMap<string, readonly Resources[]>): void {
    for (const [service, list] of capacities)
      for (const capacity of list) this.add(service, capacity);
  }

  of(service: string): readonly Resources[] {
    return this.byService.get(service) ?? [];
  }

  /** Adds a worker's capacity; returns false if a known one is at least as large. */
  add(service: string, capacity: Resources): boolean {
    const known = this.of(service);
    if (known.some(k => fits(capacity, k))) return false;
    const others = known.filter(k => !fits(k, capacity));
    this.byService.set(service, [...others, capacity]);
    return true;
  }
}
