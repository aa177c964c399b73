/** Finds accelerators for a job: free ones first, then those that can be reclaimed with the least work lost. */
import {JobClass} from '../core/outcome.js';
import {
  type Block,
  MAX_ACCELERATORS_PER_WORKER,
  type Mask,
  alignedBlocks,
  bitCount,
  fullMask,
} from './buddy_pool.js';
import {type Cell, cellSize} from './cells.js';
import {type DrainReservations} from './drain_reservations.js';
import {type GuaranteeLayout} from './guarantee_layout.js';
import {type Job, JobPhase, classRank, lostWorkOf} from './job.js';
import {type SiteMap, findCell} from './site_map.js';

/** Where a job goes and which jobs must stop first. */
export interface Placement {
  readonly blocks: readonly Block[];
  readonly victims: ReadonlySet<Job>;
}

export interface PlacementOptions {
  /** Time that a checkpoint takes; the loss of stopping a job that can be checkpointed. */
  readonly checkpointMs: number;
  /** Whether work that can be preempted may use idle guarantees of others. */
  readonly borrowing: boolean;
  /** Whether a guaranteed cell is cut up only when there is no open room. */
  readonly splitOwnLast: boolean;
  /** Accelerators of one worker. */
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
    private readonly sites: SiteMap,
    private readonly layout: GuaranteeLayout,
    private readonly reservations: DrainReservations,
    private readonly options: PlacementOptions,
  ) {}

  /**
   * Finds places for all cells of a job or for none. The accelerators are
   * marked as taken by the job when it succeeds.
   */
  find(job: Job, nowMs: number, mayBorrow: boolean): Placement | undefined {
    this.nowMs = nowMs;
    this.mayBorrow = mayBorrow && this.options.borrowing;
    const blocks: Block[] = [];
    const victims = new Set<Job>();
    for (const cell of job.cells) {
      const found = this.placeCell(job, cell);
      if (!found) {
        for (const block of blocks) this.sites.release(block, job);
        return undefined;
      }
      for (const block of found) {
        for (const holder of this.sites.holdersIn(block))
          if (holder !== job) victims.add(holder);
        this.sites.take(block, job);
      }
      blocks.push(...found);
    }
    return {blocks, victims};
  }

  private placeCell(job: Job, cell: Cell): readonly Block[] | undefined {
    if (this.options.splitOwnLast) return this.placeSplittingOwnLast(job, cell);
    return (
      this.findInOwnFree(job, cell) ??
      this.findInAvailable(job, cell) ??
      this.findInBorrowed(job, cell) ??
      this.findByReclaimingOwn(job, cell) ??
      this.findByUrgency(job, cell)
    );
  }

  /** Cuts a guaranteed cell up only when there is no open room, so that it stays whole for a large job. */
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

  /** Free accelerators of the job's own guarantee or reservation. */
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
    return (this.sites.freeMask(block.worker) & block.mask) === block.mask;
  }

  /** Orders places to cut from: the smallest first, then the one with the least left. */
  private splitCost(ownCell: readonly Block[], worker: string): number {
    const left = this.sites.freeMask(worker) & maskOn(ownCell, worker);
    return sizeOf(ownCell) * MAX_ACCELERATORS_PER_WORKER * 2 + bitCount(left);
  }

  /** Free accelerators that are promised to nobody. */
  private findInAvailable(job: Job, cell: Cell): readonly Block[] | undefined {
    if (!job.spec.preemptible && this.layout.hasUnmet) return undefined;
    return findCell(this.sites.available, cell, job.failedOn);
  }

  /** Free accelerators that are promised to others. */
  private findInBorrowed(job: Job, cell: Cell): readonly Block[] | undefined {
    if (!job.spec.preemptible || !this.mayBorrow) return undefined;
    return findCell(this.sites.unoccupied, cell, job.failedOn);
  }

  /** Accelerators of the job's own guarantee that others have borrowed. */
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

  /** Accelerators that less urgent work holds and that are promised to nobody. */
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
    for (const {site, usable} of this.sites.allSites()) {
      if (!usable) continue;
      const mask =
        fullMask(site) &
        ~(this.sites.boundMask(site.id) | this.sites.pinnedMask(site.id));
      if (cell.kind === 'block') {
        for (const m of alignedBlocks(mask, cell.size))
          yield [{worker: site.id, mask: m}];
      } else if (mask === fullMask(site)) {
        const blocks = freeByRack.get(site.rack) ?? [];
        blocks.push({worker: site.id, mask});
        freeByRack.set(site.rack, blocks);
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

  /** Work lost by taking the blocks; undefined when they can't be taken. */
  private lostWorkOfTaking(
    job: Job,
    blocks: readonly Block[],
    mayPreempt: MayPreempt,
  ): number | undefined {
    const holders = new Set<Job>();
    for (const block of blocks) {
      if (!this.sites.isUsable(block.worker)) return undefined;
      if (this.sites.claimedMask(block.worker) & block.mask) return undefined;
      for (const holder of this.sites.holdersIn(block)) holders.add(holder);
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

  /** Ways to cut a cell out of a place. */
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

  /** Places that only this job's workspace, or only this job, may reclaim. */
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

function maskOn(blocks: readonly Block[], worker: string): Mask {
  return blocks.find(b => b.worker === worker)?.mask ?? 0;
}
