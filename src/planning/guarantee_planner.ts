/**
 * Planner of one pool. It orders waiting jobs, places them, reclaims borrowed
 * guarantees, reserves cells for starving jobs and quarantines faulty workers.
 */
import {type Pool} from '../core/tables.js';
import {
  type Block,
  BuddyPool,
  type WorkerInfo,
  bitCount,
} from './buddy_pool.js';
import {cellsOf, signatureOf, totalSize} from './cells.js';
import {DrainReservations} from './drain_reservations.js';
import {GuaranteeLayout} from './guarantee_layout.js';
import {type Job, JobPhase, type JobSpec} from './job.js';
import {JobQueue, type Lane, SCHEDULING_PASSES} from './job_queue.js';
import {type Placement, PlacementSearch} from './placement_search.js';
import {
  JobEnd,
  type PlannerEffect,
  type PlannerInput,
  type PlannerStatus,
  PoolPlanner,
} from './pool_planner.js';
import {RuntimeEstimator} from './runtime_estimator.js';
import {AcceleratorMap, findCell} from './accelerator_map.js';
import {WorkerHealth} from './worker_health.js';

/** A job is not retried once it has failed on this many healthy workers. */
const MAX_FAILED_WORKERS = 3;
/** Interval at which the layout is rebuilt while some guarantees are unbound. */
const REPAIR_INTERVAL_MS = 1000;
/** Shortest time between two compactions of the layout for a starving job. */
const COMPACTION_INTERVAL_MS = 30_000;

export interface PlannerOptions {
  /** Number of accelerators of one worker. */
  readonly acceleratorsPerWorker: number;
  /** Waiting time after which a large job gets a reservation, in ms. */
  readonly starvingAfterMs: number;
  /** Smallest job that may get a reservation, in accelerators. */
  readonly largeJobSize: number;
  /** Maximum number of reservations at a time; 0 disables them. */
  readonly maxReservations: number;
  /** Time that a checkpoint takes, in ms. */
  readonly checkpointMs: number;
  /** Whether preemptible jobs may borrow idle guarantees of other workspaces. */
  readonly allowBorrowing: boolean;
  /** Whether a guaranteed cell is split only when no available accelerators fit. */
  readonly splitGuaranteesLast: boolean;
  /** Whether faulty workers are quarantined. */
  readonly quarantineFaultyWorkers: boolean;
  /**
   * Whether workspaces are ordered by the ratio of usage to guarantee. If false, jobs
   * of a class are ordered by age only.
   */
  readonly useFairShare: boolean;
}

export const DEFAULT_PLANNER_OPTIONS: PlannerOptions = {
  acceleratorsPerWorker: 8,
  starvingAfterMs: 60_000,
  largeJobSize: 8,
  maxReservations: 2,
  checkpointMs: 2_000,
  allowBorrowing: true,
  splitGuaranteesLast: true,
  quarantineFaultyWorkers: true,
  useFairShare: true,
};

export class GuaranteePlanner extends PoolPlanner {
  private readonly acceleratorMap = new AcceleratorMap();
  private readonly estimator = new RuntimeEstimator();
  private readonly health = new WorkerHealth();
  private readonly queue = new JobQueue();
  private readonly jobs = new Map<string, Job>();
  /** Jobs that wait for a preempted job to stop, by the id of that job. */
  private readonly claimantsByVictim = new Map<string, Set<Job>>();
  private readonly usedByWorkspace = new Map<string, number>();
  private readonly guaranteedByWorkspace = new Map<string, number>();
  private readonly limitByWorkspace = new Map<string, number>();
  private readonly layout: GuaranteeLayout;
  private readonly reservations: DrainReservations;
  private readonly search: PlacementSearch;
  private pool: Pool | undefined;
  private inventoryKnown = false;
  /** Incremented whenever a job that could not be placed may fit now. */
  private capacityVersion = 0;
  private lastRepairMs = 0;
  private lastCompactionMs = 0;
  /** Capacity version right after the last compaction. */
  private compactedAtVersion = -1;
  private effects: PlannerEffect[] = [];
  private nowMs = 0;

