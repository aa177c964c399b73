/**
 * Holds the newest tables that a process knows. Versions only go up: an older
 * version never replaces a newer one, wherever it comes from.
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

/** Change of one table between two versions. */
export interface TableDelta {
  readonly table: TableName;
  /** Version that the delta starts from; 0 replaces the whole table. */
  readonly from: number;
  readonly to: number;
  readonly upserts: TableRow[];
  readonly removals: string[];
}

/** What became of a delta or of a whole table. */
export const Adoption = {
  ADOPTED: 'adopted',
  /** Not newer than what is held. */
  STALE: 'stale',
  /** Starts from a version that is not held: the whole table is needed. */
  GAP: 'gap',
} as const;
export type Adoption = (typeof Adoption)[keyof typeof Adoption];

interface HeldTable {
  version: number;
  rows: Map<string, TableRow>;
  /** Rows as text, to see which ones changed. */
  serialised: Map<string, string>;
}

export class ConfigFollower {
  private readonly tables: Readonly<Record<TableName, HeldTable>> = {
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

  /** Adopts a whole table if it is newer; returns what changed. */
  adoptTable(
    table: TableName,
    version: number,
    rows: readonly TableRow[],
  ): TableDelta | undefined {
    const held = this.tables[table];
    if (version <= held.version) return undefined;
    const next = makeTable(version, rows);
    const delta = diffTables(table, held, next);
    Object.assign(held, next);
    return delta;
  }

  /** Adopts a delta if it is newer and follows on from what is held. */
  adoptDelta(delta: TableDelta): Adoption {
    const held = this.tables[delta.table];
    if (delta.to <= held.version) return Adoption.STALE;
    if (delta.from !== 0 && delta.from !== held.version) return Adoption.GAP;
    if (delta.from === 0) {
      held.rows.clear();
      held.serialised.clear();
    }
    for (const name of delta.removals) {
      held.rows.delete(name);
      held.serialised.delete(name);
    }
    for (const row of delta.upserts) setRow(held, row);
    held.version = delta.to;
    return Adoption.ADOPTED;
  }

  /** The whole table as a delta from nothing. */
  wholeTable(table: TableName): TableDelta {
    return {
      table,
      from: 0,
      to: this.tables[table].version,
      upserts: this.rowsOf(table),
      removals: [],
    };
  }

  /** Tables in which the other process is behind this one. */
  tablesBehind(other: Versions): TableName[] {
    return TABLE_NAMES.filter(
      table => other[table] < this.tables[table].version,
    );
  }

  /** Tables in which this process is behind the other one. */
  tablesAhead(other: Versions): TableName[] {
    return TABLE_NAMES.filter(
      table => other[table] > this.tables[table].version,
    );
  }
}

function emptyTable(): HeldTable {
  return {version: 0, rows: new Map(), serialised: new Map()};
}

function makeTable(version: number, rows: readonly TableRow[]): HeldTable {
  const table = emptyTable();
  table.version = version;
  for (const row of rows) setRow(table, row);
  return table;
}

function setRow(table: HeldTable, row: TableRow): void {
  table.rows.set(rowName(row), row);
  table.serialised.set(rowName(row), JSON.stringify(row));
}

function diffTables(
  table: TableName,
  before: HeldTable,
  after: HeldTable,
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
