/**
 * Planning pass: decides where waiting work is placed, and which runs are preempted to
 * free capacity for urgent work. It only decides; the engine carries out the decisions.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {
  type JobTables,
  type StepSpec,
  addResources,
  coreEquivalents,
} from './job.js';
import {
  type WaitingWork,
  compareWaiting,
  lateLimitAtMs,
  objectiveAtMs,
} from './placement_order.js';
import {
  type TrackedJob,
  type TrackedTask,
  type Unit,
  totalRequest,
} from './tracked_job.js';
import {
  type CandidateWorker,
  type SearchEffort,
  fitsWhenEmpty,
  hasRequiredLabel,
  place,
} from './placement.js';
import {type Victim, planPreemption} from './preemption_plan.js';
import {TaskState} from './job_rows.js';
import {type RunTimeEstimates} from './run_time_estimates.js';
import {minConcurrentTasks, countWaves} from './step_waves.js';
import {type WorkerPool, type TrackedWorker, agentOf} from './worker_pool.js';
import {UNHEALTHY_PENALTY, type FailureTracker} from './failure_tracker.js';

/** Longest wait for the preferred rack, as a fraction of the expected run time. */
const RACK_WAIT_SHARE = 0.5; // on other racks a task takes three times as long
/** Longest wait for running tasks to finish before others are preempted, in ms. */
const MAX_END_WAIT_MS = 1200; // guaranteed work must begin in 2.7 s; stops take 0.6 s
/** The same limit as a fraction of the expected run time; the shorter one applies. */
const END_WAIT_SHARE = 0.2; // urgent work may take 1.5 times its run time
/** Time for which preempted capacity is held for the work that needs it, in ms. */
const CAPACITY_HOLD_MS = 2000; // a stop takes up to 400 ms, then its end is recorded

/** Late work may preempt when fewer run times than this remain to its late limit. */
const LATE_LIMIT_MARGIN_RUNS = 2; // its own run, and one run that may end before it

export interface PlanInput {
  readonly nowMs: number;
  readonly tables: JobTables;
  readonly waiting: ReadonlySet<Unit>;
  /** Placed units; they count towards guarantees and may be preempted. */
  readonly placed: ReadonlySet<Unit>;
  readonly pool: WorkerPool;
  readonly failureTracker: FailureTracker;
  readonly runTimes: RunTimeEstimates;
}

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
  PREEMPTION_IN_PROGRESS: 'capacity is being freed for it',
  PREEMPTION_NOT_NEEDED: 'objective needs no preemption yet',
  RUNS_END_SOON: 'runs that end soon free enough capacity',
  TOO_FEW_VICTIMS: 'preemption would not free enough capacity',
  TOO_COSTLY: 'preemption would lose more work than this work amounts to',
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

interface Hold {
  readonly unit: Unit;
  readonly untilMs: number;
}

interface WaitingUnit extends WaitingWork {
  readonly unit: Unit;
}

export class Planner {
  /** Workers held for a unit for which capacity is being freed, by worker key. */
  private readonly holds = new Map<string, Hold>();
  private readonly effort: SearchEffort = {workerChecks: 0};
  private victimsConsidered = 0;

  plan(input: PlanInput, output: PlanOutput): PassSize {
    this.effort.workerChecks = 0;
    this.victimsConsidered = 0;
    const waitingUnits = input.waiting.size;
    this.placeWaiting(input, output);
    return {
      waitingUnits,
      workers: input.pool.workers.size,
      workerChecks: this.effort.workerChecks,
      victims: this.victimsConsidered,
    };
  }

  private placeWaiting(input: PlanInput, output: PlanOutput): void {
    this.releaseHolds(input);
    for (const waitingUnit of this.rankWaiting(input)) {
      const {unit} = waitingUnit;
      if (input.nowMs < unit.notBeforeMs) continue;
      const candidates = this.candidatesFor(unit, input);
      if (candidates.length === 0) continue;
      const allowOtherRacks = this.allowOtherRacks(unit, candidates, input);
      const {spec} = unit.step;
      const count = unit.tasks.length;
      const workers = place(spec, count, candidates, {
        allowOtherRacks,
        effort: this.effort,
      });
      if (workers) output.place(unit, workers);
      else if (unit.job.currentQueue(input.tables.queues).priority === 0) {
        const reason = this.tryPreempt(waitingUnit, candidates, input, output);
        output.wait(unit, reason);
      }
    }
  }

