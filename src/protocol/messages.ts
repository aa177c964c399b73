/**
 * Protocol between gates and agents, except for the messages about jobs. Each message is
 * validated against its schema when it is received. All durations are in milliseconds.
 * Deadlines are sent as remaining time.
 */
import * as z from 'zod';
import {
  BackendState,
  RefusalReason,
  RunEnd,
  ShareState,
  AttemptStatus,
} from '../core/shared_types.js';
import {poolSchema, routeSchema} from './tables.js';

const id = z.string().min(1).max(200);
const bytes = z.custom<Uint8Array>(
  value => value instanceof Uint8Array,
  'expected bytes',
);
const ms = z.number().min(0);

/** Hybrid logical timestamp. */
export const stampSchema = z.strictObject({
  wallMs: z.number(),
  count: z.number().int(),
});
/** Versions of the tables in force at a process. */
export const versionsSchema = z.strictObject({
  routes: z.number().int().min(0),
  pools: z.number().int().min(0),
});

export const processRefSchema = z.strictObject({id, incarnation: id});

/** Location of a process; sent and stored in the field `place`. */
export const locationSchema = z.strictObject({
  region: id,
  dataCentre: id,
  rack: id,
});

/** What a backend server announces to its agent. */
export const announcementSchema = z.strictObject({
  service: id,
  slots: z.number().int().min(0).max(10_000),
  state: z.enum([
    BackendState.SERVING,
    BackendState.LEAVING,
    BackendState.ABSENT,
  ]),
});

export const answerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  body: bytes,
});

/** Accelerators of one worker that are allocated to a gang. */
export const memberSchema = z.strictObject({
  agent: id,
  incarnation: id,
  accelerators: z.array(z.number().int().min(0).max(63)).min(1),
});

const shareStateSchema = z.enum(
  Object.values(ShareState) as [ShareState, ...ShareState[]],
);

/** State of the gang share at one agent. */
export const shareReportSchema = z.strictObject({
  gang: id,
  attempt: z.number().int(),
  state: shareStateSchema,
  members: z.array(memberSchema),
});

/** Numbers of running and of waiting requests at an agent. */
const loadSchema = z.strictObject({
  busy: z.number().int(),
  queued: z.number().int(),
});

const gateAddressSchema = z.strictObject({
  id,
  incarnation: id,
  link: z.string(),
  http: z.string(),
  place: locationSchema,
});
export type GateAddress = z.infer<typeof gateAddressSchema>;

const timelineEventSchema = z.strictObject({
  stamp: stampSchema,
  process: id,
  part: id,
  event: z.string(),
  subject: z.string().optional(),
});

export const agentMessageSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('agentHello'),
    process: processRefSchema,
    token: z.string(),
    place: locationSchema,
    accelerators: z.number().int().min(0),
    versions: versionsSchema,
    announcement: announcementSchema,
    load: loadSchema,
  }),
  z.strictObject({
    type: z.literal('heartbeat'),
    versions: versionsSchema,
    load: loadSchema,
  }),
  z.strictObject({
    type: z.literal('announce'),
    announcement: announcementSchema,
    load: loadSchema,
  }),
  z.strictObject({
    type: z.literal('result'),
    req: id,
    attempt: z.number().int(),
    end: z.enum(Object.values(RunEnd) as [RunEnd, ...RunEnd[]]),
    answer: answerSchema.optional(),
    load: loadSchema,
  }),
  z.strictObject({
    type: z.literal('refused'),
    req: id,
    attempt: z.number().int(),
    reason: z.enum(
      Object.values(RefusalReason) as [RefusalReason, ...RefusalReason[]],
    ),
    load: loadSchema,
  }),
  /**
   * Last message of an agent that stops without running requests. It has started nothing
   * that it did not report to the gate before, and will start nothing more.
   */
  z.strictObject({type: z.literal('farewell')}),
  /** Status of an attempt, in reply to a message about it. */
  z.strictObject({
    type: z.literal('trace'),
    req: id,
    attempt: z.number().int(),
    trace: z.enum(
      Object.values(AttemptStatus) as [AttemptStatus, ...AttemptStatus[]],
    ),
  }),
  /** Sends a whole table, on request or to a gate with an older version. */
  z.strictObject({
    type: z.literal('tableOffer'),
    table: z.enum(['routes', 'pools']),
    version: z.number().int(),
    rows: z.array(z.union([routeSchema, poolSchema])),
  }),
  z.strictObject({
    type: z.literal('fenceAck'),
    pool: id,
    epoch: z.number().int(),
    accepted: z.boolean(),
    shares: z.array(shareReportSchema),
  }),
  z.strictObject({
    type: z.literal('reserveAck'),
    pool: id,
    epoch: z.number().int(),
    gang: id,
    attempt: z.number().int(),
    accepted: z.boolean(),
    reason: z.string(),
  }),
  z.strictObject({
    type: z.literal('shareReport'),
    pool: id,
    epoch: z.number().int(),
    gang: id,
    attempt: z.number().int(),
    state: shareStateSchema,
    answer: answerSchema.optional(),
  }),
  /** Reply to `timelineWant`. */
  z.strictObject({
    type: z.literal('timeline'),
    call: id,
    events: z.array(timelineEventSchema),
  }),
]);
export type AgentMessage = z.infer<typeof agentMessageSchema>;

