/** Schemas of the rows that the system keeps in the table service. */
import * as z from 'zod';
import {memberSchema, placeSchema, processRefSchema} from './messages.js';
import {cellRequestSchema, poolSchema, routeSchema} from './tables.js';

const version = z.number().int().min(0);

/** Both tables, with a version each. */
export const configRowSchema = z.object({
  routes: z.object({version, rows: z.array(routeSchema)}),
  pools: z.object({version, rows: z.array(poolSchema)}),
});

/** One gate, as it announces itself to the other gates. */
export const gateRowSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  link: z.string(),
  http: z.string(),
  place: placeSchema,
  /** Grows with each heartbeat. */
  beat: z.number(),
  /** True once the gate has stopped on purpose. */
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

/** Binds an idempotency key to one run. */
export const claimRowSchema = z.object({
  state: z.enum(['open', 'closed', 'ended']),
  hash: z.string(),
  run: z.string(),
  attempt: z.number().int(),
  agent: processRefSchema.optional(),
  /** When it was closed, by the clock of the gate that closed it. */
  closedWallMs: z.number().optional(),
  settlement: storedSettlementSchema.optional(),
});

/** Start mark of a gang that is not idempotent: who may have started it. */
const startMarkSchema = z.object({
  epoch: z.number().int(),
  attempt: z.number().int(),
  members: z.array(memberSchema),
});

/** One accepted gang. */
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
  /** Highest attempt whose start mark was written. */
  mark: startMarkSchema.optional(),
  settlement: storedSettlementSchema.optional(),
  endedWallMs: z.number().optional(),
});
export type GangRow = z.infer<typeof gangRowSchema>;

/** Who plans a pool. Its epoch fences earlier owners. */
export const poolOwnerRowSchema = z.object({
  owner: processRefSchema,
  epoch: z.number().int().min(1),
  /** True once the owner has handed the pool over on purpose. */
  released: z.boolean(),
});
export type PoolOwnerRow = z.infer<typeof poolOwnerRowSchema>;
