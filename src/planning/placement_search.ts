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
import {type Job, JobPhase, classRank, lossOf} from './job.js';
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
  readonly perWorker: number;
}

/** One way to place a cell. */
interface Candidate {
  readonly blocks: readonly Block[];
  readonly loss: number;
}

type MayPreempt = (holder: Job) => boolean;

export class PlacementSearch {
  private nowMs = 0;
  private mayBorrow = false;

  constructor(
    private readonly sites: SiteMap,
    private readonly layout: GuaranteeLayout,
    private readonly drains: DrainReservations,
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
    if (this.options.splitOwnLast) return this.placeKeepingOwnWhole(job, cell);
    return (
      this.inOwnFree(job, cell) ??
      this.inOpen(job, cell) ??
      this.inBorrowed(job, cell) ??
      this.inOwnReclaimed(job, cell) ??
      this.byUrgency(job, cell)
    );
  }

  /** Cuts a guaranteed cell up only when there is no open room, so that it stays whole for a large job. */
  private placeKeepingOwnWhole(
    job: Job,
    cell: Cell,
  ): readonly Block[] | undefined {
    return (
      this.inOwnFree(job, cell, cellSize(cell, this.options.perWorker)) ??
      this.inOpen(job, cell) ??
      this.inOwnFree(job, cell) ??
      this.inBorrowed(job, cell) ??
      this.inOwnReclaimed(job, cell) ??
      this.byUrgency(job, cell)
    );
  }

  /** Free accelerators of the job's own guarantee or reservation. */
  private inOwnFree(
    job: Job,
    cell: Cell,
    placeSize = Infinity,
  ): readonly Block[] | undefined {
    let best: readonly Block[] | undefined;
    let bestCost = Infinity;
    for (const place of this.ownPlaces(job)) {
      if (sizeOf(place) > placeSize) continue;
      for (const blocks of this.subCells(place, cell)) {
        if (!blocks.every(b => this.isFree(b))) continue;
        const cost = this.cuttingCost(place, blocks[0].worker);
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
  private cuttingCost(place: readonly Block[], worker: string): number {
    const left = this.sites.freeMask(worker) & maskOn(place, worker);
    return sizeOf(place) * MAX_ACCELERATORS_PER_WORKER * 2 + bitCount(left);
  }

  /** Free accelerators that are promised to nobody. */
  private inOpen(job: Job, cell: Cell): readonly Block[] | undefined {
    if (!job.spec.preemptible && this.layout.hasUnmet) return undefined;
    return findCell(this.sites.open, cell, job.failedOn);
  }

  /** Free accelerators that are promised to others. */
  private inBorrowed(job: Job, cell: Cell): readonly Block[] | undefined {
    if (!job.spec.preemptible || !this.mayBorrow) return undefined;
    return findCell(this.sites.physical, cell, job.failedOn);
  }

  /** Accelerators of the job's own guarantee that others have borrowed. */
  private inOwnReclaimed(job: Job, cell: Cell): readonly Block[] | undefined {
    const mayPreempt: MayPreempt = holder =>
      holder.spec.preemptible &&
      (holder.spec.workspace !== job.spec.workspace || outranks(job, holder));
    const candidates = this.ownPlaces(job).flatMap(place =>
      this.subCells(place, cell),
    );
    return this.leastLoss(job, candidates, mayPreempt);
  }

  /** Accelerators that less urgent work holds and that are promised to nobody. */
  private byUrgency(job: Job, cell: Cell): readonly Block[] | undefined {
    if (job.spec.class !== JobClass.URGENT || this.layout.hasUnmet)
      return undefined;
    const mayPreempt: MayPreempt = holder =>
      holder.spec.preemptible &&
      classRank(holder.spec.class) > classRank(job.spec.class);
    return this.leastLoss(job, this.uncommittedCells(cell), mayPreempt);
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

  private leastLoss(
    job: Job,
    candidates: Iterable<readonly Block[]>,
    mayPreempt: MayPreempt,
  ): readonly Block[] | undefined {
    let best: Candidate | undefined;
    for (const blocks of candidates) {
      const loss = this.lossOfTaking(job, blocks, mayPreempt);
      if (loss !== undefined && (!best || loss < best.loss))
        best = {blocks, loss};
    }
    return best?.blocks;
  }

  /** Work lost by taking the blocks; undefined when they can't be taken. */
  private lossOfTaking(
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
    let loss = 0;
    for (const holder of holders) {
      if (holder === job || holder.phase === JobPhase.CLAIMING)
        return undefined;
      if (!mayPreempt(holder)) return undefined;
      if (holder.phase === JobPhase.RUNNING)
        loss += lossOf(holder, this.nowMs, this.options.checkpointMs);
    }
    return loss;
  }

  /** Ways to cut a cell out of a place. */
  private subCells(place: readonly Block[], cell: Cell): (readonly Block[])[] {
    if (cell.kind === 'block') {
      return place.flatMap(({worker, mask}) =>
        alignedBlocks(mask, cell.size).map(m => [{worker, mask: m}]),
      );
    }
    if (place.length < cell.count) return [];
    const freeFirst = [...place].sort(
      (a, b) => Number(this.isFree(b)) - Number(this.isFree(a)),
    );
    return [freeFirst.slice(0, cell.count)];
  }

  /** Places that only this job's workspace, or only this job, may reclaim. */
  private ownPlaces(job: Job): (readonly Block[])[] {
    const places = this.layout
      .bindingsOf(job.spec.workspace)
      .map(b => b.blocks);
    places.push(...this.drains.placesOf(job.spec.id));
    return places.filter(blocks => blocks.length > 0);
  }
}

function outranks(job: Job, holder: Job): boolean {
  if (!job.spec.preemptible) return true;
  return classRank(job.spec.class) < classRank(holder.spec.class);
}

function sizeOf(place: readonly Block[]): number {
  return place.reduce((sum, block) => sum + bitCount(block.mask), 0);
}

function maskOn(place: readonly Block[], worker: string): Mask {
  return place.find(b => b.worker === worker)?.mask ?? 0;
}
