/**
 * Binds each cell of each workspace's guarantee to accelerators of the pool.
 *
 * Invariant: bound cells are disjoint, and a bound cell holds only free accelerators,
 * preemptible work, and work of its own workspace. The guaranteed shape can therefore
 * always be reclaimed. The end of a job only frees accelerators and so preserves the
 * invariant. Every placement is checked against it.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {type Pool} from '../core/tables.js';
import {
  type Block,
  BuddyPool,
  type AcceleratorMask,
  alignedBlocks,
  bitCount,
  fullMask,
} from './buddy_pool.js';
import {type Cell, cellSize, cellsOf, signatureOf} from './cells.js';
import {NonPreemptibleWork} from './non_preemptible_work.js';
import {type Job} from './job.js';
import {type AcceleratorMap, findCell} from './accelerator_map.js';

/** One guaranteed cell; `blocks` is empty while the cell is unbound. */
export interface Binding {
  readonly workspace: string;
  readonly cell: Cell;
  blocks: readonly Block[];
}

/** A guaranteed cell that is not bound at present. */
export interface UnmetGuarantee {
  readonly workspace: string;
  readonly accelerators: number;
}

export class GuaranteeLayout {
  private bindings: Binding[] = [];
  /** Number of unbound cells. */
  private unmetCount = 0;
  private byWorkspace = new Map<string, Binding[]>();

  constructor(
    private readonly acceleratorMap: AcceleratorMap,
    private readonly acceleratorsPerWorker: number,
  ) {}

  bindingsOf(workspace: string): readonly Binding[] {
    return this.byWorkspace.get(workspace) ?? [];
  }

  allBindings(): readonly Binding[] {
    return this.bindings;
  }

  unmet(): UnmetGuarantee[] {
    return this.bindings
      .filter(b => b.blocks.length === 0)
      .map(b => ({
        workspace: b.workspace,
        accelerators: cellSize(b.cell, this.acceleratorsPerWorker),
      }));
  }

  get hasUnmet(): boolean {
    return this.unmetCount > 0;
  }

  /** Replaces the guarantees with those of the pool and binds all of them. */
  configure(pool: Pool, jobs: Iterable<Job>): void {
    const former = this.bindings;
    for (const binding of former) this.unbind(binding);
    this.bindings = pool.workspaces.flatMap(({name, guarantee}) =>
      cellsOf(guarantee, this.acceleratorsPerWorker).map(cell => ({
        workspace: name,
        cell,
        blocks: [],
      })),
    );
    this.bindings.sort(
      (a, b) =>
        cellSize(b.cell, this.acceleratorsPerWorker) -
        cellSize(a.cell, this.acceleratorsPerWorker),
    );
    this.byWorkspace = groupByWorkspace(this.bindings);
    this.unmetCount = this.bindings.length;
    this.bindAll(former, jobs);
  }

  /** Rebinds all guarantees; `keepBlocks` keeps the blocks of cells if possible. */
  rebuild(jobs: Iterable<Job>, keepBlocks: boolean): void {
    const former = keepBlocks ? this.bindings.map(b => ({...b})) : [];
    for (const binding of this.bindings) this.unbind(binding);
    this.bindAll(former, jobs);
  }

  /** Binds unbound cells to uncommitted accelerators, without moving other bindings. */
  bindMissing(): void {
    if (this.unmetCount === 0) return;
    for (const binding of this.bindings) {
      if (binding.blocks.length > 0) continue;
      const blocks = findCell(this.acceleratorMap.uncommitted, binding.cell);
      if (blocks) this.bindTo(binding, blocks);
    }
  }

  /** Unbinds all cells that include the worker. */
  unbindWorker(worker: string): void {
    for (const binding of this.bindings) {
      if (binding.blocks.some(b => b.worker === worker)) this.unbind(binding);
    }
  }

  /** Accelerators of a worker that are bound to a workspace. */
  boundTo(workspace: string, worker: string): AcceleratorMask {
    let mask = 0;
    for (const {blocks} of this.bindingsOf(workspace)) {
      for (const block of blocks)
        if (block.worker === worker) mask |= block.mask;
    }
    return mask;
  }

  /** Pins what a non-preemptible job holds outside the guarantee of its workspace. */
  pinJob(job: Job): void {
    if (job.spec.preemptible) return;
    for (const block of job.blocks) {
      const outside =
        block.mask & ~this.boundTo(job.spec.workspace, block.worker);
      this.acceleratorMap.setPinned(
        block.worker,
        this.acceleratorMap.pinnedMask(block.worker) | outside,
      );
    }
  }

  unpinJob(job: Job): void {
    if (job.spec.preemptible) return;
    for (const block of job.blocks) {
      this.acceleratorMap.setPinned(
        block.worker,
        this.acceleratorMap.pinnedMask(block.worker) & ~block.mask,
      );
    }
  }

  private bindAll(former: readonly Binding[], jobs: Iterable<Job>): void {
    const nonPreemptible = new NonPreemptibleWork(jobs);
    const pool = this.createLayoutPool(nonPreemptible);
    const formerByCell = groupByCell(former.filter(b => b.blocks.length > 0));
    for (const binding of this.bindings) {
      if (this.tryKeepBlocks(binding, formerByCell, pool, nonPreemptible))
        continue;
      this.tryBind(binding, pool, nonPreemptible);
    }
    this.pinAll(nonPreemptible);
  }

  /** Binds a cell to the former blocks of an equal cell of the same workspace. */
  private tryKeepBlocks(
    binding: Binding,
    formerByCell: Map<string, Binding[]>,
    pool: BuddyPool,
    nonPreemptible: NonPreemptibleWork,
  ): boolean {
    const equalCells = formerByCell.get(cellKey(binding)) ?? [];
    for (let former = equalCells.pop(); former; former = equalCells.pop()) {
      if (
        !this.isEligible(former.blocks, binding.workspace, pool, nonPreemptible)
      )
        continue;
      this.bindTo(binding, former.blocks);
      markTaken(pool, former.blocks);
      return true;
    }
    return false;
  }

