/**
 * Load: a workspace hands in work within its guarantee while others fill the workers.
 * Chooses the runs to stop so that the least work is thrown away.
 */
import {type Resources, type StepSpec, addResources} from './job.js';
import {
  type Placement,
  type PlacementRules,
  type Room,
  place,
} from './placement.js';

/** Runs that end together: a task, or all members of a gang. */
export interface Victim {
  readonly id: string;
  /** What ends on each worker. */
  readonly frees: readonly {
    readonly worker: string;
    readonly request: Resources;
  }[];
  /** Work that its stop throws away, in core-ms. */
  readonly costCoreMs: number;
}

export interface ReclaimPlan {
  readonly victims: readonly Victim[];
  readonly placement: readonly string[];
  readonly costCoreMs: number;
}

/**
 * Takes victims in the order of their cost until the tasks fit, then gives back those
 * that were not needed.
 */
export function planReclaim(
  step: StepSpec,
  count: number,
  rooms: readonly Room[],
  victims: readonly Victim[],
  rules: PlacementRules,
): ReclaimPlan | undefined {
  const byCost = [...victims].sort((a, b) => a.costCoreMs - b.costCoreMs);
  const taken: Victim[] = [];
  let placement: Placement;
  for (const victim of byCost) {
    taken.push(victim);
    placement = place(step, count, roomsWithout(rooms, taken), rules);
    if (placement) break;
  }
  if (!placement) return undefined;
  for (const victim of [...taken].reverse()) {
    const fewer = taken.filter(v => v !== victim);
    const without = place(step, count, roomsWithout(rooms, fewer), rules);
    if (!without) continue;
    taken.splice(taken.indexOf(victim), 1);
    placement = without;
  }
  const costCoreMs = taken.reduce((sum, v) => sum + v.costCoreMs, 0);
  return {victims: taken, placement, costCoreMs};
}

function roomsWithout(
  rooms: readonly Room[],
  victims: readonly Victim[],
): Room[] {
  return rooms.map(room => ({
    ...room,
    free: victims
      .flatMap(v => v.frees)
      .filter(f => f.worker === room.worker)
      .reduce((free, f) => addResources(free, f.request), room.free),
  }));
}
