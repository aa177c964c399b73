/**
 * Scheduling state machine of the leader. Its inputs are job rows, agent reports and
 * ticks. Its outputs are rows to commit and orders to agents. An order that depends on a
 * row is held until the row is committed, so a new leader knows of every run that may
 * exist.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {RunEndKind, type RunRef} from '../ports/task_worker.js';
import {
  type AddressedOrder,
  type EndReport,
  type WorkerCrash,
  type WorkerInventory,
  type Order,
  type StartRefusal,
  type RunStatus,
} from './engine_messages.js';
import {
  CrashSuspects,
  NO_CRASHES,
  isCleared,
  isGivenUp,
} from './crash_suspects.js';
import {EarlyCancellations} from './early_cancellations.js';
import {NO_EVACUATIONS} from './evacuations.js';
import {type JobIndex, type JobEntry} from './job_index.js';
import {
  type JobSpec,
  type JobTables,
  type Queue,
  type Schedule,
} from './job.js';
import {
  DiscardCause,
  TrackedJob,
  TrackedOccurrence,
  type TrackedStep,
  type TrackedTask,
  type Unit,
  ranMs,
  runsAtCrash,
} from './tracked_job.js';
import {
  EMPTY_PASS,
  type PassSize,
  Planner,
  type WaitReason,
} from './planner.js';
import {type PlanInput} from './planning_pass.js';
import {RunTimeEstimates} from './run_time_estimates.js';
import {ServiceCapacities} from './service_capacities.js';
import {UrgentDemand} from './urgent_demand.js';
import {UrgentHeadroom} from './urgent_headroom.js';
import {PendingRows, type RowChanges} from './pending_rows.js';
import {isStalled} from './run_progress.js';
import {
  JobResult,
  TaskState,
  blockRowKey,
  encodeBlock,
  encodeCapacities,
  encodeJobResult,
  rowKeys,
} from './job_rows.js';
import {
  IncarnationHistory,
  WorkerPool,
  TrackedWorker,
  WorkerKeyIndex,
  type WorkerReport,
  agentOf,
  workerIdOf,
  workerKey,
} from './worker_pool.js';
import {FailureTracker} from './failure_tracker.js';

/** Delay before work whose start was refused is placed again, in ms. */
const REFUSED_RETRY_DELAY_MS = 150; // about one round trip including the commit
/** Time for which a worker that refused a start gets no new work, in ms. */
const REFUSED_WORKER_BACKOFF_MS = 300;
/** Age at which an order missing from the agent's inventory is sent again, in ms. */
const ORDER_RESEND_DELAY_MS = 1000; // two report intervals of the agent
/** Time for which a worker that its agent can't reach gets no new work, in ms. */
const UNREACHABLE_BACKOFF_MS = 1200; // slightly more than two report intervals
/** Minimum interval between log lines about the headroom, in ms. */
const HEADROOM_LOG_INTERVAL_MS = 1000;
/** Interval between checks for stalled runs, in ms. */
const STALL_CHECK_INTERVAL_MS = 500; // the report interval of agents
/** Time after a takeover in which agents report their workers, in ms. */
const PREEMPTION_DELAY_MS = 700; // one report interval, and 0.2 s to answer it

/** What the leader takes as proof that the runs of a worker are over. */
export const LossProof = {
  /** The worker's agent concluded it and logged its own proof. */
  AGENT_REPORT: 'agentReport',
  /** The worker's agent concluded it and stored it. */
  STORED_DEPARTURE: 'storedDeparture',
  OTHER_INCARNATION: 'otherIncarnation',
  CONTACT_TIMEOUT: 'contactTimeout',
} as const;
export type LossProof = (typeof LossProof)[keyof typeof LossProof];

/** Log entry about one decision of the engine. */
export interface EngineEvent {
  readonly event: string;
  readonly job?: string;
  readonly task?: string;
  readonly run?: number;
  readonly worker?: string;
  readonly reason?: string;
  readonly proof?: LossProof;
  /** Why a run was stopped, if the leader ordered it. */
  readonly stopCause?: DiscardCause;
  readonly ms?: number;
  /** Number of times that the unit has been preempted. */
  readonly times?: number;
  /** Number of workers that are kept for urgent work. */
  readonly workers?: number;
  /** Time since the last contact with the worker's agent. */
  readonly sinceContactMs?: number;
  /** Work that is lost and has to be done again, in core-ms. */
  readonly lostCoreMs?: number;
}

export interface EngineOptions {
  /**
   * Time without contact to an agent after which all leases that it renewed have
   * expired, so none of its runs can still be active, in ms.
   */
  readonly contactTimeoutMs: number;
  /** Time for which an ended job is kept and can be queried, in ms. */
  readonly endedJobRetentionMs: number;
  readonly onEvent: (event: EngineEvent) => void;
  /** Called with the work lost by each run that did not complete, in core-ms. */
  readonly onDiscarded?: (cause: string, lostCoreMs: number) => void;
}

export interface Batch extends RowChanges {
  /** Orders to send after the rows are committed. */
  readonly orders: readonly AddressedOrder[];
}

