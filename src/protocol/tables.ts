/** Schemas of the two tables that operators edit. */
import * as z from 'zod';
import {JobClass} from '../core/outcome.js';
import {ShapeLevel} from '../core/tables.js';

/** Longest deadline of a route, in ms: one week. */
const MAX_DEADLINE_MS = 7 * 24 * 3600 * 1000;

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'a name of lower-case letters, digits, ".", "_" and "-", of 1 to 63 characters',
  );

export const cellRequestSchema = z.strictObject({
  accelerators: z.number().int().min(1).max(1024),
  level: z
    .enum([ShapeLevel.WORKER, ShapeLevel.RACK])
    .default(ShapeLevel.WORKER),
  count: z.number().int().min(1).max(1024).default(1),
});

export const routeSchema = z.strictObject({
  kind: name,
  service: name,
  pool: name.optional(),
  idempotent: z.boolean(),
  shape: z.array(cellRequestSchema).min(1).max(16).optional(),
  class: z
    .enum([JobClass.URGENT, JobClass.NORMAL, JobClass.BATCH])
    .default(JobClass.NORMAL),
  preemptible: z.boolean().default(false),
  deadlineMs: z.number().int().min(10).max(MAX_DEADLINE_MS),
  checkpointable: z.boolean().default(false),
});

const workspaceShareSchema = z.strictObject({
  name,
  guarantee: z.array(cellRequestSchema).max(16).default([]),
  limit: z.number().int().min(0).max(1_000_000).optional(),
});

const selectorSchema = z.strictObject({
  dataCentres: z.array(name).min(1).optional(),
  racks: z.array(name).min(1).optional(),
});

export const poolSchema = z
  .strictObject({
    name,
    workers: z.array(name).min(1).optional(),
    selector: selectorSchema.optional(),
    workspaces: z.array(workspaceShareSchema).min(1).max(1000),
  })
  .refine(
    pool => (pool.workers === undefined) !== (pool.selector === undefined),
    {
      message: 'either "workers" or "selector", but not both',
    },
  );

export const routesTableSchema = z.strictObject({
  routes: z.array(routeSchema).max(10_000),
});
export const poolsTableSchema = z.strictObject({
  pools: z.array(poolSchema).max(10_000),
});

/** Document with both tables. */
export const tablesSchema = z.strictObject({
  routes: routesTableSchema.shape.routes,
  pools: poolsTableSchema.shape.pools,
});
