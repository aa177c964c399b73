/**
 * State of one planning pass: what many waiting units ask for is computed once and kept
 * up to date while the pass places and preempts work.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {
  type JobTables,
  type Resources,
  type StepSpec,
  addResources,
} from './job.js';
import {
  type TrackedJob,
  type TrackedOccurrence,
  type TrackedTask,
  type Unit,
  ranMs,
} from './tracked_job.js';
import {type CandidateWorker, type SearchEffort} from './placement.js';
import {type Victim} from './preemption_plan.js';
import {type RunTimeEstimates} from './run_time_estimates.js';
import {SuspectRuns} from './suspect_placement.js';
import {type UrgentDemand} from './urgent_demand.js';
import {type HeadroomWorker, type UrgentHeadroom} from './urgent_headroom.js';
import {countWaves} from './step_waves.js';
import {type WorkerPool, type TrackedWorker} from './worker_pool.js';
import {type FailureTracker} from './failure_tracker.js';

export interface PlanInput {
  readonly nowMs: number;
  readonly tables: JobTables;
  readonly waiting: ReadonlySet<Unit>;
  /** Placed units; they count towards guarantees and may be preempted. */
  readonly placed: ReadonlySet<Unit>;
  /** Whether the workers and their runs are known well enough to stop any of them. */
  readonly mayPreempt: boolean;
  readonly pool: WorkerPool;
  readonly failureTracker: FailureTracker;
  readonly runTimes: RunTimeEstimates;
  readonly urgentDemand: UrgentDemand;
  readonly urgentHeadroom: UrgentHeadroom;
}

/** A placed unit that may be preempted. */
export interface PreemptibleUnit {
  readonly unit: Unit;
  readonly victim: Victim;
}

/** Resources that a run will free on its worker when it ends. */
interface EndingRun {
  readonly worker: string;
  readonly request: Resources;
  readonly remainingMs: number;
}

export class PlanningPass {
  readonly effort: SearchEffort = {workerChecks: 0};
  readonly suspects: SuspectRuns;
  /** Number of units that were considered for preemption. */
  victimsConsidered = 0;
  private readonly candidates = new Map<string, CandidateWorker[]>();
  private readonly taskCapacities = new Map<string, number>();
  private readonly criticalPaths = new Map<TrackedJob, number>();
  private readonly useShares = new Map<string, number>();
  private readonly headrooms = new Map<string, ReadonlySet<string>>();
  private preemptible: PreemptibleUnit[] | undefined;
  /** Placed runs in the order in which they are expected to end. */
  private endingRuns: EndingRun[] | undefined;

  constructor(readonly input: PlanInput) {
    this.suspects = new SuspectRuns(input.placed);
  }

  /** Workers of a service that accept work, with their present free capacity. */
  candidatesOf(service: string): readonly CandidateWorker[] {
    const {pool, nowMs} = this.input;
    return getOrAdd(this.candidates, service, () =>
      pool
        .ofService(service)
        .filter(w => w.acceptsWork(nowMs))
        .map(w => this.toCandidate(w)),
    );
  }

  /** Takes over the free capacity of workers on which work was placed. */
  recordPlacement(unit: Unit, workers: readonly string[]): void {
    const placedOn = new Set(workers);
    for (const candidate of this.candidatesOf(this.serviceOf(unit))) {
      if (placedOn.has(candidate.worker))
        candidate.free = this.input.pool.get(candidate.worker)!.free;
    }
    this.suspects.add(unit);
    this.endingRuns = undefined;
  }

  /** Takes into account that a unit is being stopped. */
  recordPreemption(unit: Unit): void {
    this.preemptible = this.preemptible?.filter(p => p.unit !== unit);
    this.endingRuns = undefined;
  }

  /** Units of lower priority that run, in ascending order of the work that a stop loses. */
  preemptibleUnits(): readonly PreemptibleUnit[] {
    return (this.preemptible ??= this.findPreemptible());
  }