export class JobEngine {
  private readonly jobs = new Map<string, TrackedJob>();
  private readonly tasks = new Map<string, TrackedTask>();
  private readonly waiting = new Set<Unit>();
  private readonly placed = new Set<Unit>();
  private readonly placedByWorker = new Map<string, Set<TrackedTask>>();
  /** Workers that were reported, and workers on which runs are recorded. */
  private readonly knownWorkers = new WorkerKeyIndex();
  private readonly incarnations = new IncarnationHistory();
  private readonly pool = new WorkerPool();
  private readonly lastContactMs = new Map<string, number>();
  private readonly planner = new Planner();
  private readonly failureTracker = new FailureTracker();
  private readonly crashSuspects = new CrashSuspects<TrackedTask>();
  private readonly runTimes = new RunTimeEstimates();
  private readonly capacities = new ServiceCapacities();
  private readonly urgentDemand = new UrgentDemand();
  private readonly urgentHeadroom = new UrgentHeadroom();
  private headroomLogged = {workers: 0, atMs: -Infinity};
  private readonly departedWorkers = new Set<string>();
  /** Data centres in which nothing is started. */
  private evacuated = NO_EVACUATIONS;
  private readonly pendingRows = new PendingRows();
  private readonly expiredJobIds = new Set<string>();
  private readonly earlyCancellations = new EarlyCancellations();
  private ordersAwaitingCommit: AddressedOrder[] = [];
  private stallCheckedAtMs = 0;
  /** Time before which nothing is preempted, in ms of the monotonic clock. */
  private preemptsFromMs = -Infinity;
  private readyOrders: AddressedOrder[] = [];

  constructor(
    private tables: JobTables,
    private readonly options: EngineOptions,
  ) {}

  /** Restores the state of the previous leader from its rows. */
  restore(jobIndex: JobIndex, nowMs: number, wallMs: number): void {
    this.capacities.restore(jobIndex.capacities);
    for (const [id, entry] of jobIndex.jobs)
      this.loadJob(id, entry, nowMs, wallMs);
    for (const key of this.placedByWorker.keys())
      this.lastContactMs.set(agentOf(key), nowMs);
    for (const [key, {ends}] of jobIndex.departures)
      this.recordDeparture(key, ends, nowMs);
    this.preemptsFromMs = nowMs + PREEMPTION_DELAY_MS;
  }

  setTables(tables: JobTables): void {
    this.tables = tables;
  }

  /** Sets the data centres in which nothing is started. Runs there continue. */
  setEvacuations(dataCentres: ReadonlySet<string>): void {
    this.evacuated = dataCentres;
    for (const worker of this.pool.workers.values())
      this.updateEvacuation(worker);
  }

  addJob(spec: JobSpec, nowMs: number, wallMs: number): void {
    if (this.jobs.has(spec.id)) return;
    const job = makeJob(spec, nowMs, wallMs);
    this.jobs.set(spec.id, job);
    this.earlyCancellations.delete(spec.id);
    this.log({event: 'jobKnown', job: spec.id, reason: describeSteps(spec)});
    this.openDueOccurrences(job, nowMs, wallMs);
  }

  /** Cancels a job. The cancellation of a job that is not stored is kept for a while. */
  cancelJob(id: string, nowMs: number): void {
    const job = this.jobs.get(id);
    if (!job && this.earlyCancellations.add(id, nowMs))
      this.log({event: 'cancelledEarly', job: id});
    if (!job || job.isEnded) return;
    this.endJob(job, nowMs);
    this.log({event: 'jobCancelled', job: id});
  }

  /** Records that a worker terminated after these ends, as its agent stored. */
  recordDeparture(
    key: string,
    ends: readonly EndReport[],
    nowMs: number,
  ): void {
    this.departedWorkers.add(key);
    this.recordEnds(agentOf(key), key, ends, nowMs);
    this.markWorkerLost(
      key,
      'its agent stored that it terminated',
      nowMs,
      LossProof.STORED_DEPARTURE,
    );
  }

  /** Records contact with an agent, so that its runs still count as alive. */
  recordContact(agent: string, nowMs: number): void {
    this.lastContactMs.set(agent, nowMs);
  }

  recordInventory(
    agent: string,
    inventory: WorkerInventory,
    nowMs: number,
  ): void {
    const {worker, runs, ends} = inventory;
    const key = workerKey(agent, worker.id, worker.bornMs);
    if (this.departedWorkers.has(key)) return;
    if (!this.incarnations.observe(agent, key)) return;
    this.replaceOtherIncarnations(agent, key, inventory, nowMs);
    this.recordContact(agent, nowMs);
    const trackedWorker = this.getOrAddWorker(agent, key, worker);
    trackedWorker.update(worker);
    this.updateEvacuation(trackedWorker);
    this.recordCapacity(worker);
    this.recordEnds(agent, key, ends, nowMs);
    this.updateAllocations(trackedWorker, runs);
    this.recordRuns(key, runs, nowMs);
    const known = new Map(runs.map(r => [`${r.task}#${r.run}`, r]));
    for (const task of this.placedByWorker.get(key) ?? []) {
      const isKnown = known.has(`${task.name}#${task.run}`);
      if (!task.isOrdered || (isKnown && !task.isStopping)) continue;
      if (nowMs - task.orderedAtMs >= ORDER_RESEND_DELAY_MS)
        this.resendOrder(task, nowMs);
    }
    for (const run of runs) {
      if (this.findPlacedTask(key, run)) continue;
      this.log({event: 'strayRun', task: run.task, run: run.run, worker: key});
      this.order(agent, stopOrder(key, run));
    }
  }

  private updateEvacuation(worker: TrackedWorker): void {
    worker.isEvacuated = this.evacuated.has(worker.report.dataCentre);
  }

  private recordCapacity({service, capacity}: WorkerReport): void {
    if (!this.capacities.add(service, capacity)) return;
    this.pendingRows.put(rowKeys.capacities(service), () =>
      encodeCapacities(this.capacities.of(service)),
    );
  }

  /** Blocks the worker for a while, since its agent can't currently reach it. */
  recordUnreachable(agent: string, nowMs: number): void {
    for (const worker of this.pool.ofAgent(agent))
      worker.blockedUntilMs = nowMs + UNREACHABLE_BACKOFF_MS;
  }