  private rankWaiting(input: PlanInput): WaitingUnit[] {
    const guaranteed = guaranteedUnits(input);
    const criticalPaths = new Map<TrackedJob, number>();
    const ranked = [...input.waiting].map(unit => ({
      unit,
      isGuaranteed: guaranteed.has(unit),
      queue: unit.job.currentQueue(input.tables.queues),
      arrivalMs: unit.step.occurrence.dueAtMs,
      criticalPathMs: getOrAdd(criticalPaths, unit.job, () =>
        expectedCriticalPathMs(unit.job, input),
      ),
    }));
    return ranked.sort(
      (a, b) =>
        compareWaiting(a, b, input.nowMs) ||
        a.unit.tasks[0].index - b.unit.tasks[0].index,
    );
  }

  private candidatesFor(unit: Unit, input: PlanInput): CandidateWorker[] {
    const {service} = unit.job.currentQueue(input.tables.queues);
    return input.pool
      .ofService(service)
      .filter(w => w.acceptsWork(input.nowMs) && !this.isHeldForOther(w, unit))
      .map(w => toCandidate(w, unit, input));
  }

  private isHeldForOther(worker: TrackedWorker, unit: Unit): boolean {
    const hold = this.holds.get(worker.key);
    return hold !== undefined && hold.unit !== unit;
  }

  /**
   * Whether the unit may be placed off its rack. It runs slower there, so it first waits
   * for the rack, unless the rack could not hold it even when empty.
   */
  private allowOtherRacks(
    unit: Unit,
    candidates: readonly CandidateWorker[],
    input: PlanInput,
  ): boolean {
    const {spec} = unit.step;
    const expectedMs = expectedRunMs(unit, input);
    if (input.nowMs - unit.readyAtMs > expectedMs * RACK_WAIT_SHARE)
      return true;
    const empty = candidates.map(candidate => ({
      ...candidate,
      free: input.pool.get(candidate.worker)!.report.capacity,
      stepTasks: 0,
    }));
    const rules = {allowOtherRacks: false, effort: this.effort};
    return !fitsWhenEmpty(spec, unit.tasks.length, empty, rules);
  }

  private tryPreempt(
    waitingUnit: WaitingUnit,
    candidates: readonly CandidateWorker[],
    input: PlanInput,
    output: PlanOutput,
  ): WaitReason {
    const {unit} = waitingUnit;
    if ([...this.holds.values()].some(h => h.unit === unit))
      return WaitReason.PREEMPTION_IN_PROGRESS;
    if (!waitingUnit.isGuaranteed && !this.needsCapacityNow(waitingUnit, input))
      return WaitReason.PREEMPTION_NOT_NEEDED;
    if (this.holdEndingCapacity(unit, candidates, input))
      return WaitReason.RUNS_END_SOON;
    const units = victimsFor(unit, candidates, input);
    const victims = [...units].map(([id, victim]) =>
      toVictim(id, victim, input.nowMs),
    );
    this.victimsConsidered += victims.length;
    const {spec} = unit.step;
    const count = unit.tasks.length;
    const {effort} = this;
    const plan =
      planPreemption(spec, count, candidates, victims, {
        allowOtherRacks: false,
        effort,
      }) ??
      planPreemption(spec, count, candidates, victims, {
        allowOtherRacks: true,
        effort,
      });
    if (!plan) return WaitReason.TOO_FEW_VICTIMS;
    if (
      !waitingUnit.isGuaranteed &&
      !isCheaperThanWork(unit, plan.costCoreMs, input)
    )
      return WaitReason.TOO_COSTLY;
    for (const victim of plan.victims)
      output.preempt(units.get(victim.id)!, unit);
    const untilMs = input.nowMs + CAPACITY_HOLD_MS;
    for (const worker of plan.placement)
      this.holds.set(worker, {unit, untilMs});
    return WaitReason.PREEMPTION_IN_PROGRESS;
  }

