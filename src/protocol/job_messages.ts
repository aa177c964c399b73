/** Messages about jobs between gates and agents. All durations are in milliseconds. */
import * as z from 'zod';
import {
  type EndReport,
  type WorkerCrash,
  type WorkerInventory,
  type Order,
  type StartRefusal,
} from '../jobs/engine_messages.js';
import {type Resources} from '../jobs/job.js';
import {type EvacuationNotice} from '../jobs/evacuations.js';
import {type WorkerReport} from '../jobs/worker_pool.js';
import {RunEndKind} from '../ports/task_worker.js';
import {decodeMessage, encodeMessage} from './message_codec.js';
import {type Envelope, stampSchema} from './messages.js';

const boundedText = z.string().max(8192);
const nonNegativeInteger = z.number().int().min(0);
const storeAgeSchema = z.number().min(0).optional();

const resourcesSchema: z.ZodType<Resources> = z.object({
  cpu: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const workerReportSchema: z.ZodType<WorkerReport> = z.object({
  id: boundedText,
  bornMs: z.number(),
  service: boundedText,
  // Agents of earlier versions don't send it.
  dataCentre: boundedText.default(''),
  rack: boundedText,
  labels: z.array(boundedText),
  capacity: resourcesSchema,
  draining: z.boolean(),
  drainRemainingMs: z.number(),
});

const endSchema: z.ZodType<EndReport> = z.object({
  number: nonNegativeInteger,
  task: boundedText,
  run: nonNegativeInteger,
  kind: z.enum(Object.values(RunEndKind)),
  checkpoint: boundedText,
});

const inventorySchema: z.ZodType<WorkerInventory> = z.object({
  worker: workerReportSchema,
  runs: z.array(
    z.object({
      task: boundedText,
      run: nonNegativeInteger,
      isRunning: z.boolean(),
      checkpoint: boundedText,
      percent: z.number(),
    }),
  ),
  ends: z.array(endSchema),
});

const refusalSchema: z.ZodType<StartRefusal> = z.object({
  worker: boundedText,
  task: boundedText,
  run: nonNegativeInteger,
  reason: boundedText,
});

const orderSchema: z.ZodType<Order> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('start'),
    worker: boundedText,
    task: boundedText,
    run: nonNegativeInteger,
    payload: boundedText,
    checkpoint: boundedText,
    isRepeated: z.boolean(),
    workerCapacity: resourcesSchema.optional(),
  }),
  z.object({
    type: z.literal('stop'),
    worker: boundedText,
    task: boundedText,
    run: nonNegativeInteger,
  }),
  z.object({
    type: z.literal('acknowledge'),
    worker: boundedText,
    upTo: nonNegativeInteger,
  }),
]);

/** A worker whose runs cannot continue. */
export interface LostWorker {
  readonly worker: string;
  /** Cause in free text, for the log. */
  readonly reason: string;
  /** Ends that it listed and that no leader has acknowledged. */
  readonly ends?: readonly EndReport[];
}

export interface StoreKnowledge {
  /**
   * Time since the sender, or for an agent any gate that it heard of, last reached the store;
   * absent if that is not known.
   */
  readonly storeAgeMs?: number;
}

/** Heartbeat of an agent, with the full state of its worker. */
export interface AgentReport extends StoreKnowledge {
  readonly type: 'report';
  readonly agent: string;
  /** Time of sending on the agent's clock, in ms; returned in the reply. */
  readonly sentAtMs: number;
  /** Highest epoch that the agent has received. */
  readonly epoch: number;
  /** Absent while the worker cannot be reached. */
  readonly inventory?: WorkerInventory;
  readonly refusals: readonly StartRefusal[];
  /**
   * The most recently lost worker, reported until a worker can be reached and its ends have
   * been acknowledged.
   */
  readonly lost?: LostWorker;
  /** No incarnation of the worker has answered for longer than its leases last. */
  readonly hasNoRuns?: boolean;
  /** The crash that ended the predecessor of the worker, reported throughout its life. */
  readonly crash?: WorkerCrash;
}

