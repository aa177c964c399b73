/**
 * Simulates the job engine under load on a virtual clock, with workers of different
 * speeds. Records waiting times, the work discarded by stops and how long the leader is
 * busy between two commits. Injects no failures.
 */
import {
  type AddressedOrder,
  type RunStatus,
} from '../src/jobs/engine_messages.js';
import {
  type JobSpec,
  type JobTables,
  type Queue,
  type Resources,
  type StepSpec,
  addResources,
  coreEquivalents,
  fits,
  subtractResources,
} from '../src/jobs/job.js';
import {type EngineEvent, JobEngine} from '../src/jobs/job_engine.js';
import {type PassSize} from '../src/jobs/planner.js';
import {PlanningSchedule} from '../src/jobs/planning_schedule.js';
import {type WorkerReport, workerKey} from '../src/jobs/worker_pool.js';
import {RunEndKind, type EndedRun} from '../src/ports/task_worker.js';

/** Step of the virtual clock, in ms. */
const TICK_INTERVAL_MS = 50;
/** Interval between reports of an agent, in ms. */
const REPORT_INTERVAL_MS = 500;
/** Delay until an order is carried out, in ms. */
const ORDER_DELAY_MS = 20;
/** Time that a stop takes, in ms; specified by the users. */
const STOP_DURATION_MS = 200;
/** Interval between updates of a run's reported progress, in ms. */
const PROGRESS_INTERVAL_MS = 1000;
const CONTACT_TIMEOUT_MS = 60_000;

interface Run {
  readonly task: string;
  readonly run: number;
  readonly request: Resources;
  readonly startedAtMs: number;
  /** Remaining work, in ms on a worker of speed 1. */
  remainingMs: number;
  stopsAtMs: number;
}

/** Times of one job, in ms of the virtual clock. */
export interface JobTimestamps {
  readonly id: string;
  readonly queue: string;
  readonly acceptedAtMs: number;
  /** Time at which all tasks of the first step had started. */
  startedAtMs: number | undefined;
  doneAtMs: number | undefined;
}

class SimulatedWorker {
  readonly runs = new Map<string, Run>();
  unacknowledgedEnds: EndedRun[] = [];
  nextReportAtMs = REPORT_INTERVAL_MS;
  private nextEndNumber = 1;
  freeResources: Resources;
  /** Work done per ms, relative to a worker of speed 1. */
  speed = 1;

  constructor(
    readonly agent: string,
    readonly report: WorkerReport,
  ) {
    this.freeResources = report.capacity;
  }

  get key(): string {
    return workerKey(this.agent, this.report.id, this.report.bornMs);
  }

  addRun(run: Run): void {
    this.runs.set(run.task, run);
    this.freeResources = subtractResources(this.freeResources, run.request);
  }

  endRun(run: Run, kind: RunEndKind): void {
    this.runs.delete(run.task);
    this.freeResources = addResources(this.freeResources, run.request);
    const {task, run: number} = run;
    this.unacknowledgedEnds.push({
      number: this.nextEndNumber++,
      task,
      run: number,
      kind,
      checkpoint: '',
    });
  }
}

export interface LoadSimulationOptions {
  readonly queues: readonly Queue[];
  /** Number of guaranteed accelerators by workspace. */
  readonly guarantees: Readonly<Record<string, number>>;
  readonly workers: number;
  readonly racks: number;
  readonly capacity: Resources;
  /**
   * Number of worker checks that the leader's processor makes in one ms. By default,
   * planning takes no time.
   */
  readonly workerChecksPerMs?: number;
  /** Called for the first task of each unit that is stopped for other work. */
  readonly onPreempted?: (task: string, atMs: number) => void;
}

interface Job {
  readonly spec: JobSpec;
  /** Actual work of a task of each step, in ms on a worker of speed 1. */
  readonly workMs: readonly number[];
  readonly startedTasks: Set<string>;
}

export class LoadSimulation {
  nowMs = 0;
  readonly jobTimestamps = new Map<string, JobTimestamps>();
  /** Work discarded by stops, in core-ms; an accelerator counts as several cores. */
  discardedCoreMs = 0;
  stopCount = 0;
  /** Longest time between two commits of the leader, in ms. */
  longestCommitGapMs = 0;
  /** Sizes of all passes with waiting work. */
  readonly passSizes: PassSize[] = [];
  private committedAtMs = 0;
  private advancedAtMs = 0;
  /** Number of units that were stopped for other work, started or not. */
  preemptionCount = 0;
  /** Descriptions of violated invariants. */
  readonly violations: string[] = [];
  readonly events: EngineEvent[] = [];
  private readonly engine: JobEngine;
  private readonly schedule = new PlanningSchedule();
  private readonly workers: SimulatedWorker[];
  private readonly jobs = new Map<string, Job>();
  private ordersInFlight: {
    readonly order: AddressedOrder;
    readonly atMs: number;
  }[] = [];

