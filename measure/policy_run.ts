/** Runs one workload against one planner on a virtual clock. */
import {TimerHeap} from '../src/core/timer_heap.js';
import {type Pool} from '../src/core/tables.js';
import {
  type Block,
  BuddyPool,
  type WorkerInfo,
  bitCount,
  fullMask,
} from '../src/planning/buddy_pool.js';
import {type Cell, cellSize, cellsOf} from '../src/planning/cells.js';
import {GuaranteePlanner} from '../src/planning/guarantee_planner.js';
import {
  JobEnd,
  type PlannerEffect,
  type PlannerInput,
  type PoolPlanner,
} from '../src/planning/pool_planner.js';
import {findCell} from '../src/planning/accelerator_map.js';
import {type Arrival, type Incident, type Workload} from './arrivals.js';

const TICK_INTERVAL_MS = 5000;
/** Time between a stop order and the end of the run, in ms. */
const STOP_DURATION_MS = 200;
/** Additional time of a stop that writes a checkpoint, in ms. */
const CHECKPOINT_DURATION_MS = 2000;
/** Time after which a task fails on a faulty worker, in ms. */
const FAIL_AFTER_MS = 2000;
/** Longest allowed wait of a job while its workspace is within its guarantee, in ms. */
const MAX_GUARANTEED_WAIT_MS = 10_000;
const LARGE_JOB_ACCELERATORS = 16;
/**
 * Time at which a run is aborted, in ms of the virtual clock. Jobs that are still
 * waiting count with their wait up to this time.
 */
const MAX_SIMULATED_MS = 12 * 3_600_000;

/** Results of one run. */
export interface PolicyRunResult {
  readonly ended: number;
  readonly unfinished: number;
  readonly meanSlowdown: number;
  readonly p95Slowdown: number;
  /**
   * Fraction of time in which a waiting job does not fit although enough accelerators
   * are free, because they are not adjacent.
   */
  readonly fragmentation: number;
  readonly longestLargeWaitMs: number;
  /** 95th percentile of the waits while the workspace was within its guarantee, in ms. */
  readonly guaranteedWaitP95Ms: number;
  /** Longest of these waits, in ms. */
  readonly guaranteedWaitMaxMs: number;
  /** Number of these waits over the allowed time while all workers were available. */
  readonly waitViolations: number;
  /** Work lost by stops and failures, in accelerator-hours. */
  readonly lostAcceleratorHours: number;
  /** Number of placements that were incomplete or shared an accelerator. */
  readonly invalidPlacements: number;
  /** Number of violations found by the planner's invariant checks. */
  readonly invariantViolations: number;
  readonly utilization: number;
}

interface UnfinishedJob {
  readonly arrival: Arrival;
  readonly cells: readonly Cell[];
  readonly size: number;
  remainingMs: number;
  /** Incremented at each start, so that events of earlier starts are ignored. */
  startNumber: number;
  startedMs: number;
  blocks: readonly Block[];
  waitingSinceMs: number;
  longestWaitMs: number;
}

type SimulationEvent =
  | {readonly type: 'arrive'; readonly arrival: Arrival}
  | {
      readonly type: 'finish';
      readonly job: string;
      readonly startNumber: number;
      readonly end: JobEnd;
      readonly failedWorkers: readonly string[];
    }
  | {
      readonly type: 'stopped';
      readonly job: string;
      readonly startNumber: number;
      readonly checkpoint: boolean;
    }
  | {readonly type: 'incident'; readonly incident: Incident}
  | {readonly type: 'tick'};

export class PolicyRun {
  private readonly events = new TimerHeap<SimulationEvent>();
  private readonly jobs = new Map<string, UnfinishedJob>();
  private readonly occupancy = new BuddyPool();
  private readonly faultyWorkers = new Set<string>();
  private readonly downRacks = new Set<string>();
  private readonly slowdowns: number[] = [];
  private readonly guaranteedWaitsMs: number[] = [];
  /** Time since which a workspace requests no more than its guarantee, in ms. */
  private readonly withinGuaranteeSinceMs = new Map<string, number>();
  private nowMs = 0;
  private fragmentedMs = 0;
  private busyAcceleratorMs = 0;
  private lostAcceleratorMs = 0;
  private longestLargeWaitMs = 0;
  private waitViolations = 0;
  private invalidPlacements = 0;
  private invariantViolations = 0;
  private occupiedAccelerators = 0;
  private unfinishedJobCount: number;

