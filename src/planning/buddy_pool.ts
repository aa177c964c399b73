/**
 * Buddy allocator for the accelerators of many workers. A cell is either a block
 * of 2^k accelerators of one worker, aligned to its size, or a number of whole
 * workers of one rack. Allocation is best fit, so that small jobs do not split
 * large free blocks.
 */
import {getOrAdd} from '../core/fair_queue.js';

/** Set of accelerators of one worker, one bit per accelerator. */
export type AcceleratorMask = number;

/** Location and size of a worker. */
export interface WorkerInfo {
  readonly id: string;
  readonly rack: string;
  /** Number of accelerators: a power of two, at most 16. */
  readonly accelerators: number;
}

/** Accelerators of one worker that belong to a cell. */
export interface Block {
  readonly worker: string;
  readonly mask: AcceleratorMask;
}

export const MAX_ACCELERATORS_PER_WORKER = 16;
/** Most candidates of equal size that one best-fit search compares. */
const MAX_COMPARED_CANDIDATES = 16;
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

interface PoolWorker {
  readonly site: WorkerInfo;
  /** Accelerators that cannot be allocated from this pool. */
  taken: AcceleratorMask;
  /** Exponents k under which the worker is listed in `workersByExponent`. */
  indexedExponents: number[];
}

interface PoolRack {
  readonly id: string;
  readonly workers: Set<PoolWorker>;
  freeWorkers: number;
}

export class BuddyPool {
  private readonly workers = new Map<string, PoolWorker>();
  private readonly racks = new Map<string, PoolRack>();
  /** Workers that have a maximal free block of 2^k accelerators, by k. */
  private readonly workersByExponent = new Map<number, Set<PoolWorker>>();
  private readonly racksByFreeWorkers = new Map<number, Set<PoolRack>>();

  /** Adds a worker with all accelerators taken or all free. */
  add(workerInfo: WorkerInfo, taken: boolean): void {
    const worker: PoolWorker = {
      site: workerInfo,
      taken: taken ? fullMask(workerInfo) : 0,
      indexedExponents: [],
    };
    this.workers.set(workerInfo.id, worker);
    const rack = getOrAdd(this.racks, workerInfo.rack, () => ({
      id: workerInfo.rack,
      workers: new Set<PoolWorker>(),
      freeWorkers: 0,
    }));
    this.unindexRack(rack);
    rack.workers.add(worker);
    if (worker.taken === 0) rack.freeWorkers++;
    this.indexRack(rack);
    this.index(worker);
  }

  remove(id: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    this.setTaken(id, fullMask(worker.site));
    this.unindex(worker);
    this.workers.delete(id);
    const rack = this.racks.get(worker.site.rack)!;
    rack.workers.delete(worker);
    if (rack.workers.size > 0) return;
    this.unindexRack(rack);
    this.racks.delete(rack.id);
  }

  takenMask(id: string): AcceleratorMask {
    return this.workers.get(id)?.taken ?? 0;
  }

  /** Replaces the set of taken accelerators of a worker. */
  setTaken(id: string, taken: AcceleratorMask): void {
    const worker = this.workers.get(id);
    if (!worker || worker.taken === taken) return;
    const rack = this.racks.get(worker.site.rack)!;
    const freeBefore = worker.taken === 0;
    this.unindex(worker);
    worker.taken = taken;
    this.index(worker);
    const freeAfter = taken === 0;
    if (freeBefore === freeAfter) return;
    this.unindexRack(rack);
    rack.freeWorkers += freeAfter ? 1 : -1;
    this.indexRack(rack);
  }

  /** Finds a free block of `size` accelerators (a power of two) in one worker. */
  findBlock(
    size: number,
    excluded: ReadonlySet<string> = NO_EXCLUSIONS,
  ): Block | undefined {
    const maxExponent = Math.log2(MAX_ACCELERATORS_PER_WORKER);
    for (let exponent = Math.log2(size); exponent <= maxExponent; exponent++) {
      const worker = this.fullestWorker(
        this.workersByExponent.get(exponent),
        excluded,
      );
      if (!worker) continue;
      const block = maximalFreeBlocks(
        worker.taken,
        worker.site.accelerators,
      ).find(b => bitCount(b) === 1 << exponent)!;
      return {worker: worker.site.id, mask: lowestBits(block, size)};
    }
    return undefined;
  }