  /** Records the status of active runs. Runs that are not listed stay unchanged. */
  recordRuns(key: string, runs: readonly RunStatus[], nowMs: number): void {
    for (const status of runs) {
      const task = this.findPlacedTask(key, status);
      if (!task) continue;
      task.statusAtMs = nowMs;
      task.isAgeUnknown = false;
      if (status.isRunning) this.recordStarted(task, nowMs);
      if (status.isRunning && task.runningSinceMs === 0) {
        task.runningSinceMs = nowMs - this.expectedRanMs(task, status.percent);
        task.progressAtMs = nowMs;
      }
      if (status.percent !== task.percent) {
        task.percent = status.percent;
        task.progressAtMs = nowMs;
      }
      if (status.checkpoint && status.checkpoint !== task.checkpoint)
        this.recordCheckpoint(task, status.checkpoint);
      if (isCleared(task, ranMs(task, nowMs))) this.clearCrashes(task);
    }
  }

  /**
   * Records that a worker has started the task. Only the first start of a job changes what
   * callers see, so the others are stored with the next change of their rows.
   */
  private recordStarted(task: TrackedTask, nowMs: number): void {
    task.hasStarted = true;
    const {job} = task.step.occurrence;
    if (job.hasStarted) return;
    job.hasStarted = true;
    this.pendingRows.defer(...blockRowOf(task));
    this.log({
      event: 'jobStarted',
      job: job.spec.id,
      task: task.name,
      run: task.run,
      ms: Math.round(nowMs - job.acceptedAtMs),
    });
  }

  /** Time that a run with this progress has run, as another leader may have started it. */
  private expectedRanMs(task: TrackedTask, percent: number): number {
    const {spec, occurrence} = task.step;
    const {queue} = occurrence.job.spec;
    return (percent / 100) * this.runTimes.expectedMs(queue, spec.estimateMs);
  }

  recordEnds(
    agent: string,
    key: string,
    ends: readonly EndReport[],
    nowMs: number,
  ): void {
    for (const end of ends) {
      this.pool.get(key)?.release(end.task, end.run);
      const task = this.findPlacedTask(key, end);
      if (task) this.recordRunEnd(task, end, nowMs);
    }
    const last = ends.at(-1);
    if (last)
      this.ordersAwaitingCommit.push({
        agent,
        order: {type: 'acknowledge', worker: key, upTo: last.number},
      });
  }

  /** Records that a run never started and never will, or is no longer on its worker. */
  recordRefusal(refusal: StartRefusal, nowMs: number): void {
    const {worker, reason} = refusal;
    this.pool.get(worker)?.release(refusal.task, refusal.run);
    const task = this.findPlacedTask(worker, refusal);
    if (!task) return;
    this.log({
      event: 'startRefused',
      task: task.name,
      run: task.run,
      worker,
      reason,
    });
    const trackedWorker = this.pool.get(worker);
    if (trackedWorker && !task.isStopping)
      trackedWorker.blockedUntilMs = nowMs + REFUSED_WORKER_BACKOFF_MS;
    this.endPlacement(task, nowMs);
    if (task.unit) task.unit.notBeforeMs = nowMs + REFUSED_RETRY_DELAY_MS;
  }

  /**
   * Ends all runs of a worker that terminated or whose leases have all expired. Agents
   * report this repeatedly, so a worker that is no longer known is ignored.
   */
  markWorkerLost(
    key: string,
    reason: string,
    nowMs: number,
    proof?: LossProof,
  ): void {
    if (!this.pool.get(key) && !this.placedByWorker.has(key)) return;
    const tasks = [...(this.placedByWorker.get(key) ?? [])];
    const contactMs = this.lastContactMs.get(agentOf(key));
    this.log({
      event: 'workerLost',
      worker: key,
      reason,
      sinceContactMs:
        contactMs === undefined ? undefined : Math.round(nowMs - contactMs),
    });
    this.pool.remove(key);
    for (const task of tasks) {
      this.log({
        event: 'runLost',
        task: task.name,
        run: task.run,
        worker: key,
        reason,
        proof,
        lostCoreMs: this.recordDiscarded(task, DiscardCause.WORKER_LOST, nowMs),
      });
      this.endPlacement(task, nowMs);
    }
    this.placedByWorker.delete(key);
    this.knownWorkers.remove(key);
  }

  /** Ends all runs of an agent whose worker has been silent for longer than its leases. */
  markAllWorkersLost(agent: string, nowMs: number): void {
    for (const key of [...this.knownWorkers.ofAgent(agent)])
      this.markWorkerLost(
        key,
        'no incarnation of it answered for longer than leases last',
        nowMs,
        LossProof.AGENT_REPORT,
      );
  }

  /**
   * Ends the runs of a worker that crashed, and gives up the tasks under which too many
   * workers have. Agents report this repeatedly, but its runs end only once.
   */
  recordCrash(
    agent: string,
    {worker, sinceMs}: WorkerCrash,
    inventory: WorkerInventory | undefined,
    nowMs: number,
  ): void {
    if (inventory) this.adoptRuns(worker, agent, inventory);
    const atMs = nowMs - sinceMs;
    const runs = runsAtCrash(this.placedByWorker.get(worker) ?? [], atMs);
    if (runs.length > 0) {
      const {blamed, relieved} = this.crashSuspects.recordCrash({atMs, runs});
      for (const task of blamed) this.recordBlame(task, worker);
      for (const task of relieved) this.recordRelief(task);
    }
    this.markWorkerLost(
      worker,
      'it crashed and was replaced',
      nowMs,
      LossProof.AGENT_REPORT,
    );
    for (const {task} of runs) this.giveUpIfDecided(task, nowMs);
  }

