/** Validates documents. Reports every fault with its path and remedy. */
import {
  type Node,
  findNodeAtLocation,
  parse,
  parseTree,
  printParseErrorCode,
  type ParseError,
} from 'jsonc-parser';
import * as z from 'zod';
import {type Fault, InvalidDocumentError, formatFault} from '../core/errors.js';
import {
  type Pool,
  type Route,
  type TableSet,
  countAccelerators,
} from '../core/tables.js';
import {poolsTableSchema, routesTableSchema} from './tables.js';

/** Largest number of accelerators of one worker. */
const MAX_ACCELERATORS_PER_WORKER = 16;

/** A valid document, or the faults of an invalid one. */
export type CheckResult<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly faults: readonly Fault[]};

/** Parses JSON with comments and validates it against a schema. */
export function checkJsonText<T>(
  text: string,
  schema: z.ZodType<T>,
): CheckResult<T> {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0) {
    return {ok: false, faults: errors.map(err => syntaxFault(text, err))};
  }
  return checkValue(value, schema, parseTree(text), text);
}

/**
 * Validates a parsed value against a schema. `tree` and `text` belong to the source file
 * and give the line of each fault; both are absent for a document sent over HTTP.
 */
export function checkValue<T>(
  value: unknown,
  schema: z.ZodType<T>,
  tree?: Node,
  text?: string,
): CheckResult<T> {
  const result = schema.safeParse(value);
  if (result.success) return {ok: true, value: result.data};
  const faults = result.error.issues.map(issue =>
    schemaFault(issue, value, tree, text),
  );
  return {ok: false, faults};
}

/** Returns the value of a valid document, or throws an error that lists all faults. */
export function requireValid<T>(
  checked: CheckResult<T>,
  documentName: string,
): T {
  if (checked.ok) return checked.value;
  throw createInvalidDocumentError(documentName, checked.faults);
}

/** Creates an error that lists the faults of a document. */
export function createInvalidDocumentError(
  documentName: string,
  faults: readonly Fault[],
): Error {
  const lines = faults.map(formatFault).join('\n  ');
  return new InvalidDocumentError(
    `${documentName} has ${faults.length} fault(s); correct them and try again:\n  ${lines}`,
    {props: {status: 422, faults}},
  );
}

/** Validates the routes table, given as a parsed JSON value. */
export function checkRoutesTable(
  value: unknown,
): CheckResult<readonly Route[]> {
  const checked = checkValue(value, routesTableSchema);
  return checked.ok ? {ok: true, value: checked.value.routes} : checked;
}

/** Validates the pools table, given as a parsed JSON value. */
export function checkPoolsTable(value: unknown): CheckResult<readonly Pool[]> {
  const checked = checkValue(value, poolsTableSchema);
  return checked.ok ? {ok: true, value: checked.value.pools} : checked;
}

/** Finds faults that a schema cannot express, such as references between tables. */
export function findTableFaults(tables: TableSet): readonly Fault[] {
  return [
    ...duplicateFaults(
      'routes',
      tables.routes.map(r => r.kind),
      'kind',
    ),
    ...duplicateFaults(
      'pools',
      tables.pools.map(p => p.name),
      'name',
    ),
    ...tables.routes.flatMap((route, i) => routeFaults(route, i, tables.pools)),
    ...tables.pools.flatMap((pool, i) => poolFaults(pool, i)),
    ...sharedWorkerFaults(tables.pools),
  ];
}

function duplicateFaults(
  table: string,
  names: readonly string[],
  field: string,
): readonly Fault[] {
  return names.flatMap((value, i) =>
    names.indexOf(value) === i
      ? []
      : [
          {
            path: `${table}[${i}].${field}`,
            found: `duplicate "${value}", first used at ${table}[${names.indexOf(value)}]`,
            expected: `a unique ${field}`,
            remedy: 'remove or rename one of the two entries',
          },
        ],
  );
}

function routeFaults(
  route: Route,
  index: number,
  pools: readonly Pool[],
): readonly Fault[] {
  const path = `routes[${index}].pool`;
  if (route.shape && !route.pool) {
    return [
      {
        path,
        found: 'no pool',
        expected: 'a pool, since the route has a shape',
        remedy: 'name the pool whose accelerators the gang uses',
      },
    ];
  }
  if (route.preemptible && !route.idempotent) {
    return [
      {
        path: `routes[${index}].preemptible`,
        found: 'true for a route that is not idempotent',
        expected: 'false, since a preempted run cannot be repeated',
        remedy: 'make the route idempotent, or set preemptible to false',
      },
    ];
  }
  if (!route.shape && route.pool) {
    return [
      {
        path: `routes[${index}].shape`,
        found: 'a pool but no shape',
        expected: 'a shape and a pool, or neither',
        remedy: 'add a shape, or remove the pool if the requests are not gangs',
      },
    ];
  }
  if (route.pool && !pools.some(pool => pool.name === route.pool)) {
    const known = pools.map(pool => pool.name).join(', ') || 'none';
    return [
      {
        path,
        found: `"${route.pool}"`,
        expected: `the name of a pool in the pools table (known: ${known})`,
        remedy: 'add the pool first, or correct the name',
      },
    ];
  }
  return [];
}

