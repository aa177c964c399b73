/**
 * Ownership of one pool as known to one gate. Tracks the pool owner, acquires the pool
 * when it has no owner, and runs the gang coordinator while this gate owns it.
 */
import {type ProcessRef} from '../core/ids.js';
import {type Settlement} from '../core/outcome.js';
import {type Pool, poolIncludes} from '../core/tables.js';
import {type Location} from '../core/shared_types.js';
import {
  type CoordinatorEffect,
  type CoordinatorInput,
  type AgentOrder,
} from '../planning/coordinator_messages.js';
import {GangCoordinator} from '../planning/gang_coordinator.js';
import {type GangSpec} from '../planning/gang_spec.js';
import {GuaranteePlanner} from '../planning/guarantee_planner.js';
import {type PlannerStatus} from '../planning/pool_planner.js';
import {type TableService} from '../ports/table_service.js';
import {checkValue} from '../protocol/document_check.js';
import {type GateMessage} from '../protocol/messages.js';
import {
  type GangRow,
  type PoolOwnerRow,
  poolOwnerRowSchema,
} from '../protocol/rows.js';
import {type GateSettings} from '../protocol/settings.js';
import {GangRows, type VersionedGangRow} from './gang_rows.js';
import {type ProcessContext} from './process_context.js';

const OWNER_CHECK_INTERVAL_MS = 1000;
/** Interval of the scan for accepted gangs whose `gangWake` message was lost, in ms. */
const RESCAN_INTERVAL_MS = 10_000;
const CALL_TIMEOUT_MS = 2000;

/** An agent that is connected to this gate. */
export interface ConnectedAgent {
  readonly ref: ProcessRef;
  readonly place: Location;
  readonly accelerators: number;
}

/** State and functions of the gate that pool ownership uses. */
export interface PoolOwnershipHost {
  readonly ctx: ProcessContext;
  readonly settings: GateSettings;
  readonly tables: TableService;
  agents(): Iterable<ConnectedAgent>;
  /** True if this gate is the one that should own the pool. */
  isPreferred(pool: Pool): boolean;
  /** True if the process is another gate that is alive. */
  isAlive(owner: ProcessRef): boolean;
  sendToAgent(agent: ProcessRef, body: GateMessage): void;
  sendToAllGates(body: GateMessage): void;
  settle(gang: string, settlement: Settlement): void;
  /** Queues a step, to run in order with the gate's messages. */
  enqueue(step: () => void): void;
}

interface OwnedPool {
  readonly epoch: number;
  /**
   * Version of the owner row. Writes of gang rows fail once the row has another version.
   */
  readonly rowVersion: number;
  readonly coordinator: GangCoordinator;
}

export class PoolOwnership {
  private pool: Pool;
  private readonly rows: GangRows;
  private owned: OwnedPool | undefined;
  /** Owner as last read or reported by another gate. */
  private knownOwner:
    {readonly owner: ProcessRef; readonly epoch: number} | undefined;
  private isStepRunning = false;
  private lastCheckMs = -Infinity;
  private lastScanMs = 0;

  constructor(
    pool: Pool,
    private readonly host: PoolOwnershipHost,
  ) {
    this.pool = pool;
    this.rows = new GangRows(pool.name, host.tables, () =>
      host.ctx.clock.wallMs(),
    );
  }

  get owner(): ProcessRef | undefined {
    return this.owned ? this.host.ctx.ref : this.knownOwner?.owner;
  }

  get epoch(): number {
    return this.owned?.epoch ?? this.knownOwner?.epoch ?? 0;
  }

  get isOwned(): boolean {
    return this.owned !== undefined;
  }

  get unfinishedGangCount(): number {
    return this.owned?.coordinator.unfinishedGangCount ?? 0;
  }

  plannerStatus(): PlannerStatus | undefined {
    return this.owned?.coordinator.plannerStatus();
  }

  configure(pool: Pool): void {
    this.pool = pool;
    if (!this.owned) return;
    this.handleInput({type: 'configure', pool});
    for (const agent of this.host.agents()) this.agentUp(agent);
  }