  constructor(
    private readonly options: PlannerOptions = DEFAULT_PLANNER_OPTIONS,
  ) {
    super();
    this.layout = new GuaranteeLayout(
      this.acceleratorMap,
      options.acceleratorsPerWorker,
    );
    this.reservations = new DrainReservations(
      this.acceleratorMap,
      this.estimator,
    );
    this.search = new PlacementSearch(
      this.acceleratorMap,
      this.layout,
      this.reservations,
      options,
    );
  }

  handle(input: PlannerInput, nowMs: number): PlannerEffect[] {
    this.nowMs = nowMs;
    this.effects = [];
    this.apply(input);
    this.schedule();
    return this.effects;
  }

  status(): PlannerStatus {
    const {usable, occupied} = this.acceleratorMap.usage();
    const allocated = [...this.jobs.values()].filter(
      j => j.phase !== JobPhase.QUEUED,
    );
    return {
      usableAccelerators: usable,
      occupiedAccelerators: occupied,
      queued: this.queue.size,
      running: allocated.length,
      reservedForLargeJobs: this.reservations.count,
      unmetGuarantees: this.layout.unmet(),
      quarantinedWorkers: this.health.quarantined(),
    };
  }

  /** Returns all violated invariants. For tests. */
  violatedInvariants(): string[] {
    return auditPlan(this.jobs.values(), this.layout.allBindings());
  }

  /** Returns the blocks that jobs hold or claim, with their workspace. For tests. */
  heldBlocks(): (Block & {readonly workspace: string})[] {
    return [...this.jobs.values()].flatMap(job =>
      job.blocks.map(block => ({...block, workspace: job.spec.workspace})),
    );
  }

  private apply(input: PlannerInput): void {
    switch (input.type) {
      case 'configure':
        return this.onConfigure(input.pool);
      case 'workerUp':
        return this.onWorkerUp(input.site);
      case 'workerDown':
        return this.onWorkerDown(input.worker);
      case 'workerLeaving':
        return this.onWorkerLeaving(input.worker);
      case 'inventoryKnown':
        this.inventoryKnown = true;
        return this.rejectUnsatisfiable();
      case 'submit':
        return this.onSubmit(input.job);
      case 'adopt':
        return this.onAdopt(input);
      case 'cancel':
        return this.onCancel(input.job, input.reason);
      case 'ended':
        return this.onEnded(input);
      case 'tick':
        return this.onTick();
    }
  }

  // Pool and workers.

  private onConfigure(pool: Pool): void {
    this.pool = pool;
    this.limitByWorkspace.clear();
    this.guaranteedByWorkspace.clear();
    for (const workspaceShare of pool.workspaces) {
      if (workspaceShare.limit !== undefined)
        this.limitByWorkspace.set(workspaceShare.name, workspaceShare.limit);
      const cells = cellsOf(
        workspaceShare.guarantee,
        this.options.acceleratorsPerWorker,
      );
      this.guaranteedByWorkspace.set(
        workspaceShare.name,
        totalSize(cells, this.options.acceleratorsPerWorker),
      );
    }
    this.reservations.releaseAll();
    this.layout.configure(pool, this.jobs.values());
    this.capacityVersion++;
    this.rejectUnsatisfiable();
  }

  private onWorkerUp(workerInfo: WorkerInfo): void {
    const known = this.acceleratorMap.workerInfo(workerInfo.id);
    if (
      known &&
      (known.rack !== workerInfo.rack ||
        known.accelerators !== workerInfo.accelerators)
    )
      this.acceleratorMap.remove(workerInfo.id);
    this.acceleratorMap.setUsable(
      workerInfo,
      !this.health.isQuarantined(workerInfo.id),
    );
    this.onMoreCapacity();
  }

  private onWorkerDown(worker: string): void {
    const workerInfo = this.acceleratorMap.workerInfo(worker);
    if (!workerInfo) return;
    this.withdrawWorker(workerInfo);
    for (const job of [...this.jobs.values()]) {
      if (job.blocks.some(b => b.worker === worker)) this.evict(job);
    }
  }

