/** Baseline planners for comparison. They ignore guarantees and job classes. */
import {
  type Block,
  BuddyPool,
  type WorkerInfo,
  fullMask,
} from '../src/planning/buddy_pool.js';
import {type Cell, cellsOf, totalSize} from '../src/planning/cells.js';
import {type JobSpec} from '../src/planning/job.js';
import {
  JobEnd,
  type PlannerEffect,
  type PlannerInput,
  type PlannerStatus,
  PoolPlanner,
} from '../src/planning/pool_planner.js';
import {findCell} from '../src/planning/accelerator_map.js';

const ACCELERATORS_PER_WORKER = 8;

interface BaselineJob {
  readonly spec: JobSpec;
  readonly cells: readonly Cell[];
  blocks: readonly Block[];
  startedMs: number;
  cancelled: boolean;
}

/** Returns the declared run time of a job, in ms. */
export type DeclaredRunTime = (job: string) => number;

abstract class BaselinePlanner extends PoolPlanner {
  protected readonly pool = new BuddyPool();
  protected readonly workers = new Map<string, WorkerInfo>();
  protected readonly waiting: BaselineJob[] = [];
  protected readonly running = new Map<string, BaselineJob>();
  protected effects: PlannerEffect[] = [];
  protected nowMs = 0;
  private readonly downWorkers = new Set<string>();

  handle(input: PlannerInput, nowMs: number): PlannerEffect[] {
    this.nowMs = nowMs;
    this.effects = [];
    this.applyInput(input);
    this.schedule();
    return this.effects;
  }

  status(): PlannerStatus {
    return {
      usableAccelerators: 0,
      occupiedAccelerators: 0,
      queued: this.waiting.length,
      running: this.running.size,
      reservedForLargeJobs: 0,
      unmetGuarantees: [],
      quarantinedWorkers: [],
    };
  }

  /** Starts the waiting jobs that can start now. */
  protected abstract schedule(): void;

  protected startJob(job: BaselineJob, blocks: readonly Block[]): void {
    this.waiting.splice(this.waiting.indexOf(job), 1);
    job.blocks = blocks;
    job.startedMs = this.nowMs;
    this.running.set(job.spec.id, job);
    for (const b of blocks)
      this.pool.setTaken(b.worker, this.pool.takenMask(b.worker) | b.mask);
    this.effects.push({type: 'place', job: job.spec.id, blocks});
  }

  private applyInput(input: PlannerInput): void {
    switch (input.type) {
      case 'workerUp':
        return this.onWorkerUp(input.site);
      case 'workerDown':
        return this.onWorkerDown(input.worker);
      case 'submit':
        this.waiting.push({
          spec: input.job,
          cells: cellsOf(input.job.shape, ACCELERATORS_PER_WORKER),
          blocks: [],
          startedMs: 0,
          cancelled: false,
        });
        return;
      case 'cancel':
        return this.onCancel(input.job, input.reason);
      case 'ended':
        return this.onEnded(input.job, input.end);
      default:
        return;
    }
  }

  private onWorkerUp(worker: WorkerInfo): void {
    if (!this.workers.has(worker.id)) this.pool.add(worker, false);
    else this.pool.setTaken(worker.id, this.occupiedMaskOf(worker.id));
    this.workers.set(worker.id, worker);
    this.downWorkers.delete(worker.id);
  }

  private onWorkerDown(worker: string): void {
    this.downWorkers.add(worker);
    this.pool.setTaken(worker, fullMask(this.workers.get(worker)!));
    for (const job of this.running.values()) {
      if (job.blocks.some(b => b.worker === worker))
        this.effects.push({type: 'stop', job: job.spec.id, checkpoint: false});
    }
  }

  private occupiedMaskOf(worker: string): number {
    let mask = 0;
    for (const job of this.running.values())
      for (const b of job.blocks) if (b.worker === worker) mask |= b.mask;
    return mask;
  }

