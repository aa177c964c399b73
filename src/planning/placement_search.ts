/**
 * Finds accelerators for a job. Free accelerators come first, then those that can be
 * reclaimed from preemptible jobs with the least work lost.
 */
import {JobClass} from '../core/outcome.js';
import {
  type Block,
  MAX_ACCELERATORS_PER_WORKER,
  type AcceleratorMask,
  alignedBlocks,
  bitCount,
  fullMask,
} from './buddy_pool.js';
import {type Cell, cellSize} from './cells.js';
import {type DrainReservations} from './drain_reservations.js';
import {type GuaranteeLayout} from './guarantee_layout.js';
import {type Job, JobPhase, classRank, lostWorkOf} from './job.js';
import {type AcceleratorMap, findCell} from './accelerator_map.js';

/** Accelerators chosen for a job, and the jobs that must stop before it starts. */
export interface Placement {
  readonly blocks: readonly Block[];
  readonly victims: ReadonlySet<Job>;
}

export interface PlacementOptions {
  /**
   * Time that a checkpoint takes, in ms. Stopping a job that can be checkpointed
   * loses at most this much of its run time.
   */
  readonly checkpointMs: number;
  /** Whether preemptible jobs may borrow idle guarantees of other workspaces. */
  readonly allowBorrowing: boolean;
  /** Whether a guaranteed cell is split only when no available accelerators fit. */
  readonly splitGuaranteesLast: boolean;
  /** Number of accelerators of one worker. */
  readonly acceleratorsPerWorker: number;
}

/** One way to place a cell. */
interface Candidate {
  readonly blocks: readonly Block[];
  readonly lostWork: number;
}

type MayPreempt = (holder: Job) => boolean;

export class PlacementSearch {
  private nowMs = 0;
  private mayBorrow = false;

  constructor(
    private readonly acceleratorMap: AcceleratorMap,
    private readonly layout: GuaranteeLayout,
    private readonly reservations: DrainReservations,
    private readonly options: PlacementOptions,
  ) {}

  /**
   * Finds blocks for all cells of a job or for none. On success the accelerators
   * are taken or claimed by the job.
   */
  find(job: Job, nowMs: number, mayBorrow: boolean): Placement | undefined {
    this.nowMs = nowMs;
    this.mayBorrow = mayBorrow && this.options.allowBorrowing;
    const blocks: Block[] = [];
    const victims = new Set<Job>();
    for (const cell of job.cells) {
      const found = this.placeCell(job, cell);
      if (!found) {
        for (const block of blocks) this.acceleratorMap.release(block, job);
        return undefined;
      }
      for (const block of found) {
        for (const holder of this.acceleratorMap.holdersIn(block))
          if (holder !== job) victims.add(holder);
        this.acceleratorMap.take(block, job);
      }
      blocks.push(...found);
    }
    return {blocks, victims};
  }

  private placeCell(job: Job, cell: Cell): readonly Block[] | undefined {
    if (this.options.splitGuaranteesLast)
      return this.placeSplittingOwnLast(job, cell);
    return (
      this.findInOwnFree(job, cell) ??
      this.findInAvailable(job, cell) ??
      this.findInBorrowed(job, cell) ??
      this.findByReclaimingOwn(job, cell) ??
      this.findByUrgency(job, cell)
    );
  }

  /**
   * Splits a guaranteed cell only when no available accelerators fit, so that the
   * cell stays whole for a large job.
   */
  private placeSplittingOwnLast(
    job: Job,
    cell: Cell,
  ): readonly Block[] | undefined {
    return (
      this.findInOwnFree(
        job,
        cell,
        cellSize(cell, this.options.acceleratorsPerWorker),
      ) ??
      this.findInAvailable(job, cell) ??
      this.findInOwnFree(job, cell) ??
      this.findInBorrowed(job, cell) ??
      this.findByReclaimingOwn(job, cell) ??
      this.findByUrgency(job, cell)
    );
  }

  /** Finds free accelerators in the job's own cells. */
  private findInOwnFree(
    job: Job,
    cell: Cell,
    maxOwnSize = Infinity,
  ): readonly Block[] | undefined {
    let best: readonly Block[] | undefined;
    let bestCost = Infinity;
    for (const ownCell of this.ownCells(job)) {
      if (sizeOf(ownCell) > maxOwnSize) continue;
      for (const blocks of this.subCells(ownCell, cell)) {
        if (!blocks.every(b => this.isFree(b))) continue;
        const cost = this.splitCost(ownCell, blocks[0].worker);
        if (cost >= bestCost) continue;
        best = blocks;
        bestCost = cost;
      }
    }
    return best;
  }

  private isFree(block: Block): boolean {
    return (
      (this.acceleratorMap.freeMask(block.worker) & block.mask) === block.mask
    );
  }

  /**
   * Cost of taking blocks out of a cell. Smaller cells cost less; among cells of
   * equal size, the one with fewer free accelerators on the worker costs less.
   */
  private splitCost(ownCell: readonly Block[], worker: string): number {
    const left = this.acceleratorMap.freeMask(worker) & maskOn(ownCell, worker);
    return sizeOf(ownCell) * MAX_ACCELERATORS_PER_WORKER * 2 + bitCount(left);
  }

  /** Finds free accelerators that are not committed. */
  private findInAvailable(job: Job, cell: Cell): readonly Block[] | undefined {
    if (!job.spec.preemptible && this.layout.hasUnmet) return undefined;
    return findCell(this.acceleratorMap.available, cell, job.failedOn);
  }