  private tryBind(
    binding: Binding,
    pool: BuddyPool,
    nonPreemptible: NonPreemptibleWork,
  ): void {
    const own = this.findAroundOwnWork(binding, pool, nonPreemptible);
    const blocks = own ?? findCell(pool, binding.cell);
    if (!blocks) return;
    this.bindTo(binding, blocks);
    markTaken(pool, blocks);
  }

  /**
   * Finds blocks that overlap non-preemptible work of the same workspace. No other
   * workspace could bind them.
   */
  private findAroundOwnWork(
    binding: Binding,
    pool: BuddyPool,
    nonPreemptible: NonPreemptibleWork,
  ): Block[] | undefined {
    const {cell, workspace} = binding;
    if (cell.kind === 'workers')
      return this.findWorkersAroundOwnWork(
        cell.count,
        workspace,
        pool,
        nonPreemptible,
      );
    let best: Block | undefined;
    let leastUnused = Infinity;
    for (const worker of nonPreemptible.workersOf(workspace)) {
      const workerInfo = this.acceleratorMap.workerInfo(worker);
      if (!workerInfo) continue;
      for (const mask of alignedBlocks(fullMask(workerInfo), cell.size)) {
        const block = {worker, mask};
        const ownCount = bitCount(
          mask & nonPreemptible.heldBy(workspace, worker),
        );
        if (
          ownCount === 0 ||
          !this.isEligible([block], workspace, pool, nonPreemptible)
        )
          continue;
        if (cell.size - ownCount >= leastUnused) continue;
        best = block;
        leastUnused = cell.size - ownCount;
      }
    }
    return best && [best];
  }

  private findWorkersAroundOwnWork(
    count: number,
    workspace: string,
    pool: BuddyPool,
    nonPreemptible: NonPreemptibleWork,
  ): Block[] | undefined {
    const ownWorkers = new Set(nonPreemptible.workersOf(workspace));
    const racks = new Set(
      [...ownWorkers].map(w => this.acceleratorMap.workerInfo(w)?.rack),
    );
    for (const rack of racks) {
      const candidates = [...this.acceleratorMap.allWorkers()]
        .filter(s => s.usable && s.site.rack === rack)
        .map(s => ({worker: s.site.id, mask: fullMask(s.site)}))
        .filter(block =>
          this.isEligible([block], workspace, pool, nonPreemptible),
        )
        .sort(
          (a, b) =>
            Number(ownWorkers.has(b.worker)) - Number(ownWorkers.has(a.worker)),
        );
      if (candidates.length >= count) return candidates.slice(0, count);
    }
    return undefined;
  }

  /** True when the blocks hold no bindings and no non-preemptible work of others. */
  private isEligible(
    blocks: readonly Block[],
    workspace: string,
    pool: BuddyPool,
    nonPreemptible: NonPreemptibleWork,
  ): boolean {
    return blocks.every(({worker, mask}) => {
      if (!this.acceleratorMap.isUsable(worker)) return false;
      if (this.acceleratorMap.boundMask(worker) & mask) return false;
      const foreign =
        pool.takenMask(worker) &
        mask &
        ~nonPreemptible.heldBy(workspace, worker);
      return foreign === 0;
    });
  }

  /** Creates a buddy pool in which bindings and non-preemptible work are taken. */
  private createLayoutPool(nonPreemptible: NonPreemptibleWork): BuddyPool {
    const pool = new BuddyPool();
    for (const {site: workerInfo, usable} of this.acceleratorMap.allWorkers()) {
      if (!usable) continue;
      pool.add(workerInfo, false);
      pool.setTaken(
        workerInfo.id,
        nonPreemptible.heldOn(workerInfo.id) |
          this.acceleratorMap.boundMask(workerInfo.id),
      );
    }
    return pool;
  }

  private bindTo(binding: Binding, blocks: readonly Block[]): void {
    binding.blocks = blocks;
    this.unmetCount--;
    for (const block of blocks) this.acceleratorMap.bind(block);
  }

  private unbind(binding: Binding): void {
    if (binding.blocks.length === 0) return;
    for (const block of binding.blocks) this.acceleratorMap.unbind(block);
    binding.blocks = [];
    this.unmetCount++;
  }

  private pinAll(nonPreemptible: NonPreemptibleWork): void {
    for (const {site: workerInfo} of this.acceleratorMap.allWorkers())
      this.acceleratorMap.setPinned(workerInfo.id, 0);
    for (const job of nonPreemptible.jobs) this.pinJob(job);
  }
}

function markTaken(pool: BuddyPool, blocks: readonly Block[]): void {
  for (const {worker, mask} of blocks) {
    pool.setTaken(worker, pool.takenMask(worker) | mask);
  }
}

/** Returns a key that is the same for equal cells of one workspace. */
function cellKey({workspace, cell}: Binding): string {
  return `${workspace}/${signatureOf([cell])}`;
}

function groupByCell(bindings: readonly Binding[]): Map<string, Binding[]> {
  const groups = new Map<string, Binding[]>();
  for (const binding of bindings) {
    getOrAdd(groups, cellKey(binding), () => [] as Binding[]).push(binding);
  }
  return groups;
}

function groupByWorkspace(
  bindings: readonly Binding[],
): Map<string, Binding[]> {
  const groups = new Map<string, Binding[]>();
  for (const binding of bindings) {
    getOrAdd(groups, binding.workspace, () => [] as Binding[]).push(binding);
  }
  return groups;
}
