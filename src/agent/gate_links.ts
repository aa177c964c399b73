/** Links from an agent to all known gates. */
import {WebSocket} from 'ws';
import {type Clock} from '../core/clock.js';
import {Link, type LinkContext} from '../links/link.js';
import {type ComponentLog} from '../plugins/event_log.js';
import {
  type AgentReport,
  type GateJobMessage,
  agentJobCodec,
} from '../protocol/job_messages.js';

/** Maximum size of a message from a gate, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Timeout for opening a connection, in ms. */
const CONNECT_TIMEOUT_MS = 800; // links between data centres take a few ms
/** Maximum number of gates to which an agent keeps a link. */
export const MAX_GATE_LINKS = 12; // each link carries a 0.6 KB report twice a second
/** Delay before reconnecting to an address, in ms. */
const RECONNECT_DELAY_MS = 300;
/** Time without a message after which an address is removed, in ms. */
const ENDPOINT_EXPIRY_MS = 30_000;

type GateLink = Link<GateJobMessage, AgentReport>;

interface GateEndpoint {
  readonly address: string;
  link: GateLink | undefined;
  isOpen: boolean;
  nextConnectAtMs: number;
  lastMessageAtMs: number;
}

export interface GateLinkHandlers {
  onOpen(address: string): void;
  onMessage(address: string, message: GateJobMessage): void;
  onClosed(address: string): void;
}

export class GateLinks {
  private readonly endpoints = new Map<string, GateEndpoint>();
  private isStopped = false;

  constructor(
    private readonly maxLinks: number,
    private readonly clock: Clock,
    private readonly ctx: LinkContext,
    private readonly log: ComponentLog,
    private readonly handlers: GateLinkHandlers,
  ) {}

  /** Adds gate addresses. Known addresses keep their state. */
  addAddresses(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (this.endpoints.has(address) || this.endpoints.size >= this.maxLinks)
        continue;
      this.endpoints.set(address, {
        address,
        link: undefined,
        isOpen: false,
        nextConnectAtMs: 0,
        lastMessageAtMs: this.clock.nowMs(),
      });
    }
  }

  get openAddresses(): string[] {
    return [...this.endpoints.values()]
      .filter(e => e.isOpen)
      .map(e => e.address);
  }

  send(address: string, report: AgentReport): void {
    const endpoint = this.endpoints.get(address);
    if (endpoint?.isOpen) endpoint.link?.send(report);
  }

  /** Closes links that timed out and connects to addresses without a link. */
  tick(): void {
    const nowMs = this.clock.nowMs();
    for (const endpoint of [...this.endpoints.values()]) {
      endpoint.link?.closeIfTimedOut();
      if (endpoint.link || this.isStopped || nowMs < endpoint.nextConnectAtMs)
        continue;
      if (nowMs - endpoint.lastMessageAtMs > ENDPOINT_EXPIRY_MS)
        this.endpoints.delete(endpoint.address);
      else this.connect(endpoint);
    }
  }

  close(): void {
    this.isStopped = true;
    for (const endpoint of this.endpoints.values())
      endpoint.link?.close('agent is shutting down');
  }

  private connect(endpoint: GateEndpoint): void {
    const ws = new WebSocket(`ws://${endpoint.address}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    const link: GateLink = new Link(ws, agentJobCodec, this.ctx, {
      onMessage: message => {
        endpoint.lastMessageAtMs = this.clock.nowMs();
        this.handlers.onMessage(endpoint.address, message);
      },
      onClosed: reason => this.onClosed(endpoint, reason),
    });
    endpoint.link = link;
    ws.on('open', () => {
      endpoint.isOpen = true;
      this.log.logEvent('gateConnected', {gate: endpoint.address});
      this.handlers.onOpen(endpoint.address);
    });
  }

  private onClosed(endpoint: GateEndpoint, reason: string): void {
    const wasOpen = endpoint.isOpen;
    endpoint.link = undefined;
    endpoint.isOpen = false;
    endpoint.nextConnectAtMs = this.clock.nowMs() + RECONNECT_DELAY_MS;
    if (!wasOpen || this.isStopped) return;
    this.log.logEvent('gateDisconnected', {gate: endpoint.address, reason});
    this.handlers.onClosed(endpoint.address);
  }
}
