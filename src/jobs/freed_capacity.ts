/** Free capacity of workers while a preemption plan adds and removes victims. */
import {getOrAdd} from '../core/fair_queue.js';
import {
  type Resources,
  type StepSpec,
  addResources,
  subtractResources,
} from './job.js';
import {
  type CandidateWorker,
  type PlacementRules,
  slotsOf,
} from './placement.js';
import {type Victim} from './preemption_plan.js';

/** Resources that a victim frees on one worker. */
export interface VictimShare {
  readonly victim: Victim;
  freed: Resources;
}

/** Victims on one worker whose stop makes room for more tasks there. */
export interface Clearing {
  readonly victims: readonly Victim[];
  readonly costPerTask: number;
}

interface FreedWorker {
  readonly candidate: CandidateWorker;
  /** Groups of workers on which the tasks may be placed that contain this worker. */
  readonly groups: number[];
  free: Resources;
  /** Number of tasks of the step that fit on the worker. */
  slots: number;
}

/**
 * Capacity of the candidates while victims are added and removed. It keeps the number of
 * tasks that fit in each group, so that a victim costs only the workers on which it runs.
 */
export class FreedCapacity {
  private readonly workers = new Map<string, FreedWorker>();
  private readonly groupSlots: number[] = [];

  constructor(
    private readonly step: StepSpec,
    private readonly count: number,
    groups: readonly (readonly CandidateWorker[])[],
    private readonly rules: PlacementRules,
  ) {
    groups.forEach((group, i) => {
      this.groupSlots.push(0);
      for (const candidate of group) {
        const {worker, free} = candidate;
        getOrAdd(this.workers, worker, () => ({
          candidate,
          groups: [],
          free,
          slots: 0,
        })).groups.push(i);
      }
    });
    for (const worker of this.workers.values())
      this.updateSlots(worker, worker.free);
  }

  /** Whether all tasks fit in one of the groups. */
  get fits(): boolean {
    return this.groupSlots.some(slots => slots >= this.count);
  }

  add(victim: Victim): void {
    for (const {worker, request} of victim.freed) {
      const freed = this.workers.get(worker);
      if (freed) this.updateSlots(freed, addResources(freed.free, request));
    }
  }

  remove(victim: Victim): void {
    for (const {worker, request} of victim.freed) {
      const freed = this.workers.get(worker);
      if (freed)
        this.updateSlots(freed, subtractResources(freed.free, request));
    }
  }

  workerKeys(): Iterable<string> {
    return this.workers.keys();
  }

  /**
   * The cheapest of these victims, in ascending order of cost, whose stop makes room for
   * another task on the worker; undefined if all of them don't.
   */
  cheapestClearing(
    worker: string,
    byCost: readonly VictimShare[],
  ): Clearing | undefined {
    const freed = this.workers.get(worker)!;
    let {free} = freed;
    let needed: VictimShare[] = [];
    for (const share of byCost) {
      needed.push(share);
      free = addResources(free, share.freed);
      if (this.slotsOn(freed, free) > freed.slots) break;
    }
    if (this.slotsOn(freed, free) <= freed.slots) return undefined;
    for (const share of [...needed].reverse()) {
      const freeWithout = subtractResources(free, share.freed);
      if (this.slotsOn(freed, freeWithout) <= freed.slots) continue;
      needed = needed.filter(s => s !== share);
      free = freeWithout;
    }
    const victims = needed.map(s => s.victim);
    const costCoreMs = victims.reduce((sum, v) => sum + v.costCoreMs, 0);
    const tasks = this.slotsOn(freed, free) - freed.slots;
    return {victims, costPerTask: costCoreMs / tasks};
  }

  /** The candidates with the capacity that the added victims free. */
  candidates(): CandidateWorker[] {
    return [...this.workers.values()].map(({candidate, free}) => ({
      ...candidate,
      free,
    }));
  }

  private updateSlots(worker: FreedWorker, free: Resources): void {
    const slots = this.slotsOn(worker, free);
    for (const group of worker.groups)
      this.groupSlots[group] += slots - worker.slots;
    worker.free = free;
    worker.slots = slots;
  }

  /** Number of tasks that fit on the worker with this free capacity, at most `count`. */
  private slotsOn({candidate}: FreedWorker, free: Resources): number {
    const {effort} = this.rules;
    if (effort) effort.workerChecks++;
    return Math.min(this.count, slotsOf(this.step, candidate, free));
  }
}
