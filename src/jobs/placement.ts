/**
 * Finds workers for the tasks of a step. Requests range from one to eight accelerators,
 * so best fit keeps whole workers free for tasks that need all accelerators of one.
 * Tasks that depend on the rack are kept on one rack.
 */
import {type Resources, type StepSpec, fits, subtractResources} from './job.js';

/** Free capacity of one worker, as input of a placement search. */
export interface CandidateWorker {
  readonly worker: string;
  readonly rack: string;
  readonly labels: readonly string[];
  free: Resources;
  /** Number of tasks of the step that are already on the worker. */
  stepTasks: number;
  /** Penalty for recent failures; workers with a lower penalty are chosen first. */
  readonly penalty: number;
}

export interface PlacementRules {
  /** Whether tasks may run off their preferred or common rack, which makes them slower. */
  readonly allowOtherRacks: boolean;
  /** Receives the work done by the search. */
  readonly effort?: SearchEffort;
}

/** Counts the work of placement searches, which grows with the load. */
export interface SearchEffort {
  /** Number of times that the capacity of a worker was examined. */
  workerChecks: number;
}

/** Worker key for each task, in order; undefined if the tasks don't all fit. */
export type Placement = readonly string[] | undefined;

/** Finds workers for all `count` tasks of a step, or for none. */
export function place(
  step: StepSpec,
  count: number,
  candidates: readonly CandidateWorker[],
  rules: PlacementRules,
): Placement {
  const allowed = candidates.filter(r => hasRequiredLabel(step, r));
  for (const group of candidateGroups(step, count, allowed, rules)) {
    const placement = placeInGroup(step, count, group, rules.effort);
    if (placement) return placement;
  }
  return undefined;
}

/** Whether the worker has the label that the step requires. */
export function hasRequiredLabel(
  step: StepSpec,
  candidate: {readonly labels: readonly string[]},
): boolean {
  return !step.requiredLabel || candidate.labels.includes(step.requiredLabel);
}

/** Groups of workers to try, starting with those on which the tasks run fastest. */
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
    // Using the fullest rack that fits leaves the largest gaps on the other racks.
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
  effort?: SearchEffort,
): Placement {
  const trials = candidates.map(r => ({
    candidate: r,
    free: r.free,
    stepTasks: r.stepTasks,
  }));
  const chosen: string[] = [];
  for (let i = 0; i < count; i++) {
    let best: (typeof trials)[number] | undefined;
    if (effort) effort.workerChecks += trials.length;
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

/** Prefers the lower penalty, then the worker with the least free capacity. */
function isBetter(a: Trial, b: Trial): boolean {
  if (a.candidate.penalty !== b.candidate.penalty)
    return a.candidate.penalty < b.candidate.penalty;
  if (a.free.accelerators !== b.free.accelerators)
    return a.free.accelerators < b.free.accelerators;
  return a.free.cpu < b.free.cpu;
}

/** Whether the tasks fit on workers on which nothing else runs. */
export function fitsWhenEmpty(
  step: StepSpec,
  count: number,
  empty: readonly CandidateWorker[],
  rules: PlacementRules,
): boolean {
  return place(step, count, empty, rules) !== undefined;
}