  private onWorkerLeaving(worker: string): void {
    const workerInfo = this.acceleratorMap.workerInfo(worker);
    if (workerInfo) this.withdrawWorker(workerInfo);
  }

  /** Marks a worker as unusable and binds the guarantees on it to other workers. */
  private withdrawWorker(workerInfo: WorkerInfo): void {
    this.reservations.releaseAll();
    this.layout.unbindWorker(workerInfo.id);
    this.acceleratorMap.setUsable(workerInfo, false);
    this.layout.bindMissing();
    this.repairLayout();
    this.capacityVersion++;
  }

  private evict(job: Job): void {
    if (job.phase === JobPhase.CLAIMING) return this.requeue(job);
    this.stop(job, false);
  }

  private onMoreCapacity(): void {
    this.capacityVersion++;
    if (!this.layout.hasUnmet) return;
    this.reservations.releaseAll();
    this.layout.bindMissing();
  }

  /**
   * Rebuilds the layout if some guarantees are unbound. Small cells may occupy blocks
   * that a large cell needs.
   */
  private repairLayout(): void {
    if (!this.layout.hasUnmet) return;
    this.lastRepairMs = this.nowMs;
    this.reservations.releaseAll();
    this.layout.rebuild(this.jobs.values(), true);
    // Jobs that could not be placed before may fit in the new layout.
    this.capacityVersion++;
  }

  // Jobs.

  private onSubmit(spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    const job = this.createJob(spec);
    this.jobs.set(spec.id, job);
    const reason = this.unsatisfiableReason(job);
    if (reason) return this.reject(job, reason, true);
    this.queue.push(job);
  }

  private onAdopt(input: Extract<PlannerInput, {type: 'adopt'}>): void {
    for (const worker of input.workers) {
      if (!this.acceleratorMap.has(worker.id))
        this.acceleratorMap.setUsable(worker, true);
    }
    const job = this.createJob(input.job);
    this.jobs.set(input.job.id, job);
    job.blocks = input.blocks;
    for (const block of job.blocks) this.acceleratorMap.take(block, job);
    job.phase = JobPhase.RUNNING;
    job.startedMs = this.nowMs;
    this.updateUsage(job, 1);
    this.reservations.releaseAll();
    this.layout.rebuild(this.jobs.values(), true);
    // Jobs that could not be placed before may fit in the new layout.
    this.capacityVersion++;
  }

  private onCancel(id: string, reason: string): void {
    const job = this.jobs.get(id);
    if (!job) return;
    job.cancelled = true;
    switch (job.phase) {
      case JobPhase.QUEUED:
        return this.reject(job, reason, false);
      case JobPhase.CLAIMING:
        this.release(job);
        return this.reject(job, reason, false);
      default:
        return this.stop(job, false);
    }
  }

  private onEnded(input: Extract<PlannerInput, {type: 'ended'}>): void {
    const job = this.jobs.get(input.job);
    if (!job || job.phase === JobPhase.QUEUED) return;
    this.recordHealth(job, input);
    if (input.end === JobEnd.DONE)
      this.estimator.record(job.spec, this.nowMs - job.startedMs);
    this.release(job);
    if (input.end === JobEnd.DONE || job.cancelled) return this.removeJob(job);
    if (input.end === JobEnd.FAILED && !this.mayRetry(job, input.retry))
      return this.fail(job);
    this.requeue(job);
  }

  private recordHealth(
    job: Job,
    input: Extract<PlannerInput, {type: 'ended'}>,
  ): void {
    const workers = new Set(job.blocks.map(b => b.worker));
    if (input.end === JobEnd.DONE)
      for (const worker of workers) this.health.recordSuccess(worker);
    if (input.end !== JobEnd.FAILED) return;
    for (const worker of input.failedWorkers) {
      const shouldQuarantine = this.health.recordFailure(
        worker,
        job.spec.id,
        this.nowMs,
      );
      if (!this.health.isQuarantined(worker)) job.failedOn.add(worker);
      if (shouldQuarantine && this.options.quarantineFaultyWorkers)
        this.quarantine(worker);
    }
  }

