/** Opens connections from an agent to gates. */
import {WebSocket} from 'ws';

/** Maximum size of a message from a gate, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Timeout for opening a connection, in ms. */
const CONNECT_TIMEOUT_MS = 800; // links between data centres take a few ms

export abstract class GateDialer {
  abstract dial(address: string): WebSocket;
}

export class WebSocketDialer extends GateDialer {
  dial(address: string): WebSocket {
    return new WebSocket(`ws://${address}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
  }
}
