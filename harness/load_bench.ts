/**
 * The job engine under a load, on a virtual clock, with simulated workers that can be
 * slow. Shows who waits how long and how much work is thrown away; nothing fails here.
 */
import {
  type AddressedOrder,
  type RunNews,
} from '../src/jobs/engine_messages.js';
import {
  type JobSpec,
  type JobTables,
  type Queue,
  type Resources,
  type StepSpec,
  addResources,
  coresOf,
  fits,
  subtractResources,
} from '../src/jobs/job.js';
import {type EngineEvent, JobEngine} from '../src/jobs/job_engine.js';
import {type WorkerReport, workerKey} from '../src/jobs/worker_pool.js';
import {EndKind, type EndedRun} from '../src/ports/task_worker.js';

const TICK_MS = 50;
/** Time between two reports of an agent, in ms. */
const REPORT_MS = 500;
/** Time until an order is carried out, in ms. */
const ORDER_MS = 20;
/** Time that a stop takes, in ms. */
const STOP_MS = 200; // the users' figure
/** Time between two changes of a run's share, in ms. */
const SHARE_MS = 1000;
const SILENCE_BOUND_MS = 60_000;

interface Run {
  readonly task: string;
  readonly run: number;
  readonly request: Resources;
  readonly startedAtMs: number;
  /** Work left, in ms on a worker of speed 1. */
  leftMs: number;
  stopsAtMs: number;
}

/** What became of one job. Times are ms of the virtual clock. */
export interface JobOutcome {
  readonly id: string;
  readonly queue: string;
  readonly acceptedAtMs: number;
  /** When all tasks of its first step had begun. */
  begunAtMs: number | undefined;
  doneAtMs: number | undefined;
}

class SimWorker {
  readonly runs = new Map<string, Run>();
  ends: EndedRun[] = [];
  private nextEnd = 1;
  free: Resources;
  /** Work done in a ms. */
  speed = 1;

  constructor(
    readonly agent: string,
    readonly report: WorkerReport,
  ) {
    this.free = report.capacity;
  }

  get key(): string {
    return workerKey(this.agent, this.report.id, this.report.bornMs);
  }

  start(run: Run): void {
    this.runs.set(run.task, run);
    this.free = subtractResources(this.free, run.request);
  }

  end(run: Run, kind: EndKind): void {
    this.runs.delete(run.task);
    this.free = addResources(this.free, run.request);
    const {task, run: number} = run;
    this.ends.push({
      number: this.nextEnd++,
      task,
      run: number,
      kind,
      checkpoint: '',
    });
  }
}

export interface LoadOptions {
  readonly queues: readonly Queue[];
  /** Accelerators that are guaranteed, by workspace. */
  readonly guarantees: Readonly<Record<string, number>>;
  readonly workers: number;
  readonly racks: number;
  readonly capacity: Resources;
}

interface Job {
  readonly spec: JobSpec;
  /** True time of a task of each step, in ms on a worker of speed 1. */
  readonly workMs: readonly number[];
  readonly begun: Set<string>;
}

export class LoadBench {
  nowMs = 0;
  readonly outcomes = new Map<string, JobOutcome>();
  /** Work that stops threw away, in core-ms. */
  thrownCoreMs = 0;
  stops = 0;
  /** What must never happen and did. */
  readonly faults: string[] = [];
  readonly events: EngineEvent[] = [];
  private readonly engine: JobEngine;
  private readonly workers: SimWorker[];
  private readonly jobs = new Map<string, Job>();
  private flights: {
    readonly order: AddressedOrder;
    readonly atMs: number;
  }[] = [];

