/**
 * Chooses the runs to preempt when urgent work, such as work within a guarantee, finds
 * the workers occupied by other work. It keeps the amount of lost work small.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {
  type Clearing,
  FreedCapacity,
  type VictimShare,
} from './freed_capacity.js';
import {type Resources, type StepSpec, addResources} from './job.js';
import {
  type PlacementRules,
  type CandidateWorker,
  candidateGroups,
  place,
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