  private recordBlame(task: TrackedTask, worker: string): void {
    const {total, alone} = task.crashes;
    this.markDirty(task);
    task.unit?.crashedAgents.add(agentOf(worker));
    this.log({
      event: 'crashCounted',
      task: task.name,
      run: task.run,
      worker,
      reason: `${total} crashes, ${alone} of them without other jobs`,
    });
  }

  private recordRelief(task: TrackedTask): void {
    this.markDirty(task);
    this.log({
      event: 'crashNotCounted',
      task: task.name,
      reason: 'other workers crashed at the same moment',
    });
  }

  private giveUpIfDecided(task: TrackedTask, nowMs: number): void {
    const {job} = task.step.occurrence;
    if (job.isEnded || !isGivenUp(task.crashes)) return;
    const cause = `${task.crashes.total} workers crashed under ${task.name}`;
    this.log({event: 'taskGivenUp', task: task.name, reason: cause});
    this.finishJob(job, JobResult.FAILED, nowMs, cause);
  }

  /** Ends the suspicion that a task crashes its workers. */
  private clearCrashes(task: TrackedTask): void {
    if (task.crashes.total === 0) return;
    this.log({event: 'crashesCleared', task: task.name, run: task.run});
    task.crashes = NO_CRASHES;
    task.crashedAfterMs = 0;
    this.markDirty(task);
  }

  /** Opens due occurrences, drops unresponsive workers and moves stalled runs. */
  tick(nowMs: number, wallMs: number): void {
    for (const job of this.jobs.values()) {
      if (job.isEnded) this.expireIfOld(job, nowMs);
      else if (job.spec.schedule) this.openDueOccurrences(job, nowMs, wallMs);
    }
    this.markUnresponsiveWorkersLost(nowMs);
    if (nowMs - this.stallCheckedAtMs >= STALL_CHECK_INTERVAL_MS)
      this.moveStalledRuns(nowMs);
  }

  /** Places waiting units; returns the size of the pass. */
  plan(nowMs: number): PassSize {
    if (this.waiting.size === 0) return EMPTY_PASS;
    const size = this.planner.plan(this.planInput(nowMs), {
      place: (unit, workers) => this.placeUnit(unit, workers, nowMs),
      preempt: (victim, beneficiary) =>
        this.preempt(victim, beneficiary, nowMs),
      wait: (unit, reason) => this.recordWait(unit, reason, nowMs),
    });
    this.logHeadroom(nowMs);
    return size;
  }

  /** Logs how many workers are kept for urgent work, if that has changed. */
  private logHeadroom(nowMs: number): void {
    const workers = this.urgentHeadroom.size;
    if (workers === this.headroomLogged.workers) return;
    if (nowMs - this.headroomLogged.atMs < HEADROOM_LOG_INTERVAL_MS) return;
    this.headroomLogged = {workers, atMs: nowMs};
    this.log({event: 'headroom', workers});
  }

  /**
   * Returns the orders that depend on no row, and clears their list. A start whose placement
   * has ended since it was repeated is dropped: its agent takes what follows the answer to its
   * report of a loss for an order that takes the loss into account.
   */
  takeOrders(): AddressedOrder[] {
    const orders = this.readyOrders;
    this.readyOrders = [];
    return orders.filter(
      ({order}) =>
        order.type !== 'start' || this.findPlacedTask(order.worker, order),
    );
  }

  /**
   * Returns the next rows to commit, with the orders that wait for them.
   *
   * @param isCommitDue Whether a commit is made in any case, so that it takes deferred rows.
   */
  takeBatch(isCommitDue = false): Batch | undefined {
    const {puts, removes} = this.pendingRows.take(isCommitDue);
    const mayOrder = !this.pendingRows.hasMorePuts;
    const orders = mayOrder ? this.ordersAwaitingCommit : [];
    if (puts.length + removes.length + orders.length === 0) return undefined;
    if (mayOrder) this.ordersAwaitingCommit = [];
    return {puts, removes, orders};
  }

  /** Called after a batch is committed; returns those of its orders that still apply. */
  confirmCommit(
    orders: readonly AddressedOrder[],
    nowMs: number,
  ): AddressedOrder[] {
    this.withdrawOutdatedStarts(orders, nowMs);
    return orders.flatMap(addressed => {
      const {order} = addressed;
      if (order.type !== 'start') return [addressed];
      const task = this.findPlacedTask(order.worker, order);
      if (!task) return [];
      task.isOrdered = true;
      task.orderedAtMs = nowMs;
      if (task.isStopping) return [];
      return [{...addressed, order: this.startOrder(task, false)}];
    });
  }

  /**
   * Takes back placements on workers that have shrunk or are evacuated since, the last ones
   * first.
   */
  private withdrawOutdatedStarts(
    orders: readonly AddressedOrder[],
    nowMs: number,
  ): void {
    for (const {order} of [...orders].reverse()) {
      if (order.type !== 'start') continue;
      const task = this.findPlacedTask(order.worker, order);
      const worker = this.pool.get(order.worker);
      if (!task?.unit || !worker) continue;
      if (worker.isEvacuated)
        this.withdrawUnit(task.unit, 'its data centre is evacuated', nowMs);
      else if (worker.isOverfull)
        this.withdrawUnit(task.unit, 'the worker has shrunk', nowMs);
    }
  }

