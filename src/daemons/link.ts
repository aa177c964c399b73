/** One connection between two processes of the system. */
import {type RawData, type WebSocket} from 'ws';
import {type Clock} from '../core/clock.js';
import {type HybridClock} from '../core/hybrid_clock.js';
import {encode} from '../protocol/codec.js';
import {type Envelope, type WireMessage} from '../protocol/messages.js';

/** Largest message on a link beyond the body it carries, in bytes. */
export const MESSAGE_OVERHEAD_BYTES = 64 * 1024;

export interface LinkContext {
  readonly clock: Clock;
  readonly hybrid: HybridClock;
  /** Silence after which a link counts as dead, in ms. */
  readonly timeoutMs: number;
}

export interface LinkHandlers<In> {
  onMessage(body: In): void;
  onClosed(reason: string): void;
}

/**
 * A connection can go silent for good without an error, so each end sends
 * heartbeats and breaks the connection when it hears nothing for the timeout.
 */
export class Link<In, Out extends WireMessage> {
  private lastHeardMs: number;
  private closedReason: string | undefined;
  bytesSent = 0;

  constructor(
    private readonly ws: WebSocket,
    private readonly decode: (data: Uint8Array) => Envelope<In>,
    private readonly ctx: LinkContext,
    private readonly handlers: LinkHandlers<In>,
  ) {
    this.lastHeardMs = ctx.clock.nowMs();
    ws.on('message', data => this.onData(data));
    ws.on('close', () => this.shut('the other end closed it'));
    ws.on('error', err => this.shut(err.message));
  }

  get isOpen(): boolean {
    return this.closedReason === undefined;
  }

  send(body: Out): void {
    if (!this.isOpen) return;
    const data = encode({stamp: this.ctx.hybrid.now(), body});
    this.bytesSent += data.length;
    this.ws.send(data);
  }

  /** Closes the link when the other end has been silent for too long. */
  check(): void {
    const silentMs = this.ctx.clock.nowMs() - this.lastHeardMs;
    if (silentMs > this.ctx.timeoutMs)
      this.shut(`no heartbeat for ${Math.round(silentMs)} ms`);
  }

  close(reason: string): void {
    this.shut(reason);
  }

  private onData(data: RawData): void {
    if (!this.isOpen) return;
    this.lastHeardMs = this.ctx.clock.nowMs();
    try {
      const envelope = this.decode(data as Buffer);
      this.ctx.hybrid.receive(envelope.stamp);
      this.handlers.onMessage(envelope.body);
    } catch (err) {
      this.shut((err as Error).message);
    }
  }

  /** Breaks the connection at once: a closing handshake could hang. */
  private shut(reason: string): void {
    if (!this.isOpen) return;
    this.closedReason = reason;
    this.ws.terminate();
    this.handlers.onClosed(reason);
  }
}