  constructor(private readonly options: LoadSimulationOptions) {
    const tables: JobTables = {
      version: 1,
      queues: new Map(options.queues.map(q => [q.name, q])),
      workspaces: new Map(
        Object.entries(options.guarantees).map(([name, accelerators]) => [
          name,
          {name, guaranteedAccelerators: accelerators},
        ]),
      ),
    };
    this.engine = new JobEngine(tables, {
      contactTimeoutMs: CONTACT_TIMEOUT_MS,
      endedJobRetentionMs: 1e9,
      onEvent: event => {
        this.events.push(event);
        if (event.event === 'preempted')
          options.onPreempted?.(event.task!, this.nowMs);
      },
    });
    this.workers = Array.from({length: options.workers}, (unused, i) =>
      this.makeWorker(i),
    );
    this.advance(REPORT_INTERVAL_MS);
  }

  /** Submits a job; `workMs` is the actual work of a task of each step, in ms. */
  submit(
    queue: string,
    workspace: string,
    steps: readonly StepSpec[],
    workMs: readonly number[],
  ): string {
    const id = `job${this.jobs.size}`;
    const spec: JobSpec = {
      id,
      queue,
      workspace,
      acceptedWallMs: this.nowMs,
      payload: id,
      steps,
      queueAtHandIn: this.options.queues.find(q => q.name === queue)!,
    };
    this.jobs.set(id, {spec, workMs, startedTasks: new Set()});
    this.jobTimestamps.set(id, {
      id,
      queue,
      acceptedAtMs: this.nowMs,
      startedAtMs: undefined,
      doneAtMs: undefined,
    });
    this.engine.addJob(spec, this.nowMs, this.nowMs);
    this.schedule.request();
    this.planIfDue();
    this.commitBatch();
    return id;
  }

  setSpeed(worker: number, speed: number): void {
    this.workers[worker].speed = speed;
  }

  get freeAccelerators(): number {
    return this.workers.reduce((n, w) => n + w.freeResources.accelerators, 0);
  }

  advance(ms: number): void {
    const untilMs = this.nowMs + ms;
    while (this.nowMs < untilMs) {
      this.nowMs += TICK_INTERVAL_MS;
      const elapsedMs = this.nowMs - this.advancedAtMs;
      this.advancedAtMs = this.nowMs;
      this.deliverOrders();
      for (const worker of this.workers) this.advanceRuns(worker, elapsedMs);
      this.engine.tick(this.nowMs, this.nowMs);
      this.planIfDue();
      this.commitBatch();
    }
  }

  /** Plans like the leader, and advances the clock by the processor time of the pass. */
  private planIfDue(): void {
    if (this.schedule.delayMs(this.nowMs) > 0) return;
    const startMs = this.nowMs;
    const size = this.engine.plan(startMs);
    if (size.waitingUnits > 0) this.passSizes.push(size);
    this.nowMs +=
      size.workerChecks / (this.options.workerChecksPerMs ?? Infinity);
    this.schedule.recordPass(startMs, this.nowMs);
  }

  private makeWorker(index: number): SimulatedWorker {
    const rack = `r${index % this.options.racks}`;
    return new SimulatedWorker(`a${index}`, {
      id: `w${index}`,
      bornMs: 1,
      dataCentre: 'dc1',
      service: this.options.queues[0].service,
      rack,
      labels: ['a', rack],
      capacity: this.options.capacity,
      draining: false,
      drainRemainingMs: 0,
    });
  }

  private commitBatch(): void {
    const gapMs = this.nowMs - this.committedAtMs;
    this.longestCommitGapMs = Math.max(this.longestCommitGapMs, gapMs);
    this.committedAtMs = this.nowMs;
    const batch = this.engine.takeBatch();
    const orders = [
      ...this.engine.takeOrders(),
      ...(batch ? this.engine.confirmCommit(batch.orders, this.nowMs) : []),
    ];
    for (const order of orders)
      this.ordersInFlight.push({order, atMs: this.nowMs + ORDER_DELAY_MS});
  }

