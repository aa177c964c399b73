/** Links from agents: takes their reports, answers them, and carries orders. */
import {type AddressInfo} from 'node:net';
import {WebSocketServer, type WebSocket} from 'ws';
import {type AddressedOrder, type Order} from '../jobs/engine_messages.js';
import {Link, type LinkContext} from '../links/link.js';
import {type PartLog} from '../plugins/event_log.js';
import {
  type AgentReport,
  type GateJobMessage,
  gateJobCodec,
} from '../protocol/job_messages.js';

/** Largest report, in bytes. */
const MAX_REPORT_BYTES = 4 * 1024 * 1024;

type AgentLink = Link<AgentReport, GateJobMessage>;

export class AgentServer {
  private readonly server: WebSocketServer;
  private readonly links = new Set<AgentLink>();
  private readonly byAgent = new Map<string, AgentLink>();

  constructor(
    address: {readonly host: string; readonly port: number},
    private readonly ctx: LinkContext,
    private readonly log: PartLog,
    private readonly onReport: (report: AgentReport) => GateJobMessage,
  ) {
    this.server = new WebSocketServer({
      ...address,
      maxPayload: MAX_REPORT_BYTES,
      perMessageDeflate: false,
    });
    this.server.on('connection', ws => this.accept(ws));
    this.server.on('error', err =>
      this.log.fault('linkServerFailed', {reason: err.message}),
    );
  }

  /** Resolves with the port once the server listens. */
  listening(): Promise<number> {
    return new Promise((resolve, reject) => {
      const done = (): void =>
        resolve((this.server.address() as AddressInfo).port);
      if (this.server.address()) return done();
      this.server.once('listening', done);
      this.server.once('error', reject);
    });
  }

  /** Sends orders to the agents that are connected; the others ask again by a report. */
  give(epoch: number, orders: readonly AddressedOrder[]): void {
    const byAgent = new Map<string, Order[]>();
    for (const {agent, order} of orders)
      byAgent.set(agent, [...(byAgent.get(agent) ?? []), order]);
    for (const [agent, list] of byAgent)
      this.byAgent.get(agent)?.send({type: 'orders', epoch, orders: list});
  }

  /** Sends a message to all agents. */
  broadcast(message: GateJobMessage): void {
    for (const link of this.byAgent.values()) link.send(message);
  }

  /** Closes links that have gone silent. */
  check(): void {
    for (const link of [...this.links]) link.check();
  }

  close(): void {
    for (const link of [...this.links]) link.close('the gate stops');
    this.server.close();
  }

  private accept(ws: WebSocket): void {
    let agent: string | undefined;
    const link: AgentLink = new Link(ws, gateJobCodec, this.ctx, {
      onMessage: report => {
        if (agent === undefined) {
          agent = report.agent;
          this.byAgent.set(agent, link);
          this.log.event('agentConnected', {agent});
        }
        link.send(this.onReport(report));
      },
      onClosed: reason => {
        this.links.delete(link);
        if (agent === undefined || this.byAgent.get(agent) !== link) return;
        this.byAgent.delete(agent);
        this.log.event('agentDisconnected', {agent, reason});
      },
    });
    this.links.add(link);
  }
}