  /** Finds free accelerators, including those bound to or reserved for others. */
  private findInBorrowed(job: Job, cell: Cell): readonly Block[] | undefined {
    if (!job.spec.preemptible || !this.mayBorrow) return undefined;
    return findCell(this.acceleratorMap.unoccupied, cell, job.failedOn);
  }

  /**
   * Finds accelerators in the job's own cells that can be reclaimed. Preempts
   * preemptible jobs of other workspaces and jobs of lower rank of its own workspace.
   */
  private findByReclaimingOwn(
    job: Job,
    cell: Cell,
  ): readonly Block[] | undefined {
    const mayPreempt: MayPreempt = holder =>
      holder.spec.preemptible &&
      (holder.spec.workspace !== job.spec.workspace || outranks(job, holder));
    const candidates = this.ownCells(job).flatMap(ownCell =>
      this.subCells(ownCell, cell),
    );
    return this.findLeastLostWork(job, candidates, mayPreempt);
  }

  /** Finds uncommitted accelerators that less urgent preemptible jobs hold. */
  private findByUrgency(job: Job, cell: Cell): readonly Block[] | undefined {
    if (job.spec.class !== JobClass.URGENT || this.layout.hasUnmet)
      return undefined;
    const mayPreempt: MayPreempt = holder =>
      holder.spec.preemptible &&
      classRank(holder.spec.class) > classRank(job.spec.class);
    return this.findLeastLostWork(job, this.uncommittedCells(cell), mayPreempt);
  }

  private *uncommittedCells(cell: Cell): Iterable<readonly Block[]> {
    const freeByRack = new Map<string, Block[]>();
    for (const {site: workerInfo, usable} of this.acceleratorMap.allWorkers()) {
      if (!usable) continue;
      const mask =
        fullMask(workerInfo) &
        ~(
          this.acceleratorMap.boundMask(workerInfo.id) |
          this.acceleratorMap.pinnedMask(workerInfo.id)
        );
      if (cell.kind === 'block') {
        for (const m of alignedBlocks(mask, cell.size))
          yield [{worker: workerInfo.id, mask: m}];
      } else if (mask === fullMask(workerInfo)) {
        const blocks = freeByRack.get(workerInfo.rack) ?? [];
        blocks.push({worker: workerInfo.id, mask});
        freeByRack.set(workerInfo.rack, blocks);
      }
    }
    if (cell.kind === 'block') return;
    for (const blocks of freeByRack.values()) {
      if (blocks.length >= cell.count) yield blocks.slice(0, cell.count);
    }
  }

  private findLeastLostWork(
    job: Job,
    candidates: Iterable<readonly Block[]>,
    mayPreempt: MayPreempt,
  ): readonly Block[] | undefined {
    let best: Candidate | undefined;
    for (const blocks of candidates) {
      const lostWork = this.lostWorkOfTaking(job, blocks, mayPreempt);
      if (lostWork !== undefined && (!best || lostWork < best.lostWork))
        best = {blocks, lostWork};
    }
    return best?.blocks;
  }

  /** Work lost by taking blocks, in accelerator-ms; undefined if they cannot be taken. */
  private lostWorkOfTaking(
    job: Job,
    blocks: readonly Block[],
    mayPreempt: MayPreempt,
  ): number | undefined {
    const holders = new Set<Job>();
    for (const block of blocks) {
      if (!this.acceleratorMap.isUsable(block.worker)) return undefined;
      if (this.acceleratorMap.claimedMask(block.worker) & block.mask)
        return undefined;
      for (const holder of this.acceleratorMap.holdersIn(block))
        holders.add(holder);
    }
    let lostWork = 0;
    for (const holder of holders) {
      if (holder === job || holder.phase === JobPhase.CLAIMING)
        return undefined;
      if (!mayPreempt(holder)) return undefined;
      if (holder.phase === JobPhase.RUNNING)
        lostWork += lostWorkOf(holder, this.nowMs, this.options.checkpointMs);
    }
    return lostWork;
  }

  /** Ways to take a cell out of one of the job's own cells. */
  private subCells(
    ownCell: readonly Block[],
    cell: Cell,
  ): (readonly Block[])[] {
    if (cell.kind === 'block') {
      return ownCell.flatMap(({worker, mask}) =>
        alignedBlocks(mask, cell.size).map(m => [{worker, mask: m}]),
      );
    }
    if (ownCell.length < cell.count) return [];
    const freeFirst = [...ownCell].sort(
      (a, b) => Number(this.isFree(b)) - Number(this.isFree(a)),
    );
    return [freeFirst.slice(0, cell.count)];
  }

  /** Cells bound to the workspace of the job or reserved for the job. */
  private ownCells(job: Job): (readonly Block[])[] {
    const cells = this.layout.bindingsOf(job.spec.workspace).map(b => b.blocks);
    cells.push(...this.reservations.reservedCellsOf(job.spec.id));
    return cells.filter(blocks => blocks.length > 0);
  }
}

function outranks(job: Job, holder: Job): boolean {
  if (!job.spec.preemptible) return true;
  return classRank(job.spec.class) < classRank(holder.spec.class);
}

function sizeOf(blocks: readonly Block[]): number {
  return blocks.reduce((sum, block) => sum + bitCount(block.mask), 0);
}

function maskOn(blocks: readonly Block[], worker: string): AcceleratorMask {
  return blocks.find(b => b.worker === worker)?.mask ?? 0;
}
