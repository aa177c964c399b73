/** Accepts links from agents, answers their reports and sends them orders. */
import {type AddressInfo} from 'node:net';
import {WebSocketServer, type WebSocket} from 'ws';
import {type AddressedOrder, type Order} from '../jobs/engine_messages.js';
import {Link, type LinkContext} from '../links/link.js';
import {type ComponentLog} from '../plugins/event_log.js';
import {
  type AgentMessage,
  type GateAnswer,
  type GateJobMessage,
  gateJobCodec,
} from '../protocol/job_messages.js';

/** Maximum size of a report, in bytes. */
const MAX_REPORT_BYTES = 4 * 1024 * 1024;

type AgentLink = Link<AgentMessage, GateJobMessage>;

export class AgentServer {
  private readonly server: WebSocketServer;
  private readonly links = new Set<AgentLink>();
  /** The link of each agent that was accepted last. */
  private readonly linkByAgent = new Map<string, AgentLink>();
  /** Numbers the accepted links. */
  private readonly acceptNumbers = new WeakMap<AgentLink, number>();
  private acceptedLinks = 0;
  private gates: readonly string[] = [];

  constructor(
    address: {readonly host: string; readonly port: number},
    private readonly ctx: LinkContext,
    private readonly log: ComponentLog,
    private readonly onMessage: (message: AgentMessage) => GateAnswer,
  ) {
    this.server = new WebSocketServer({
      ...address,
      maxPayload: MAX_REPORT_BYTES,
      perMessageDeflate: false,
    });
    this.server.on('connection', ws => this.accept(ws));
    this.server.on('error', err =>
      this.log.logFailure('linkServerFailed', {reason: err.message}),
    );
  }

  /** Resolves with the port once the server is listening. */
  listening(): Promise<number> {
    return new Promise((resolve, reject) => {
      const done = (): void =>
        resolve((this.server.address() as AddressInfo).port);
      if (this.server.address()) return done();
      this.server.once('listening', done);
      this.server.once('error', reject);
    });
  }

  /** Sends orders to connected agents; others get theirs after their next report. */
  sendOrders(epoch: number, orders: readonly AddressedOrder[]): void {
    const ordersByAgent = new Map<string, Order[]>();
    for (const {agent, order} of orders)
      ordersByAgent.set(agent, [...(ordersByAgent.get(agent) ?? []), order]);
    for (const [agent, list] of ordersByAgent)
      this.linkByAgent.get(agent)?.send({type: 'orders', epoch, orders: list});
  }

  /** Sets the link addresses of all known gates, which agents get with their next answer. */
  setGates(gates: readonly string[]): void {
    this.gates = gates;
  }

  /** Sends a message to all connected agents. */
  broadcast(message: GateJobMessage): void {
    for (const link of this.linkByAgent.values()) link.send(message);
  }

  /** Closes links on which nothing was received within the timeout. */
  closeTimedOutLinks(): void {
    for (const link of [...this.links]) link.closeIfTimedOut();
  }

  close(): void {
    for (const link of [...this.links]) link.close('gate is shutting down');
    this.server.close();
  }

  private accept(ws: WebSocket): void {
    let agent: string | undefined;
    let sentGates: readonly string[] | undefined;
    const link: AgentLink = new Link(ws, gateJobCodec, this.ctx, {
      onMessage: message => {
        if (agent === undefined && this.isNewest(message.agent, link)) {
          agent = message.agent;
          this.linkByAgent.set(agent, link);
          this.log.logEvent('agentConnected', {agent});
        }
        // What an earlier link still delivers is older than what the newest has delivered.
        if (agent === undefined || this.linkByAgent.get(agent) !== link)
          return link.close('a newer link of the agent is open');
        const answer = this.onMessage(message);
        const {gates} = this;
        link.send(gates === sentGates ? answer : {...answer, gates});
        sentGates = gates;
      },
      onClosed: reason => {
        this.links.delete(link);
        if (agent === undefined || this.linkByAgent.get(agent) !== link) return;
        this.linkByAgent.delete(agent);
        this.log.logEvent('agentDisconnected', {agent, reason});
      },
    });
    this.links.add(link);
    this.acceptNumbers.set(link, ++this.acceptedLinks);
  }

  private isNewest(agent: string, link: AgentLink): boolean {
    const known = this.linkByAgent.get(agent);
    return !known || this.acceptNumber(link) > this.acceptNumber(known);
  }

  private acceptNumber(link: AgentLink): number {
    return this.acceptNumbers.get(link) ?? 0;
  }
}
