/**
 * Planning pass: decides where waiting work is placed, and which runs are preempted to
 * free capacity for urgent work. It only decides; the engine carries out the decisions.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {coreEquivalents, fits} from './job.js';
import {
  type WaitingWork,
  compareWaiting,
  lateLimitAtMs,
  objectiveAtMs,
} from './placement_order.js';
import {
  type TrackedStep,
  type TrackedTask,
  type Unit,
  totalRequest,
} from './tracked_job.js';
import {
  type CandidateWorker,
  type Placement,
  canPlace,
  dependsOnRack,
  hasRequiredLabel,
  place,
} from './placement.js';
import {
  type PlanInput,
  type PreemptibleUnit,
  PlanningPass,
} from './planning_pass.js';
import {type PreemptionPlan, planPreemption} from './preemption_plan.js';
import {TaskState} from './job_rows.js';
import {minConcurrentTasks} from './step_waves.js';
import {mayUseOtherRacks} from './rack_patience.js';
import {staysOffHeadroom} from './urgent_headroom.js';
import {agentOf} from './worker_pool.js';
import {UNHEALTHY_PENALTY} from './failure_tracker.js';
import {
  ISOLATION_WAIT_MS,
  type PassView,
  SuspectPlacement,
} from './suspect_placement.js';

/** Longest wait for running tasks to finish before others are preempted, in ms. */
const MAX_END_WAIT_MS = 1200; // guaranteed work must begin in 2.7 s; stops take 0.6 s
/** The same limit as a fraction of the expected run time; the shorter one applies. */
const END_WAIT_SHARE = 0.2; // urgent work may take 1.5 times its run time
/** Time for which preempted capacity is held for the work that needs it, in ms. */
const CAPACITY_HOLD_MS = 2000; // a stop takes up to 400 ms, then its end is recorded

/** Late work may preempt when fewer run times than this remain to its late limit. */
const LATE_LIMIT_MARGIN_RUNS = 2; // its own run, and one run that may end before it

/** Penalty of workers that are kept for urgent work; lower than that of any failure. */
const HEADROOM_PENALTY = 0.5;

export interface PlanOutput {
  place(unit: Unit, workers: readonly string[]): void;
  preempt(victim: Unit, beneficiary: Unit): void;
  /** Reports that urgent work keeps waiting for capacity. */
  wait(unit: Unit, reason: WaitReason): void;
}

/** Size of one planning pass, which determines the processor time that it takes. */
export interface PassSize {
  readonly waitingUnits: number;
  readonly workers: number;
  /** Number of times that the capacity of a worker was examined. */
  readonly workerChecks: number;
  /** Number of placed units that were considered for preemption. */
  readonly victims: number;
}

/** Size of a pass without waiting work. */
export const EMPTY_PASS: PassSize = {
  waitingUnits: 0,
  workers: 0,
  workerChecks: 0,
  victims: 0,
};