  /** Candidates with the capacity that will be free after `withinMs`. */
  candidatesAfter(
    candidates: readonly CandidateWorker[],
    withinMs: number,
  ): CandidateWorker[] {
    const after = new Map(candidates.map(c => [c.worker, {...c}]));
    this.endingRuns ??= this.findEndingRuns();
    for (const {worker, request, remainingMs} of this.endingRuns) {
      if (remainingMs > withinMs) break;
      const candidate = after.get(worker);
      if (candidate) candidate.free = addResources(candidate.free, request);
    }
    return [...after.values()];
  }

  /** Expected time until the worker has no runs, in ms. */
  emptyAfterMs(worker: string): number {
    this.endingRuns ??= this.findEndingRuns();
    const runs = this.endingRuns.filter(r => r.worker === worker);
    return runs.at(-1)?.remainingMs ?? 0;
  }

  serviceOf(unit: Unit): string {
    return unit.job.currentQueue(this.input.tables.queues).service;
  }

  isUrgent(unit: Unit): boolean {
    return unit.job.currentQueue(this.input.tables.queues).priority === 0;
  }

  expectedRunMs(unit: Unit): number {
    return this.input.runTimes.expectedMs(
      unit.job.spec.queue,
      unit.step.spec.estimateMs,
    );
  }

  /** Expected critical path of the job in ms; a wide step counts in waves. */
  criticalPathMs(job: TrackedJob): number {
    return getOrAdd(this.criticalPaths, job, () => {
      const ends: number[] = [];
      for (const step of job.spec.steps) {
        const startMs = Math.max(0, ...step.after.map(i => ends[i]));
        ends.push(startMs + this.expectedStepMs(job, step));
      }
      return Math.max(0, ...ends);
    });
  }

  /** Expected critical path of the steps that follow the unit's step, in ms. */
  pathAfterMs(unit: Unit): number {
    const {steps} = unit.job.spec;
    const after = steps.map(() => 0);
    for (let i = steps.length - 1; i >= 0; i--) {
      const wholeMs = after[i] + this.expectedStepMs(unit.job, steps[i]);
      for (const before of steps[i].after)
        after[before] = Math.max(after[before], wholeMs);
    }
    return after[unit.step.number];
  }

  /**
   * Expected run time of the failed runs of an occurrence, in ms. Failures lie in the run
   * records, so that a new leader knows them.
   */
  failedRunsMs({job, steps}: TrackedOccurrence): number {
    const {runTimes} = this.input;
    return steps.reduce((sum, {spec, tasks}) => {
      const failures = tasks.reduce((n, t) => Math.max(n, t.failures), 0);
      if (failures === 0) return sum;
      return (
        sum + failures * runTimes.expectedMs(job.spec.queue, spec.estimateMs)
      );
    }, 0);
  }

  /** Workers of the service that are kept for urgent work. */
  headroomOf(service: string): ReadonlySet<string> {
    return getOrAdd(this.headrooms, service, () => this.findHeadroom(service));
  }

  /**
   * Share of the accelerators of a service that was in use when it was first asked for; that
   * of the processors if its workers have no accelerators.
   */
  useShare(service: string): number {
    return getOrAdd(this.useShares, service, () => {
      const used = {...NO_RESOURCES};
      const total = {...NO_RESOURCES};
      for (const {free, report} of this.input.pool.ofService(service)) {
        for (const resource of ['accelerators', 'cpu'] as const) {
          total[resource] += report.capacity[resource];
          used[resource] += report.capacity[resource] - free[resource];
        }
      }
      const resource = total.accelerators > 0 ? 'accelerators' : 'cpu';
      return total[resource] > 0 ? used[resource] / total[resource] : 0;
    });
  }

  private findHeadroom(service: string): ReadonlySet<string> {
    const {pool, urgentDemand, urgentHeadroom, nowMs} = this.input;
    if (!urgentHeadroom.isDue(service, nowMs))
      return urgentHeadroom.keptFor(service);
    const workers = pool.ofService(service).filter(w => w.acceptsWork(nowMs));
    const capacity = largestCapacity(workers);
    const peakWorkers = urgentDemand.peakWorkers(service, capacity, nowMs);
    const occupied =
      peakWorkers > 0 ? this.costlyToStop() : new Map<string, Resources>();
    return urgentHeadroom.choose(
      service,
      workers.map((w): HeadroomWorker => ({
        worker: w.key,
        rack: w.report.rack,
        capacity: w.report.capacity,
        occupied: occupied.get(w.key) ?? NO_RESOURCES,
      })),
      peakWorkers,
      nowMs,
    );
  }

