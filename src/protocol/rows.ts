/** Schemas of the rows stored in the table service. */
import * as z from 'zod';
import {locationSchema, memberSchema, processRefSchema} from './messages.js';
import {cellRequestSchema, poolSchema, routeSchema} from './tables.js';

const version = z.number().int().min(0);

/** Row with both tables. Each table has its own version. */
export const configRowSchema = z.object({
  routes: z.object({version, rows: z.array(routeSchema)}),
  pools: z.object({version, rows: z.array(poolSchema)}),
});

/** Row of one gate, by which the other gates find it. */
export const gateRowSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  link: z.string(),
  http: z.string(),
  place: locationSchema,
  /** Heartbeat counter. */
  beat: z.number(),
  /** True once a graceful stop has begun. */
  stopped: z.boolean(),
});
export type GateRow = z.infer<typeof gateRowSchema>;

const storedAnswerSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

export const storedSettlementSchema = z.object({
  outcome: z.enum(['done', 'failed', 'cancelled', 'not_run', 'unknown']),
  answer: storedAnswerSchema.optional(),
  reason: z.string().optional(),
  permanent: z.boolean().optional(),
});
export type StoredSettlement = z.infer<typeof storedSettlementSchema>;

/** Row that binds an idempotency key to one run. */
export const claimRowSchema = z.object({
  state: z.enum(['open', 'closed', 'ended']),
  hash: z.string(),
  run: z.string(),
  attempt: z.number().int(),
  agent: processRefSchema.optional(),
  /** Time of the change to `closed`, by the clock of the gate that made it, in ms. */
  closedWallMs: z.number().optional(),
  settlement: storedSettlementSchema.optional(),
});

/** Start record of a non-idempotent gang: the members that may have started. */
const startRecordSchema = z.object({
  epoch: z.number().int(),
  attempt: z.number().int(),
  members: z.array(memberSchema),
});

/** Row of one accepted gang. */
export const gangRowSchema = z.object({
  id: z.string(),
  pool: z.string(),
  kind: z.string(),
  workspace: z.string(),
  payloadHash: z.string(),
  shape: z.array(cellRequestSchema),
  class: z.enum(['urgent', 'normal', 'batch']),
  idempotent: z.boolean(),
  preemptible: z.boolean(),
  checkpointable: z.boolean(),
  acceptedWallMs: z.number(),
  deadlineWallMs: z.number(),
  contentType: z.string(),
  bodyBase64: z.string(),
  state: z.enum(['queued', 'ended']),
  /** Start record of the highest attempt that has one. */
  mark: startRecordSchema.optional(),
  settlement: storedSettlementSchema.optional(),
  endedWallMs: z.number().optional(),
});
export type GangRow = z.infer<typeof gangRowSchema>;

/** Row that names the owner of a pool. Orders with an earlier epoch are rejected. */
export const poolOwnerRowSchema = z.object({
  owner: processRefSchema,
  epoch: z.number().int().min(1),
  /** True when the owner has released the pool, so that another gate may take it over. */
  released: z.boolean(),
});
export type PoolOwnerRow = z.infer<typeof poolOwnerRowSchema>;