  private quarantine(worker: string): void {
    const workerInfo = this.acceleratorMap.workerInfo(worker);
    if (!workerInfo) return;
    this.effects.push({type: 'quarantine', worker});
    this.withdrawWorker(workerInfo);
  }

  private mayRetry(job: Job, retry: boolean): boolean {
    return retry && job.failedOn.size < MAX_FAILED_WORKERS;
  }

  private fail(job: Job): void {
    const workers = [...job.failedOn].join(', ') || 'its worker';
    this.effects.push({
      type: 'fail',
      job: job.spec.id,
      reason: `it failed on ${workers}`,
    });
    this.removeJob(job);
  }

  private onTick(): void {
    for (const worker of this.health.takeReleased(this.nowMs)) {
      const workerInfo = this.acceleratorMap.workerInfo(worker);
      if (workerInfo) this.acceleratorMap.setUsable(workerInfo, true);
      this.onMoreCapacity();
    }
    if (this.nowMs - this.lastRepairMs >= REPAIR_INTERVAL_MS) {
      this.repairLayout();
    }
    this.reserveForStarving();
  }

  // Scheduling.

  /**
   * Places waiting jobs. Borrowing is allowed in the last pass only, so that no job
   * borrows accelerators that their workspace reclaims in the same round.
   */
  private schedule(): void {
    for (let pass = 0; pass < SCHEDULING_PASSES; pass++) {
      while (this.placeNext(pass));
    }
  }

  /** Places the first waiting job that can be placed. Returns false if there is none. */
  private placeNext(pass: number): boolean {
    const isUntried = (lane: Lane) =>
      lane.failedAtVersion[pass] !== this.capacityVersion;
    if (!this.queue.some(isUntried)) return false;
    const ratio = (workspace: string) =>
      this.options.useFairShare ? this.usageRatio(workspace) : 0;
    for (const lane of this.queue.inServiceOrder(ratio)) {
      if (isUntried(lane) && this.tryPlaceFirst(lane, pass)) return true;
    }
    return false;
  }

  private tryPlaceFirst(lane: Lane, pass: number): boolean {
    const job = lane.jobs[0];
    const mayBorrow = pass === SCHEDULING_PASSES - 1;
    const placement = this.isOverLimit(job)
      ? undefined
      : this.search.find(job, this.nowMs, mayBorrow);
    if (placement) this.start(job, placement);
    else lane.failedAtVersion[pass] = this.capacityVersion;
    return placement !== undefined;
  }

  private usageRatio(workspace: string): number {
    const guaranteed = this.guaranteedByWorkspace.get(workspace) ?? 0;
    return (this.usedByWorkspace.get(workspace) ?? 0) / Math.max(1, guaranteed);
  }

  private isOverLimit(job: Job): boolean {
    const limit = this.limitByWorkspace.get(job.spec.workspace) ?? Infinity;
    return (
      (this.usedByWorkspace.get(job.spec.workspace) ?? 0) + job.size > limit
    );
  }

  private start(job: Job, placement: Placement): void {
    this.queue.remove(job);
    if (this.reservations.has(job.spec.id))
      this.reservations.release(job.spec.id);
    job.blocks = placement.blocks;
    this.layout.pinJob(job);
    this.updateUsage(job, 1);
    if (placement.victims.size === 0) return this.run(job);
    job.phase = JobPhase.CLAIMING;
    for (const victim of placement.victims) this.preempt(victim, job);
  }

  private preempt(victim: Job, claimant: Job): void {
    claimant.pendingVictims.add(victim.spec.id);
    const waiting =
      this.claimantsByVictim.get(victim.spec.id) ?? new Set<Job>();
    waiting.add(claimant);
    this.claimantsByVictim.set(victim.spec.id, waiting);
    if (victim.phase === JobPhase.RUNNING)
      this.stop(victim, victim.spec.checkpointable);
  }

  private run(job: Job): void {
    job.phase = JobPhase.RUNNING;
    job.startedMs = this.nowMs;
    this.effects.push({type: 'place', job: job.spec.id, blocks: job.blocks});
  }

