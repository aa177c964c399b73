/** Encodes messages with msgpackr and checks them when they arrive. */
import {Packr} from 'msgpackr';
import * as z from 'zod';
import {ProtocolError} from '../core/errors.js';
import {
  type AgentMessage,
  type Envelope,
  type GateMessage,
  agentMessageSchema,
  gateMessageSchema,
  stampSchema,
} from './messages.js';

const packr = new Packr({useRecords: false, variableMapSize: true});

/** Encodes one message. */
export function encode<T>(envelope: Envelope<T>): Uint8Array {
  return packr.pack(envelope);
}

// Schemas are compiled once: building one for each message costs more than checking it.
const gateEnvelopeSchema = z.strictObject({
  stamp: stampSchema,
  body: gateMessageSchema,
});
const agentEnvelopeSchema = z.strictObject({
  stamp: stampSchema,
  body: agentMessageSchema,
});

/** Decodes a message that a gate sent. */
export function decodeFromGate(data: Uint8Array): Envelope<GateMessage> {
  return decode(data, gateEnvelopeSchema);
}

/** Decodes a message that an agent sent. */
export function decodeFromAgent(data: Uint8Array): Envelope<AgentMessage> {
  return decode(data, agentEnvelopeSchema);
}

/** Decodes bytes and checks them against a schema. */
export function decode<T>(data: Uint8Array, schema: z.ZodType<T>): T {
  let value: unknown;
  try {
    value = packr.unpack(data);
  } catch (err) {
    throw new ProtocolError(
      'expected a msgpack message, found other bytes; check that both ends run the same version',
      {cause: err},
    );
  }
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new ProtocolError(
    `a message does not match its schema at ${issue.path.join('.')}: ${issue.message}; check that both ends run the same version`,
  );
}