  /** Whether the work would miss its objective or late limit without preemption now. */
  private needsCapacityNow(
    waitingUnit: WaitingUnit,
    input: PlanInput,
  ): boolean {
    const {unit} = waitingUnit;
    const runMs = expectedRunMs(unit, input);
    const meetsObjective = input.nowMs + runMs <= objectiveAtMs(waitingUnit);
    if (!meetsObjective) {
      const marginMs = lateLimitAtMs(waitingUnit) - input.nowMs;
      // Work past its late limit has no value that justifies lost work.
      return marginMs >= runMs && marginMs < LATE_LIMIT_MARGIN_RUNS * runMs;
    }
    if (unit.isGang) return true;
    const {step} = unit;
    const leftMs =
      objectiveAtMs(waitingUnit) - input.nowMs - pathAfterMs(unit, input);
    const tasksLeft = step.tasks.filter(t => !isDone(t)).length;
    const placed = step.tasks.filter(t => t.isPlaced && !t.isStopping).length;
    const held = new Set(
      [...this.holds.values()].map(h => h.unit).filter(u => u.step === step),
    );
    return placed + held.size < minConcurrentTasks({tasksLeft, runMs, leftMs});
  }

  /** Whether a unit would fit now on healthy workers other than one agent's worker. */
  fitsElsewhere(unit: Unit, agent: string, input: PlanInput): boolean {
    const candidates = this.candidatesFor(unit, input).filter(
      r => agentOf(r.worker) !== agent && r.penalty < UNHEALTHY_PENALTY,
    );
    const {spec} = unit.step;
    return (
      place(spec, unit.tasks.length, candidates, {
        allowOtherRacks: true,
        effort: this.effort,
      }) !== undefined
    );
  }

