/**
 * Manages a gate's links: those accepted from agents and gates, and those dialled to
 * gates.
 */
import {type IncomingMessage} from 'node:http';
import {type AddressInfo} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import {type ProcessRef} from '../core/ids.js';
import {Task, type Mailbox} from '../core/task.js';
import {type Versions} from '../core/tables.js';
import {
  decodeAgentMessage,
  decodeGateMessage,
  encodeMessage,
} from '../protocol/message_codec.js';
import {
  type AgentMessage,
  type GateAddress,
  type GateMessage,
} from '../protocol/messages.js';
import {type GateSettings} from '../protocol/settings.js';
import {type Logger} from '../plugins/logger_factory.js';
import {type GateLinkEvent, type GateSend} from './gate_events.js';
import {Link, MESSAGE_OVERHEAD_BYTES} from '../links/link.js';
import {type ProcessContext} from './process_context.js';
import {equalSecrets} from './tokens.js';

type AgentLink = Link<AgentMessage, GateMessage>;
type GateLink = Link<GateMessage, GateMessage>;

interface Connection<L> {
  readonly ref: ProcessRef;
  readonly link: L;
}

/** State of other tasks that the links use. */
export interface GateLinkSources {
  versions(): Versions;
  gates(): readonly GateAddress[];
  ownAddress(): GateAddress;
}

export class GateLinks extends Task<GateSend> {
  private readonly server: WebSocketServer;
  private readonly agents = new Map<string, Connection<AgentLink>>();
  /** Links that this gate dialled, by the id of the other gate. */
  private readonly dialledGates = new Map<string, Connection<GateLink>>();
  private readonly dialsInProgress = new Set<string>();
  /**
   * Accepted links from agents that have sent no hello yet, and all those from other
   * gates.
   */
  private readonly acceptedLinks = new Set<AgentLink | GateLink>();
  private readonly subscribers: Mailbox<GateLinkEvent>[] = [];
  private readonly log: Logger;
  private lastHeartbeatMs = 0;
  private isStopping = false;

  constructor(
    private readonly ctx: ProcessContext,
    private readonly settings: GateSettings,
    private readonly sources: GateLinkSources,
  ) {
    super();
    this.log = ctx.logs.create('links');
    this.server = new WebSocketServer({
      host: settings.host,
      port: settings.linkPort,
      maxPayload: settings.limits.answerBytes + MESSAGE_OVERHEAD_BYTES,
      perMessageDeflate: false,
    });
    this.server.on('connection', (ws, req) => this.onConnection(ws, req));
    this.server.on('error', err =>
      this.log.error(`Link server failed: ${err.message}.`),
    );
  }

  subscribe(mailbox: Mailbox<GateLinkEvent>): void {
    this.subscribers.push(mailbox);
  }

  /** Resolves to the port once the server is listening. */
  waitUntilListening(): Promise<number> {
    return new Promise((resolve, reject) => {
      const address = this.server.address() as AddressInfo | null;
      if (address) return resolve(address.port);
      this.server.once('listening', () =>
        resolve((this.server.address() as AddressInfo).port),
      );
      this.server.once('error', reject);
    });
  }

  connectedAgents(): readonly ProcessRef[] {
    return [...this.agents.values()].map(a => a.ref);
  }

  connectedGates(): readonly ProcessRef[] {
    return [...this.dialledGates.values()].map(g => g.ref);
  }

  /** Bytes sent on all open links. */
  bytesSent(): number {
    let sum = 0;
    for (const {link} of this.agents.values()) sum += link.bytesSent;
    for (const {link} of this.dialledGates.values()) sum += link.bytesSent;
    return sum;
  }

  tick(): void {
    for (const {link} of [
      ...this.agents.values(),
      ...this.dialledGates.values(),
    ])
      link.closeIfTimedOut();
    for (const link of [...this.acceptedLinks]) link.closeIfTimedOut();
    this.dialMissingGates();
    // A write to a connection that the peer has closed can discard input that was not
    // read yet, such as a farewell. After a pause, buffered input therefore comes first.
    setImmediate(() => this.sendHeartbeats());
  }

  close(): void {
    this.isStopping = true;
    for (const {link} of [
      ...this.agents.values(),
      ...this.dialledGates.values(),
    ])
      link.close('the gate is stopping');
    for (const link of [...this.acceptedLinks])
      link.close('the gate is stopping');
    this.server.close();
  }

  protected receive(message: GateSend): void {
    switch (message.type) {
      case 'toAgent':
        return this.sendToAgent(message.agent, message.body);
      case 'toAllAgents':
        for (const {link} of this.agents.values()) link.send(message.body);
        return;
      case 'toGate':
        this.dialledGates.get(message.gate)?.link.send(message.body);
        return;
      case 'toAllGates':
        for (const {link} of this.dialledGates.values())
          link.send(message.body);
    }
  }

  private sendToAgent(agent: ProcessRef, body: GateMessage): void {
    const connection = this.agents.get(agent.id);
    if (connection?.ref.incarnation === agent.incarnation)
      connection.link.send(body);
  }

  private sendHeartbeats(): void {
    const nowMs = this.ctx.clock.nowMs();
    if (nowMs - this.lastHeartbeatMs < this.settings.times.heartbeatMs) return;
    this.lastHeartbeatMs = nowMs;
    const body: GateMessage = {
      type: 'heartbeat',
      versions: this.sources.versions(),
    };
    for (const {link} of this.agents.values()) link.send(body);
    for (const {link} of this.dialledGates.values()) link.send(body);
    for (const link of this.acceptedLinks) link.send(body);
  }

