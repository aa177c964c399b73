/** Runs the ownership of all pools at one gate. */
import {type ProcessRef} from '../core/ids.js';
import {type Settlement} from '../core/outcome.js';
import {pickByRendezvous} from '../core/rendezvous.js';
import {Task, type Mailbox} from '../core/task.js';
import {type Pool, type Route, countAccelerators} from '../core/tables.js';
import {BackendState} from '../core/vocabulary.js';
import {type TableService} from '../ports/table_service.js';
import {
  type AgentMessage,
  type GateAddress,
  type GateMessage,
} from '../protocol/messages.js';
import {type GateSettings} from '../protocol/settings.js';
import {type ConfigTask} from './config_task.js';
import {type GateLinkEvent, type GateSend} from './gate_events.js';
import {type PoolOwners} from './gang_service.js';
import {type ConnectedAgent, PoolSeat, type SeatHost} from './pool_seat.js';
import {type ProcessContext} from './process_context.js';
import {type RecordStore} from './records.js';

export interface PoolsTaskParts {
  readonly ctx: ProcessContext;
  readonly settings: GateSettings;
  readonly tables: TableService;
  readonly config: ConfigTask;
  readonly records: RecordStore;
  readonly links: Mailbox<GateSend>;
  /** Gates whose rows are current, including this gate. */
  gates(): readonly GateAddress[];
  /** True once the gate rows have been read for the first time. */
  knowsGates(): boolean;
  /** True if the row of the gate, with the same incarnation, changed recently. */
  isBeating(gate: ProcessRef): boolean;
  /** Gates to which this gate has an open link. */
  connectedGates(): readonly ProcessRef[];
}

export type PoolsMessage =
  | GateLinkEvent
  | {readonly type: 'step'; readonly step: () => void}
  | {readonly type: 'poolsChanged'};

export class PoolsTask extends Task<PoolsMessage> implements PoolOwners {
  private readonly seats = new Map<string, PoolSeat>();
  private readonly agents = new Map<string, ConnectedAgent>();
  private readonly host: SeatHost;
  private releasing = false;

  constructor(private readonly parts: PoolsTaskParts) {
    super();
    this.host = this.makeHost();
  }

  /** State of the pools, as returned by the status API. */
  status() {
    return [...this.seats].map(([pool, seat]) => ({
      pool,
      owner: seat.owner?.id,
      epoch: seat.epoch,
      unfinishedGangs: seat.isOwned ? seat.unfinishedCount : undefined,
      plan: seat.plannerStatus(),
    }));
  }

  /** Releases all pools, so that other gates can acquire them. */
  async release(): Promise<void> {
    this.releasing = true;
    await Promise.all([...this.seats.values()].map(seat => seat.release()));
  }

  wake(pool: string, gang: string): void {
    this.toOwner(
      pool,
      (seat, epoch) => seat.wake(gang, epoch),
      epoch => ({type: 'gangWake', pool, gang, epoch}),
    );
  }

  cancel(pool: string, gang: string): void {
    this.toOwner(
      pool,
      seat => seat.run({type: 'cancel', gang}),
      () => ({type: 'gangCancel', pool, gang}),
    );
  }

