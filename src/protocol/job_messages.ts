/** Messages between gates and agents about jobs. All durations are milliseconds. */
import * as z from 'zod';
import {
  type Inventory,
  type Order,
  type Refusal,
} from '../jobs/engine_messages.js';
import {type WorkerReport} from '../jobs/worker_pool.js';
import {EndKind} from '../ports/task_worker.js';
import {decode, encode} from './codec.js';
import {type Envelope, stampSchema} from './messages.js';

const text = z.string().max(8192);
const count = z.number().int().min(0);

const workerSchema: z.ZodType<WorkerReport> = z.object({
  id: text,
  bornMs: z.number(),
  service: text,
  rack: text,
  labels: z.array(text),
  capacity: z.object({
    cpu: z.number(),
    memoryMb: z.number(),
    accelerators: z.number(),
  }),
  draining: z.boolean(),
  drainRemainingMs: z.number(),
});

const inventorySchema: z.ZodType<Inventory> = z.object({
  worker: workerSchema,
  runs: z.array(
    z.object({
      task: text,
      run: count,
      isRunning: z.boolean(),
      checkpoint: text,
      percent: z.number(),
    }),
  ),
  ends: z.array(
    z.object({
      number: count,
      task: text,
      run: count,
      kind: z.enum(Object.values(EndKind)),
      checkpoint: text,
    }),
  ),
});

const refusalSchema: z.ZodType<Refusal> = z.object({
  worker: text,
  task: text,
  run: count,
  reason: text,
});

const orderSchema: z.ZodType<Order> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('start'),
    worker: text,
    task: text,
    run: count,
    payload: text,
    checkpoint: text,
  }),
  z.object({type: z.literal('stop'), worker: text, task: text, run: count}),
  z.object({type: z.literal('acknowledge'), worker: text, upTo: count}),
]);

export interface LostWorker {
  readonly worker: string;
  /** Why nothing can run there, in words for the log. */
  readonly reason: string;
}

/** An agent's heartbeat, with all that it knows of its worker. */
export interface AgentReport {
  readonly type: 'report';
  readonly agent: string;
  /** Clock of the agent when it was sent; comes back in the answer. */
  readonly sentAtMs: number;
  /** Highest epoch that the agent has heard of. */
  readonly epoch: number;
  /** Absent while the agent does not know its worker. */
  readonly inventory?: Inventory;
  readonly refusals: readonly Refusal[];
  /** A worker on which nothing can run any more. */
  readonly lost?: LostWorker;
}

const reportSchema: z.ZodType<AgentReport> = z.object({
  type: z.literal('report'),
  agent: text,
  sentAtMs: z.number(),
  epoch: count,
  inventory: inventorySchema.optional(),
  refusals: z.array(refusalSchema),
  lost: z.object({worker: text, reason: text}).optional(),
});

/** A gate's answer to a report. */
export interface GateAnswer {
  readonly type: 'answer';
  readonly sentAtMs: number;
  readonly epoch: number;
  /** The gate holds the seat, as far as it knows. */
  readonly leads: boolean;
  /** Leases may be extended: no other gate can have taken the seat yet. */
  readonly extendsLeases: boolean;
  /** Link addresses of all gates that are known. */
  readonly gates: readonly string[];
}

/** Orders of the seat holder. */
export interface GateOrders {
  readonly type: 'orders';
  readonly epoch: number;
  readonly orders: readonly Order[];
}

export type GateJobMessage = GateAnswer | GateOrders;

const gateMessageSchema: z.ZodType<GateJobMessage> = z.discriminatedUnion(
  'type',
  [
    z.object({
      type: z.literal('answer'),
      sentAtMs: z.number(),
      epoch: count,
      leads: z.boolean(),
      extendsLeases: z.boolean(),
      gates: z.array(text),
    }),
    z.object({
      type: z.literal('orders'),
      epoch: count,
      orders: z.array(orderSchema),
    }),
  ],
);

const reportEnvelope = z.object({stamp: stampSchema, body: reportSchema});
const gateEnvelope = z.object({stamp: stampSchema, body: gateMessageSchema});

/** Codec of the gate's end of a link to an agent. */
export const gateJobCodec = {
  encode: (envelope: Envelope<GateJobMessage>): Uint8Array => encode(envelope),
  decode: (data: Uint8Array): Envelope<AgentReport> =>
    decode(data, reportEnvelope),
};

/** Codec of the agent's end of a link to a gate. */
export const agentJobCodec = {
  encode: (envelope: Envelope<AgentReport>): Uint8Array => encode(envelope),
  decode: (data: Uint8Array): Envelope<GateJobMessage> =>
    decode(data, gateEnvelope),
};
