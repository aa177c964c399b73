/** Manages an agent's links to gates, at most `gateLinks` at a time. */
import {WebSocket} from 'ws';
import {type ProcessRef} from '../core/ids.js';
import {backoffMs} from '../core/random.js';
import {Task, type Mailbox} from '../core/task.js';
import {type Versions} from '../core/tables.js';
import {type Announcement, type Load} from '../core/shared_types.js';
import {decodeGateMessage, encodeMessage} from '../protocol/message_codec.js';
import {
  type AgentMessage,
  type GateAddress,
  type GateMessage,
} from '../protocol/messages.js';
import {type AgentSettings} from '../protocol/settings.js';
import {type Logger} from '../plugins/logger_factory.js';
import {Link} from '../links/link.js';
import {type ProcessContext} from './process_context.js';

const RECONNECT_BASE_DELAY_MS = 100;
const RECONNECT_MAX_DELAY_MS = 2000;

export type AgentLinkEvent =
  | {
      readonly type: 'gateUp';
      readonly gate: ProcessRef;
      readonly versions: Versions;
    }
  | {
      readonly type: 'gateDown';
      readonly gate: ProcessRef;
      readonly reason: string;
    }
  | {
      readonly type: 'gateMessage';
      readonly gate: ProcessRef;
      readonly body: GateMessage;
    }
  | {readonly type: 'tick'};

export type AgentSend =
  | {
      readonly type: 'toGate';
      readonly gate: string;
      readonly body: AgentMessage;
    }
  | {readonly type: 'toAllGates'; readonly body: AgentMessage};

/** State of other tasks that hello and heartbeat messages contain. */
export interface AgentLinkSources {
  versions(): Versions;
  announcement(): Announcement;
  load(): Load;
}

interface GateConnection {
  readonly link: Link<GateMessage, AgentMessage>;
  gate?: ProcessRef;
}

export class AgentLinks extends Task<AgentSend> {
  /** Links by gate address. */
  private readonly connections = new Map<string, GateConnection>();
  private readonly failedAttempts = new Map<string, number>();
  private readonly nextDialMs = new Map<string, number>();
  private readonly subscribers: Mailbox<AgentLinkEvent>[] = [];
  private knownGates: readonly GateAddress[] = [];
  private lastHeartbeatMs = 0;
  private isStopping = false;
  private readonly log: Logger;

  constructor(
    private readonly ctx: ProcessContext,
    private readonly settings: AgentSettings,
    private readonly sources: AgentLinkSources,
  ) {
    super();
    this.log = ctx.logs.create('links');
  }

  subscribe(mailbox: Mailbox<AgentLinkEvent>): void {
    this.subscribers.push(mailbox);
  }

  /** Bytes sent on all open links. */
  bytesSent(): number {
    let sum = 0;
    for (const {link} of this.connections.values()) sum += link.bytesSent;
    return sum;
  }

  connectedGates(): readonly ProcessRef[] {
    return [...this.connections.values()].flatMap(c =>
      c.gate ? [c.gate] : [],
    );
  }

  tick(): void {
    for (const {link} of [...this.connections.values()]) link.closeIfTimedOut();
    this.dialMissingGates();
    this.sendHeartbeats();
  }

  close(): void {
    this.isStopping = true;
    for (const {link} of [...this.connections.values()])
      link.close('the agent is stopping');
  }

  protected receive(message: AgentSend): void {
    for (const connection of this.connections.values()) {
      if (!connection.gate) continue;
      if (message.type === 'toAllGates' || connection.gate.id === message.gate)
        connection.link.send(message.body);
    }
  }

  private publish(event: AgentLinkEvent): void {
    for (const subscriber of this.subscribers) subscriber.post(event);
  }

