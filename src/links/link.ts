/** WebSocket connection between two processes, with detection of dead peers. */
import {type RawData, type WebSocket} from 'ws';
import {type Clock} from '../core/clock.js';
import {type HybridClock} from '../core/hybrid_clock.js';
import {type Envelope} from '../protocol/messages.js';

/** Maximum size of a message without its body, in bytes. */
export const MESSAGE_OVERHEAD_BYTES = 64 * 1024;

export interface LinkContext {
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  /** Time without a received message after which a link is closed, in ms. */
  readonly timeoutMs: number;
}

/** Encodes and decodes the messages of one kind of link. */
export interface LinkCodec<In, Out> {
  encode(envelope: Envelope<Out>): Uint8Array;
  /** Throws `ProtocolError` if the bytes are not a valid message of the link. */
  decode(data: Uint8Array): Envelope<In>;
}

export interface LinkHandlers<In> {
  onMessage(body: In): void;
  onClosed(reason: string): void;
}

/**
 * A connection can stop delivering data without reporting an error. Each end therefore
 * sends heartbeats, and closes the connection if it receives nothing within the timeout.
 */
export class Link<In, Out> {
  private lastReceivedAtMs: number;
  private closedReason: string | undefined;
  bytesSent = 0;

  constructor(
    private readonly ws: WebSocket,
    private readonly codec: LinkCodec<In, Out>,
    private readonly ctx: LinkContext,
    private readonly handlers: LinkHandlers<In>,
  ) {
    this.lastReceivedAtMs = ctx.clock.nowMs();
    ws.on('message', data => this.onData(data));
    ws.on('close', () => this.terminate('the other end closed it'));
    ws.on('error', err => this.terminate(err.message));
  }

  get isOpen(): boolean {
    return this.closedReason === undefined;
  }

  /** Bytes accepted by `send` but not yet written to the network. */
  get queuedBytes(): number {
    return this.ws.bufferedAmount;
  }

  send(body: Out): void {
    if (!this.isOpen) return;
    const data = this.codec.encode({stamp: this.ctx.hybridClock.now(), body});
    this.bytesSent += data.length;
    this.ws.send(data);
  }

  /** Closes the link if nothing was received within the timeout. */
  closeIfTimedOut(): void {
    const idleMs = this.ctx.clock.nowMs() - this.lastReceivedAtMs;
    if (idleMs > this.ctx.timeoutMs)
      this.terminate(`no heartbeat for ${Math.round(idleMs)} ms`);
  }

  close(reason: string): void {
    this.terminate(reason);
  }

  private onData(data: RawData): void {
    if (!this.isOpen) return;
    this.lastReceivedAtMs = this.ctx.clock.nowMs();
    try {
      const envelope = this.codec.decode(data as Buffer);
      this.ctx.hybridClock.receive(envelope.stamp);
      this.handlers.onMessage(envelope.body);
    } catch (err) {
      this.terminate((err as Error).message);
    }
  }

  /** Closes the connection without a closing handshake, which could hang. */
  private terminate(reason: string): void {
    if (!this.isOpen) return;
    this.closedReason = reason;
    this.ws.terminate();
    this.handlers.onClosed(reason);
  }
}