function poolFaults(pool: Pool, index: number): readonly Fault[] {
  const names = pool.workspaces.map(w => w.name);
  const faults = [
    ...duplicateFaults(`pools[${index}].workspaces`, names, 'name'),
  ];
  faults.push(...capacityFaults(pool, index));
  pool.workspaces.forEach((workspace, i) => {
    const guaranteedCount = countAccelerators(workspace.guarantee);
    if (workspace.limit !== undefined && guaranteedCount > workspace.limit) {
      faults.push({
        path: `pools[${index}].workspaces[${i}].limit`,
        found: String(workspace.limit),
        expected: `at least the guarantee of ${guaranteedCount} accelerators`,
        remedy: 'raise the limit or lower the guarantee',
      });
    }
  });
  return faults;
}

/** Checks the guarantees of a pool of named workers against its largest possible size. */
function capacityFaults(pool: Pool, index: number): readonly Fault[] {
  if (!pool.workers) return [];
  const maxAccelerators = pool.workers.length * MAX_ACCELERATORS_PER_WORKER;
  const guaranteedCount = pool.workspaces.reduce(
    (sum, workspace) => sum + countAccelerators(workspace.guarantee),
    0,
  );
  if (guaranteedCount <= maxAccelerators) return [];
  return [
    {
      path: `pools[${index}].workspaces`,
      found: `guarantees of ${guaranteedCount} accelerators in total`,
      expected: `at most ${maxAccelerators}, for ${pool.workers.length} workers`,
      remedy: 'lower the guarantees or add workers to the pool',
    },
  ];
}

function sharedWorkerFaults(pools: readonly Pool[]): readonly Fault[] {
  const poolByWorker = new Map<string, string>();
  const faults: Fault[] = [];
  pools.forEach((pool, i) => {
    (pool.workers ?? []).forEach((worker, j) => {
      const otherPool = poolByWorker.get(worker);
      if (otherPool !== undefined && otherPool !== pool.name) {
        faults.push({
          path: `pools[${i}].workers[${j}]`,
          found: `"${worker}", which is also in pool "${otherPool}"`,
          expected: 'each worker in at most one pool',
          remedy: 'remove the worker from one of the two pools',
        });
      }
      poolByWorker.set(worker, pool.name);
    });
  });
  return faults;
}

function syntaxFault(text: string, err: ParseError): Fault {
  return {
    path: '(document)',
    line: lineAtOffset(text, err.offset),
    found: printParseErrorCode(err.error),
    expected: 'JSON, comments allowed',
    remedy: 'correct the syntax at this line',
  };
}

function schemaFault(
  issue: z.core.$ZodIssue,
  root: unknown,
  tree?: Node,
  text?: string,
): Fault {
  const path = issue.path.map(segment =>
    typeof segment === 'number' ? segment : String(segment),
  );
  return {
    path: formatPath(path) || '(document)',
    line: tree && text ? lineOfPath(tree, text, path) : undefined,
    found: describeFound(valueAt(root, path), issue),
    expected: issue.message,
    remedy: remedyOf(issue),
  };
}

function remedyOf(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') {
    return `remove or rename ${issue.keys.map(k => `"${k}"`).join(', ')}`;
  }
  return 'change the value';
}

function describeFound(value: unknown, issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys')
    return `unknown ${issue.keys.join(', ')}`;
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > 60 ? `${text.slice(0, 57)}...` : text;
}

function valueAt(root: unknown, path: readonly (string | number)[]): unknown {
  return path.reduce<unknown>(
    (value, segment) =>
      value !== null && typeof value === 'object'
        ? (value as Record<string | number, unknown>)[segment]
        : undefined,
    root,
  );
}

function formatPath(path: readonly (string | number)[]): string {
  return path
    .map((segment, i) =>
      typeof segment === 'number'
        ? `[${segment}]`
        : i === 0
          ? segment
          : `.${segment}`,
    )
    .join('');
}

/** Line of the value at a path, or of its nearest existing parent. */
function lineOfPath(
  tree: Node,
  text: string,
  path: readonly (string | number)[],
): number {
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node) return lineAtOffset(text, node.offset);
  }
  return 1;
}

function lineAtOffset(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