  private sendHeartbeats(): void {
    const nowMs = this.ctx.clock.nowMs();
    if (nowMs - this.lastHeartbeatMs < this.settings.times.heartbeatMs) return;
    this.lastHeartbeatMs = nowMs;
    const body: AgentMessage = {
      type: 'heartbeat',
      versions: this.sources.versions(),
      load: this.sources.load(),
    };
    this.post({type: 'toAllGates', body});
  }

  /**
   * Addresses of gates in order of preference: same data centre, other data centres,
   * seeds.
   */
  private candidateAddresses(): string[] {
    const local = this.knownGates.filter(
      g => g.place.dataCentre === this.ctx.place.dataCentre,
    );
    const remote = this.knownGates.filter(
      g => g.place.dataCentre !== this.ctx.place.dataCentre,
    );
    const addresses = [...local, ...remote].map(g => g.link);
    const unique = new Set([...addresses, ...this.settings.seedGates]);
    return [...unique];
  }

  private dialMissingGates(): void {
    if (this.isStopping) return;
    const nowMs = this.ctx.clock.nowMs();
    for (const address of this.candidateAddresses()) {
      if (this.connections.size >= this.settings.gateLinks) return;
      if (this.connections.has(address)) continue;
      if ((this.nextDialMs.get(address) ?? 0) > nowMs) continue;
      this.dial(address);
    }
  }

  private dial(address: string): void {
    const ws = new WebSocket(`${address}/agent`, {
      handshakeTimeout: this.settings.times.linkTimeoutMs,
      perMessageDeflate: false,
      maxPayload: 0,
    });
    const ctx = {
      clock: this.ctx.clock,
      hybridClock: this.ctx.hybridClock,
      timeoutMs: this.settings.times.linkTimeoutMs,
    };
    const link: GateConnection['link'] = new Link(
      ws,
      {encode: encodeMessage, decode: decodeGateMessage},
      ctx,
      {
        onMessage: body => this.onMessage(address, connection, body),
        onClosed: reason => this.onClosed(address, connection, reason),
      },
    );
    const connection: GateConnection = {link};
    this.connections.set(address, connection);
    ws.on('open', () => this.sendHello(link));
  }

  private sendHello(link: GateConnection['link']): void {
    link.send({
      type: 'agentHello',
      process: this.ctx.ref,
      token: this.settings.clusterToken,
      place: this.ctx.place,
      accelerators: this.settings.accelerators,
      versions: this.sources.versions(),
      announcement: this.sources.announcement(),
      load: this.sources.load(),
    });
  }

  private onMessage(
    address: string,
    connection: GateConnection,
    body: GateMessage,
  ): void {
    if (body.type === 'welcome') {
      connection.gate = body.process;
      this.failedAttempts.delete(address);
      this.knownGates = body.gates;
      this.log.info(`Connected to gate ${body.process.id}.`);
      this.ctx.timeline.add('links', 'connected to gate', body.process.id);
      return this.publish({
        type: 'gateUp',
        gate: body.process,
        versions: body.versions,
      });
    }
    if (!connection.gate) return;
    if (body.type === 'gates') this.knownGates = body.gates;
    this.publish({type: 'gateMessage', gate: connection.gate, body});
  }

  private onClosed(
    address: string,
    connection: GateConnection,
    reason: string,
  ): void {
    if (this.connections.get(address) === connection)
      this.connections.delete(address);
    const failures = this.failedAttempts.get(address) ?? 0;
    this.failedAttempts.set(address, failures + 1);
    const delayMs = backoffMs(
      this.ctx.random,
      failures,
      RECONNECT_BASE_DELAY_MS,
      RECONNECT_MAX_DELAY_MS,
    );
    this.nextDialMs.set(address, this.ctx.clock.nowMs() + delayMs);
    if (!connection.gate) return;
    this.log.info(`Disconnected from gate ${connection.gate.id}: ${reason}.`);
    this.ctx.timeline.add('links', `gate lost: ${reason}`, connection.gate.id);
    this.publish({type: 'gateDown', gate: connection.gate, reason});
  }
}
