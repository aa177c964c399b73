/** Manages one gate's ownership of pools, and passes messages to the owners of pools. */
import {type ProcessRef} from '../core/ids.js';
import {type Settlement} from '../core/outcome.js';
import {pickByRendezvous} from '../core/rendezvous.js';
import {Task, type Mailbox} from '../core/task.js';
import {type Pool, type Route, countAccelerators} from '../core/tables.js';
import {BackendState} from '../core/shared_types.js';
import {type TableService} from '../ports/table_service.js';
import {
  type AgentMessage,
  type GateAddress,
  type GateMessage,
} from '../protocol/messages.js';
import {type GateSettings} from '../protocol/settings.js';
import {type ConfigTask} from './config_task.js';
import {type GateLinkEvent, type GateSend} from './gate_events.js';
import {type PoolOwnerNotifier} from './gang_service.js';
import {
  type ConnectedAgent,
  PoolOwnership,
  type PoolOwnershipHost,
} from './pool_ownership.js';
import {type ProcessContext} from './process_context.js';
import {type RecordStore} from './record_store.js';

export interface PoolsTaskDependencies {
  readonly ctx: ProcessContext;
  readonly settings: GateSettings;
  readonly tables: TableService;
  readonly config: ConfigTask;
  readonly records: RecordStore;
  readonly links: Mailbox<GateSend>;
  /** Gates whose rows are up to date, including this gate. */
  gates(): readonly GateAddress[];
  /** True once the gate rows have been read for the first time. */
  hasReadGates(): boolean;
  /** True if the row of the given gate, with the same incarnation, changed recently. */
  hasRecentHeartbeat(gate: ProcessRef): boolean;
  /** Gates to which this gate has an open link. */
  connectedGates(): readonly ProcessRef[];
}

export type PoolsMessage =
  | GateLinkEvent
  | {readonly type: 'step'; readonly step: () => void}
  | {readonly type: 'poolsChanged'};

export class PoolsTask extends Task<PoolsMessage> implements PoolOwnerNotifier {
  private readonly ownerships = new Map<string, PoolOwnership>();
  private readonly agents = new Map<string, ConnectedAgent>();
  private readonly host: PoolOwnershipHost;
  private isReleasing = false;

  constructor(private readonly deps: PoolsTaskDependencies) {
    super();
    this.host = this.makeHost();
  }

  /** State of the pools, as returned by the status API. */
  status() {
    return [...this.ownerships].map(([pool, ownership]) => ({
      pool,
      owner: ownership.owner?.id,
      epoch: ownership.epoch,
      unfinishedGangs: ownership.isOwned
        ? ownership.unfinishedGangCount
        : undefined,
      plan: ownership.plannerStatus(),
    }));
  }

  /** Releases all pools, so that other gates can acquire them. */
  async release(): Promise<void> {
    this.isReleasing = true;
    await Promise.all(
      [...this.ownerships.values()].map(ownership => ownership.release()),
    );
  }

  notifyAccepted(pool: string, gang: string): void {
    this.sendToOwner(
      pool,
      (ownership, epoch) => ownership.loadAccepted(gang, epoch),
      epoch => ({type: 'gangWake', pool, gang, epoch}),
    );
  }

  cancel(pool: string, gang: string): void {
    this.sendToOwner(
      pool,
      ownership => ownership.handleInput({type: 'cancel', gang}),
      () => ({type: 'gangCancel', pool, gang}),
    );
  }

  /**
   * Why the configuration tables prevent a gang of this route from ever being placed for
   * a workspace; undefined if they do not.
   */
  explainUnplaceable(route: Route, workspace: string): string | undefined {
    const pool = this.deps.config.follower.pool(route.pool!);
    if (!pool)
      return `pool "${route.pool}" does not exist; ask an operator to add it or to correct the route`;
    const share = pool.workspaces.find(w => w.name === workspace);
    if (!share)
      return `workspace "${workspace}" has no share of pool "${pool.name}"; ask an operator to add one`;
    const size = countAccelerators(route.shape!);
    if (share.limit === undefined || size <= share.limit) return undefined;
    return `it needs ${size} accelerators and workspace "${workspace}" may use ${share.limit} of pool "${pool.name}"; ask for fewer or have the limit raised`;
  }

  protected receive(message: PoolsMessage): void {
    switch (message.type) {
      case 'step':
        return message.step();
      case 'poolsChanged':
        return this.onPoolsChanged();
      case 'tick':
        return this.onTick();
      case 'agentUp':
        return this.onAgentUp({
          ref: message.agent,
          place: message.place,
          accelerators: message.accelerators,
        });
      case 'agentDown':
        this.agents.delete(message.agent.id);
        for (const ownership of this.ownerships.values())
          ownership.handleInput({type: 'agentDown', agent: message.agent});
        return;
      case 'agentMessage':
        return this.onAgentMessage(message.agent, message.body);
      case 'gateMessage':
        return this.onGateMessage(message.body);
      case 'gateUp':
        for (const ownership of this.ownerships.values())
          ownership.announceOwner();
        return;
      default:
        return;
    }
  }