  tick(): void {
    if (this.owned) this.handleInput({type: 'tick'});
    const nowMs = this.host.ctx.clock.nowMs();
    if (this.isStepRunning) return;
    if (this.owned && nowMs - this.lastScanMs >= RESCAN_INTERVAL_MS)
      return this.runExclusively(() => this.rescan());
    if (this.owned || nowMs - this.lastCheckMs < OWNER_CHECK_INTERVAL_MS)
      return;
    this.lastCheckMs = nowMs;
    if (this.host.isPreferred(this.pool))
      this.runExclusively(() => this.acquireIfUnowned());
  }

  agentUp(agent: ConnectedAgent): void {
    if (!this.owned || !this.includes(agent)) return;
    const site = {
      id: agent.ref.id,
      rack: `${agent.place.dataCentre}/${agent.place.rack}`,
      accelerators: agent.accelerators,
    };
    this.handleInput({type: 'agentUp', agent: agent.ref, site});
  }

  /**
   * Passes an input to the coordinator and performs its effects, if this gate owns the
   * pool.
   */
  handleInput(input: CoordinatorInput): void {
    if (!this.owned) return;
    const {clock} = this.host.ctx;
    const effects = this.owned.coordinator.handle(
      input,
      clock.nowMs(),
      clock.wallMs(),
    );
    for (const effect of effects) this.perform(effect);
  }

  /**
   * Loads an accepted gang. `epoch` is the epoch of the owner known to the sender. If it
   * is not the current one, an earlier owner may have started the gang, so the gang is
   * loaded as recovered.
   */
  loadAccepted(gang: string, epoch: number): void {
    if (!this.owned || this.owned.coordinator.hasGang(gang)) return;
    const isCurrentEpoch = epoch === this.owned.epoch;
    void this.loadGang(gang, !isCurrentEpoch);
  }

  updateOwner(owner: ProcessRef, epoch: number): void {
    if (epoch <= this.epoch) return;
    this.knownOwner = {owner, epoch};
    if (this.owned) this.stepDown();
  }

  /**
   * Releases the pool, so that another gate can acquire it without first waiting for a
   * timeout.
   */
  async release(): Promise<void> {
    if (!this.owned) return;
    const {rowVersion, epoch} = this.owned;
    this.owned = undefined;
    const value: PoolOwnerRow = {
      owner: this.host.ctx.ref,
      epoch,
      released: true,
    };
    await this.host.tables
      .write(
        {key: this.ownerRowKey, expectVersion: rowVersion, value},
        CALL_TIMEOUT_MS,
      )
      .catch(() => undefined);
  }

  private get ownerRowKey(): string {
    return `pool/${this.pool.name}`;
  }

  private includes(agent: ConnectedAgent): boolean {
    return poolIncludes(
      this.pool,
      agent.ref.id,
      agent.place.dataCentre,
      agent.place.rack,
    );
  }

  private runExclusively(step: () => Promise<void>): void {
    this.isStepRunning = true;
    void step()
      .catch(() => undefined)
      .finally(() => {
        this.isStepRunning = false;
      });
  }

  private async acquireIfUnowned(): Promise<void> {
    const row = await this.host.tables.get(this.ownerRowKey, CALL_TIMEOUT_MS);
    const current = row && parseOwnerRow(row.value);
    if (current && !current.released && this.host.isAlive(current.owner)) {
      this.knownOwner = {owner: current.owner, epoch: current.epoch};
      return;
    }
    const epoch = Math.max(current?.epoch ?? 0, this.epoch) + 1;
    const value: PoolOwnerRow = {
      owner: this.host.ctx.ref,
      epoch,
      released: false,
    };
    const reply = await this.host.tables.write(
      {key: this.ownerRowKey, expectVersion: row?.version ?? 0, value},
      CALL_TIMEOUT_MS,
    );
    if (reply.type !== 'committed') return;
    this.startCoordinator(epoch, reply.version);
    await this.loadUnfinished();
  }

  private startCoordinator(epoch: number, rowVersion: number): void {
    const planner = new GuaranteePlanner();
    const coordinator = new GangCoordinator({
      epoch,
      taskLeaseMs: this.host.settings.times.taskLeaseMs,
      planner,
    });
    this.owned = {epoch, rowVersion, coordinator};
    this.host.ctx.timeline.add(
      'pools',
      `owns the pool at epoch ${epoch}`,
      this.pool.name,
    );
    this.host.ctx.logs
      .create('pools')
      .info(`Acquired pool ${this.pool.name} at epoch ${epoch}.`);
    this.handleInput({type: 'configure', pool: this.pool});
    for (const agent of this.host.agents()) this.agentUp(agent);
    this.announceOwner();
  }

