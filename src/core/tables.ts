/** The two tables that operators edit: routes and pools. */
import {type JobClass} from './outcome.js';

/** Where the accelerators of one cell must lie together. */
export const ShapeLevel = {
  /** All in one worker. */
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

/** One route: which kind of request goes where, and how. */
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

/** What one workspace may use of a pool. */
export interface WorkspaceShare {
  readonly name: string;
  readonly guarantee: Shape;
  /** Most accelerators in use at once. */
  readonly limit?: number;
}

/** Chooses the workers of a pool by where they are. */
export interface WorkerSelector {
  readonly dataCentres?: readonly string[];
  readonly racks?: readonly string[];
}

/** One pool: which accelerators each workspace may use. */
export interface Pool {
  readonly name: string;
  readonly workers?: readonly string[];
  readonly selector?: WorkerSelector;
  readonly workspaces: readonly WorkspaceShare[];
}

/** Names of the two tables. */
export const TableName = {ROUTES: 'routes', POOLS: 'pools'} as const;
export type TableName = (typeof TableName)[keyof typeof TableName];
export const TABLE_NAMES: readonly TableName[] = [
  TableName.ROUTES,
  TableName.POOLS,
];

export type TableRow = Route | Pool;

/** Version of each table; 0 when none is known. */
export interface Versions {
  readonly routes: number;
  readonly pools: number;
}

/** Both tables together. */
export interface TableSet {
  readonly routes: readonly Route[];
  readonly pools: readonly Pool[];
}

/** Name that a row is known by in its table. */
export function rowName(row: TableRow): string {
  return 'kind' in row ? row.kind : row.name;
}

/** Accelerators asked for by a shape, all cells together. */
export function countAccelerators(shape: Shape): number {
  return shape.reduce((sum, cell) => sum + cell.accelerators * cell.count, 0);
}

/** True when a pool takes in a worker at this place. */
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