  private sendToOwner(
    pool: string,
    applyLocally: (ownership: PoolOwnership, epoch: number) => void,
    makeMessage: (epoch: number) => GateMessage,
  ): void {
    const ownership = this.ownerships.get(pool);
    if (!ownership) return;
    if (ownership.isOwned)
      return this.post({
        type: 'step',
        step: () => applyLocally(ownership, ownership.epoch),
      });
    if (!ownership.owner) return;
    this.deps.links.post({
      type: 'toGate',
      gate: ownership.owner.id,
      body: makeMessage(ownership.epoch),
    });
  }

  private onPoolsChanged(): void {
    const pools = this.deps.config.follower.tableSet.pools;
    const names = new Set(pools.map(p => p.name));
    for (const pool of pools) {
      const ownership = this.ownerships.get(pool.name);
      if (ownership) ownership.configure(pool);
      else this.ownerships.set(pool.name, new PoolOwnership(pool, this.host));
    }
    for (const [name, ownership] of this.ownerships) {
      if (!names.has(name) && ownership.unfinishedGangCount === 0)
        this.removePool(name, ownership);
    }
  }

  private removePool(name: string, ownership: PoolOwnership): void {
    this.ownerships.delete(name);
    void ownership.release();
  }

  private onTick(): void {
    if (this.isReleasing || !this.deps.hasReadGates()) return;
    for (const ownership of this.ownerships.values()) ownership.tick();
  }

  private onAgentUp(agent: ConnectedAgent): void {
    this.agents.set(agent.ref.id, agent);
    for (const ownership of this.ownerships.values()) ownership.agentUp(agent);
  }

  private onAgentMessage(agent: ProcessRef, body: AgentMessage): void {
    switch (body.type) {
      case 'announce': {
        const serving = body.announcement.state !== BackendState.LEAVING;
        for (const ownership of this.ownerships.values()) {
          ownership.handleInput({type: 'agentServing', agent, serving});
        }
        return;
      }
      case 'fenceAck':
        return this.ownerships.get(body.pool)?.handleInput({
          type: 'fenceAck',
          agent,
          epoch: body.epoch,
          accepted: body.accepted,
          shares: body.shares,
        });
      case 'reserveAck': {
        const {epoch, gang, attempt, accepted, reason} = body;
        return this.ownerships.get(body.pool)?.handleInput({
          type: 'reserveAck',
          agent,
          epoch,
          gang,
          attempt,
          accepted,
          reason,
        });
      }
      case 'shareReport': {
        const {gang, attempt, state, answer} = body;
        return this.ownerships.get(body.pool)?.handleInput({
          type: 'shareReport',
          agent,
          gang,
          attempt,
          state,
          answer,
        });
      }
      default:
        return;
    }
  }

  private onGateMessage(body: GateMessage): void {
    switch (body.type) {
      case 'gangWake':
        return this.ownerships
          .get(body.pool)
          ?.loadAccepted(body.gang, body.epoch);
      case 'gangCancel':
        return this.ownerships
          .get(body.pool)
          ?.handleInput({type: 'cancel', gang: body.gang});
      case 'gangEnd':
        return this.deps.records.settle(body.gang, body.settlement);
      case 'poolOwner':
        return this.ownerships
          .get(body.pool)
          ?.updateOwner(body.owner, body.epoch);
      default:
        return;
    }
  }

  private makeHost(): PoolOwnershipHost {
    const {deps} = this;
    return {
      ctx: deps.ctx,
      settings: deps.settings,
      tables: deps.tables,
      agents: () => this.agents.values(),
      isPreferred: pool => this.isPreferred(pool),
      isAlive: owner => this.isAlive(owner),
      sendToAgent: (agent, body) =>
        deps.links.post({type: 'toAgent', agent, body}),
      sendToAllGates: body => deps.links.post({type: 'toAllGates', body}),
      settle: (gang: string, settlement: Settlement) =>
        deps.records.settle(gang, settlement),
      enqueue: step => this.post({type: 'step', step}),
    };
  }

  /**
   * True if this gate should own the pool. Gates that know the same live gates choose the
   * same one. Gates in the data centres of the pool's workers are preferred.
   */
  private isPreferred(pool: Pool): boolean {
    const gates = this.deps
      .gates()
      .filter(g => g.id === this.deps.ctx.ref.id || this.isAlive(g));
    const nearby = gates.filter(g =>
      pool.selector?.dataCentres?.includes(g.place.dataCentre),
    );
    const candidates = nearby.length > 0 ? nearby : gates;
    return (
      pickByRendezvous(
        pool.name,
        candidates.map(g => g.id),
      ) === this.deps.ctx.ref.id
    );
  }

  private isAlive(owner: ProcessRef): boolean {
    const isSame = (other: ProcessRef) =>
      other.id === owner.id && other.incarnation === owner.incarnation;
    if (isSame(this.deps.ctx.ref)) return false;
    if (this.deps.connectedGates().some(isSame)) return true;
    return this.deps.hasRecentHeartbeat(owner);
  }
}
