/**
 * Finds workers for the tasks of a step. Requests range from one to eight accelerators,
 * so best fit keeps whole workers free for tasks that need all accelerators of one.
 * Tasks that depend on the rack are kept on one rack.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {
  type Resources,
  type StepSpec,
  countFits,
  fits,
  subtractResources,
} from './job.js';

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
  for (const group of candidateGroups(step, count, candidates, rules)) {
    if (countSlots(step, group, rules.effort) >= count)
      return placeInGroup(step, count, group, rules.effort);
  }
  return undefined;
}

/** Whether `place` would find workers for all tasks. */
export function canPlace(
  step: StepSpec,
  count: number,
  candidates: readonly CandidateWorker[],
  rules: PlacementRules,
): boolean {
  return candidateGroups(step, count, candidates, rules).some(
    group => countSlots(step, group, rules.effort) >= count,
  );
}

/** Number of tasks of the step that fit on the candidates. */
function countSlots(
  step: StepSpec,
  candidates: readonly CandidateWorker[],
  effort?: SearchEffort,
): number {
  if (effort) effort.workerChecks += candidates.length;
  return candidates.reduce((sum, c) => sum + slotsOf(step, c, c.free), 0);
}

/** Number of tasks of the step that fit on a candidate with this free capacity. */
export function slotsOf(
  step: StepSpec,
  candidate: {readonly stepTasks: number},
  free: Resources,
): number {
  const slots = countFits(step.request, free);
  if (!step.maxPerWorker) return slots;
  return Math.min(slots, Math.max(0, step.maxPerWorker - candidate.stepTasks));
}

/** Whether the worker has the label that the step requires. */
export function hasRequiredLabel(
  step: StepSpec,
  candidate: {readonly labels: readonly string[]},
): boolean {
  return !step.requiredLabel || candidate.labels.includes(step.requiredLabel);
}

/**
 * Groups of workers with the required label to try, starting with those on which the
 * tasks run fastest.
 */
export function candidateGroups(
  step: StepSpec,
  count: number,
  candidates: readonly CandidateWorker[],
  rules: PlacementRules,
): CandidateWorker[][] {
  const allowed = candidates.filter(c => hasRequiredLabel(step, c));
  if (!dependsOnRack(step, count)) return [allowed];
  const groups: CandidateWorker[][] = [];
  const byRack = new Map<string, CandidateWorker[]>();
  for (const candidate of allowed)
    getOrAdd(byRack, candidate.rack, () => []).push(candidate);
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
  if (rules.allowOtherRacks) groups.push(allowed);
  return groups;
}

/** Whether the run time of the tasks depends on the racks on which they are placed. */
export function dependsOnRack(step: StepSpec, count: number): boolean {
  return Boolean(step.preferredRack) || (step.sameRack && count > 1);
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
