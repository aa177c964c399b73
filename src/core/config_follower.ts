/**
 * Stores the newest tables that a process has received. Versions never decrease: an
 * older version does not replace a newer one, whichever process it comes from.
 */
import {
  type Pool,
  type Route,
  TABLE_NAMES,
  TableName,
  type TableRow,
  type TableSet,
  type Versions,
  rowName,
} from './tables.js';

/** Changes of one table between two versions. */
export interface TableDelta {
  readonly table: TableName;
  /** Version that the delta applies to; 0 replaces the whole table. */
  readonly from: number;
  readonly to: number;
  readonly upserts: TableRow[];
  readonly removals: string[];
}

/** Result of applying a delta. */
export const AdoptionResult = {
  ADOPTED: 'adopted',
  /** Not newer than the current version. */
  STALE: 'stale',
  /** Applies to a version other than the current one: the whole table is needed. */
  GAP: 'gap',
} as const;
export type AdoptionResult =
  (typeof AdoptionResult)[keyof typeof AdoptionResult];

interface TableState {
  version: number;
  rows: Map<string, TableRow>;
  /** Rows as JSON, to detect which ones changed. */
  serialised: Map<string, string>;
}

export class ConfigFollower {
  private readonly tables: Readonly<Record<TableName, TableState>> = {
    routes: emptyTable(),
    pools: emptyTable(),
  };

  get versions(): Versions {
    return {
      routes: this.tables.routes.version,
      pools: this.tables.pools.version,
    };
  }

  get tableSet(): TableSet {
    return {
      routes: [...this.tables.routes.rows.values()] as Route[],
      pools: [...this.tables.pools.rows.values()] as Pool[],
    };
  }

  rowsOf(table: TableName): TableRow[] {
    return [...this.tables[table].rows.values()];
  }

  route(kind: string): Route | undefined {
    return this.tables.routes.rows.get(kind) as Route | undefined;
  }

  pool(name: string): Pool | undefined {
    return this.tables.pools.rows.get(name) as Pool | undefined;
  }

  /** Adopts a whole table if it is newer; returns the changes, or undefined if not. */
  adoptTable(
    table: TableName,
    version: number,
    rows: readonly TableRow[],
  ): TableDelta | undefined {
    const current = this.tables[table];
    if (version <= current.version) return undefined;
    const next = makeTable(version, rows);
    const delta = diffTables(table, current, next);
    Object.assign(current, next);
    return delta;
  }

  /** Adopts a delta if it is newer and applies to the current version. */
  adoptDelta(delta: TableDelta): AdoptionResult {
    const current = this.tables[delta.table];
    if (delta.to <= current.version) return AdoptionResult.STALE;
    if (delta.from !== 0 && delta.from !== current.version)
      return AdoptionResult.GAP;
    if (delta.from === 0) {
      current.rows.clear();
      current.serialised.clear();
    }
    for (const name of delta.removals) {
      current.rows.delete(name);
      current.serialised.delete(name);
    }
    for (const row of delta.upserts) setRow(current, row);
    current.version = delta.to;
    return AdoptionResult.ADOPTED;
  }

  /** Returns the whole table as a delta from version 0. */
  wholeTable(table: TableName): TableDelta {
    return {
      table,
      from: 0,
      to: this.tables[table].version,
      upserts: this.rowsOf(table),
      removals: [],
    };
  }

  /** Returns the tables of which this process has a newer version than the other. */
  tablesNewerThan(other: Versions): TableName[] {
    return TABLE_NAMES.filter(
      table => other[table] < this.tables[table].version,
    );
  }

  /** Returns the tables of which the other process has a newer version. */
  tablesOlderThan(other: Versions): TableName[] {
    return TABLE_NAMES.filter(
      table => other[table] > this.tables[table].version,
    );
  }
}

function emptyTable(): TableState {
  return {version: 0, rows: new Map(), serialised: new Map()};
}

function makeTable(version: number, rows: readonly TableRow[]): TableState {
  const table = emptyTable();
  table.version = version;
  for (const row of rows) setRow(table, row);
  return table;
}

function setRow(table: TableState, row: TableRow): void {
  table.rows.set(rowName(row), row);
  table.serialised.set(rowName(row), JSON.stringify(row));
}

function diffTables(
  table: TableName,
  before: TableState,
  after: TableState,
): TableDelta {
  const upserts = [...after.rows]
    .filter(
      ([name]) => before.serialised.get(name) !== after.serialised.get(name),
    )
    .map(([, row]) => row);
  const removals = [...before.rows.keys()].filter(
    name => !after.rows.has(name),
  );
  return {table, from: before.version, to: after.version, upserts, removals};
}
