/**
 * Tracks for each accelerator of a pool which job holds it and whether it is
 * committed. An accelerator is committed when it is bound to a guarantee, reserved
 * for a large job, or pinned by non-preemptible work. Three buddy pools of usable
 * accelerators are kept up to date:
 * - `unoccupied`: not held or claimed by any job;
 * - `uncommitted`: not committed;
 * - `available`: both unoccupied and uncommitted.
 */
import {
  type Block,
  BuddyPool,
  type AcceleratorMask,
  type WorkerInfo,
  bitCount,
  fullMask,
  indicesOf,
} from './buddy_pool.js';
import {type Cell} from './cells.js';
import {type Job} from './job.js';

interface WorkerState {
  readonly site: WorkerInfo;
  usable: boolean;
  /** Job that holds each accelerator. */
  readonly holders: (Job | undefined)[];
  /** Job that gets each accelerator when its holder has stopped. */
  readonly claimants: (Job | undefined)[];
  occupied: AcceleratorMask;
  claimed: AcceleratorMask;
  /** Bound to a guarantee or reserved for a large job. */
  bound: AcceleratorMask;
  /** Held by non-preemptible work outside the guarantee of its workspace. */
  pinned: AcceleratorMask;
}

export class AcceleratorMap {
  readonly unoccupied = new BuddyPool();
  readonly uncommitted = new BuddyPool();
  readonly available = new BuddyPool();
  private readonly workers = new Map<string, WorkerState>();

  /** Adds a worker or changes whether it may be used. */
  setUsable(workerInfo: WorkerInfo, usable: boolean): void {
    let state = this.workers.get(workerInfo.id);
    if (!state) {
      state = newWorkerState(workerInfo);
      this.workers.set(workerInfo.id, state);
      for (const pool of [this.unoccupied, this.uncommitted, this.available])
        pool.add(workerInfo, true);
    }
    state.usable = usable;
    this.refresh(state);
  }

  remove(worker: string): void {
    this.workers.delete(worker);
    for (const pool of [this.unoccupied, this.uncommitted, this.available])
      pool.remove(worker);
  }

  allWorkers(): Iterable<{
    readonly site: WorkerInfo;
    readonly usable: boolean;
  }> {
    return this.workers.values();
  }

  workerInfo(worker: string): WorkerInfo | undefined {
    return this.workers.get(worker)?.site;
  }

  isUsable(worker: string): boolean {
    return this.workers.get(worker)?.usable ?? false;
  }

  has(worker: string): boolean {
    return this.workers.has(worker);
  }

  /** Usable accelerators of a worker that no job holds or claims. */
  freeMask(worker: string): AcceleratorMask {
    const state = this.workers.get(worker);
    if (!state?.usable) return 0;
    return fullMask(state.site) & ~(state.occupied | state.claimed);
  }

  claimedMask(worker: string): AcceleratorMask {
    return this.workers.get(worker)?.claimed ?? 0;
  }

  boundMask(worker: string): AcceleratorMask {
    return this.workers.get(worker)?.bound ?? 0;
  }

  /** Jobs that hold some of the accelerators of a block. */
  holdersIn(block: Block): Set<Job> {
    const state = this.workers.get(block.worker);
    const jobs = new Set<Job>();
    if (!state) return jobs;
    for (const i of indicesOf(block.mask)) {
      const job = state.holders[i];
      if (job) jobs.add(job);
    }
    return jobs;
  }

  /** Assigns free accelerators of a block to a job; claims those that others hold. */
  take(block: Block, job: Job): void {
    const state = this.workers.get(block.worker)!;
    for (const i of indicesOf(block.mask)) {
      const slots =
        state.holders[i] && state.holders[i] !== job
          ? state.claimants
          : state.holders;
      slots[i] = job;
    }
    this.refresh(state);
  }

  /** Releases what a job holds and claims in a block; claimants get what it held. */
  release(block: Block, job: Job): void {
    const state = this.workers.get(block.worker);
    if (!state) return;
    for (const i of indicesOf(block.mask)) {
      if (state.claimants[i] === job) state.claimants[i] = undefined;
      if (state.holders[i] !== job) continue;
      state.holders[i] = state.claimants[i];
      state.claimants[i] = undefined;
    }
    this.refresh(state);
  }

  bind(block: Block): void {
    const state = this.workers.get(block.worker)!;
    state.bound |= block.mask;
    this.refresh(state);
  }

  unbind(block: Block): void {
    const state = this.workers.get(block.worker);
    if (!state) return;
    state.bound &= ~block.mask;
    this.refresh(state);
  }

  /** Replaces the set of pinned accelerators of a worker. */
  setPinned(worker: string, pinned: AcceleratorMask): void {
    const state = this.workers.get(worker);
    if (!state || state.pinned === pinned) return;
    state.pinned = pinned;
    this.refresh(state);
  }

  pinnedMask(worker: string): AcceleratorMask {
    return this.workers.get(worker)?.pinned ?? 0;
  }

  /** Numbers of usable accelerators, and of those that jobs hold. */
  usage(): {readonly usable: number; readonly occupied: number} {
    let usable = 0;
    let occupied = 0;
    for (const state of this.workers.values()) {
      if (!state.usable) continue;
      usable += state.site.accelerators;
      occupied += bitCount(state.occupied);
    }
    return {usable, occupied};
  }

  private refresh(state: WorkerState): void {
    state.occupied = maskOf(state.holders);
    state.claimed = maskOf(state.claimants);
    const full = fullMask(state.site);
    const inUse = state.usable ? state.occupied | state.claimed : full;
    const committed = state.usable ? state.bound | state.pinned : full;
    this.unoccupied.setTaken(state.site.id, inUse);
    this.uncommitted.setTaken(state.site.id, committed);
    this.available.setTaken(state.site.id, inUse | committed);
  }
}

/** Finds free blocks for one cell in a buddy pool. */
export function findCell(
  pool: BuddyPool,
  cell: Cell,
  excluded?: ReadonlySet<string>,
): Block[] | undefined {
  if (cell.kind === 'workers') return pool.findWorkers(cell.count, excluded);
  const block = pool.findBlock(cell.size, excluded);
  return block && [block];
}

function newWorkerState(workerInfo: WorkerInfo): WorkerState {
  return {
    site: workerInfo,
    usable: false,
    holders: new Array<Job | undefined>(workerInfo.accelerators).fill(
      undefined,
    ),
    claimants: new Array<Job | undefined>(workerInfo.accelerators).fill(
      undefined,
    ),
    occupied: 0,
    claimed: 0,
    bound: 0,
    pinned: 0,
  };
}

function maskOf(slots: readonly (Job | undefined)[]): AcceleratorMask {
  let mask = 0;
  for (let i = 0; i < slots.length; i++) if (slots[i]) mask |= 1 << i;
  return mask;
}
