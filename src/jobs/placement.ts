/**
 * Load: tasks of one to eight accelerators that come mixed. Best fit keeps whole workers
 * for the tasks that need all accelerators of one; gangs go to one rack where it matters.
 */
import {type Resources, type StepSpec, fits, subtractResources} from './job.js';

/** Room on one worker, as a search changes it. */
export interface CandidateWorker {
  readonly worker: string;
  readonly rack: string;
  readonly labels: readonly string[];
  free: Resources;
  /** Tasks of the step that are on the worker already. */
  stepTasks: number;
  /** Lower is better among rooms that fit equally well: doubtful workers come last. */
  readonly penalty: number;
}

export interface PlacementRules {
  /** The rack where the data lies may be left, at the price of longer runs. */
  readonly allowOtherRacks: boolean;
}

/** Worker for each task, in order; undefined when they don't all fit. */
export type Placement = readonly string[] | undefined;

/** Finds workers for `count` tasks of a step; all or none. */
export function place(
  step: StepSpec,
  count: number,
  candidates: readonly CandidateWorker[],
  rules: PlacementRules,
): Placement {
  const allowed = candidates.filter(r => hasRequiredLabel(step, r));
  for (const group of candidateGroups(step, count, allowed, rules)) {
    const placement = placeInGroup(step, count, group);
    if (placement) return placement;
  }
  return undefined;
}

/** Whether a task may ever run on a worker, its room aside. */
export function hasRequiredLabel(
  step: StepSpec,
  candidate: {readonly labels: readonly string[]},
): boolean {
  return !step.requiredLabel || candidate.labels.includes(step.requiredLabel);
}

/** Sets of rooms to try, the fastest for the tasks first. */
function candidateGroups(
  step: StepSpec,
  count: number,
  candidates: readonly CandidateWorker[],
  rules: PlacementRules,
): CandidateWorker[][] {
  const groups: CandidateWorker[][] = [];
  const byRack = new Map<string, CandidateWorker[]>();
  for (const candidate of candidates)
    byRack.set(candidate.rack, [
      ...(byRack.get(candidate.rack) ?? []),
      candidate,
    ]);
  const onPreferredRack = step.preferredRack
    ? byRack.get(step.preferredRack)
    : undefined;
  if (onPreferredRack) groups.push(onPreferredRack);
  const wantsOneRack = step.sameRack && count > 1;
  if (wantsOneRack && (!step.preferredRack || rules.allowOtherRacks)) {
    // The rack with the least room that is enough leaves the largest gaps elsewhere.
    const racks = [...byRack.values()].filter(r => r !== onPreferredRack);
    racks.sort((a, b) => freeAccelerators(a) - freeAccelerators(b));
    groups.push(...racks);
  }
  const isRackAgnostic = !wantsOneRack && !step.preferredRack;
  if (isRackAgnostic || rules.allowOtherRacks) groups.push([...candidates]);
  return groups;
}

function freeAccelerators(candidates: readonly CandidateWorker[]): number {
  return candidates.reduce((sum, r) => sum + r.free.accelerators, 0);
}

function placeInGroup(
  step: StepSpec,
  count: number,
  candidates: readonly CandidateWorker[],
): Placement {
  const trials = candidates.map(r => ({
    candidate: r,
    free: r.free,
    stepTasks: r.stepTasks,
  }));
  const chosen: string[] = [];
  for (let i = 0; i < count; i++) {
    let best: (typeof trials)[number] | undefined;
    for (const trial of trials) {
      if (!fits(step.request, trial.free)) continue;
      if (step.maxPerWorker && trial.stepTasks >= step.maxPerWorker) continue;
      if (!best || isBetter(trial, best)) best = trial;
    }
    if (!best) return undefined;
    best.free = subtractResources(best.free, step.request);
    best.stepTasks++;
    chosen.push(best.candidate.worker);
  }
  return chosen;
}

interface Trial {
  readonly candidate: CandidateWorker;
  readonly free: Resources;
}

/** Trusted workers first, then the fullest that has room. */
function isBetter(a: Trial, b: Trial): boolean {
  if (a.candidate.penalty !== b.candidate.penalty)
    return a.candidate.penalty < b.candidate.penalty;
  if (a.free.accelerators !== b.free.accelerators)
    return a.free.accelerators < b.free.accelerators;
  return a.free.cpu < b.free.cpu;
}

/** Whether the tasks would fit if nothing else ran. */
export function fitsWhenEmpty(
  step: StepSpec,
  count: number,
  empty: readonly CandidateWorker[],
  rules: PlacementRules,
): boolean {
  return place(step, count, empty, rules) !== undefined;
}