  private stop(job: Job, checkpoint: boolean): void {
    if (job.phase !== JobPhase.RUNNING) return;
    job.phase = JobPhase.STOPPING;
    this.effects.push({type: 'stop', job: job.spec.id, checkpoint});
  }

  /** Releases the accelerators of a job. Jobs that waited for them may start. */
  private release(job: Job): void {
    this.layout.unpinJob(job);
    for (const block of job.blocks) this.acceleratorMap.release(block, job);
    this.updateUsage(job, -1);
    for (const victim of job.pendingVictims)
      this.claimantsByVictim.get(victim)?.delete(job);
    job.pendingVictims.clear();
    const waiting = this.claimantsByVictim.get(job.spec.id) ?? [];
    this.claimantsByVictim.delete(job.spec.id);
    for (const claimant of waiting) {
      claimant.pendingVictims.delete(job.spec.id);
      if (claimant.pendingVictims.size === 0) this.run(claimant);
    }
    this.onMoreCapacity();
  }

  private requeue(job: Job): void {
    if (job.phase === JobPhase.CLAIMING) this.release(job);
    job.phase = JobPhase.QUEUED;
    job.blocks = [];
    this.queue.push(job);
  }

  private reject(job: Job, reason: string, permanent: boolean): void {
    this.queue.remove(job);
    this.effects.push({type: 'reject', job: job.spec.id, reason, permanent});
    this.removeJob(job);
  }

  private removeJob(job: Job): void {
    this.reservations.release(job.spec.id);
    this.jobs.delete(job.spec.id);
  }

  private updateUsage(job: Job, sign: 1 | -1): void {
    const used =
      (this.usedByWorkspace.get(job.spec.workspace) ?? 0) + sign * job.size;
    this.usedByWorkspace.set(job.spec.workspace, used);
  }

  // Starving large jobs.

  private reserveForStarving(): void {
    if (this.layout.hasUnmet) return;
    for (const lane of this.queue.allLanes()) {
      if (this.reservations.count >= this.options.maxReservations) return;
      const job = lane.jobs[0];
      if (!this.isStarving(job)) continue;
      if (this.reserve(job)) this.capacityVersion++;
    }
  }

  private reserve(job: Job): boolean {
    if (this.reservations.reserve(job, this.nowMs)) return true;
    if (this.nowMs - this.lastCompactionMs < COMPACTION_INTERVAL_MS)
      return false;
    this.compactLayout();
    return this.reservations.reserve(job, this.nowMs);
  }

  /**
   * Rebuilds the layout from scratch. Guarantees may have become fragmented as workers
   * left and came back.
   */
  private compactLayout(): void {
    this.lastCompactionMs = this.nowMs;
    this.reservations.releaseAll();
    this.layout.rebuild(this.jobs.values(), false);
    this.capacityVersion++;
    this.compactedAtVersion = this.capacityVersion;
  }

  private isStarving(job: Job): boolean {
    if (
      job.size < this.options.largeJobSize ||
      this.reservations.has(job.spec.id)
    )
      return false;
    return (
      this.nowMs - job.spec.acceptedMs > this.options.starvingAfterMs &&
      !this.isOverLimit(job)
    );
  }

  // Jobs that can never be placed.

  private rejectUnsatisfiable(): void {
    const waiting = [...this.queue.allLanes()].map(lane => [...lane.jobs]);
    for (const jobs of waiting) {
      const reason = this.unsatisfiableReason(jobs[0]);
      if (!reason) continue;
      for (const job of jobs) this.reject(job, reason, true);
    }
  }

  private unsatisfiableReason(job: Job): string | undefined {
    if (!this.pool) return undefined;
    const {workspace} = job.spec;
    const workspaceShare = this.pool.workspaces.find(w => w.name === workspace);
    if (!workspaceShare)
      return `workspace "${workspace}" has no share of pool "${this.pool.name}"; ask an operator to add one`;
    if (workspaceShare.limit !== undefined && job.size > workspaceShare.limit) {
      return `it needs ${job.size} accelerators and workspace "${workspace}" may use ${workspaceShare.limit} of pool "${this.pool.name}"; ask for fewer or have the limit raised`;
    }
    if (!this.inventoryKnown || this.layout.hasUnmet) return undefined;
    if (this.fitsWhenEmpty(job) || this.fitsAfterCompaction(job)) {
      return undefined;
    }
    return `it needs cells that pool "${this.pool.name}" does not have for workspace "${workspace}" even when it is idle; ask for a smaller shape`;
  }