  private onCancel(id: string, reason: string): void {
    const index = this.waiting.findIndex(j => j.spec.id === id);
    if (index >= 0) {
      this.waiting.splice(index, 1);
      this.effects.push({type: 'reject', job: id, reason, permanent: false});
      return;
    }
    const job = this.running.get(id);
    if (!job) return;
    job.cancelled = true;
    this.effects.push({type: 'stop', job: id, checkpoint: false});
  }

  private onEnded(id: string, end: JobEnd): void {
    const job = this.running.get(id);
    if (!job) return;
    this.running.delete(id);
    for (const b of job.blocks) {
      if (!this.downWorkers.has(b.worker))
        this.pool.setTaken(b.worker, this.pool.takenMask(b.worker) & ~b.mask);
    }
    job.blocks = [];
    if (end !== JobEnd.DONE && !job.cancelled) this.waiting.unshift(job);
  }
}

/**
 * First come, first served, on the first free cell. The job at the head of the queue
 * blocks all later ones.
 */
export class FifoFirstFit extends BaselinePlanner {
  protected schedule(): void {
    while (this.waiting.length > 0) {
      const job = this.waiting[0];
      const blocks = this.firstFit(job.cells);
      if (!blocks) return;
      this.startJob(job, blocks);
    }
  }

  /** First free cell in the order of the workers. */
  private firstFit(cells: readonly Cell[]): Block[] | undefined {
    const [cell] = cells;
    if (cell.kind === 'workers') return this.pool.findWorkers(cell.count);
    for (const worker of this.workers.values()) {
      const taken = this.pool.takenMask(worker.id);
      for (let offset = 0; offset < worker.accelerators; offset += cell.size) {
        const mask = ((1 << cell.size) - 1) << offset;
        if ((taken & mask) === 0) return [{worker: worker.id, mask}];
      }
    }
    return undefined;
  }
}

/**
 * Best fit with backfill. Later jobs can start if their declared end is not
 * after the expected start of the job at the head of the queue.
 */
export class BestFitBackfill extends BaselinePlanner {
  constructor(private readonly declaredMs: DeclaredRunTime) {
    super();
  }

  protected schedule(): void {
    while (this.waiting.length > 0) {
      const blocks = findCell(this.pool, this.waiting[0].cells[0]);
      if (!blocks) break;
      this.startJob(this.waiting[0], blocks);
    }
    if (this.waiting.length > 1) this.backfill();
  }

  private backfill(): void {
    const headStartMs = this.expectedStartMs(this.waiting[0]);
    for (const job of this.waiting.slice(1)) {
      if (this.nowMs + this.declaredMs(job.spec.id) > headStartMs) continue;
      const blocks = findCell(this.pool, job.cells[0]);
      if (blocks) this.startJob(job, blocks);
    }
  }

  /** Time at which the head can start if the running jobs end as declared. */
  private expectedStartMs(head: BaselineJob): number {
    const ends = [...this.running.values()]
      .map(job => ({
        job,
        endMs: Math.max(
          this.nowMs,
          job.startedMs + this.declaredMs(job.spec.id),
        ),
      }))
      .sort((a, b) => a.endMs - b.endMs);
    const futurePool = new BuddyPool();
    for (const worker of this.workers.values()) {
      futurePool.add(worker, false);
      futurePool.setTaken(worker.id, this.pool.takenMask(worker.id));
    }
    for (const {job, endMs} of ends) {
      for (const b of job.blocks)
        futurePool.setTaken(b.worker, futurePool.takenMask(b.worker) & ~b.mask);
      if (findCell(futurePool, head.cells[0])) return endMs;
    }
    return Infinity;
  }
}

/** Number of accelerators that a job requests. */
export function acceleratorCountOf(spec: JobSpec): number {
  return totalSize(
    cellsOf(spec.shape, ACCELERATORS_PER_WORKER),
    ACCELERATORS_PER_WORKER,
  );
}
