/**
 * Binds each cell of each workspace's guarantee to a place in the pool. A bound
 * cell holds nothing but free accelerators, work that can be preempted, and work
 * of its own workspace, so the guaranteed shape can always be reclaimed. The
 * bound cells are disjoint. The end of a job only frees accelerators and so keeps
 * this true; every placement is checked against it.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {type Pool} from '../core/tables.js';
import {
  type Block,
  BuddyPool,
  type Mask,
  alignedBlocks,
  bitCount,
  fullMask,
} from './buddy_pool.js';
import {type Cell, cellSize, cellsOf, signatureOf} from './cells.js';
import {NonPreemptibleWork} from './fixed_work.js';
import {type Job} from './job.js';
import {type SiteMap, findCell} from './site_map.js';

/** One guaranteed cell; `blocks` is empty while it has no place. */
export interface Binding {
  readonly workspace: string;
  readonly cell: Cell;
  blocks: readonly Block[];
}

/** A guaranteed cell that can't be given at present. */
export interface UnmetGuarantee {
  readonly workspace: string;
  readonly accelerators: number;
}

export class GuaranteeLayout {
  private bindings: Binding[] = [];
  /** Bindings without a place. */
  private unmetCount = 0;
  private byWorkspace = new Map<string, Binding[]>();

  constructor(
    private readonly sites: SiteMap,
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

  /** Takes over the guarantees of a pool and lays all of them out afresh. */
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

  /** Lays all guarantees out afresh; with `keepPlaces`, where they are if possible. */
  rebuild(jobs: Iterable<Job>, keepBlocks: boolean): void {
    const former = keepBlocks ? this.bindings.map(b => ({...b})) : [];
    for (const binding of this.bindings) this.unbind(binding);
    this.bindAll(former, jobs);
  }

  /** Gives open room to the guarantees that have no place. */
  bindMissing(): void {
    if (this.unmetCount === 0) return;
    for (const binding of this.bindings) {
      if (binding.blocks.length > 0) continue;
      const blocks = findCell(this.sites.uncommitted, binding.cell);
      if (blocks) this.bindTo(binding, blocks);
    }
  }

  /** Drops the places on a worker that is gone. */
  unbindWorker(worker: string): void {
    for (const binding of this.bindings) {
      if (binding.blocks.some(b => b.worker === worker)) this.unbind(binding);
    }
  }

  /** Part of a block that is bound to a workspace. */
  boundTo(workspace: string, worker: string): Mask {
    let mask = 0;
    for (const {blocks} of this.bindingsOf(workspace)) {
      for (const block of blocks)
        if (block.worker === worker) mask |= block.mask;
    }
    return mask;
  }

  /** Marks what a job that can't be preempted holds outside its own guarantee. */
  pinJob(job: Job): void {
    if (job.spec.preemptible) return;
    for (const block of job.blocks) {
      const outside =
        block.mask & ~this.boundTo(job.spec.workspace, block.worker);
      this.sites.setPinned(
        block.worker,
        this.sites.pinnedMask(block.worker) | outside,
      );
    }
  }

  unpinJob(job: Job): void {
    if (job.spec.preemptible) return;
    for (const block of job.blocks) {
      this.sites.setPinned(
        block.worker,
        this.sites.pinnedMask(block.worker) & ~block.mask,
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

  /** Keeps a former place of an equal cell of the same workspace. */
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

  /** A place around fixed work of the same workspace, which no other workspace could use. */
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
      const site = this.sites.siteOf(worker);
      if (!site) continue;
      for (const mask of alignedBlocks(fullMask(site), cell.size)) {
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
    const racks = new Set([...ownWorkers].map(w => this.sites.siteOf(w)?.rack));
    for (const rack of racks) {
      const candidates = [...this.sites.allSites()]
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

  /** True when the blocks hold no binding and no fixed work of another workspace. */
  private isEligible(
    blocks: readonly Block[],
    workspace: string,
    pool: BuddyPool,
    nonPreemptible: NonPreemptibleWork,
  ): boolean {
    return blocks.every(({worker, mask}) => {
      if (!this.sites.isUsable(worker)) return false;
      if (this.sites.boundMask(worker) & mask) return false;
      const foreign =
        pool.takenMask(worker) &
        mask &
        ~nonPreemptible.heldBy(workspace, worker);
      return foreign === 0;
    });
  }

  /** Accelerators without bindings and without fixed work. */
  private createLayoutPool(nonPreemptible: NonPreemptibleWork): BuddyPool {
    const pool = new BuddyPool();
    for (const {site, usable} of this.sites.allSites()) {
      if (!usable) continue;
      pool.add(site, false);
      pool.setTaken(
        site.id,
        nonPreemptible.heldOn(site.id) | this.sites.boundMask(site.id),
      );
    }
    return pool;
  }

  private bindTo(binding: Binding, blocks: readonly Block[]): void {
    binding.blocks = blocks;
    this.unmetCount--;
    for (const block of blocks) this.sites.bind(block);
  }

  private unbind(binding: Binding): void {
    if (binding.blocks.length === 0) return;
    for (const block of binding.blocks) this.sites.unbind(block);
    binding.blocks = [];
    this.unmetCount++;
  }

  private pinAll(nonPreemptible: NonPreemptibleWork): void {
    for (const {site} of this.sites.allSites())
      this.sites.setPinned(site.id, 0);
    for (const job of nonPreemptible.jobs) this.pinJob(job);
  }
}

function markTaken(pool: BuddyPool, blocks: readonly Block[]): void {
  for (const {worker, mask} of blocks) {
    pool.setTaken(worker, pool.takenMask(worker) | mask);
  }
}

/** Equal for equal cells of one workspace. */
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