  /**
   * Compacts the layout and checks again. Without this, a job could be rejected
   * only because the loss of workers fragmented the guarantees.
   */
  private fitsAfterCompaction(job: Job): boolean {
    if (this.compactedAtVersion === this.capacityVersion) return false;
    this.compactLayout();
    return this.fitsWhenEmpty(job);
  }

  /**
   * Checks whether the job fits in the pool without any jobs. Guarantees of other
   * workspaces are taken if the job is non-preemptible.
   */
  private fitsWhenEmpty(job: Job): boolean {
    const empty = new BuddyPool();
    for (const {site: workerInfo} of this.acceleratorMap.allWorkers()) {
      empty.add(workerInfo, false);
      const own = this.layout.boundTo(job.spec.workspace, workerInfo.id);
      if (!job.spec.preemptible)
        empty.setTaken(
          workerInfo.id,
          this.acceleratorMap.boundMask(workerInfo.id) & ~own,
        );
    }
    return job.cells.every(cell => {
      const blocks = findCell(empty, cell);
      for (const {worker, mask} of blocks ?? [])
        empty.setTaken(worker, empty.takenMask(worker) | mask);
      return blocks !== undefined;
    });
  }

  private createJob(spec: JobSpec): Job {
    const cells = cellsOf(spec.shape, this.options.acceleratorsPerWorker);
    const lane = [
      spec.workspace,
      spec.class,
      spec.preemptible,
      signatureOf(cells),
    ].join('/');
    return {
      spec,
      cells,
      size: totalSize(cells, this.options.acceleratorsPerWorker),
      lane,
      phase: JobPhase.QUEUED,
      blocks: [],
      startedMs: 0,
      pendingVictims: new Set(),
      failedOn: new Set(),
      cancelled: false,
    };
  }
}

/**
 * Checks that bound cells are disjoint, that no accelerator is held by two jobs, that
 * jobs hold as many accelerators as they need, and that no bound cell holds
 * non-preemptible work of another workspace.
 */
function auditPlan(
  jobs: Iterable<Job>,
  bindings: Iterable<{
    readonly workspace: string;
    readonly blocks: readonly Block[];
  }>,
): string[] {
  const faults: string[] = [];
  const holderByAccelerator = new Map<string, string>();
  const workspaceByAccelerator = new Map<string, string>();
  const forEachAccelerator = (
    blocks: readonly Block[],
    visit: (key: string) => void,
  ) => {
    for (const {worker, mask} of blocks)
      for (let i = 0; i < 32; i++)
        if ((mask >>> i) & 1) visit(`${worker}/${i}`);
  };
  for (const {workspace, blocks} of bindings) {
    forEachAccelerator(blocks, key => {
      if (workspaceByAccelerator.has(key))
        faults.push(`${key} is bound to two guarantees`);
      workspaceByAccelerator.set(key, workspace);
    });
  }
  for (const job of jobs) {
    if (job.phase === JobPhase.QUEUED || job.phase === JobPhase.CLAIMING)
      continue;
    const held = job.blocks.reduce((sum, b) => sum + bitCount(b.mask), 0);
    if (held !== job.size)
      faults.push(`${job.spec.id} holds ${held} of ${job.size} accelerators`);
    forEachAccelerator(job.blocks, key => {
      if (holderByAccelerator.has(key))
        faults.push(
          `${key} is held by ${holderByAccelerator.get(key)} and ${job.spec.id}`,
        );
      holderByAccelerator.set(key, job.spec.id);
      const owner = workspaceByAccelerator.get(key);
      if (
        !job.spec.preemptible &&
        owner !== undefined &&
        owner !== job.spec.workspace
      ) {
        faults.push(
          `${key} is bound to ${owner} and held by non-preemptible work of ${job.spec.workspace}`,
        );
      }
    });
  }
  return faults;
}
