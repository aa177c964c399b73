/**
 * Chooses the runs to preempt when urgent work, such as work within a guarantee, finds
 * the workers occupied by other work. It keeps the amount of lost work small.
 */
import {type Resources, type StepSpec, addResources} from './job.js';
import {
  type Placement,
  type PlacementRules,
  type CandidateWorker,
  type SearchEffort,
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
  const chosen: Victim[] = [];
  let placement: Placement;
  for (const victim of byCost) {
    chosen.push(victim);
    placement = place(
      step,
      count,
      candidatesWithout(candidates, chosen, rules.effort),
      rules,
    );
    if (placement) break;
  }
  if (!placement) return undefined;
  for (const victim of [...chosen].reverse()) {
    const fewer = chosen.filter(v => v !== victim);
    const placementWithout = place(
      step,
      count,
      candidatesWithout(candidates, fewer, rules.effort),
      rules,
    );
    if (!placementWithout) continue;
    chosen.splice(chosen.indexOf(victim), 1);
    placement = placementWithout;
  }
  const costCoreMs = chosen.reduce((sum, v) => sum + v.costCoreMs, 0);
  return {victims: chosen, placement, costCoreMs};
}

function candidatesWithout(
  candidates: readonly CandidateWorker[],
  victims: readonly Victim[],
  effort?: SearchEffort,
): CandidateWorker[] {
  if (effort) effort.workerChecks += candidates.length * victims.length;
  return candidates.map(candidate => ({
    ...candidate,
    free: victims
      .flatMap(v => v.freed)
      .filter(f => f.worker === candidate.worker)
      .reduce((free, f) => addResources(free, f.request), candidate.free),
  }));
}
