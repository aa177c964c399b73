/**
 * Chooses the runs to preempt when urgent work, such as work within a guarantee, finds
 * the workers occupied by other work. It keeps the amount of lost work small.
 */
import {getOrAdd} from '../core/fair_queue.js';
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
 * Chooses victims whose stop makes the tasks fit. Two searches are compared, since
 * neither is best for all loads: one by the cost of single victims, which suits gangs that
 * run on many workers, and one by the cost of clearing a worker.
 */
export function planPreemption(
  step: StepSpec,
  count: number,
  candidates: readonly CandidateWorker[],
  victims: readonly Victim[],
  rules: PlacementRules,
): PreemptionPlan | undefined {
  const byCost = [...victims].sort((a, b) => a.costCoreMs - b.costCoreMs);
  const groups = candidateGroups(step, count, candidates, rules);
  const inAnyGroup = new FreedCapacity(step, count, groups, rules);
  const shares = sharesByWorker(byCost);
  const choices = [
    chooseByVictim(inAnyGroup, byCost),
    ...groups.map(group =>
      chooseByWorker(new FreedCapacity(step, count, [group], rules), shares),
    ),
  ].filter(choice => choice !== undefined);
  choices.sort((a, b) => costOf(a) - costOf(b));
  const [cheapest] = choices;
  if (!cheapest) return undefined;
  const freed = new FreedCapacity(step, count, [candidates], rules);
  for (const victim of cheapest) freed.add(victim);
  const placement = place(step, count, freed.candidates(), rules);
  if (!placement) return undefined;
  return {victims: cheapest, placement, costCoreMs: costOf(cheapest)};
}

/** Adds victims in ascending order of cost until the tasks fit. */
function chooseByVictim(
  freed: FreedCapacity,
  byCost: readonly Victim[],
): Victim[] | undefined {
  const chosen: Victim[] = [];
  for (const victim of byCost) {
    if (freed.fits) break;
    freed.add(victim);
    chosen.push(victim);
  }
  return freed.fits ? withoutUnneeded(freed, chosen) : undefined;
}

/** Clears the worker on which a task costs least, until the tasks fit. */
function chooseByWorker(
  freed: FreedCapacity,
  shares: ReadonlyMap<string, readonly VictimShare[]>,
): Victim[] | undefined {
  const chosen = new Set<Victim>();
  const clearings = new Map<string, Clearing | undefined>();
  while (!freed.fits) {
    for (const worker of freed.workerKeys()) {
      if (clearings.has(worker)) continue;
      const left = shares.get(worker)?.filter(s => !chosen.has(s.victim));
      clearings.set(worker, freed.cheapestClearing(worker, left ?? []));
    }
    let best: Clearing | undefined;
    for (const clearing of clearings.values())
      if (clearing && (!best || clearing.costPerTask < best.costPerTask))
        best = clearing;
    if (!best) return undefined;
    for (const victim of best.victims) {
      freed.add(victim);
      chosen.add(victim);
      for (const {worker} of victim.freed) clearings.delete(worker);
    }
  }
  const byCost = [...chosen].sort((a, b) => a.costCoreMs - b.costCoreMs);
  return withoutUnneeded(freed, byCost);
}

/** Removes victims that are not needed, the most expensive first. */
function withoutUnneeded(
  freed: FreedCapacity,
  byCost: readonly Victim[],
): Victim[] {
  const needed: Victim[] = [];
  for (const victim of [...byCost].reverse()) {
    freed.remove(victim);
    if (freed.fits) continue;
    freed.add(victim);
    needed.unshift(victim);
  }
  return needed;
}

function costOf(victims: readonly Victim[]): number {
  return victims.reduce((sum, v) => sum + v.costCoreMs, 0);
}

/** Resources that a victim frees on one worker. */
interface VictimShare {
  readonly victim: Victim;
  freed: Resources;
}

/** Shares of the victims by worker, in the order of the victims. */
function sharesByWorker(
  victims: readonly Victim[],
): Map<string, readonly VictimShare[]> {
  const shares = new Map<string, VictimShare[]>();
  for (const victim of victims) {
    for (const {worker, request} of victim.freed) {
      const onWorker = getOrAdd(shares, worker, () => []);
      const last = onWorker.at(-1);
      if (last?.victim !== victim) onWorker.push({victim, freed: request});
      else last.freed = addResources(last.freed, request);
    }
  }
  return shares;
}

/** Victims on one worker whose stop makes room for more tasks there. */
interface Clearing {
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
class FreedCapacity {
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
    const tasks = this.slotsOn(freed, free) - freed.slots;
    return {victims, costPerTask: costOf(victims) / tasks};
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