  private publish(event: GateLinkEvent): void {
    for (const subscriber of this.subscribers) subscriber.post(event);
  }

  private onConnection(ws: WebSocket, req: IncomingMessage): void {
    if (this.isStopping) return ws.terminate();
    if (req.url === '/agent') this.acceptAgent(ws);
    else if (req.url === '/gate') this.acceptGate(ws);
    else ws.terminate();
  }

  private acceptAgent(ws: WebSocket): void {
    let ref: ProcessRef | undefined;
    const link: AgentLink = new Link(
      ws,
      {encode: encodeMessage, decode: decodeAgentMessage},
      this.linkContext(),
      {
        onMessage: body => {
          if (ref) return this.onAgentMessage(ref, body);
          ref = this.acceptHello(link, body);
        },
        onClosed: reason => {
          this.acceptedLinks.delete(link);
          if (ref) this.onAgentClosed(ref, link, reason);
        },
      },
    );
    this.acceptedLinks.add(link);
  }

  private acceptHello(
    link: AgentLink,
    body: AgentMessage,
  ): ProcessRef | undefined {
    if (
      body.type !== 'agentHello' ||
      !equalSecrets(body.token, this.settings.clusterToken)
    ) {
      this.log.warn(
        'Rejected an agent link: the first message was not a hello with the cluster token.',
      );
      link.close('no valid hello');
      return undefined;
    }
    const ref = body.process;
    this.agents.get(ref.id)?.link.close('the agent opened a new link');
    this.acceptedLinks.delete(link);
    this.agents.set(ref.id, {ref, link});
    link.send({
      type: 'welcome',
      process: this.ctx.ref,
      gates: [...this.sources.gates()],
      versions: this.sources.versions(),
    });
    this.ctx.timeline.add('links', 'agent connected', ref.id);
    const {place, accelerators, versions, announcement, load} = body;
    this.publish({
      type: 'agentUp',
      agent: ref,
      place,
      accelerators,
      versions,
      announcement,
      load,
    });
    return ref;
  }

  private onAgentMessage(agent: ProcessRef, body: AgentMessage): void {
    this.publish({type: 'agentMessage', agent, body});
  }

  private onAgentClosed(
    ref: ProcessRef,
    link: AgentLink,
    reason: string,
  ): void {
    if (this.agents.get(ref.id)?.link !== link) return;
    this.agents.delete(ref.id);
    this.log.info(`Agent ${ref.id} disconnected: ${reason}.`);
    this.ctx.timeline.add('links', `agent lost: ${reason}`, ref.id);
    this.publish({type: 'agentDown', agent: ref, reason});
  }

  private acceptGate(ws: WebSocket): void {
    let ref: ProcessRef | undefined;
    const link: GateLink = new Link(
      ws,
      {encode: encodeMessage, decode: decodeGateMessage},
      this.linkContext(),
      {
        onMessage: body => {
          if (ref) return this.publish({type: 'gateMessage', gate: ref, body});
          if (
            body.type !== 'gateHello' ||
            !equalSecrets(body.token, this.settings.clusterToken)
          ) {
            return link.close('no valid hello');
          }
          ref = body.process;
        },
        onClosed: () => this.acceptedLinks.delete(link),
      },
    );
    this.acceptedLinks.add(link);
  }

  private dialMissingGates(): void {
    if (this.isStopping) return;
    for (const address of this.sources.gates()) {
      if (
        address.id === this.ctx.ref.id ||
        this.dialsInProgress.has(address.id)
      )
        continue;
      const connection = this.dialledGates.get(address.id);
      if (connection?.ref.incarnation === address.incarnation) continue;
      connection?.link.close('the gate was restarted');
      this.dial(address);
    }
  }

  private dial(address: GateAddress): void {
    this.dialsInProgress.add(address.id);
    const ref: ProcessRef = {id: address.id, incarnation: address.incarnation};
    const ws = new WebSocket(`${address.link}/gate`, {
      handshakeTimeout: this.settings.times.linkTimeoutMs,
      perMessageDeflate: false,
    });
    const link: GateLink = new Link(
      ws,
      {encode: encodeMessage, decode: decodeGateMessage},
      this.linkContext(),
      {
        onMessage: body => this.publish({type: 'gateMessage', gate: ref, body}),
        onClosed: reason => {
          this.dialsInProgress.delete(address.id);
          if (this.dialledGates.get(address.id)?.link !== link) return;
          this.dialledGates.delete(address.id);
          this.publish({type: 'gateDown', gate: ref, reason});
        },
      },
    );
    ws.on('open', () => {
      this.dialsInProgress.delete(address.id);
      this.dialledGates.set(address.id, {ref, link});
      link.send({
        type: 'gateHello',
        process: this.ctx.ref,
        token: this.settings.clusterToken,
        address: this.sources.ownAddress(),
      });
      this.publish({type: 'gateUp', gate: ref});
    });
  }

  private linkContext() {
    return {
      clock: this.ctx.clock,
      hybridClock: this.ctx.hybridClock,
      timeoutMs: this.settings.times.linkTimeoutMs,
    };
  }
}
