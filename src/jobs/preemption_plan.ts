/**
 * Chooses the runs to preempt when urgent work, such as work within a guarantee, finds
 * the workers occupied by other work. It keeps the amount of lost work small.
 */
import {
  type Resources,
  type StepSpec,
  addResources,
  subtractResources,
} from './job.js';
import {
  type PlacementRules,
  type CandidateWorker,
  candidateGroups,
  place,
  slotsOf,
} from './placement.js';

/** Runs that are stopped together: one task, or all members of a gang. */
export interface Victim {
  readonly id: string;
  /** Resources that the stop frees on each worker. */
  readonly freed: readonly {
    readonly worker: string;
    readonly request: Resources;
  }[];
  /** Work lost by the stop, in core-ms. */
  readonly costCoreMs: number;
}

export interface PreemptionPlan {
  readonly victims: readonly Victim[];
  readonly placement: readonly string[];
  readonly costCoreMs: number;
}

/**
 * Adds victims in ascending order of cost until the tasks fit, then removes those that
 * are not needed, the most expensive first.
 */
export function planPreemption(
  step: StepSpec,
  count: number,
  candidates: readonly CandidateWorker[],
  victims: readonly Victim[],
  rules: PlacementRules,
): PreemptionPlan | undefined {
  const byCost = [...victims].sort((a, b) => a.costCoreMs - b.costCoreMs);
  const freed = new FreedCapacity(step, count, candidates, rules);
  const chosen: Victim[] = [];
  for (const victim of byCost) {
    if (freed.fits) break;
    freed.add(victim);
    chosen.push(victim);
  }
  if (!freed.fits) return undefined;
  const needed: Victim[] = [];
  for (const victim of chosen.reverse()) {
    freed.remove(victim);
    if (freed.fits) continue;
    freed.add(victim);
    needed.unshift(victim);
  }
  const placement = place(step, count, freed.candidates(), rules);
  if (!placement) return undefined;
  const costCoreMs = needed.reduce((sum, v) => sum + v.costCoreMs, 0);
  return {victims: needed, placement, costCoreMs};
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
class FreedCapacity {
  private readonly workers = new Map<string, FreedWorker>();
  private readonly groupSlots: number[] = [];

  constructor(
    private readonly step: StepSpec,
    private readonly count: number,
    candidates: readonly CandidateWorker[],
    private readonly rules: PlacementRules,
  ) {
    for (const candidate of candidates) {
      const {worker, free} = candidate;
      this.workers.set(worker, {candidate, groups: [], free, slots: 0});
    }
    const groups = candidateGroups(step, count, candidates, rules);
    groups.forEach((group, i) => {
      this.groupSlots.push(0);
      for (const {worker} of group) this.workers.get(worker)!.groups.push(i);
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

  /** The candidates with the capacity that the added victims free. */
  candidates(): CandidateWorker[] {
    return [...this.workers.values()].map(({candidate, free}) => ({
      ...candidate,
      free,
    }));
  }

  private updateSlots(worker: FreedWorker, free: Resources): void {
    const {effort} = this.rules;
    if (effort) effort.workerChecks++;
    const slots = Math.min(
      this.count,
      slotsOf(this.step, worker.candidate, free),
    );
    for (const group of worker.groups)
      this.groupSlots[group] += slots - worker.slots;
    worker.free = free;
    worker.slots = slots;
  }
}