/** Heartbeat of an agent on the link to a gate that does not lead. */
export interface AgentProbe extends StoreKnowledge {
  readonly type: 'probe';
  readonly agent: string;
  /** Time of sending on the agent's clock, in ms; returned in the reply. */
  readonly sentAtMs: number;
  /** Highest epoch that the agent has received. */
  readonly epoch: number;
}

export type AgentMessage = AgentReport | AgentProbe;

const agentMessageSchema: z.ZodType<AgentMessage> = z.discriminatedUnion(
  'type',
  [
    z.object({
      type: z.literal('report'),
      agent: boundedText,
      sentAtMs: z.number(),
      epoch: nonNegativeInteger,
      storeAgeMs: storeAgeSchema,
      inventory: inventorySchema.optional(),
      refusals: z.array(refusalSchema),
      lost: z
        .object({
          worker: boundedText,
          reason: boundedText,
          ends: z.array(endSchema).optional(),
        })
        .optional(),
      hasNoRuns: z.boolean().optional(),
      crash: z
        .object({worker: boundedText, sinceMs: z.number().min(0)})
        .optional(),
    }),
    z.object({
      type: z.literal('probe'),
      agent: boundedText,
      sentAtMs: z.number(),
      epoch: nonNegativeInteger,
      storeAgeMs: storeAgeSchema,
    }),
  ],
);

/** A gate's reply to a report or a probe; also sent when the leader changes. */
export interface GateAnswer extends StoreKnowledge {
  readonly type: 'answer';
  /** `sentAtMs` of the message that is answered; 0 if there is none. */
  readonly sentAtMs: number;
  readonly epoch: number;
  /** The gate considers itself the leader. */
  readonly leads: boolean;
  /** The agent may extend leases: no other gate can have become the leader yet. */
  readonly extendsLeases: boolean;
  /** Link address of the leader of this epoch; absent if there is none. */
  readonly leaderAddress?: string;
  /** Link addresses of all known gates; absent if unchanged since they were last sent. */
  readonly gates?: readonly string[];
  /** Absent before the gate has read the operators' table, or where no bound is agreed. */
  readonly evacuations?: EvacuationNotice;
}

/** Orders of the leader. */
export interface GateOrders {
  readonly type: 'orders';
  readonly epoch: number;
  readonly orders: readonly Order[];
}

export type GateJobMessage = GateAnswer | GateOrders;

const evacuationsSchema: z.ZodType<EvacuationNotice> = z.object({
  version: z.number().int(),
  dataCentres: z.array(boundedText),
  ageMs: z.number().min(0),
});

const gateMessageSchema: z.ZodType<GateJobMessage> = z.discriminatedUnion(
  'type',
  [
    z.object({
      type: z.literal('answer'),
      sentAtMs: z.number(),
      epoch: nonNegativeInteger,
      leads: z.boolean(),
      extendsLeases: z.boolean(),
      leaderAddress: boundedText.optional(),
      gates: z.array(boundedText).optional(),
      evacuations: evacuationsSchema.optional(),
      storeAgeMs: storeAgeSchema,
    }),
    z.object({
      type: z.literal('orders'),
      epoch: nonNegativeInteger,
      orders: z.array(orderSchema),
    }),
  ],
);

const agentEnvelopeSchema = z.object({
  stamp: stampSchema,
  body: agentMessageSchema,
});
const gateEnvelopeSchema = z.object({
  stamp: stampSchema,
  body: gateMessageSchema,
});

/** Codec for the gate side of a link to an agent. */
export const gateJobCodec = {
  encode: (envelope: Envelope<GateJobMessage>): Uint8Array =>
    encodeMessage(envelope),
  decode: (data: Uint8Array): Envelope<AgentMessage> =>
    decodeMessage(data, agentEnvelopeSchema),
};

/** Codec for the agent side of a link to a gate. */
export const agentJobCodec = {
  encode: (envelope: Envelope<AgentMessage>): Uint8Array =>
    encodeMessage(envelope),
  decode: (data: Uint8Array): Envelope<GateJobMessage> =>
    decodeMessage(data, gateEnvelopeSchema),
};
