/** Links from an agent to the gates that its directory selects. */
import {type Clock} from '../core/clock.js';
import {Link, type LinkContext} from '../links/link.js';
import {type ComponentLog} from '../plugins/event_log.js';
import {
  type AgentMessage,
  type GateJobMessage,
  agentJobCodec,
} from '../protocol/job_messages.js';
import {type GateDialer} from './gate_dialer.js';
import {type GateDirectory} from './gate_directory.js';

/** Number of links to gates that do not lead. */
export const STANDBY_LINKS = 3; // one of them usually survives the loss of a data centre
/** Delay before reconnecting to an address, in ms. */
const RECONNECT_DELAY_MS = 300;

type GateLink = Link<GateJobMessage, AgentMessage>;

interface GateConnection {
  readonly address: string;
  link: GateLink | undefined;
  isOpen: boolean;
  nextConnectAtMs: number;
}

export interface GateLinksContext {
  readonly clock: Clock;
  readonly dialer: GateDialer;
  readonly link: LinkContext;
  readonly log: ComponentLog;
}

export interface GateLinkHandlers {
  onOpen(address: string): void;
  onMessage(address: string, message: GateJobMessage): void;
  onClosed(address: string): void;
}

export class GateLinks {
  private readonly connections = new Map<string, GateConnection>();
  private isStopped = false;

  constructor(
    private readonly directory: GateDirectory,
    private readonly ctx: GateLinksContext,
    private readonly handlers: GateLinkHandlers,
  ) {}

  get openAddresses(): string[] {
    return [...this.connections.values()]
      .filter(c => c.isOpen)
      .map(c => c.address);
  }

  send(address: string, message: AgentMessage): void {
    const connection = this.connections.get(address);
    if (connection?.isOpen) connection.link?.send(message);
  }

  /** Closes links that timed out or are not needed, and opens missing ones. */
  update(): void {
    if (this.isStopped) return;
    const nowMs = this.ctx.clock.nowMs();
    for (const {link} of [...this.connections.values()])
      link?.closeIfTimedOut();
    const selected = this.directory.selectLinks(nowMs);
    for (const address of selected) this.connectIfDue(address, nowMs);
    // Surplus links stay until the selected ones have replaced them.
    if (selected.every(a => this.connections.get(a)?.isOpen))
      this.closeExcept(new Set(selected));
  }

  close(): void {
    this.isStopped = true;
    for (const {link} of this.connections.values())
      link?.close('agent is shutting down');
  }

  private connectIfDue(address: string, nowMs: number): void {
    let connection = this.connections.get(address);
    if (!connection) {
      connection = {
        address,
        link: undefined,
        isOpen: false,
        nextConnectAtMs: nowMs,
      };
      this.connections.set(address, connection);
    }
    if (!connection.link && nowMs >= connection.nextConnectAtMs)
      this.connect(connection);
  }

  private closeExcept(selected: ReadonlySet<string>): void {
    for (const {address, link} of [...this.connections.values()]) {
      if (selected.has(address)) continue;
      this.connections.delete(address);
      link?.close('the link is not needed any more');
    }
  }

  private connect(connection: GateConnection): void {
    const {address} = connection;
    const ws = this.ctx.dialer.dial(address);
    const link: GateLink = new Link(ws, agentJobCodec, this.ctx.link, {
      onMessage: message => this.handlers.onMessage(address, message),
      onClosed: reason => this.onClosed(connection, reason),
    });
    connection.link = link;
    ws.on('open', () => {
      if (!link.isOpen) return;
      connection.isOpen = true;
      this.directory.recordOpen(address);
      this.ctx.log.logEvent('gateConnected', {gate: address});
      this.handlers.onOpen(address);
    });
  }

  private onClosed(connection: GateConnection, reason: string): void {
    const {address, isOpen: wasOpen} = connection;
    const nowMs = this.ctx.clock.nowMs();
    connection.link = undefined;
    connection.isOpen = false;
    connection.nextConnectAtMs = nowMs + RECONNECT_DELAY_MS;
    const isSurplus = this.connections.get(address) !== connection;
    if (!isSurplus) this.directory.recordFailure(address, nowMs);
    if (!wasOpen || this.isStopped) return;
    this.ctx.log.logEvent('gateDisconnected', {gate: address, reason});
    this.handlers.onClosed(address);
  }
}