  /** Holds workers whose runs will soon free enough capacity; false if none do. */
  private holdEndingCapacity(
    unit: Unit,
    candidates: readonly CandidateWorker[],
    input: PlanInput,
  ): boolean {
    const {spec} = unit.step;
    const expectedMs = expectedRunMs(unit, input);
    const waitMs = Math.min(MAX_END_WAIT_MS, expectedMs * END_WAIT_SHARE);
    const leftMs = waitMs - (input.nowMs - unit.readyAtMs);
    if (leftMs <= 0) return false;
    const candidatesSoon = candidatesAfter(candidates, leftMs, input);
    const rules = {allowOtherRacks: false, effort: this.effort};
    const placement = place(spec, unit.tasks.length, candidatesSoon, rules);
    if (!placement) return false;
    const untilMs = input.nowMs + leftMs;
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

function toCandidate(
  worker: TrackedWorker,
  unit: Unit,
  input: PlanInput,
): CandidateWorker {
  const stepTasks = unit.step.spec.maxPerWorker
    ? unit.step.tasks.filter(t => t.worker === worker.key).length
    : 0;
  const failurePenalty = unit.failedAgents.includes(worker.agent)
    ? UNHEALTHY_PENALTY
    : 0;
  return {
    worker: worker.key,
    rack: worker.report.rack,
    labels: worker.report.labels,
    free: worker.free,
    stepTasks,
    penalty:
      input.failureTracker.penalty(worker.agent, input.nowMs) + failurePenalty,
  };
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

/** Candidates with the capacity that will be free after `withinMs`. */
function candidatesAfter(
  candidates: readonly CandidateWorker[],
  withinMs: number,
  input: PlanInput,
): CandidateWorker[] {
  const after = new Map(candidates.map(r => [r.worker, {...r}]));
  for (const unit of input.placed) {
    const {spec} = unit.step;
    for (const task of unit.tasks) {
      const candidate = after.get(task.worker);
      if (!task.isPlaced || !candidate) continue;
      const remainingTaskMs = task.isStopping ? 0 : remainingMs(task, input);
      if (remainingTaskMs <= withinMs)
        candidate.free = addResources(candidate.free, spec.request);
    }
  }
  return [...after.values()];
}

/** Expected remaining run time of a placed task, in ms. */
function remainingMs(task: TrackedTask, input: PlanInput): number {
  const {spec, occurrence} = task.step;
  return input.runTimes.remainingMs(
    occurrence.job.spec.queue,
    spec.estimateMs,
    {
      ranMs: ranMs(task, input.nowMs),
      percent: task.percent,
    },
  );
}

/** Lower-priority units on the candidate workers, by the name of their first task. */
function victimsFor(
  unit: Unit,
  candidates: readonly CandidateWorker[],
  input: PlanInput,
): Map<string, Unit> {
  const allowed = candidates.filter(r => hasRequiredLabel(unit.step.spec, r));
  const workers = new Set(allowed.map(r => r.worker));
  const victims = new Map<string, Unit>();
  for (const placed of input.placed) {
    if (placed.job.currentQueue(input.tables.queues).priority === 0) continue;
    if (placed.isStopping || placed.job.isEnded) continue;
    if (placed.tasks.some(t => t.isPlaced && workers.has(t.worker)))
      victims.set(placed.tasks[0].name, placed);
  }
  return victims;
}

function toVictim(id: string, unit: Unit, nowMs: number): Victim {
  const placed = unit.tasks.filter(t => t.isPlaced);
  return {
    id,
    freed: placed.map(t => ({
      worker: t.worker,
      request: unit.step.spec.request,
    })),
    costCoreMs: unit.stopCostCoreMs(nowMs),
  };
}

/** Whether preempting loses less work than the unit has; not needed within a guarantee. */
function isCheaperThanWork(
  unit: Unit,
  costCoreMs: number,
  input: PlanInput,
): boolean {
  const {spec} = unit.step;
  const ownCoreMs =
    expectedRunMs(unit, input) *
    coreEquivalents(spec.request) *
    unit.tasks.length;
  return costCoreMs < ownCoreMs;
}

function expectedRunMs(unit: Unit, input: PlanInput): number {
  return input.runTimes.expectedMs(
    unit.job.spec.queue,
    unit.step.spec.estimateMs,
  );
}

/** Expected critical path of the job in ms; a wide step counts in waves. */
function expectedCriticalPathMs(job: TrackedJob, input: PlanInput): number {
  const {steps} = job.spec;
  const ends: number[] = [];
  for (const step of steps) {
    const startMs = Math.max(0, ...step.after.map(i => ends[i]));
    ends.push(startMs + expectedStepMs(job, step, input));
  }
  return Math.max(0, ...ends);
}

/** Expected critical path of the steps that follow the unit's step, in ms. */
function pathAfterMs(unit: Unit, input: PlanInput): number {
  const {steps} = unit.job.spec;
  const after = steps.map(() => 0);
  for (let i = steps.length - 1; i >= 0; i--) {
    const wholeMs = after[i] + expectedStepMs(unit.job, steps[i], input);
    for (const before of steps[i].after)
      after[before] = Math.max(after[before], wholeMs);
  }
  return after[unit.step.number];
}

function expectedStepMs(
  job: TrackedJob,
  step: StepSpec,
  input: PlanInput,
): number {
  const runMs = input.runTimes.expectedMs(job.spec.queue, step.estimateMs);
  if (step.gang) return runMs;
  const {service} = job.currentQueue(input.tables.queues);
  return (
    runMs *
    countWaves(step.count, input.pool.taskCapacity(service, step.request))
  );
}

function isDone(task: TrackedTask): boolean {
  return task.state === TaskState.DONE;
}

/** Time for which a placed task has been running, in ms; 0 before it starts. */
export function ranMs(task: TrackedTask, nowMs: number): number {
  return task.runningSinceMs === 0 ? 0 : nowMs - task.runningSinceMs;
}