  /** Takes back a placement of which no start has been sent. */
  private withdrawUnit(unit: Unit, reason: string, nowMs: number): void {
    const [first, ...others] = unit.tasks.filter(t => t.isPlaced);
    for (const task of [first, ...others]) {
      this.log({
        event: 'withdrawn',
        task: task.name,
        run: task.run,
        worker: task.worker,
        reason,
      });
      this.pool.get(task.worker)?.release(task.name, task.run);
    }
    for (const task of others) this.clearPlacement(task);
    this.endPlacement(first, nowMs);
  }

  /** Ids of ended jobs past their retention. Their callers' rows are removed first. */
  get expiredJobs(): ReadonlySet<string> {
    return this.expiredJobIds;
  }

  /** Jobs that were cancelled, but not stored within the retention of ended jobs. */
  expiredCancellations(nowMs: number): string[] {
    const {endedJobRetentionMs} = this.options;
    return this.earlyCancellations.olderThan(endedJobRetentionMs, nowMs);
  }

  /** Called when the cancellations of these jobs, which were never stored, are removed. */
  forgetCancellations(jobs: readonly string[]): void {
    for (const job of jobs) this.earlyCancellations.delete(job);
  }

  /** Removes the records of a job after the rows of its caller have been removed. */
  removeJobRecords(id: string): void {
    const job = this.jobs.get(id);
    if (!this.expiredJobIds.delete(id) || !job) return;
    for (const key of [rowKeys.jobResult(id), ...blockKeysOf(job)])
      this.pendingRows.remove(key);
    for (const task of job.tasks) this.tasks.delete(task.name);
    this.jobs.delete(id);
  }

  get waitingUnitCount(): number {
    return this.waiting.size;
  }

  get placedUnitCount(): number {
    return this.placed.size;
  }

  private loadJob(
    id: string,
    entry: JobEntry,
    nowMs: number,
    wallMs: number,
  ): void {
    const {spec} = entry;
    if (!spec) {
      if (entry.isCancelled) this.earlyCancellations.add(id, nowMs);
      return this.removeOrphanedRows(id, entry);
    }
    const job = makeJob(spec, nowMs, wallMs);
    this.jobs.set(id, job);
    job.isEnded = entry.result !== undefined || entry.isCancelled;
    job.hasStarted = entry.hasStarted;
    job.endedAtMs = nowMs;
    for (const key of entry.blocks.keys()) {
      const occurrence = Number(key.slice(0, key.indexOf('.')));
      if (!job.occurrences.has(occurrence))
        this.openOccurrence(
          job,
          occurrence,
          {dueAtMs: dueAtMs(job, occurrence, nowMs, wallMs), readyAtMs: nowMs},
          entry,
        );
    }
    if (!job.isEnded) this.openDueOccurrences(job, nowMs, wallMs);
    for (const task of job.tasks) if (task.isPlaced) this.adopt(task);
    if (!job.isEnded) this.finishJobIfDecided(job, nowMs);
  }

  /**
   * Ends a job whose tasks already decide its result. A large commit is written in
   * several batches, and the previous leader may have stopped before the last one.
   */
  private finishJobIfDecided(job: TrackedJob, nowMs: number): void {
    const {maxAttempts} = job.currentQueue(this.tables.queues);
    if (job.tasks.some(t => t.failures >= maxAttempts || isGivenUp(t.crashes)))
      this.finishJob(job, JobResult.FAILED, nowMs);
    else if (job.isDone) this.finishJob(job, JobResult.COMPLETED, nowMs);
  }

  private adopt(task: TrackedTask): void {
    this.tasksPlacedOn(task.worker).add(task);
    task.placedAtMs = -Infinity;
    task.isOrdered = true;
    task.isAgeUnknown = true;
    const {unit} = task;
    if (!unit) return;
    this.waiting.delete(unit);
    this.placed.add(unit);
    const isIncompleteGang = unit.isGang && unit.tasks.some(t => !t.isPlaced);
    if (unit.job.isEnded) this.stopUnit(unit, DiscardCause.JOB_ENDED);
    else if (isIncompleteGang) this.stopUnit(unit, DiscardCause.GANG_BROKEN);
  }

  private openDueOccurrences(
    job: TrackedJob,
    nowMs: number,
    wallMs: number,
  ): void {
    const {schedule} = job.spec;
    if (!schedule) {
      if (!job.occurrences.has(0))
        this.openOccurrence(job, 0, dueTimes(job.acceptedAtMs));
      return;
    }
    for (let k = 0; k < schedule.occurrences; k++) {
      if (dueWallMs(schedule, k) > wallMs) return;
      if (job.occurrences.has(k)) continue;
      this.openOccurrence(job, k, dueTimes(dueAtMs(job, k, nowMs, wallMs)));
    }
  }

  private openOccurrence(
    job: TrackedJob,
    number: number,
    {dueAtMs, readyAtMs}: OccurrenceTimes,
    entry?: JobEntry,
  ): void {
    const occurrence = new TrackedOccurrence(
      job,
      number,
      dueAtMs,
      (step, block) => entry?.blocks.get(`${number}.${step}.${block}`),
    );
    job.occurrences.set(number, occurrence);
    this.recordUrgentDemand(occurrence);
    for (const task of occurrence.steps.flatMap(s => s.tasks))
      this.tasks.set(task.name, task);
    this.openSteps(occurrence, readyAtMs);
  }

  private openSteps(occurrence: TrackedOccurrence, nowMs: number): void {
    for (const step of occurrence.openReadySteps(nowMs)) {
      if (occurrence.job.isEnded) continue;
      for (const unit of step.units) if (!unit.isDone) this.waiting.add(unit);
    }
  }