  constructor(
    private readonly planner: PoolPlanner,
    private readonly pool: Pool,
    private readonly workers: readonly WorkerInfo[],
    private readonly workload: Workload,
  ) {
    this.unfinishedJobCount = workload.arrivals.length;
  }

  run(): PolicyRunResult {
    this.sendToPlanner({type: 'configure', pool: this.pool});
    for (const worker of this.workers) {
      this.occupancy.add(worker, false);
      this.sendToPlanner({type: 'workerUp', site: worker});
    }
    this.sendToPlanner({type: 'inventoryKnown'});
    for (const arrival of this.workload.arrivals)
      this.events.add(arrival.spec.acceptedMs, {type: 'arrive', arrival});
    for (const incident of this.workload.incidents)
      this.events.add(incident.atMs, {type: 'incident', incident});
    this.events.add(TICK_INTERVAL_MS, {type: 'tick'});
    while (this.unfinishedJobCount > 0 && this.nowMs < MAX_SIMULATED_MS)
      this.step();
    return this.collectResult();
  }

  private step(): void {
    const next = this.events.peekDueMs()!;
    this.accumulate(next - this.nowMs);
    this.nowMs = next;
    for (const event of this.events.takeDue(next)) this.onEvent(event);
  }

  private onEvent(event: SimulationEvent): void {
    switch (event.type) {
      case 'arrive':
        return this.onArrive(event.arrival);
      case 'finish':
        return this.onFinish(event);
      case 'stopped':
        return this.onStopped(event);
      case 'incident':
        return this.onIncident(event.incident);
      case 'tick':
        this.events.add(this.nowMs + TICK_INTERVAL_MS, event);
        this.sendToPlanner({type: 'tick'});
        if (this.planner instanceof GuaranteePlanner)
          this.invariantViolations += this.planner.violatedInvariants().length;
    }
  }

  private onArrive(arrival: Arrival): void {
    const cells = cellsOf(arrival.spec.shape, 8);
    const size = cells.reduce((sum, c) => sum + cellSize(c, 8), 0);
    const job: UnfinishedJob = {
      arrival,
      cells,
      size,
      remainingMs: arrival.runMs,
      startNumber: 0,
      startedMs: 0,
      blocks: [],
      waitingSinceMs: this.nowMs,
      longestWaitMs: 0,
    };
    this.jobs.set(arrival.spec.id, job);
    this.updateWithinGuarantee(arrival.spec.workspace);
    this.sendToPlanner({type: 'submit', job: arrival.spec});
  }

  /** Updates the time since which all jobs of a workspace fit its guarantee together. */
  private updateWithinGuarantee(workspace: string): void {
    const workspaceShare = this.pool.workspaces.find(
      w => w.name === workspace,
    )!;
    const freeCellSizes = cellsOf(workspaceShare.guarantee, 8)
      .map(c => cellSize(c, 8))
      .sort((a, b) => a - b);
    const cells = [...this.jobs.values()]
      .filter(job => job.arrival.spec.workspace === workspace)
      .flatMap(job => job.cells.map(c => cellSize(c, 8)))
      .sort((a, b) => b - a);
    const fits = cells.every(size => takeCell(freeCellSizes, size));
    if (!fits) this.withinGuaranteeSinceMs.delete(workspace);
    else if (!this.withinGuaranteeSinceMs.has(workspace)) {
      this.withinGuaranteeSinceMs.set(workspace, this.nowMs);
    }
  }

  private onFinish(event: Extract<SimulationEvent, {type: 'finish'}>): void {
    const job = this.jobs.get(event.job);
    if (!job || job.startNumber !== event.startNumber) return;
    this.releaseBlocks(job);
    if (event.end === JobEnd.DONE) {
      this.slowdowns.push(
        (this.nowMs - job.arrival.spec.acceptedMs) / job.arrival.runMs,
      );
      this.removeJob(job);
    } else {
      this.recordLostWork(job, this.nowMs - job.startedMs);
    }
    this.sendToPlanner({
      type: 'ended',
      job: event.job,
      end: event.end,
      failedWorkers: event.failedWorkers,
      retry: true,
    });
  }