  /** Finds `count` completely free workers in one rack. */
  findWorkers(
    count: number,
    excluded: ReadonlySet<string> = NO_EXCLUSIONS,
  ): Block[] | undefined {
    const freeCounts = [...this.racksByFreeWorkers.keys()]
      .filter(free => free >= count)
      .sort((a, b) => a - b);
    for (const free of freeCounts) {
      for (const rack of this.racksByFreeWorkers.get(free)!) {
        const workers = [...rack.workers].filter(
          w => w.taken === 0 && !excluded.has(w.site.id),
        );
        if (workers.length < count) continue;
        return workers
          .slice(0, count)
          .map(w => ({worker: w.site.id, mask: fullMask(w.site)}));
      }
    }
    return undefined;
  }

  /** Number of free accelerators over all workers. */
  freeCount(): number {
    let count = 0;
    for (const w of this.workers.values())
      count += w.site.accelerators - bitCount(w.taken);
    return count;
  }

  /**
   * Returns the candidate whose rack has the fewest free workers and, within the
   * rack, the one with the most taken accelerators. Compares only the first
   * `MAX_COMPARED_CANDIDATES` candidates.
   */
  private fullestWorker(
    candidates: Set<PoolWorker> | undefined,
    excluded: ReadonlySet<string>,
  ): PoolWorker | undefined {
    let best: PoolWorker | undefined;
    let compared = 0;
    for (const worker of candidates ?? []) {
      if (excluded.has(worker.site.id)) continue;
      if (!best || this.isFuller(worker, best)) best = worker;
      if (++compared >= MAX_COMPARED_CANDIDATES) break;
    }
    return best;
  }

  private isFuller(a: PoolWorker, b: PoolWorker): boolean {
    const rackDifference =
      this.racks.get(a.site.rack)!.freeWorkers -
      this.racks.get(b.site.rack)!.freeWorkers;
    if (rackDifference !== 0) return rackDifference < 0;
    return bitCount(a.taken) > bitCount(b.taken);
  }

  private index(worker: PoolWorker): void {
    const blocks = maximalFreeBlocks(worker.taken, worker.site.accelerators);
    const exponents = new Set(blocks.map(b => Math.log2(bitCount(b))));
    worker.indexedExponents = [...exponents];
    for (const exponent of exponents)
      getOrAdd(
        this.workersByExponent,
        exponent,
        () => new Set<PoolWorker>(),
      ).add(worker);
  }

  private unindex(worker: PoolWorker): void {
    for (const exponent of worker.indexedExponents)
      this.workersByExponent.get(exponent)!.delete(worker);
    worker.indexedExponents = [];
  }

  private indexRack(rack: PoolRack): void {
    getOrAdd(
      this.racksByFreeWorkers,
      rack.freeWorkers,
      () => new Set<PoolRack>(),
    ).add(rack);
  }

  private unindexRack(rack: PoolRack): void {
    const set = this.racksByFreeWorkers.get(rack.freeWorkers);
    set?.delete(rack);
    if (set?.size === 0) this.racksByFreeWorkers.delete(rack.freeWorkers);
  }
}

/** Returns the mask of all accelerators of a worker. */
export function fullMask(workerInfo: WorkerInfo): AcceleratorMask {
  return (1 << workerInfo.accelerators) - 1;
}

export function bitCount(mask: AcceleratorMask): number {
  let count = 0;
  for (let rest = mask; rest !== 0; rest &= rest - 1) count++;
  return count;
}

/** Returns the indices of the accelerators in a mask, in ascending order. */
export function indicesOf(mask: AcceleratorMask): number[] {
  const indices: number[] = [];
  for (let i = 0; mask >> i; i++) if ((mask >> i) & 1) indices.push(i);
  return indices;
}

/** Returns the maximal aligned free blocks of a worker. */
export function maximalFreeBlocks(
  taken: AcceleratorMask,
  accelerators: number,
): AcceleratorMask[] {
  const blocks: AcceleratorMask[] = [];
  const visit = (offset: number, size: number): void => {
    const block = ((1 << size) - 1) << offset;
    if ((taken & block) === 0) {
      blocks.push(block);
    } else if (size > 1) {
      visit(offset, size / 2);
      visit(offset + size / 2, size / 2);
    }
  };
  visit(0, accelerators);
  return blocks;
}

/** Returns the aligned blocks of `size` accelerators that lie inside a mask. */
export function alignedBlocks(
  within: AcceleratorMask,
  size: number,
): AcceleratorMask[] {
  const blocks: AcceleratorMask[] = [];
  for (let offset = 0; offset < MAX_ACCELERATORS_PER_WORKER; offset += size) {
    const block = ((1 << size) - 1) << offset;
    if ((within & block) === block) blocks.push(block);
  }
  return blocks;
}

/** Returns the first `size` accelerators of a block. */
function lowestBits(block: AcceleratorMask, size: number): AcceleratorMask {
  const offset = Math.log2(block & -block);
  return ((1 << size) - 1) << offset;
}
