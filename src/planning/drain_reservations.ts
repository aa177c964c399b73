/**
 * Reserves cells for large jobs that are starving. No new non-preemptible work is
 * placed in a reserved cell, so the cell drains. Preemptible work may use it until
 * the job starts.
 */
import {
  type Block,
  type AcceleratorMask,
  alignedBlocks,
  fullMask,
} from './buddy_pool.js';
import {type Cell} from './cells.js';
import {type Job} from './job.js';
import {type RuntimeEstimator} from './runtime_estimator.js';
import {type AcceleratorMap} from './accelerator_map.js';

export class DrainReservations {
  /** Reserved blocks of each cell of a job, by job id. */
  private readonly byJob = new Map<string, readonly (readonly Block[])[]>();

  constructor(
    private readonly acceleratorMap: AcceleratorMap,
    private readonly estimator: RuntimeEstimator,
  ) {}

  get count(): number {
    return this.byJob.size;
  }

  reservedCellsOf(job: string): readonly (readonly Block[])[] {
    return this.byJob.get(job) ?? [];
  }

  has(job: string): boolean {
    return this.byJob.has(job);
  }

  /**
   * Reserves, for each cell of the job, the blocks that are expected to drain
   * first. Returns false and reserves nothing when there is not enough capacity.
   */
  reserve(job: Job, nowMs: number): boolean {
    const reserved: Block[][] = [];
    for (const cell of job.cells) {
      const blocks = this.soonestDrained(cell, nowMs);
      if (!blocks) {
        this.unbind(reserved);
        return false;
      }
      for (const block of blocks) this.acceleratorMap.bind(block);
      reserved.push(blocks);
    }
    this.byJob.set(job.spec.id, reserved);
    return true;
  }

  release(job: string): void {
    this.unbind(this.reservedCellsOf(job));
    this.byJob.delete(job);
  }

  releaseAll(): void {
    for (const job of [...this.byJob.keys()]) this.release(job);
  }

  private unbind(cells: readonly (readonly Block[])[]): void {
    for (const block of cells.flat()) this.acceleratorMap.unbind(block);
  }

  private soonestDrained(cell: Cell, nowMs: number): Block[] | undefined {
    return cell.kind === 'block'
      ? this.soonestDrainedBlock(cell.size, nowMs)
      : this.soonestDrainedWorkers(cell.count, nowMs);
  }

  private soonestDrainedBlock(
    size: number,
    nowMs: number,
  ): Block[] | undefined {
    let best: Block | undefined;
    let bestMs = Infinity;
    for (const {site: workerInfo, usable} of this.acceleratorMap.allWorkers()) {
      if (!usable) continue;
      for (const mask of alignedBlocks(fullMask(workerInfo), size)) {
        const costMs = this.expectedDrainMs(
          {worker: workerInfo.id, mask},
          nowMs,
        );
        if (costMs >= bestMs) continue;
        best = {worker: workerInfo.id, mask};
        bestMs = costMs;
      }
    }
    return best && [best];
  }

  private soonestDrainedWorkers(
    count: number,
    nowMs: number,
  ): Block[] | undefined {
    const byRack = new Map<string, {block: Block; costMs: number}[]>();
    for (const {site: workerInfo, usable} of this.acceleratorMap.allWorkers()) {
      if (!usable) continue;
      const block = {worker: workerInfo.id, mask: fullMask(workerInfo)};
      const costMs = this.expectedDrainMs(block, nowMs);
      if (costMs === Infinity) continue;
      const list = byRack.get(workerInfo.rack) ?? [];
      list.push({block, costMs});
      byRack.set(workerInfo.rack, list);
    }
    let best: Block[] | undefined;
    let bestMs = Infinity;
    for (const list of byRack.values()) {
      if (list.length < count) continue;
      const chosen = list.sort((a, b) => a.costMs - b.costMs).slice(0, count);
      const costMs = chosen[count - 1].costMs;
      if (costMs >= bestMs) continue;
      best = chosen.map(c => c.block);
      bestMs = costMs;
    }
    return best;
  }

  /**
   * Expected time until a block holds no non-preemptible work, in ms. Infinite when
   * the block is bound to a guarantee, reserved or claimed.
   */
  private expectedDrainMs(block: Block, nowMs: number): number {
    const committed: AcceleratorMask =
      this.acceleratorMap.boundMask(block.worker) |
      this.acceleratorMap.claimedMask(block.worker);
    if (committed & block.mask) return Infinity;
    let longestMs = 0;
    for (const job of this.acceleratorMap.holdersIn(block)) {
      if (!job.spec.preemptible)
        longestMs = Math.max(longestMs, this.estimator.remainingMs(job, nowMs));
    }
    return longestMs;
  }
}