  private onStopped(event: Extract<SimulationEvent, {type: 'stopped'}>): void {
    const job = this.jobs.get(event.job);
    if (job && job.startNumber !== event.startNumber) return;
    if (job) {
      const ranMs = this.nowMs - job.startedMs;
      job.startNumber++;
      if (event.checkpoint)
        job.remainingMs = Math.max(
          1000,
          job.remainingMs - Math.max(0, ranMs - CHECKPOINT_DURATION_MS),
        );
      else this.recordLostWork(job, ranMs);
      this.releaseBlocks(job);
    }
    this.sendToPlanner({
      type: 'ended',
      job: event.job,
      end: JobEnd.STOPPED,
      failedWorkers: [],
      retry: true,
    });
  }

  private recordLostWork(job: UnfinishedJob, ranMs: number): void {
    this.lostAcceleratorMs += ranMs * job.size;
    job.waitingSinceMs = this.nowMs;
  }

  private onIncident(incident: Incident): void {
    if (incident.type === 'cancelWave')
      return this.cancelJobs(incident.waitingShare, incident.runningShare);
    if (incident.type === 'workerBreaks' || incident.type === 'workerMends') {
      const worker = this.workers[incident.worker].id;
      if (incident.type === 'workerBreaks') this.faultyWorkers.add(worker);
      else this.faultyWorkers.delete(worker);
      return;
    }
    const racks = [...new Set(this.workers.map(s => s.rack))];
    const rack = racks[incident.rack];
    for (const rackWorker of this.workers.filter(s => s.rack === rack)) {
      if (incident.type === 'rackDown') {
        this.downRacks.add(rack);
        this.occupancy.setTaken(rackWorker.id, fullMask(rackWorker));
        this.sendToPlanner({type: 'workerDown', worker: rackWorker.id});
      } else {
        this.downRacks.delete(rack);
        this.occupancy.setTaken(rackWorker.id, 0);
        this.sendToPlanner({type: 'workerUp', site: rackWorker});
      }
    }
  }

  private cancelJobs(waitingShare: number, runningShare: number): void {
    let i = 0;
    for (const job of [...this.jobs.values()]) {
      const share = job.blocks.length > 0 ? runningShare : waitingShare;
      if ((i++ % 10) / 10 >= share) continue;
      this.removeJob(job);
      this.sendToPlanner({
        type: 'cancel',
        job: job.arrival.spec.id,
        reason: 'cancelled',
      });
    }
  }

  private sendToPlanner(input: PlannerInput): void {
    for (const effect of this.planner.handle(input, this.nowMs))
      this.onEffect(effect);
  }

  private onEffect(effect: PlannerEffect): void {
    switch (effect.type) {
      case 'place':
        return this.onPlace(effect.job, effect.blocks);
      case 'stop': {
        const job = this.jobs.get(effect.job);
        const delayMs =
          STOP_DURATION_MS + (effect.checkpoint ? CHECKPOINT_DURATION_MS : 0);
        this.events.add(this.nowMs + delayMs, {
          type: 'stopped',
          job: effect.job,
          startNumber: job?.startNumber ?? -1,
          checkpoint: effect.checkpoint,
        });
        return;
      }
      case 'reject':
      case 'fail': {
        const job = this.jobs.get(effect.job);
        if (job) this.removeJob(job);
        return;
      }
      default:
        return;
    }
  }

  private onPlace(id: string, blocks: readonly Block[]): void {
    const job = this.jobs.get(id);
    if (!job) return;
    const placedAccelerators = blocks.reduce(
      (sum, b) => sum + bitCount(b.mask),
      0,
    );
    const isShared = blocks.some(
      b => this.occupancy.takenMask(b.worker) & b.mask,
    );
    if (placedAccelerators !== job.size || isShared) this.invalidPlacements++;
    job.blocks = blocks;
    job.startNumber++;
    job.startedMs = this.nowMs;
    this.recordWait(job);
    for (const b of blocks)
      this.occupancy.setTaken(
        b.worker,
        this.occupancy.takenMask(b.worker) | b.mask,
      );
    this.occupiedAccelerators += job.size;
    const failedWorkers = [...new Set(blocks.map(b => b.worker))].filter(w =>
      this.faultyWorkers.has(w),
    );
    const willFail = failedWorkers.length > 0;
    const runMs = willFail
      ? Math.min(FAIL_AFTER_MS, job.remainingMs)
      : job.remainingMs;
    this.events.add(this.nowMs + runMs, {
      type: 'finish',
      job: id,
      startNumber: job.startNumber,
      end: willFail ? JobEnd.FAILED : JobEnd.DONE,
      failedWorkers,
    });
  }