/** Why urgent work waits, for the log. */
export const WaitReason = {
  WORKERS_UNKNOWN: 'workers have not reported since the takeover',
  PREEMPTION_IN_PROGRESS: 'capacity is being freed for it',
  PREEMPTION_NOT_NEEDED: 'objective needs no preemption yet',
  RUNS_END_SOON: 'runs that end soon free enough capacity',
  TOO_FEW_VICTIMS: 'preemption would not free enough capacity',
  TOO_COSTLY: 'preemption would lose more work than this work amounts to',
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

/** Reasons after which other units of the same step may still get capacity. */
const FREES_CAPACITY: ReadonlySet<WaitReason> = new Set([
  WaitReason.PREEMPTION_IN_PROGRESS,
  WaitReason.RUNS_END_SOON,
]);

interface Hold {
  readonly unit: Unit;
  readonly untilMs: number;
}

/**
 * Units of one step that wait. Their requests are equal, so if one of them does not fit,
 * none does.
 */
interface WaitingGroup extends WaitingWork {
  /** In the order of their tasks. */
  readonly units: Unit[];
}

export class Planner {
  /** Workers held for a unit for which capacity is being freed, by worker key. */
  private readonly holds = new Map<string, Hold>();
  private readonly suspectPlacement = new SuspectPlacement();

  plan(input: PlanInput, output: PlanOutput): PassSize {
    const waitingUnits = input.waiting.size;
    const pass = new PlanningPass(input);
    this.releaseHolds(input);
    for (const group of rankWaiting(pass)) this.placeGroup(group, pass, output);
    return {
      waitingUnits,
      workers: input.pool.workers.size,
      workerChecks: pass.effort.workerChecks,
      victims: pass.victimsConsidered,
    };
  }

  private placeGroup(
    group: WaitingGroup,
    pass: PlanningPass,
    output: PlanOutput,
  ): void {
    const held = new Set([...this.holds.values()].map(h => h.unit));
    const use = headroomUse(group, pass);
    let isFull = false;
    for (const unit of group.units) {
      if (pass.input.nowMs < unit.notBeforeMs) continue;
      if (isFull && !held.has(unit)) continue;
      const candidates = withHeadroom(this.candidatesFor(unit, pass), use);
      const workers = findWorkers(unit, group, candidates, pass);
      if (workers) {
        output.place(unit, workers);
        pass.recordPlacement(unit, workers);
        this.suspectPlacement.recordPlacement(unit);
      } else if (this.suspectPlacement.isIsolated(unit, viewOf(unit, pass))) {
        this.suspectPlacement.recordWait(unit, pass.input.nowMs);
        this.holdEmptyingWorker(unit, pass);
      } else if (candidates.length === 0 || !pass.isUrgent(unit)) {
        isFull = true;
      } else {
        const reason = this.tryPreempt(unit, group, candidates, pass, output);
        output.wait(unit, reason);
        isFull = !FREES_CAPACITY.has(reason);
      }
    }
  }

  private candidatesFor(
    unit: Unit,
    pass: PlanningPass,
  ): readonly CandidateWorker[] {
    const all = pass.candidatesOf(pass.serviceOf(unit));
    const available =
      this.holds.size === 0
        ? all
        : all.filter(c => !this.isHeldForOther(c.worker, unit));
    const isUniform =
      !unit.step.spec.maxPerWorker &&
      unit.failedAgents.length === 0 &&
      unit.crashedAgents.size === 0;
    return this.suspectPlacement.candidatesFor(
      unit,
      isUniform ? available : available.map(c => forUnit(c, unit)),
      viewOf(unit, pass),
    );
  }

  /** Holds the worker that is expected to be empty first, for a task that must run alone. */
  private holdEmptyingWorker(unit: Unit, pass: PlanningPass): void {
    const isHeld = [...this.holds.values()].some(h => h.unit === unit);
    if (isHeld || unit.isGang || !unit.mustRunAlone) return;
    const {pool, nowMs} = pass.input;
    const {spec} = unit.step;
    const workers = pass
      .candidatesOf(pass.serviceOf(unit))
      .filter(c => hasRequiredLabel(spec, c) && !this.holds.has(c.worker))
      .filter(c => !pass.suspects.isReserved(c.worker, unit.job))
      .map(c => c.worker)
      .filter(w => fits(spec.request, pool.get(w)!.report.capacity))
      .map(worker => ({worker, emptyAfterMs: pass.emptyAfterMs(worker)}));
    if (workers.length === 0) return;
    const {worker} = workers.reduce((best, w) =>
      w.emptyAfterMs < best.emptyAfterMs ? w : best,
    );
    this.holds.set(worker, {unit, untilMs: nowMs + ISOLATION_WAIT_MS});
  }

  private isHeldForOther(worker: string, unit: Unit): boolean {
    const hold = this.holds.get(worker);
    return hold !== undefined && hold.unit !== unit;
  }

  private tryPreempt(
    unit: Unit,
    group: WaitingGroup,
    candidates: readonly CandidateWorker[],
    pass: PlanningPass,
    output: PlanOutput,
  ): WaitReason {
    if (!pass.input.mayPreempt) return WaitReason.WORKERS_UNKNOWN;
    if ([...this.holds.values()].some(h => h.unit === unit))
      return WaitReason.PREEMPTION_IN_PROGRESS;
    if (!group.isGuaranteed && !this.needsCapacityNow(unit, group, pass))
      return WaitReason.PREEMPTION_NOT_NEEDED;
    if (this.holdEndingCapacity(unit, candidates, pass))
      return WaitReason.RUNS_END_SOON;
    const units = victimsFor(unit, candidates, pass);
    const plan = findPreemption(unit, group, candidates, units, pass);
    if (!plan) return WaitReason.TOO_FEW_VICTIMS;
    if (!group.isGuaranteed && !isCheaperThanWork(unit, plan.costCoreMs, pass))
      return WaitReason.TOO_COSTLY;
    for (const {id} of plan.victims) {
      const victim = units.get(id)!.unit;
      output.preempt(victim, unit);
      pass.recordPreemption(victim);
    }
    const untilMs = pass.input.nowMs + CAPACITY_HOLD_MS;
    for (const worker of plan.placement)
      this.holds.set(worker, {unit, untilMs});
    return WaitReason.PREEMPTION_IN_PROGRESS;
  }

  /** Whether the work would miss its objective or late limit without preemption now. */
  private needsCapacityNow(
    unit: Unit,
    group: WaitingGroup,
    pass: PlanningPass,
  ): boolean {
    const {nowMs} = pass.input;
    const runMs = pass.expectedRunMs(unit);
    const meetsObjective = nowMs + runMs <= objectiveAtMs(group);
    if (!meetsObjective) {
      const marginMs = lateLimitAtMs(group) - nowMs;
      // Work past its late limit has no value that justifies lost work.
      return marginMs >= runMs && marginMs < LATE_LIMIT_MARGIN_RUNS * runMs;
    }
    if (unit.isGang) return true;
    const {step} = unit;
    const leftMs = objectiveAtMs(group) - nowMs - pass.pathAfterMs(unit);
    const tasksLeft = step.tasks.filter(t => !isDone(t)).length;
    const placed = step.tasks.filter(t => t.isPlaced && !t.isStopping).length;
    const held = new Set(
      [...this.holds.values()].map(h => h.unit).filter(u => u.step === step),
    );
    return placed + held.size < minConcurrentTasks({tasksLeft, runMs, leftMs});
  }

  /** Whether a unit would fit now on healthy workers other than one agent's worker. */
  fitsElsewhere(unit: Unit, agent: string, input: PlanInput): boolean {
    const candidates = this.candidatesFor(unit, new PlanningPass(input)).filter(
      c => agentOf(c.worker) !== agent && c.penalty < UNHEALTHY_PENALTY,
    );
    const rules = {allowOtherRacks: true};
    return canPlace(unit.step.spec, unit.tasks.length, candidates, rules);
  }

  /** Holds workers whose runs will soon free enough capacity; false if none do. */
  private holdEndingCapacity(
    unit: Unit,
    candidates: readonly CandidateWorker[],
    pass: PlanningPass,
  ): boolean {
    const {nowMs} = pass.input;
    const expectedMs = pass.expectedRunMs(unit);
    const waitMs = Math.min(MAX_END_WAIT_MS, expectedMs * END_WAIT_SHARE);
    const leftMs = waitMs - (nowMs - unit.readyAtMs);
    if (leftMs <= 0) return false;
    const placement = place(
      unit.step.spec,
      unit.tasks.length,
      pass.candidatesAfter(candidates, leftMs),
      {allowOtherRacks: false, effort: pass.effort},
    );
    if (!placement) return false;
    const untilMs = nowMs + leftMs;
    for (const worker of placement) this.holds.set(worker, {unit, untilMs});
    return true;
  }

  private releaseHolds(input: PlanInput): void {
    for (const [worker, hold] of this.holds) {
      if (input.nowMs >= hold.untilMs || !input.waiting.has(hold.unit))
        this.holds.delete(worker);
    }
  }
}

/** How work of lower priority may use the workers that are kept for urgent work. */
interface HeadroomUse {
  readonly kept: ReadonlySet<string>;
  readonly staysOff: boolean;
}

/** Undefined if nothing is kept from the work. */
function headroomUse(
  group: WaitingGroup,
  pass: PlanningPass,
): HeadroomUse | undefined {
  const [unit] = group.units;
  if (pass.isUrgent(unit)) return undefined;
  const service = pass.serviceOf(unit);
  const kept = pass.headroomOf(service);
  if (kept.size === 0) return undefined;
  const staysOff = staysOffHeadroom({
    nowMs: pass.input.nowMs,
    objectiveAtMs: objectiveAtMs(group),
    lateLimitAtMs: lateLimitAtMs(group),
    pathMs: pass.expectedRunMs(unit) + pass.pathAfterMs(unit),
    readyAtMs: unit.readyAtMs,
    isCheapToStop: unit.step.spec.checkpointing,
    useShare: pass.useShare(service),
  });
  return {kept, staysOff};
}

/** The candidates without the workers that are kept, or with these last. */
function withHeadroom(
  candidates: readonly CandidateWorker[],
  use: HeadroomUse | undefined,
): readonly CandidateWorker[] {
  if (!use) return candidates;
  const {kept, staysOff} = use;
  if (staysOff) return candidates.filter(c => !kept.has(c.worker));
  return candidates.map(c =>
    kept.has(c.worker) ? {...c, penalty: c.penalty + HEADROOM_PENALTY} : c,
  );
}

/** The pass as the placement of a suspect sees it. */
function viewOf(unit: Unit, pass: PlanningPass): PassView {
  const {pool, nowMs} = pass.input;
  const {suspects} = pass;
  return {suspects, pool, nowMs, isUrgent: pass.isUrgent(unit)};
}

/** Groups of waiting units, in the order in which they are to be placed. */
function rankWaiting(pass: PlanningPass): WaitingGroup[] {
  const {input} = pass;
  const guaranteed = guaranteedUnits(input);
  const groups = new Map<TrackedStep, Map<boolean, WaitingGroup>>();
  for (const unit of input.waiting) {
    const isGuaranteed = guaranteed.has(unit);
    const ofStep = getOrAdd(groups, unit.step, () => new Map());
    const group = getOrAdd(ofStep, isGuaranteed, () => ({
      units: [],
      isGuaranteed,
      queue: unit.job.currentQueue(input.tables.queues),
      arrivalMs: unit.step.occurrence.dueAtMs,
      criticalPathMs: pass.criticalPathMs(unit.job),
      failedRunsMs: pass.failedRunsMs(unit.step.occurrence),
    }));
    group.units.push(unit);
  }
  const ranked = [...groups.values()].flatMap(g => [...g.values()]);
  for (const {units} of ranked)
    units.sort((a, b) => a.tasks[0].index - b.tasks[0].index);
  return ranked.sort((a, b) => compareWaiting(a, b, input.nowMs));
}

/**
 * Finds workers for the unit. It runs slower off its rack, so it first waits for the rack,
 * unless the rack could not hold it even when empty.
 */
function findWorkers(
  unit: Unit,
  group: WaitingGroup,
  candidates: readonly CandidateWorker[],
  pass: PlanningPass,
): Placement {
  const {spec} = unit.step;
  const count = unit.tasks.length;
  const {effort, input} = pass;
  const onRack = {allowOtherRacks: false, effort};
  const placement = place(spec, count, candidates, onRack);
  if (placement || !dependsOnRack(spec, count)) return placement;
  if (!isBetterElsewhere(unit, group, pass)) {
    const all = pass.candidatesOf(pass.serviceOf(unit));
    const empty = all.map(candidate => ({
      ...candidate,
      free: input.pool.get(candidate.worker)!.report.capacity,
      stepTasks: 0,
    }));
    if (canPlace(spec, count, empty, onRack)) return undefined;
  }
  return place(spec, count, candidates, {allowOtherRacks: true, effort});
}

/** Whether a unit whose rack is full should run on other racks. */
function isBetterElsewhere(
  unit: Unit,
  group: WaitingGroup,
  pass: PlanningPass,
): boolean {
  return mayUseOtherRacks({
    isGuaranteed: group.isGuaranteed,
    nowMs: pass.input.nowMs,
    waitsSinceMs: unit.waitsSinceMs,
    runMs: pass.expectedRunMs(unit),
    afterMs: pass.pathAfterMs(unit),
    objectiveAtMs: objectiveAtMs(group),
    lateLimitAtMs: lateLimitAtMs(group),
    useShare: pass.useShare(pass.serviceOf(unit)),
  });
}

/** The candidate as one unit sees it. */
function forUnit(candidate: CandidateWorker, unit: Unit): CandidateWorker {
  const {worker} = candidate;
  const agent = agentOf(worker);
  const hasFailed =
    unit.failedAgents.includes(agent) || unit.crashedAgents.has(agent);
  return {
    ...candidate,
    stepTasks: unit.step.spec.maxPerWorker
      ? unit.step.tasks.filter(t => t.worker === worker).length
      : 0,
    penalty: candidate.penalty + (hasFailed ? UNHEALTHY_PENALTY : 0),
  };
}

/** Preemptible units on the candidate workers, by the name of their first task. */
function victimsFor(
  unit: Unit,
  candidates: readonly CandidateWorker[],
  pass: PlanningPass,
): Map<string, PreemptibleUnit> {
  const allowed = candidates.filter(c => hasRequiredLabel(unit.step.spec, c));
  const workers = new Set(allowed.map(c => c.worker));
  const found = pass
    .preemptibleUnits()
    .filter(({victim}) => victim.freed.some(f => workers.has(f.worker)));
  return new Map(found.map(p => [p.victim.id, p]));
}

/** Preemption that frees capacity for the unit, on its own rack if possible. */
function findPreemption(
  unit: Unit,
  group: WaitingGroup,
  candidates: readonly CandidateWorker[],
  units: ReadonlyMap<string, PreemptibleUnit>,
  pass: PlanningPass,
): PreemptionPlan | undefined {
  const {spec} = unit.step;
  const count = unit.tasks.length;
  const {effort} = pass;
  const victims = [...units.values()].map(p => p.victim);
  pass.victimsConsidered += victims.length;
  const onRack = {allowOtherRacks: false, effort};
  const plan = planPreemption(spec, count, candidates, victims, onRack);
  if (plan || !dependsOnRack(spec, count)) return plan;
  if (!group.isGuaranteed && !isBetterElsewhere(unit, group, pass))
    return undefined;
  const onAnyRack = {allowOtherRacks: true, effort};
  return planPreemption(spec, count, candidates, victims, onAnyRack);
}

/** Waiting units of priority 0 that lie within the guarantee of their workspace. */
function guaranteedUnits(input: PlanInput): Set<Unit> {
  const inUse = new Map<string, number>();
  const add = (unit: Unit): number => {
    const workspace = unit.job.spec.workspace ?? '';
    const used = (inUse.get(workspace) ?? 0) + totalRequest(unit).accelerators;
    inUse.set(workspace, used);
    return used;
  };
  const isUrgent = (unit: Unit): boolean =>
    unit.job.currentQueue(input.tables.queues).priority === 0;
  for (const unit of input.placed) if (isUrgent(unit)) add(unit);
  const guaranteed = new Set<Unit>();
  const urgent = [...input.waiting].filter(isUrgent);
  urgent.sort((a, b) => a.job.acceptedAtMs - b.job.acceptedAtMs);
  for (const unit of urgent) {
    const {workspace} = unit.job.spec;
    if (!workspace) continue;
    const limit =
      input.tables.workspaces.get(workspace)?.guaranteedAccelerators ?? 0;
    if (add(unit) <= limit) guaranteed.add(unit);
  }
  return guaranteed;
}

/** Whether preempting loses less work than the unit has; not needed within a guarantee. */
function isCheaperThanWork(
  unit: Unit,
  costCoreMs: number,
  pass: PlanningPass,
): boolean {
  const {spec} = unit.step;
  const ownCoreMs =
    pass.expectedRunMs(unit) *
    coreEquivalents(spec.request) *
    unit.tasks.length;
  return costCoreMs < ownCoreMs;
}

function isDone(task: TrackedTask): boolean {
  return task.state === TaskState.DONE;
}