  /** Records the first step of urgent work, which wants room as soon as it is due. */
  private recordUrgentDemand({job, steps, dueAtMs}: TrackedOccurrence): void {
    const {service, priority} = job.currentQueue(this.tables.queues);
    if (priority !== 0) return;
    const {count, request, estimateMs} = steps[0].spec;
    const {queue} = job.spec;
    this.urgentDemand.record({
      service,
      atMs: dueAtMs,
      count,
      request,
      runMs: this.runTimes.expectedMs(queue, estimateMs),
    });
  }

  private getOrAddWorker(
    agent: string,
    key: string,
    report: WorkerReport,
  ): TrackedWorker {
    const found = this.pool.get(key);
    if (found) return found;
    const trackedWorker = new TrackedWorker(agent, key, report);
    this.pool.add(trackedWorker);
    this.knownWorkers.add(key);
    for (const task of this.tasksPlacedOn(key))
      this.allocate(trackedWorker, task);
    this.log({event: 'workerSeen', worker: key});
    return trackedWorker;
  }

  /** Allocates capacity to the runs that are placed on the worker or listed by it. */
  private updateAllocations(
    worker: TrackedWorker,
    runs: readonly RunStatus[],
  ): void {
    const listed = new Set(runs.map(r => `${r.task}#${r.run}`));
    worker.retain(
      ref =>
        listed.has(`${ref.task}#${ref.run}`) ||
        this.findPlacedTask(worker.key, ref) !== undefined,
    );
    for (const {task, run} of runs) {
      const request = this.tasks.get(task)?.step.spec.request;
      if (request) worker.allocate({task, run, request});
    }
  }

  /**
   * Ends other incarnations of a worker. Start times do not order them, since wall clocks
   * jump; the agent reports one only after it answered.
   */
  private replaceOtherIncarnations(
    agent: string,
    key: string,
    inventory: WorkerInventory,
    nowMs: number,
  ): void {
    const others = [...this.knownWorkers.ofAgent(agent)].filter(k => k !== key);
    for (const other of others) {
      this.adoptRuns(other, agent, inventory);
      this.markWorkerLost(
        other,
        'replaced by another incarnation of the worker',
        nowMs,
        LossProof.OTHER_INCARNATION,
      );
    }
  }

  /**
   * Moves runs that a later incarnation with the same id has to that incarnation. It carried
   * out starts that were sent to the earlier one, and will carry out no others.
   */
  private adoptRuns(
    from: string,
    agent: string,
    {worker, runs, ends}: WorkerInventory,
  ): void {
    if (workerIdOf(from) !== worker.id) return;
    const to = workerKey(agent, worker.id, worker.bornMs);
    for (const ref of [...runs, ...ends]) {
      const task = this.findPlacedTask(from, ref);
      if (!task) continue;
      this.placedByWorker.get(from)?.delete(task);
      task.worker = to;
      task.isOrdered = true;
      this.tasksPlacedOn(to).add(task);
      this.markDirty(task);
      this.log({
        event: 'runAdopted',
        task: task.name,
        run: task.run,
        worker: to,
        reason: `its start was sent to ${from}`,
      });
    }
  }

  private markUnresponsiveWorkersLost(nowMs: number): void {
    for (const key of this.knownWorkers.all()) {
      const lastContactMs = this.lastContactMs.get(agentOf(key)) ?? nowMs;
      if (nowMs - lastContactMs > this.options.contactTimeoutMs)
        this.markWorkerLost(
          key,
          'no contact with the agent within the contact timeout',
          nowMs,
          LossProof.CONTACT_TIMEOUT,
        );
    }
  }

  private resendOrder(task: TrackedTask, nowMs: number): void {
    task.orderedAtMs = nowMs;
    const agent = agentOf(task.worker);
    const {unit} = task;
    const worker = this.pool.get(task.worker);
    const takesNoStart =
      worker?.report.draining || worker?.isOverfull || worker?.isEvacuated;
    if (!unit || task.isStopping || takesNoStart) {
      task.isStopping = true;
      this.order(agent, stopOrder(task.worker, task.ref));
      return;
    }
    this.log({event: 'orderRepeated', task: task.name, run: task.run});
    this.order(agent, this.startOrder(task, true));
  }

  private placeUnit(
    unit: Unit,
    workers: readonly string[],
    nowMs: number,
  ): void {
    const run = unit.nextRun;
    const {failures} = unit;
    unit.tasks.forEach((task, i) => {
      task.state = TaskState.PLACED;
      task.run = run;
      task.failures = failures;
      task.worker = workers[i];
      task.placedAtMs = nowMs;
      this.tasksPlacedOn(task.worker).add(task);
      this.allocate(this.pool.get(task.worker)!, task);
      this.markDirty(task);
      this.ordersAwaitingCommit.push({
        agent: agentOf(task.worker),
        order: this.startOrder(task, false),
      });
      this.log({
        event: 'placed',
        task: task.name,
        run,
        worker: task.worker,
        ms: Math.round(nowMs - unit.readyAtMs),
      });
    });
    this.waiting.delete(unit);
    this.placed.add(unit);
  }

  private preempt(victim: Unit, beneficiary: Unit, nowMs: number): void {
    victim.preemptions++;
    this.log({
      event: 'preempted',
      task: victim.tasks[0].name,
      reason: `frees capacity for ${beneficiary.tasks[0].name}`,
      ms: Math.round(ranMs(victim.tasks[0], nowMs)),
      times: victim.preemptions,
    });
    this.stopUnit(victim, DiscardCause.PREEMPTED);
  }

  private recordWait(unit: Unit, reason: WaitReason, nowMs: number): void {
    if (unit.waitReason === reason) return;
    unit.waitReason = reason;
    this.log({
      event: 'waits',
      task: unit.tasks[0].name,
      reason,
      ms: Math.round(nowMs - unit.readyAtMs),
    });
  }