/** Result of a gang, as the pool owner sends it to the other gates. */
const gangSettlementSchema = z.strictObject({
  outcome: z.enum(['done', 'failed', 'cancelled', 'not_run', 'unknown']),
  answer: answerSchema.optional(),
  reason: z.string().optional(),
  permanent: z.boolean().optional(),
});

export const gateMessageSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('gateHello'),
    process: processRefSchema,
    token: z.string(),
    address: gateAddressSchema,
  }),
  z.strictObject({
    type: z.literal('welcome'),
    process: processRefSchema,
    gates: z.array(gateAddressSchema),
    versions: versionsSchema,
  }),
  z.strictObject({type: z.literal('heartbeat'), versions: versionsSchema}),
  z.strictObject({type: z.literal('gates'), gates: z.array(gateAddressSchema)}),
  z.strictObject({
    type: z.literal('dispatch'),
    req: id,
    attempt: z.number().int(),
    kind: id,
    workspace: id,
    service: id,
    contentType: z.string(),
    body: bytes,
    remainingMs: ms,
  }),
  /** Revokes an attempt: the agent never starts it if it has not started yet. */
  z.strictObject({type: z.literal('seal'), req: id, attempt: z.number().int()}),
  /** Requests the status of an attempt. */
  z.strictObject({
    type: z.literal('inquire'),
    req: id,
    attempt: z.number().int(),
  }),
  z.strictObject({
    type: z.literal('cancel'),
    req: id,
    attempt: z.number().int(),
  }),
  z.strictObject({type: z.literal('ack'), req: id}),
  /** Requests timeline events. */
  z.strictObject({
    type: z.literal('timelineWant'),
    call: id,
    limit: z.number().int(),
    subject: z.string().optional(),
  }),
  /** Requests the current version of a table. */
  z.strictObject({
    type: z.literal('tableWant'),
    table: z.enum(['routes', 'pools']),
  }),
  z.strictObject({
    type: z.literal('tableDelta'),
    table: z.enum(['routes', 'pools']),
    /** Version that the delta applies to; 0 replaces the whole table. */
    from: z.number().int().min(0),
    to: z.number().int().min(0),
    upserts: z.array(z.union([routeSchema, poolSchema])),
    removals: z.array(z.string()),
  }),
  /** Makes the agent reject orders of earlier owners of the pool. */
  z.strictObject({type: z.literal('fence'), pool: id, epoch: z.number().int()}),
  z.strictObject({
    type: z.literal('reserve'),
    pool: id,
    epoch: z.number().int(),
    gang: id,
    attempt: z.number().int(),
    members: z.array(memberSchema),
    holdMs: ms,
  }),
  z.strictObject({
    type: z.literal('start'),
    pool: id,
    epoch: z.number().int(),
    gang: id,
    attempt: z.number().int(),
    kind: id,
    workspace: id,
    contentType: z.string(),
    body: bytes,
    rank: z.number().int(),
    checkpointable: z.boolean(),
  }),
  z.strictObject({
    type: z.literal('stop'),
    pool: id,
    epoch: z.number().int(),
    gang: id,
    attempt: z.number().int(),
    checkpoint: z.boolean(),
  }),
  z.strictObject({
    type: z.literal('confirm'),
    pool: id,
    epoch: z.number().int(),
    /** Gangs of this pool with all members reachable; the agent renews their leases. */
    gangs: z.array(id),
  }),
  /** Notifies the pool owner of an accepted gang; `epoch` is the one the sender knew. */
  z.strictObject({
    type: z.literal('gangWake'),
    pool: id,
    gang: id,
    epoch: z.number().int(),
  }),
  /** Notifies the other gates of the owner of a pool. */
  z.strictObject({
    type: z.literal('poolOwner'),
    pool: id,
    owner: processRefSchema,
    epoch: z.number().int(),
  }),
  z.strictObject({type: z.literal('gangCancel'), pool: id, gang: id}),
  /** Notifies the other gates that a gang has ended. */
  z.strictObject({
    type: z.literal('gangEnd'),
    pool: id,
    gang: id,
    settlement: gangSettlementSchema,
  }),
]);
export type GateMessage = z.infer<typeof gateMessageSchema>;

export type WireMessage = AgentMessage | GateMessage;

/** A message with the hybrid logical timestamp of its sender. */
export interface Envelope<T> {
  readonly stamp: z.infer<typeof stampSchema>;
  readonly body: T;
}
