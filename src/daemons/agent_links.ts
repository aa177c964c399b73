/** Manages an agent's connections to gates, at most `gateLinks` at a time. */
import {WebSocket} from 'ws';
import {type ProcessRef} from '../core/ids.js';
import {backoffMs} from '../core/random.js';
import {Task, type Mailbox} from '../core/task.js';
import {type Versions} from '../core/tables.js';
import {type Announcement, type Load} from '../core/vocabulary.js';
import {decodeFromGate, encode} from '../protocol/codec.js';
import {
  type AgentMessage,
  type GateAddress,
  type GateMessage,
} from '../protocol/messages.js';
import {type AgentSettings} from '../protocol/settings.js';
import {type Logger} from '../plugins/logger.js';
import {Link} from '../links/link.js';
import {type ProcessContext} from './process_context.js';

const REDIAL_BASE_MS = 100;
const REDIAL_CAP_MS = 2000;

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

interface Dial {
  readonly link: Link<GateMessage, AgentMessage>;
  gate?: ProcessRef;
}

export class AgentLinks extends Task<AgentSend> {
  /** Connections by gate address. */
  private readonly dials = new Map<string, Dial>();
  private readonly failures = new Map<string, number>();
  private readonly notBeforeMs = new Map<string, number>();
  private readonly subscribers: Mailbox<AgentLinkEvent>[] = [];
  private known: readonly GateAddress[] = [];
  private lastHeartbeatMs = 0;
  private stopping = false;
  private readonly log: Logger;

  constructor(
    private readonly ctx: ProcessContext,
    private readonly settings: AgentSettings,
    private readonly sources: AgentLinkSources,
  ) {
    super();
    this.log = ctx.logs.of('links');
  }

  subscribe(mailbox: Mailbox<AgentLinkEvent>): void {
    this.subscribers.push(mailbox);
  }

  /** Bytes sent on all open links. */
  bytesSent(): number {
    let sum = 0;
    for (const {link} of this.dials.values()) sum += link.bytesSent;
    return sum;
  }

  connectedGates(): readonly ProcessRef[] {
    return [...this.dials.values()].flatMap(d => (d.gate ? [d.gate] : []));
  }

  tick(): void {
    for (const {link} of [...this.dials.values()]) link.check();
    this.dialMissing();
    this.sendHeartbeats();
  }

  close(): void {
    this.stopping = true;
    for (const {link} of [...this.dials.values()])
      link.close('the agent is stopping');
  }

  protected receive(message: AgentSend): void {
    for (const dial of this.dials.values()) {
      if (!dial.gate) continue;
      if (message.type === 'toAllGates' || dial.gate.id === message.gate)
        dial.link.send(message.body);
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
  private wanted(): string[] {
    const own = this.known.filter(
      g => g.place.dataCentre === this.ctx.place.dataCentre,
    );
    const others = this.known.filter(
      g => g.place.dataCentre !== this.ctx.place.dataCentre,
    );
    const addresses = [...own, ...others].map(g => g.link);
    const unique = new Set([...addresses, ...this.settings.seedGates]);
    return [...unique];
  }

  private dialMissing(): void {
    if (this.stopping) return;
    const nowMs = this.ctx.clock.nowMs();
    for (const address of this.wanted()) {
      if (this.dials.size >= this.settings.gateLinks) return;
      if (this.dials.has(address)) continue;
      if ((this.notBeforeMs.get(address) ?? 0) > nowMs) continue;
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
      hybrid: this.ctx.hybrid,
      timeoutMs: this.settings.times.linkTimeoutMs,
    };
    const link: Dial['link'] = new Link(
      ws,
      {encode, decode: decodeFromGate},
      ctx,
      {
        onMessage: body => this.onMessage(address, dial, body),
        onClosed: reason => this.onClosed(address, dial, reason),
      },
    );
    const dial: Dial = {link};
    this.dials.set(address, dial);
    ws.on('open', () => this.sayHello(link));
  }

  private sayHello(link: Dial['link']): void {
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

  private onMessage(address: string, dial: Dial, body: GateMessage): void {
    if (body.type === 'welcome') {
      dial.gate = body.process;
      this.failures.delete(address);
      this.known = body.gates;
      this.log.info(`Connected to gate ${body.process.id}.`);
      this.ctx.timeline.add('links', 'connected to gate', body.process.id);
      return this.publish({
        type: 'gateUp',
        gate: body.process,
        versions: body.versions,
      });
    }
    if (!dial.gate) return;
    if (body.type === 'gates') this.known = body.gates;
    this.publish({type: 'gateMessage', gate: dial.gate, body});
  }

  private onClosed(address: string, dial: Dial, reason: string): void {
    if (this.dials.get(address) === dial) this.dials.delete(address);
    const failures = this.failures.get(address) ?? 0;
    this.failures.set(address, failures + 1);
    const delayMs = backoffMs(
      this.ctx.random,
      failures,
      REDIAL_BASE_MS,
      REDIAL_CAP_MS,
    );
    this.notBeforeMs.set(address, this.ctx.clock.nowMs() + delayMs);
    if (!dial.gate) return;
    this.log.info(`Disconnected from gate ${dial.gate.id}: ${reason}.`);
    this.ctx.timeline.add('links', `gate lost: ${reason}`, dial.gate.id);
    this.publish({type: 'gateDown', gate: dial.gate, reason});
  }
}
