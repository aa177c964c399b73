/**
 * Load: tasks of one to eight accelerators that come mixed. Best fit keeps whole workers
 * for the tasks that need all accelerators of one; gangs go to one rack where it matters.
 */
import {type Resources, type StepSpec, fits, subtractResources} from './job.js';

/** Room on one worker, as a search changes it. */
export interface Room {
  readonly worker: string;
  readonly rack: string;
  readonly labels: readonly string[];
  free: Resources;
  /** Tasks of the step that are on the worker already. */
  ofStep: number;
  /** Lower is better among rooms that fit equally well: doubtful workers come last. */
  readonly doubt: number;
}

export interface PlacementRules {
  /** The rack where the data lies may be left, at the price of longer runs. */
  readonly mayLeaveRack: boolean;
}

/** Worker for each task, in order; undefined when they don't all fit. */
export type Placement = readonly string[] | undefined;

/** Finds workers for `count` tasks of a step; all or none. */
export function place(
  step: StepSpec,
  count: number,
  rooms: readonly Room[],
  rules: PlacementRules,
): Placement {
  const allowed = rooms.filter(r => isAllowed(step, r));
  for (const group of groupsInOrder(step, count, allowed, rules)) {
    const placement = placeWithin(step, count, group);
    if (placement) return placement;
  }
  return undefined;
}

/** Whether a task may ever run on a worker, its room aside. */
export function isAllowed(
  step: StepSpec,
  room: {readonly labels: readonly string[]},
): boolean {
  return !step.requiredLabel || room.labels.includes(step.requiredLabel);
}

/** Sets of rooms to try, the fastest for the tasks first. */
function groupsInOrder(
  step: StepSpec,
  count: number,
  rooms: readonly Room[],
  rules: PlacementRules,
): Room[][] {
  const groups: Room[][] = [];
  const byRack = new Map<string, Room[]>();
  for (const room of rooms)
    byRack.set(room.rack, [...(byRack.get(room.rack) ?? []), room]);
  const near = step.preferredRack ? byRack.get(step.preferredRack) : undefined;
  if (near) groups.push(near);
  const wantsOneRack = step.sameRack && count > 1;
  if (wantsOneRack && (!step.preferredRack || rules.mayLeaveRack)) {
    // The rack with the least room that is enough leaves the largest gaps elsewhere.
    const racks = [...byRack.values()].filter(r => r !== near);
    racks.sort((a, b) => freeAccelerators(a) - freeAccelerators(b));
    groups.push(...racks);
  }
  const needsNoRack = !wantsOneRack && !step.preferredRack;
  if (needsNoRack || rules.mayLeaveRack) groups.push([...rooms]);
  return groups;
}

function freeAccelerators(rooms: readonly Room[]): number {
  return rooms.reduce((sum, r) => sum + r.free.accelerators, 0);
}

function placeWithin(
  step: StepSpec,
  count: number,
  rooms: readonly Room[],
): Placement {
  const state = rooms.map(r => ({room: r, free: r.free, ofStep: r.ofStep}));
  const chosen: string[] = [];
  for (let i = 0; i < count; i++) {
    let best: (typeof state)[number] | undefined;
    for (const candidate of state) {
      if (!fits(step.request, candidate.free)) continue;
      if (step.maxPerWorker && candidate.ofStep >= step.maxPerWorker) continue;
      if (!best || isBetter(candidate, best)) best = candidate;
    }
    if (!best) return undefined;
    best.free = subtractResources(best.free, step.request);
    best.ofStep++;
    chosen.push(best.room.worker);
  }
  return chosen;
}

interface Candidate {
  readonly room: Room;
  readonly free: Resources;
}

/** Trusted workers first, then the fullest that has room. */
function isBetter(a: Candidate, b: Candidate): boolean {
  if (a.room.doubt !== b.room.doubt) return a.room.doubt < b.room.doubt;
  if (a.free.accelerators !== b.free.accelerators)
    return a.free.accelerators < b.free.accelerators;
  return a.free.cpu < b.free.cpu;
}

/** Whether the tasks would fit if nothing else ran. */
export function fitsWhenEmpty(
  step: StepSpec,
  count: number,
  empty: readonly Room[],
  rules: PlacementRules,
): boolean {
  return place(step, count, empty, rules) !== undefined;
}
