/** Encodes messages as msgpack and validates them when they are decoded. */
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

export function encodeMessage<T>(envelope: Envelope<T>): Uint8Array {
  return packr.pack(envelope);
}

// Created once, since building a schema takes longer than validating a message.
const gateEnvelopeSchema = z.strictObject({
  stamp: stampSchema,
  body: gateMessageSchema,
});
const agentEnvelopeSchema = z.strictObject({
  stamp: stampSchema,
  body: agentMessageSchema,
});

/** Decodes a message sent by a gate. Throws `ProtocolError`. */
export function decodeGateMessage(data: Uint8Array): Envelope<GateMessage> {
  return decodeMessage(data, gateEnvelopeSchema);
}

/** Decodes a message sent by an agent. Throws `ProtocolError`. */
export function decodeAgentMessage(data: Uint8Array): Envelope<AgentMessage> {
  return decodeMessage(data, agentEnvelopeSchema);
}

/** Decodes a message and validates it against a schema. Throws `ProtocolError`. */
export function decodeMessage<T>(data: Uint8Array, schema: z.ZodType<T>): T {
  let value: unknown;
  try {
    value = packr.unpack(data);
  } catch (err) {
    throw new ProtocolError(
      'expected a msgpack message, found bytes that cannot be decoded; check that both processes run the same version',
      {cause: err},
    );
  }
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new ProtocolError(
    `a message does not match its schema at ${issue.path.join('.')}: ${issue.message}; check that both processes run the same version`,
  );
}