  private planInput(nowMs: number): PlanInput {
    return {
      nowMs,
      tables: this.tables,
      waiting: this.waiting,
      placed: this.placed,
      mayPreempt: nowMs >= this.preemptsFromMs,
      pool: this.pool,
      failureTracker: this.failureTracker,
      runTimes: this.runTimes,
      urgentDemand: this.urgentDemand,
      urgentHeadroom: this.urgentHeadroom,
    };
  }

  /** Stops stalled runs that fit on another worker. */
  private moveStalledRuns(nowMs: number): void {
    this.stallCheckedAtMs = nowMs;
    for (const unit of this.placed) {
      if (unit.isStopping || unit.job.isEnded) continue;
      const stalled = unit.tasks.find(
        t => t.isPlaced && t.runningSinceMs > 0 && isStalled(t),
      );
      if (!stalled) continue;
      const agent = agentOf(stalled.worker);
      this.failureTracker.recordStall(agent, nowMs);
      if (!this.planner.fitsElsewhere(unit, agent, this.planInput(nowMs)))
        continue;
      this.log({
        event: 'moved',
        task: stalled.name,
        run: stalled.run,
        worker: stalled.worker,
        reason: `stalled at ${stalled.percent} %`,
        ms: Math.round(ranMs(stalled, nowMs)),
      });
      this.stopUnit(unit, DiscardCause.STALLED);
    }
  }

  private stopUnit(unit: Unit, cause: DiscardCause): void {
    for (const task of unit.tasks) {
      if (!task.isPlaced || task.isStopping) continue;
      task.isStopping = true;
      task.stopCause = cause;
      this.order(agentOf(task.worker), stopOrder(task.worker, task.ref));
    }
  }

  private recordRunEnd(task: TrackedTask, end: EndReport, nowMs: number): void {
    const isDone = end.kind === RunEndKind.DONE;
    this.recordStarted(task, nowMs);
    this.log({
      event: 'runEnded',
      task: task.name,
      run: end.run,
      worker: task.worker,
      reason: end.kind,
      stopCause: task.stopCause,
      ms: Math.round(ranMs(task, nowMs)),
      lostCoreMs: isDone
        ? undefined
        : this.recordDiscarded(task, task.stopCause ?? end.kind, nowMs),
    });
    if (end.checkpoint) this.recordCheckpoint(task, end.checkpoint);
    if (isDone) this.finishTask(task, nowMs);
    else if (end.kind === RunEndKind.FAILED) this.recordRunFailure(task, nowMs);
    else this.endPlacement(task, nowMs);
  }

  /** Reports work that was lost with a run; returns the amount in core-ms. */
  private recordDiscarded(
    task: TrackedTask,
    cause: string,
    nowMs: number,
  ): number {
    const lostCoreMs = Math.round(task.stopCostCoreMs(nowMs));
    this.options.onDiscarded?.(cause, lostCoreMs);
    return lostCoreMs;
  }

  private finishTask(task: TrackedTask, nowMs: number): void {
    const unit = task.unit!;
    const {queue} = unit.job.spec;
    // The run time is unknown if the end is the first that was reported of the run.
    if (task.runningSinceMs !== 0)
      this.runTimes.record(
        queue,
        unit.step.spec.estimateMs,
        ranMs(task, nowMs),
      );
    this.failureTracker.recordSuccess(agentOf(task.worker));
    for (const member of unit.isGang ? unit.tasks : [task]) {
      this.clearCrashes(member);
      this.placedByWorker.get(member.worker)?.delete(member);
      member.clearPlacement();
      member.state = TaskState.DONE;
      this.markDirty(member);
    }
    this.placed.delete(unit);
    this.waiting.delete(unit);
    if (unit.job.isEnded) return;
    this.openSteps(unit.step.occurrence, nowMs);
    if (unit.job.isDone) this.finishJob(unit.job, JobResult.COMPLETED, nowMs);
  }

  private recordRunFailure(task: TrackedTask, nowMs: number): void {
    const unit = task.unit!;
    this.clearCrashes(task);
    if (!unit.isFailureCounted(task))
      this.attributeFailure(unit, agentOf(task.worker), nowMs);
    unit.recordFailure(task);
    this.endPlacement(task, nowMs);
    const {maxAttempts} = this.queueOf(unit);
    if (unit.failures >= maxAttempts && !unit.job.isEnded)
      this.finishJob(unit.job, JobResult.FAILED, nowMs);
  }

  /**
   * Counts the first failure of a unit against the worker. A unit that also fails on a
   * second worker is likely faulty itself, so the first worker's failures are cleared.
   */
  private attributeFailure(unit: Unit, agent: string, nowMs: number): void {
    const [first] = unit.failedAgents;
    unit.failedAgents.push(agent);
    if (first === undefined) this.failureTracker.recordFailure(agent, nowMs);
    else if (first !== agent) this.failureTracker.forget(first);
  }

  /** Handles a run that ended without completing its task. */
  private endPlacement(task: TrackedTask, nowMs: number): void {
    const unit = task.unit!;
    this.clearPlacement(task);
    if (unit.isPlaced) {
      this.stopUnit(unit, DiscardCause.GANG_BROKEN);
      return;
    }
    this.placed.delete(unit);
    if (unit.job.isEnded || unit.isDone) return;
    this.waiting.add(unit);
    unit.notBeforeMs = Math.max(unit.notBeforeMs, nowMs);
  }

  private clearPlacement(task: TrackedTask): void {
    this.placedByWorker.get(task.worker)?.delete(task);
    task.clearPlacement();
    this.markDirty(task);
  }

