/** Checks documents and reports every fault with its place and remedy. */
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

/** Accelerators of the largest worker that an agent may have. */
const MAX_ACCELERATORS_PER_WORKER = 16;

/** A parsed document, or the faults that were found in it. */
export type Checked<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly faults: readonly Fault[]};

/** Parses JSON with comments and checks it against a schema. */
export function checkText<T>(text: string, schema: z.ZodType<T>): Checked<T> {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0) {
    return {ok: false, faults: errors.map(err => syntaxFault(text, err))};
  }
  return checkValue(value, schema, parseTree(text), text);
}

/** Checks a parsed value against a schema. */
export function checkValue<T>(
  value: unknown,
  schema: z.ZodType<T>,
  tree?: Node,
  text?: string,
): Checked<T> {
  const result = schema.safeParse(value);
  if (result.success) return {ok: true, value: result.data};
  const faults = result.error.issues.map(issue =>
    schemaFault(issue, value, tree, text),
  );
  return {ok: false, faults};
}

/** Throws one error that lists all faults. */
export function requireValid<T>(checked: Checked<T>, what: string): T {
  if (checked.ok) return checked.value;
  throw invalidDocument(what, checked.faults);
}

/** The error for a document with faults. */
export function invalidDocument(what: string, faults: readonly Fault[]): Error {
  const lines = faults.map(formatFault).join('\n  ');
  return new InvalidDocumentError(
    `${what} has ${faults.length} fault(s); correct them and try again:\n  ${lines}`,
    {props: {status: 422, faults}},
  );
}

/** Parses the routes table from a JSON value. */
export function checkRoutes(value: unknown): Checked<readonly Route[]> {
  const checked = checkValue(value, routesTableSchema);
  return checked.ok ? {ok: true, value: checked.value.routes} : checked;
}

/** Parses the pools table from a JSON value. */
export function checkPools(value: unknown): Checked<readonly Pool[]> {
  const checked = checkValue(value, poolsTableSchema);
  return checked.ok ? {ok: true, value: checked.value.pools} : checked;
}

/** Faults that only show when both tables are seen together. */
export function crossCheck(tables: TableSet): readonly Fault[] {
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
            found: `"${value}" again, first at ${table}[${names.indexOf(value)}]`,
            expected: `each ${field} once`,
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
        expected: 'false, since what was stopped could not be run again',
        remedy: 'make the route idempotent, or set preemptible to false',
      },
    ];
  }
  if (!route.shape && route.pool) {
    return [
      {
        path: `routes[${index}].shape`,
        found: 'a pool but no shape',
        expected: 'both or neither',
        remedy: 'add a shape, or remove the pool for a plain request',
      },
    ];
  }
  if (route.pool && !pools.some(pool => pool.name === route.pool)) {
    const known = pools.map(pool => pool.name).join(', ') || 'none';
    return [
      {
        path,
        found: `"${route.pool}"`,
        expected: `a pool of the pools table (known: ${known})`,
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
  pool.workspaces.forEach((share, i) => {
    const owed = countAccelerators(share.guarantee);
    if (share.limit !== undefined && owed > share.limit) {
      faults.push({
        path: `pools[${index}].workspaces[${i}].limit`,
        found: String(share.limit),
        expected: `at least the guarantee of ${owed} accelerators`,
        remedy: 'raise the limit or lower the guarantee',
      });
    }
  });
  return faults;
}

/** Guarantees that a pool of named workers could not hold even if each were the largest possible. */
function capacityFaults(pool: Pool, index: number): readonly Fault[] {
  if (!pool.workers) return [];
  const most = pool.workers.length * MAX_ACCELERATORS_PER_WORKER;
  const owed = pool.workspaces.reduce(
    (sum, share) => sum + countAccelerators(share.guarantee),
    0,
  );
  if (owed <= most) return [];
  return [
    {
      path: `pools[${index}].workspaces`,
      found: `guarantees of ${owed} accelerators together`,
      expected: `at most ${most}, for ${pool.workers.length} workers`,
      remedy: 'lower the guarantees or add workers to the pool',
    },
  ];
}

function sharedWorkerFaults(pools: readonly Pool[]): readonly Fault[] {
  const owner = new Map<string, string>();
  const faults: Fault[] = [];
  pools.forEach((pool, i) => {
    (pool.workers ?? []).forEach((worker, j) => {
      const other = owner.get(worker);
      if (other !== undefined && other !== pool.name) {
        faults.push({
          path: `pools[${i}].workers[${j}]`,
          found: `"${worker}", which pool "${other}" has too`,
          expected: 'each worker in one pool',
          remedy: 'remove the worker from one of the two pools',
        });
      }
      owner.set(worker, pool.name);
    });
  });
  return faults;
}

function syntaxFault(text: string, err: ParseError): Fault {
  return {
    path: '(document)',
    line: lineAt(text, err.offset),
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
  const path = issue.path.map(part =>
    typeof part === 'number' ? part : String(part),
  );
  return {
    path: formatPath(path) || '(document)',
    line: tree && text ? lineOf(tree, text, path) : undefined,
    found: describe(valueAt(root, path), issue),
    expected: issue.message,
    remedy: remedyFor(issue),
  };
}

function remedyFor(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') {
    return `remove or rename ${issue.keys.map(k => `"${k}"`).join(', ')}`;
  }
  return 'change the value';
}

function describe(value: unknown, issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys')
    return `unknown ${issue.keys.join(', ')}`;
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > 60 ? `${text.slice(0, 57)}...` : text;
}

function valueAt(root: unknown, path: readonly (string | number)[]): unknown {
  return path.reduce<unknown>(
    (value, part) =>
      value !== null && typeof value === 'object'
        ? (value as Record<string | number, unknown>)[part]
        : undefined,
    root,
  );
}

function formatPath(path: readonly (string | number)[]): string {
  return path
    .map((part, i) =>
      typeof part === 'number' ? `[${part}]` : i === 0 ? part : `.${part}`,
    )
    .join('');
}

/** Line of the value at a path, or of its nearest parent that exists. */
function lineOf(
  tree: Node,
  text: string,
  path: readonly (string | number)[],
): number {
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node) return lineAt(text, node.offset);
  }
  return 1;
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