  /**
   * Why the configuration tables rule out that a gang of this route is ever placed for a
   * workspace; undefined if they do not.
   */
  reasonNeverFits(route: Route, workspace: string): string | undefined {
    const pool = this.parts.config.follower.pool(route.pool!);
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
        for (const seat of this.seats.values())
          seat.run({type: 'agentDown', agent: message.agent});
        return;
      case 'agentMessage':
        return this.onAgentMessage(message.agent, message.body);
      case 'gateMessage':
        return this.onGateMessage(message.body);
      case 'gateUp':
        for (const seat of this.seats.values()) seat.announce();
        return;
      default:
        return;
    }
  }

  private toOwner(
    pool: string,
    atSeat: (seat: PoolSeat, epoch: number) => void,
    message: (epoch: number) => GateMessage,
  ): void {
    const seat = this.seats.get(pool);
    if (!seat) return;
    if (seat.isOwned)
      return this.post({type: 'step', step: () => atSeat(seat, seat.epoch)});
    if (!seat.owner) return;
    this.parts.links.post({
      type: 'toGate',
      gate: seat.owner.id,
      body: message(seat.epoch),
    });
  }

  private onPoolsChanged(): void {
    const pools = this.parts.config.follower.tableSet.pools;
    const names = new Set(pools.map(p => p.name));
    for (const pool of pools) {
      const seat = this.seats.get(pool.name);
      if (seat) seat.configure(pool);
      else this.seats.set(pool.name, new PoolSeat(pool, this.host));
    }
    for (const [name, seat] of this.seats) {
      if (!names.has(name) && seat.unfinishedCount === 0) this.drop(name, seat);
    }
  }

  private drop(name: string, seat: PoolSeat): void {
    this.seats.delete(name);
    void seat.release();
  }

  private onTick(): void {
    if (this.releasing || !this.parts.knowsGates()) return;
    for (const seat of this.seats.values()) seat.tick();
  }

  private onAgentUp(agent: ConnectedAgent): void {
    this.agents.set(agent.ref.id, agent);
    for (const seat of this.seats.values()) seat.agentUp(agent);
  }

  private onAgentMessage(agent: ProcessRef, body: AgentMessage): void {
    switch (body.type) {
      case 'announce': {
        const serving = body.announcement.state !== BackendState.LEAVING;
        for (const seat of this.seats.values()) {
          seat.run({type: 'agentServing', agent, serving});
        }
        return;
      }
      case 'fenceAck':
        return this.seats.get(body.pool)?.run({
          type: 'fenceAck',
          agent,
          epoch: body.epoch,
          accepted: body.accepted,
          shares: body.shares,
        });
      case 'reserveAck': {
        const {epoch, gang, attempt, accepted, reason} = body;
        return this.seats.get(body.pool)?.run({
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
        return this.seats
          .get(body.pool)
          ?.run({type: 'shareReport', agent, gang, attempt, state, answer});
      }
      default:
        return;
    }
  }

  private onGateMessage(body: GateMessage): void {
    switch (body.type) {
      case 'gangWake':
        return this.seats.get(body.pool)?.wake(body.gang, body.epoch);
      case 'gangCancel':
        return this.seats
          .get(body.pool)
          ?.run({type: 'cancel', gang: body.gang});
      case 'gangEnd':
        return this.parts.records.settle(body.gang, body.settlement);
      case 'poolOwner':
        return this.seats.get(body.pool)?.noteOwner(body.owner, body.epoch);
      default:
        return;
    }
  }

  private makeHost(): SeatHost {
    const {parts} = this;
    return {
      ctx: parts.ctx,
      settings: parts.settings,
      tables: parts.tables,
      agents: () => this.agents.values(),
      isPreferred: pool => this.isPreferred(pool),
      isAlive: owner => this.isAlive(owner),
      sendToAgent: (agent, body) =>
        parts.links.post({type: 'toAgent', agent, body}),
      sendToAllGates: body => parts.links.post({type: 'toAllGates', body}),
      settle: (gang: string, settlement: Settlement) =>
        parts.records.settle(gang, settlement),
      defer: step => this.post({type: 'step', step}),
    };
  }

  /**
   * True if this gate should own the pool. Gates that know the same live gates choose the
   * same one. Gates in the data centres of the pool's workers are preferred.
   */
  private isPreferred(pool: Pool): boolean {
    const gates = this.parts
      .gates()
      .filter(g => g.id === this.parts.ctx.ref.id || this.isAlive(g));
    const near = gates.filter(g =>
      pool.selector?.dataCentres?.includes(g.place.dataCentre),
    );
    const candidates = near.length > 0 ? near : gates;
    return (
      pickByRendezvous(
        pool.name,
        candidates.map(g => g.id),
      ) === this.parts.ctx.ref.id
    );
  }

  private isAlive(owner: ProcessRef): boolean {
    const isSame = (other: ProcessRef) =>
      other.id === owner.id && other.incarnation === owner.incarnation;
    if (isSame(this.parts.ctx.ref)) return false;
    if (this.parts.connectedGates().some(isSame)) return true;
    return this.parts.isBeating(owner);
  }
}
