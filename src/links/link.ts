/** One connection between two processes of the system. */
import {type RawData, type WebSocket} from 'ws';
import {type Clock} from '../core/clock.js';
import {type HybridClock} from '../core/hybrid_clock.js';
import {type Envelope} from '../protocol/messages.js';

/** Largest message on a link beyond the body it carries, in bytes. */
export const MESSAGE_OVERHEAD_BYTES = 64 * 1024;

export interface LinkContext {
  readonly clock: Clock;
  readonly hybrid: HybridClock;
  /** Silence after which a link counts as dead, in ms. */
  readonly timeoutMs: number;
}

/** Turns the messages of one kind of link into bytes and back. */
export interface LinkCodec<In, Out> {
  encode(envelope: Envelope<Out>): Uint8Array;
  /** Throws `ProtocolError` for bytes that are no message of the link. */
  decode(data: Uint8Array): Envelope<In>;
}

export interface LinkHandlers<In> {
  onMessage(body: In): void;
  onClosed(reason: string): void;
}

/**
 * A connection can go silent for good without an error, so each end sends
 * heartbeats and breaks the connection when it hears nothing for the timeout.
 */
export class Link<In, Out> {
  private lastHeardMs: number;
  private closedReason: string | undefined;
  bytesSent = 0;

  constructor(
    private readonly ws: WebSocket,
    private readonly codec: LinkCodec<In, Out>,
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

  /** Bytes that wait to be sent. */
  get queuedBytes(): number {
    return this.ws.bufferedAmount;
  }

  send(body: Out): void {
    if (!this.isOpen) return;
    const data = this.codec.encode({stamp: this.ctx.hybrid.now(), body});
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
      const envelope = this.codec.decode(data as Buffer);
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
