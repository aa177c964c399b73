/** Links from an agent to all gates that it knows of. */
import {WebSocket} from 'ws';
import {type Clock} from '../core/clock.js';
import {Link, type LinkContext} from '../links/link.js';
import {type PartLog} from '../plugins/event_log.js';
import {
  type AgentReport,
  type GateJobMessage,
  agentJobCodec,
} from '../protocol/job_messages.js';

/** Largest message of a gate, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Time for a connection to open, in ms. */
const DIAL_TIMEOUT_MS = 800; // links between data centres take a few ms
/** Most gates that an agent keeps a link to. */
export const MAX_GATES = 12; // 0.6 KB a report, twice a second, on each link
/** Wait before an address that failed is dialled again, in ms. */
const REDIAL_MS = 300;
/** Time after which an address that never answers is dropped, in ms. */
const FORGET_AFTER_MS = 30_000;

type GateLink = Link<GateJobMessage, AgentReport>;

interface Dial {
  readonly address: string;
  link: GateLink | undefined;
  isOpen: boolean;
  nextDialMs: number;
  answeredAtMs: number;
}

export interface GateLinkHandlers {
  onOpen(address: string): void;
  onMessage(address: string, message: GateJobMessage): void;
  onClosed(address: string): void;
}

export class GateLinks {
  private readonly dials = new Map<string, Dial>();
  private isStopped = false;

  constructor(
    private readonly maxGates: number,
    private readonly clock: Clock,
    private readonly ctx: LinkContext,
    private readonly log: PartLog,
    private readonly handlers: GateLinkHandlers,
  ) {}

  /** Adds addresses of gates; those that are known already stay as they are. */
  learn(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (this.dials.has(address) || this.dials.size >= this.maxGates) continue;
      this.dials.set(address, {
        address,
        link: undefined,
        isOpen: false,
        nextDialMs: 0,
        answeredAtMs: this.clock.nowMs(),
      });
    }
  }

  get openAddresses(): string[] {
    return [...this.dials.values()].filter(d => d.isOpen).map(d => d.address);
  }

  send(address: string, report: AgentReport): void {
    const dial = this.dials.get(address);
    if (dial?.isOpen) dial.link?.send(report);
  }

  /** Closes silent links and dials what is missing. */
  tick(): void {
    const nowMs = this.clock.nowMs();
    for (const dial of [...this.dials.values()]) {
      dial.link?.check();
      if (dial.link || this.isStopped || nowMs < dial.nextDialMs) continue;
      if (nowMs - dial.answeredAtMs > FORGET_AFTER_MS)
        this.dials.delete(dial.address);
      else this.dial(dial);
    }
  }

  close(): void {
    this.isStopped = true;
    for (const dial of this.dials.values()) dial.link?.close('the agent stops');
  }

  private dial(dial: Dial): void {
    const ws = new WebSocket(`ws://${dial.address}`, {
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    const link: GateLink = new Link(ws, agentJobCodec, this.ctx, {
      onMessage: message => {
        dial.answeredAtMs = this.clock.nowMs();
        this.handlers.onMessage(dial.address, message);
      },
      onClosed: reason => this.onClosed(dial, reason),
    });
    dial.link = link;
    ws.on('open', () => {
      dial.isOpen = true;
      this.log.event('gateConnected', {gate: dial.address});
      this.handlers.onOpen(dial.address);
    });
  }

  private onClosed(dial: Dial, reason: string): void {
    const wasOpen = dial.isOpen;
    dial.link = undefined;
    dial.isOpen = false;
    dial.nextDialMs = this.clock.nowMs() + REDIAL_MS;
    if (!wasOpen || this.isStopped) return;
    this.log.event('gateDisconnected', {gate: dial.address, reason});
    this.handlers.onClosed(dial.address);
  }
}
