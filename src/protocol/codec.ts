/** Encodes messages with msgpackr and checks them when they arrive. */
import {Packr} from 'msgpackr';
import {z} from 'zod';
import {ProtocolError} from '../core/errors.js';
import {
  type AgentMessage,
  type Envelope,
  type GateMessage,
  type WireMessage,
  agentMessageSchema,
  gateMessageSchema,
  stampSchema,
} from './messages.js';

const packr = new Packr({useRecords: false, variableMapSize: true});

/** Encodes one message. */
export function encode(envelope: Envelope<WireMessage>): Uint8Array {
  return packr.pack(envelope);
}

/** Decodes a message that a gate sent. */
export function decodeFromGate(data: Uint8Array): Envelope<GateMessage> {
  return decode(data, gateMessageSchema);
}

/** Decodes a message that an agent sent. */
export function decodeFromAgent(data: Uint8Array): Envelope<AgentMessage> {
  return decode(data, agentMessageSchema);
}

function decode<T>(data: Uint8Array, body: z.ZodType<T>): Envelope<T> {
  let value: unknown;
  try {
    value = packr.unpack(data);
  } catch (err) {
    throw new ProtocolError(
      'expected a msgpack message, found other bytes; check that both ends run the same version',
      {cause: err},
    );
  }
  const result = z.strictObject({stamp: stampSchema, body}).safeParse(value);
  if (result.success) return result.data as Envelope<T>;
  const issue = result.error.issues[0];
  throw new ProtocolError(
    `a message does not match its schema at ${issue.path.join('.')}: ${issue.message}; check that both ends run the same version`,
  );
}