  private recordWait(job: UnfinishedJob): void {
    const waitMs = this.nowMs - job.waitingSinceMs;
    job.longestWaitMs = Math.max(job.longestWaitMs, waitMs);
    if (job.size >= LARGE_JOB_ACCELERATORS)
      this.longestLargeWaitMs = Math.max(this.longestLargeWaitMs, waitMs);
    const sinceMs = this.withinGuaranteeSinceMs.get(job.arrival.spec.workspace);
    if (sinceMs === undefined) return;
    const guaranteedWaitMs = this.nowMs - Math.max(sinceMs, job.waitingSinceMs);
    this.guaranteedWaitsMs.push(guaranteedWaitMs);
    const allUp = this.downRacks.size === 0 && this.faultyWorkers.size === 0;
    if (guaranteedWaitMs > MAX_GUARANTEED_WAIT_MS && allUp)
      this.waitViolations++;
  }

  private releaseBlocks(job: UnfinishedJob): void {
    for (const block of job.blocks) {
      const worker = this.workers.find(s => s.id === block.worker)!;
      if (!this.downRacks.has(worker.rack))
        this.occupancy.setTaken(
          block.worker,
          this.occupancy.takenMask(block.worker) & ~block.mask,
        );
    }
    if (job.blocks.length > 0) this.occupiedAccelerators -= job.size;
    job.blocks = [];
    job.waitingSinceMs = this.nowMs;
  }

  private removeJob(job: UnfinishedJob): void {
    this.releaseBlocks(job);
    this.jobs.delete(job.arrival.spec.id);
    this.unfinishedJobCount--;
    this.updateWithinGuarantee(job.arrival.spec.workspace);
  }

  /** Adds a time span to the totals of busy accelerators and fragmentation. */
  private accumulate(spanMs: number): void {
    this.busyAcceleratorMs += spanMs * this.occupiedAccelerators;
    if (this.isFragmented()) this.fragmentedMs += spanMs;
  }

  private isFragmented(): boolean {
    const free = this.occupancy.freeCount();
    const triedSizes = new Set<number>();
    for (const job of this.jobs.values()) {
      if (job.blocks.length > 0 || job.size > free || triedSizes.has(job.size))
        continue;
      triedSizes.add(job.size);
      if (!job.cells.every(cell => findCell(this.occupancy, cell))) return true;
    }
    return false;
  }

  private collectResult(): PolicyRunResult {
    for (const job of this.jobs.values()) {
      this.slowdowns.push(
        (this.nowMs - job.arrival.spec.acceptedMs) / job.arrival.runMs,
      );
      if (job.size >= LARGE_JOB_ACCELERATORS && job.blocks.length === 0)
        this.longestLargeWaitMs = Math.max(
          this.longestLargeWaitMs,
          this.nowMs - job.waitingSinceMs,
        );
    }
    const capacity = this.workers.reduce((sum, s) => sum + s.accelerators, 0);
    return {
      ended: this.slowdowns.length,
      unfinished: this.jobs.size,
      meanSlowdown: mean(this.slowdowns),
      p95Slowdown: percentile(this.slowdowns, 0.95),
      fragmentation: this.fragmentedMs / this.nowMs,
      longestLargeWaitMs: this.longestLargeWaitMs,
      guaranteedWaitP95Ms: percentile(this.guaranteedWaitsMs, 0.95),
      guaranteedWaitMaxMs: percentile(this.guaranteedWaitsMs, 1),
      waitViolations: this.waitViolations,
      lostAcceleratorHours: this.lostAcceleratorMs / 3_600_000,
      invalidPlacements: this.invalidPlacements,
      invariantViolations: this.invariantViolations,
      utilization: this.busyAcceleratorMs / (capacity * this.nowMs),
    };
  }
}

/**
 * Removes the smallest sufficient cell from a sorted list, splits it to the given size
 * and puts the remaining parts back. Returns false if there is none.
 */
function takeCell(freeCellSizes: number[], size: number): boolean {
  const index = freeCellSizes.findIndex(s => s >= size);
  if (index < 0) return false;
  const [found] = freeCellSizes.splice(index, 1);
  for (let remainingSize = found; remainingSize > size && remainingSize > 1;) {
    remainingSize /= 2;
    freeCellSizes.push(remainingSize);
  }
  freeCellSizes.sort((a, b) => a - b);
  return true;
}

export function mean(values: readonly number[]): number {
  return values.length === 0
    ? 0
    : values.reduce((sum, v) => sum + v, 0) / values.length;
}

export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted.length === 0
    ? 0
    : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}