  private finishJob(
    job: TrackedJob,
    result: JobResult,
    nowMs: number,
    cause?: string,
  ): void {
    this.pendingRows.put(rowKeys.jobResult(job.spec.id), () =>
      encodeJobResult(result),
    );
    this.endJob(job, nowMs);
    this.log({
      event: 'jobEnded',
      job: job.spec.id,
      reason: cause ? `${result}: ${cause}` : result,
      ms: Math.round(nowMs - job.acceptedAtMs),
    });
  }

  private endJob(job: TrackedJob, nowMs: number): void {
    job.isEnded = true;
    job.endedAtMs = nowMs;
    for (const step of stepsOf(job)) {
      for (const unit of step.units) {
        this.waiting.delete(unit);
        if (unit.isPlaced) this.stopUnit(unit, DiscardCause.JOB_ENDED);
      }
    }
  }

  private expireIfOld(job: TrackedJob, nowMs: number): void {
    if (nowMs - job.endedAtMs < this.options.endedJobRetentionMs) return;
    if (job.tasks.some(t => t.isPlaced)) return;
    this.expiredJobIds.add(job.spec.id);
  }

  /** Removes the records of a job whose caller rows have already been removed. */
  private removeOrphanedRows(id: string, entry: JobEntry): void {
    if (entry.result) this.pendingRows.remove(rowKeys.jobResult(id));
    for (const key of entry.blocks.keys())
      this.pendingRows.remove(blockRowKey(id, key));
  }

  private recordCheckpoint(task: TrackedTask, checkpoint: string): void {
    const members = task.unit?.isGang ? task.unit.tasks : [task];
    for (const member of members) {
      member.checkpoint = checkpoint;
      this.markDirty(member);
    }
  }

  private markDirty(task: TrackedTask): void {
    this.pendingRows.put(...blockRowOf(task));
  }

  private allocate(trackedWorker: TrackedWorker, task: TrackedTask): void {
    const {request} = task.step.spec;
    trackedWorker.allocate({task: task.name, run: task.run, request});
  }

  private tasksPlacedOn(key: string): Set<TrackedTask> {
    this.knownWorkers.add(key);
    return getOrAdd(this.placedByWorker, key, () => new Set<TrackedTask>());
  }

  /** Returns the task if its newest run is this one and is placed on the worker. */
  private findPlacedTask(worker: string, ref: RunRef): TrackedTask | undefined {
    const task = this.tasks.get(ref.task);
    const isSameRun = task?.worker === worker && task.run === ref.run;
    return isSameRun && task.isPlaced ? task : undefined;
  }

  private queueOf(unit: Unit): Queue {
    return unit.job.currentQueue(this.tables.queues);
  }

  private startOrder(task: TrackedTask, isRepeated: boolean): Order {
    return {
      type: 'start',
      worker: task.worker,
      task: task.name,
      run: task.run,
      payload: task.step.occurrence.job.spec.payload,
      checkpoint: task.checkpoint,
      isRepeated,
      workerCapacity: this.pool.get(task.worker)?.report.capacity,
    };
  }

  private order(agent: string, order: Order): void {
    this.readyOrders.push({agent, order});
  }

  private log(event: EngineEvent): void {
    this.options.onEvent(event);
  }
}

/** Times of an occurrence, in ms of the monotonic clock. */
interface OccurrenceTimes {
  /** From when its objective counts. */
  readonly dueAtMs: number;
  /** From when its first tasks wait for a place. */
  readonly readyAtMs: number;
}

function dueTimes(atMs: number): OccurrenceTimes {
  return {dueAtMs: atMs, readyAtMs: atMs};
}

function dueWallMs(schedule: Schedule, occurrence: number): number {
  return schedule.firstWallMs + occurrence * schedule.intervalMs;
}

/** When an occurrence was due, but not in the future, since wall clocks may jump. */
function dueAtMs(
  {spec: {schedule}, acceptedAtMs}: TrackedJob,
  occurrence: number,
  nowMs: number,
  wallMs: number,
): number {
  if (!schedule) return acceptedAtMs;
  return Math.min(nowMs, nowMs - (wallMs - dueWallMs(schedule, occurrence)));
}

/** Creates a job; its age is at least 0, since wall clocks of processes may differ. */
function makeJob(spec: JobSpec, nowMs: number, wallMs: number): TrackedJob {
  const ageMs = Math.max(0, wallMs - spec.acceptedWallMs);
  return new TrackedJob(spec, nowMs - ageMs);
}

/** Describes the steps of a job for the log, each as COUNTxACCELERATORS@ESTIMATE. */
function describeSteps({steps}: JobSpec): string {
  return steps
    .map(({count, request, estimateMs, gang, sameRack, checkpointing}) => {
      const kind =
        (gang ? ' gang' : '') +
        (sameRack ? ' one rack' : '') +
        (checkpointing ? ' checkpoints' : '');
      return `${count}x${request.accelerators}@${estimateMs} ms${kind}`;
    })
    .join(', ');
}

function stepsOf(job: TrackedJob): TrackedStep[] {
  return [...job.occurrences.values()].flatMap(o => o.steps);
}

/** Row keys of all blocks of the job, including those that were never written. */
function blockKeysOf(job: TrackedJob): Set<string> {
  return new Set(job.tasks.map(t => rowKeys.block(t.step.blockOf(t))));
}

/** Key of the row that holds the record of the task, and the encoder of its value. */
function blockRowOf(task: TrackedTask): [key: string, () => Uint8Array] {
  const {step} = task;
  const ref = step.blockOf(task);
  return [rowKeys.block(ref), () => encodeBlock(step.recordsOf(ref.block))];
}

function stopOrder(worker: string, {task, run}: RunRef): Order {
  return {type: 'stop', worker, task, run};
}
