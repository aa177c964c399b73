/**
 * Load: a workspace hands in work within its guarantee while others fill the workers.
 * Chooses the runs to stop so that the least work is thrown away.
 */
import {type Resources, type StepSpec, addResources} from './job.js';
import {
  type Placement,
  type PlacementRules,
  type CandidateWorker,
  place,
} from './placement.js';

/** Runs that end together: a task, or all members of a gang. */
export interface Victim {
  readonly id: string;
  /** What ends on each worker. */
  readonly freed: readonly {
    readonly worker: string;
    readonly request: Resources;
  }[];
  /** Work that its stop throws away, in core-ms. */
  readonly costCoreMs: number;
}

export interface PreemptionPlan {
  readonly victims: readonly Victim[];
  readonly placement: readonly string[];
  readonly costCoreMs: number;
}

/**
 * Takes victims in the order of their cost until the tasks fit, then gives back those
 * that were not needed.
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
      candidatesWithout(candidates, chosen),
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
      candidatesWithout(candidates, fewer),
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
): CandidateWorker[] {
  return candidates.map(candidate => ({
    ...candidate,
    free: victims
      .flatMap(v => v.freed)
      .filter(f => f.worker === candidate.worker)
      .reduce((free, f) => addResources(free, f.request), candidate.free),
  }));
}