  /** Reports this gate as the pool owner to the other gates. */
  announceOwner(): void {
    if (!this.owned) return;
    this.host.sendToAllGates({
      type: 'poolOwner',
      pool: this.pool.name,
      owner: this.host.ctx.ref,
      epoch: this.owned.epoch,
    });
  }

  private stepDown(): void {
    this.owned = undefined;
    this.host.ctx.timeline.add('pools', 'stepped down', this.pool.name);
    this.host.ctx.logs
      .create('pools')
      .info(`Stepped down as owner of pool ${this.pool.name}.`);
  }

  private async loadUnfinished(): Promise<void> {
    this.lastScanMs = this.host.ctx.clock.nowMs();
    for (const gangRow of await this.rows.scan()) this.addGang(gangRow, true);
  }

  private async rescan(): Promise<void> {
    this.announceOwner();
    await this.loadUnfinished();
  }

  private async loadGang(gang: string, recovered: boolean): Promise<void> {
    try {
      const gangRow = await this.rows.read(gang);
      if (gangRow) this.addGang(gangRow, recovered);
    } catch {
      // The next scan loads it.
    }
  }

  private addGang({row, version}: VersionedGangRow, recovered: boolean): void {
    this.host.enqueue(() =>
      this.handleInput({
        type: 'gang',
        spec: specOf(row),
        rowVersion: version,
        mark: row.mark,
        recovered,
      }),
    );
  }

  private perform(effect: CoordinatorEffect): void {
    const guard = {key: this.ownerRowKey, version: this.owned?.rowVersion ?? 0};
    switch (effect.type) {
      case 'order':
        return this.host.sendToAgent(
          effect.agent,
          this.makeOrderMessage(effect.order),
        );
      case 'writeMark':
        return this.forwardReply(
          effect.gang,
          this.rows.writeStartRecord(
            effect.gang,
            effect.rowVersion,
            effect.mark,
            guard,
          ),
        );
      case 'writeEnd':
        return this.forwardReply(
          effect.gang,
          this.rows.writeEnd(
            effect.gang,
            effect.rowVersion,
            effect.settlement,
            guard,
          ),
        );
      case 'recordEnd':
        void this.rows
          .recordEnd(effect.gang, effect.rowVersion, effect.settlement)
          .catch(() => undefined);
        return;
      case 'settle':
        return this.settle(effect.gang, effect.settlement);
      case 'event':
        return this.host.ctx.timeline.add('pools', effect.event, effect.gang);
      case 'stepDown':
        return this.stepDown();
    }
  }

  private forwardReply(
    gang: string,
    written: ReturnType<GangRows['writeStartRecord']>,
  ): void {
    void written.then(reply =>
      this.host.enqueue(() =>
        this.handleInput({type: 'rowReply', gang, reply}),
      ),
    );
  }

  private settle(gang: string, settlement: Settlement): void {
    this.host.settle(gang, settlement);
    this.host.sendToAllGates({
      type: 'gangEnd',
      pool: this.pool.name,
      gang,
      settlement: settlement as never,
    });
  }

  private makeOrderMessage(order: AgentOrder): GateMessage {
    const pool = this.pool.name;
    if (order.type !== 'start') return {...order, pool};
    const row = this.rows.get(order.gang)!;
    return {
      ...order,
      pool,
      kind: row.kind,
      workspace: row.workspace,
      contentType: row.contentType,
      body: Buffer.from(row.bodyBase64, 'base64'),
      rank: 0,
      checkpointable: row.checkpointable,
    };
  }
}

function specOf(row: GangRow): GangSpec {
  const {
    id,
    workspace,
    kind,
    shape,
    idempotent,
    preemptible,
    checkpointable,
    acceptedWallMs,
    deadlineWallMs,
  } = row;
  return {
    id,
    workspace,
    kind,
    shape,
    class: row.class,
    idempotent,
    preemptible,
    checkpointable,
    acceptedWallMs,
    deadlineWallMs,
  };
}

function parseOwnerRow(value: unknown): PoolOwnerRow | undefined {
  const checked = checkValue(value, poolOwnerRowSchema);
  return checked.ok ? checked.value : undefined;
}
