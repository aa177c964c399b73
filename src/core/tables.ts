/** The two tables that operators edit: routes and pools. */
import {type JobClass} from './outcome.js';

/** Locality that the accelerators of one cell require. */
export const ShapeLevel = {
  /** All of one worker. */
  WORKER: 'worker',
  /** Whole workers of one rack. */
  RACK: 'rack',
} as const;
export type ShapeLevel = (typeof ShapeLevel)[keyof typeof ShapeLevel];

/** `count` cells of `accelerators` adjacent accelerators each. */
export interface CellRequest {
  readonly accelerators: number;
  readonly level: ShapeLevel;
  readonly count: number;
}

/** A multiset of cells. */
export type Shape = readonly CellRequest[];

/** One route: how requests of one kind are served. */
export interface Route {
  readonly kind: string;
  readonly service: string;
  readonly pool?: string;
  readonly idempotent: boolean;
  readonly shape?: Shape;
  readonly class: JobClass;
  readonly preemptible: boolean;
  readonly deadlineMs: number;
  readonly checkpointable: boolean;
}

/** Guarantee and limit of one workspace in a pool. */
export interface WorkspaceShare {
  readonly name: string;
  readonly guarantee: Shape;
  /** Maximum number of accelerators in use at once. */
  readonly limit?: number;
}

/** Selects the workers of a pool by location. A missing list matches every worker. */
export interface WorkerSelector {
  readonly dataCentres?: readonly string[];
  readonly racks?: readonly string[];
}

/** One pool: which accelerators each workspace may use. */
export interface Pool {
  readonly name: string;
  /** Worker names; takes precedence over the selector. */
  readonly workers?: readonly string[];
  readonly selector?: WorkerSelector;
  readonly workspaces: readonly WorkspaceShare[];
}

export const TableName = {ROUTES: 'routes', POOLS: 'pools'} as const;
export type TableName = (typeof TableName)[keyof typeof TableName];
export const TABLE_NAMES: readonly TableName[] = [
  TableName.ROUTES,
  TableName.POOLS,
];

export type TableRow = Route | Pool;

/** Version of each table; 0 while none is known. */
export interface Versions {
  readonly routes: number;
  readonly pools: number;
}

export interface TableSet {
  readonly routes: readonly Route[];
  readonly pools: readonly Pool[];
}

/** Returns the key of a row in its table. */
export function rowName(row: TableRow): string {
  return 'kind' in row ? row.kind : row.name;
}

/** Total accelerators that a shape requests. */
export function countAccelerators(shape: Shape): number {
  return shape.reduce((sum, cell) => sum + cell.accelerators * cell.count, 0);
}

/** True when a worker at this location belongs to the pool. */
export function poolIncludes(
  pool: Pool,
  worker: string,
  dataCentre: string,
  rack: string,
): boolean {
  if (pool.workers) return pool.workers.includes(worker);
  const {dataCentres, racks} = pool.selector ?? {};
  if (dataCentres && !dataCentres.includes(dataCentre)) return false;
  return !racks || racks.includes(rack);
}