  constructor(private readonly options: LoadOptions) {
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
      silenceBoundMs: SILENCE_BOUND_MS,
      keepEndedMs: 1e9,
      onEvent: event => this.events.push(event),
    });
    this.workers = Array.from({length: options.workers}, (unused, i) =>
      this.makeWorker(i),
    );
    this.advance(REPORT_MS);
  }

  /** Hands a job in; `workMs` is the true work of a task of each step. */
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
    this.jobs.set(id, {spec, workMs, begun: new Set()});
    this.outcomes.set(id, {
      id,
      queue,
      acceptedAtMs: this.nowMs,
      begunAtMs: undefined,
      doneAtMs: undefined,
    });
    this.engine.addJob(spec, this.nowMs, this.nowMs);
    this.engine.plan(this.nowMs);
    this.commit();
    return id;
  }

  setSpeed(worker: number, speed: number): void {
    this.workers[worker].speed = speed;
  }

  advance(ms: number): void {
    for (let left = ms; left > 0; left -= TICK_MS) {
      this.nowMs += TICK_MS;
      this.carryOut();
      for (const worker of this.workers) this.work(worker);
      this.engine.tick(this.nowMs, this.nowMs);
      this.commit();
    }
  }

  private makeWorker(i: number): SimWorker {
    const rack = `r${i % this.options.racks}`;
    return new SimWorker(`a${i}`, {
      id: `w${i}`,
      bornMs: 1,
      service: this.options.queues[0].service,
      rack,
      labels: ['a', rack],
      capacity: this.options.capacity,
      draining: false,
      drainRemainingMs: 0,
    });
  }

  private commit(): void {
    const batch = this.engine.takeBatch();
    const orders = [
      ...this.engine.takeOrders(),
      ...(batch ? this.engine.release(batch.orders, this.nowMs) : []),
    ];
    for (const order of orders)
      this.flights.push({order, atMs: this.nowMs + ORDER_MS});
  }

  private carryOut(): void {
    const due = this.flights.filter(f => f.atMs <= this.nowMs);
    this.flights = this.flights.filter(f => f.atMs > this.nowMs);
    for (const {order} of due) {
      const worker = this.workers.find(w => w.agent === order.agent)!;
      if (order.order.type === 'start') this.start(worker, order.order);
      else if (order.order.type === 'stop') {
        const run = worker.runs.get(order.order.task);
        if (run?.run === order.order.run) run.stopsAtMs = this.nowMs + STOP_MS;
      } else {
        const {upTo} = order.order;
        worker.ends = worker.ends.filter(e => e.number > upTo);
      }
    }
  }

  private start(worker: SimWorker, ref: {task: string; run: number}): void {
    if (worker.runs.has(ref.task)) return;
    const [id, , step] = ref.task.split('.');
    const job = this.jobs.get(id)!;
    const {request, preferredRack} = job.spec.steps[Number(step)];
    if (!fits(request, worker.free))
      this.faults.push(`${ref.task} is over the capacity of ${worker.agent}`);
    const isFar = preferredRack && preferredRack !== worker.report.rack;
    worker.start({
      ...ref,
      request,
      startedAtMs: this.nowMs,
      leftMs: job.workMs[Number(step)] * (isFar ? FAR_FACTOR : 1),
      stopsAtMs: Infinity,
    });
    if (step !== '0') return;
    job.begun.add(ref.task);
    const outcome = this.outcomes.get(id)!;
    if (job.begun.size === job.spec.steps[0].count)
      outcome.begunAtMs ??= this.nowMs;
  }

  private work(worker: SimWorker): void {
    for (const run of [...worker.runs.values()]) {
      if (this.nowMs >= run.stopsAtMs) this.stop(worker, run);
      else if ((run.leftMs -= TICK_MS * worker.speed) <= 0)
        worker.end(run, EndKind.DONE);
    }
    const isDue = this.nowMs % REPORT_MS === 0 || worker.ends.length > 0;
    if (isDue) this.report(worker);
    this.noteDone(worker);
  }

  private stop(worker: SimWorker, run: Run): void {
    this.stops++;
    this.thrownCoreMs += coresOf(run.request) * (this.nowMs - run.startedAtMs);
    worker.end(run, EndKind.STOPPED);
  }

  private noteDone(worker: SimWorker): void {
    if (worker.ends.length === 0) return;
    for (const {event, job, reason} of this.events.splice(0)) {
      if (event === 'jobEnded' && reason === 'completed')
        this.outcomes.get(job!)!.doneAtMs ??= this.nowMs;
    }
  }

  private report(worker: SimWorker): void {
    const runs = [...worker.runs.values()].map(run => this.newsOf(worker, run));
    const {report, ends} = worker;
    const inventory = {worker: report, runs, ends};
    this.engine.recordInventory(worker.agent, inventory, this.nowMs);
    this.engine.plan(this.nowMs);
  }

  private newsOf(worker: SimWorker, run: Run): RunNews {
    const {task, run: number, leftMs, startedAtMs} = run;
    const ranMs = this.nowMs - startedAtMs;
    const toldMs = ranMs - (ranMs % SHARE_MS);
    // The share as it stood when it was told last, at the worker's present speed.
    const doneMs = toldMs * worker.speed;
    const wholeMs = ranMs * worker.speed + leftMs;
    const percent = Math.min(99, Math.floor((100 * doneMs) / wholeMs));
    return {task, run: number, isRunning: true, checkpoint: '', percent};
  }
}

/** Time on another rack than that of the data, against one on it. */
const FAR_FACTOR = 3; // the users' figure