  private deliverOrders(): void {
    const due = this.ordersInFlight.filter(f => f.atMs <= this.nowMs);
    this.ordersInFlight = this.ordersInFlight.filter(f => f.atMs > this.nowMs);
    for (const {order} of due) {
      const worker = this.workers.find(w => w.agent === order.agent)!;
      if (order.order.type === 'start') this.startRun(worker, order.order);
      else if (order.order.type === 'stop') {
        const run = worker.runs.get(order.order.task);
        if (run?.run === order.order.run)
          run.stopsAtMs = this.nowMs + STOP_DURATION_MS;
      } else {
        const {upTo} = order.order;
        worker.unacknowledgedEnds = worker.unacknowledgedEnds.filter(
          e => e.number > upTo,
        );
      }
    }
  }

  private startRun(
    worker: SimulatedWorker,
    ref: {task: string; run: number},
  ): void {
    if (worker.runs.has(ref.task)) return;
    const [id, , step] = ref.task.split('.');
    const job = this.jobs.get(id)!;
    const {request, preferredRack} = job.spec.steps[Number(step)];
    if (!fits(request, worker.freeResources))
      this.violations.push(
        `${ref.task} exceeds the free capacity of the worker of ${worker.agent}`,
      );
    const isOnOtherRack = preferredRack && preferredRack !== worker.report.rack;
    worker.addRun({
      ...ref,
      request,
      startedAtMs: this.nowMs,
      remainingMs:
        job.workMs[Number(step)] * (isOnOtherRack ? OTHER_RACK_FACTOR : 1),
      stopsAtMs: Infinity,
    });
    if (step !== '0') return;
    job.startedTasks.add(ref.task);
    const timestamps = this.jobTimestamps.get(id)!;
    if (job.startedTasks.size === job.spec.steps[0].count)
      timestamps.startedAtMs ??= this.nowMs;
  }

  private advanceRuns(worker: SimulatedWorker, elapsedMs: number): void {
    for (const run of [...worker.runs.values()]) {
      if (this.nowMs >= run.stopsAtMs) this.completeStop(worker, run);
      else if ((run.remainingMs -= elapsedMs * worker.speed) <= 0)
        worker.endRun(run, RunEndKind.DONE);
    }
    const isDue =
      this.nowMs >= worker.nextReportAtMs ||
      worker.unacknowledgedEnds.length > 0;
    if (isDue) this.reportInventory(worker);
    this.recordDoneJobs(worker);
  }

  private completeStop(worker: SimulatedWorker, run: Run): void {
    this.stopCount++;
    this.discardedCoreMs +=
      coreEquivalents(run.request) * (this.nowMs - run.startedAtMs);
    worker.endRun(run, RunEndKind.STOPPED);
  }

  private recordDoneJobs(worker: SimulatedWorker): void {
    if (worker.unacknowledgedEnds.length === 0) return;
    for (const {event, job, reason} of this.events.splice(0)) {
      if (event === 'preempted') this.preemptionCount++;
      if (event === 'jobEnded' && reason === 'completed')
        this.jobTimestamps.get(job!)!.doneAtMs ??= this.nowMs;
    }
  }

  private reportInventory(worker: SimulatedWorker): void {
    const runs = [...worker.runs.values()].map(run =>
      this.runStatusOf(worker, run),
    );
    const {report, unacknowledgedEnds: ends} = worker;
    const inventory = {worker: report, runs, ends};
    this.engine.recordInventory(worker.agent, inventory, this.nowMs);
    while (worker.nextReportAtMs <= this.nowMs)
      worker.nextReportAtMs += REPORT_INTERVAL_MS;
    this.schedule.request();
  }

  private runStatusOf(worker: SimulatedWorker, run: Run): RunStatus {
    const {task, run: number, remainingMs: leftMs, startedAtMs} = run;
    const ranMs = this.nowMs - startedAtMs;
    const reportedMs = ranMs - (ranMs % PROGRESS_INTERVAL_MS);
    // Progress at the last update, calculated with the current speed of the worker.
    const doneMs = reportedMs * worker.speed;
    const totalMs = ranMs * worker.speed + leftMs;
    const percent = Math.min(99, Math.floor((100 * doneMs) / totalMs));
    return {task, run: number, isRunning: true, checkpoint: '', percent};
  }
}

/**
 * Run time on a rack other than the preferred one, which holds the data, as a multiple
 * of the run time on the preferred rack; specified by the users.
 */
const OTHER_RACK_FACTOR = 3;