  /** Room of the runs that are neither urgent nor cheap to stop, by worker. */
  private costlyToStop(): Map<string, Resources> {
    const byWorker = new Map<string, Resources>();
    for (const unit of this.input.placed) {
      const {checkpointing, request} = unit.step.spec;
      if (checkpointing || this.isUrgent(unit)) continue;
      for (const {isPlaced, isStopping, worker} of unit.tasks) {
        if (!isPlaced || isStopping) continue;
        const before = byWorker.get(worker) ?? NO_RESOURCES;
        byWorker.set(worker, addResources(before, request));
      }
    }
    return byWorker;
  }

  private expectedStepMs(job: TrackedJob, step: StepSpec): number {
    const {runTimes, tables} = this.input;
    const runMs = runTimes.expectedMs(job.spec.queue, step.estimateMs);
    if (step.gang) return runMs;
    const {service} = job.currentQueue(tables.queues);
    return (
      runMs * countWaves(step.count, this.taskCapacity(service, step.request))
    );
  }

  private taskCapacity(service: string, request: Resources): number {
    const {cpu, memoryMb, accelerators} = request;
    const key = `${service} ${cpu} ${memoryMb} ${accelerators}`;
    return getOrAdd(this.taskCapacities, key, () =>
      this.input.pool.taskCapacity(service, request),
    );
  }

  private toCandidate(worker: TrackedWorker): CandidateWorker {
    const {failureTracker, nowMs} = this.input;
    return {
      worker: worker.key,
      rack: worker.report.rack,
      labels: worker.report.labels,
      free: worker.free,
      stepTasks: 0,
      penalty: failureTracker.penalty(worker.agent, nowMs),
    };
  }

  private findPreemptible(): PreemptibleUnit[] {
    const found: PreemptibleUnit[] = [];
    for (const unit of this.input.placed) {
      if (this.isUrgent(unit) || unit.isStopping || unit.job.isEnded) continue;
      if (unit.isAgeUnknown) continue;
      found.push({unit, victim: toVictim(unit, this.input.nowMs)});
    }
    return found.sort((a, b) => a.victim.costCoreMs - b.victim.costCoreMs);
  }

  private findEndingRuns(): EndingRun[] {
    const runs: EndingRun[] = [];
    for (const unit of this.input.placed) {
      const {request} = unit.step.spec;
      for (const task of unit.tasks) {
        if (!task.isPlaced) continue;
        const {worker} = task;
        runs.push({worker, request, remainingMs: this.remainingMs(task)});
      }
    }
    return runs.sort((a, b) => a.remainingMs - b.remainingMs);
  }

  /** Expected remaining run time of a placed task, in ms. */
  private remainingMs(task: TrackedTask): number {
    if (task.isStopping) return 0;
    const {runTimes, nowMs} = this.input;
    const {spec, occurrence} = task.step;
    return runTimes.remainingMs(occurrence.job.spec.queue, spec.estimateMs, {
      ranMs: ranMs(task, nowMs),
      percent: task.percent,
    });
  }
}

const NO_RESOURCES: Resources = {cpu: 0, memoryMb: 0, accelerators: 0};

/** The capacity with most accelerators. */
function largestCapacity(workers: readonly TrackedWorker[]): Resources {
  return workers.reduce(
    (largest, {report: {capacity}}) =>
      capacity.accelerators > largest.accelerators ? capacity : largest,
    NO_RESOURCES,
  );
}

function toVictim(unit: Unit, nowMs: number): Victim {
  const placed = unit.tasks.filter(t => t.isPlaced);
  return {
    id: unit.tasks[0].name,
    freed: placed.map(t => ({
      worker: t.worker,
      request: unit.step.spec.request,
    })),
    costCoreMs: unit.stopCostCoreMs(nowMs) * (1 + unit.preemptions),
  };
}
