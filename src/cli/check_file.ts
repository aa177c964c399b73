/** Checks a settings file or a file with one or both tables. */
import {readFileSync} from 'node:fs';
import {type TableSet} from '../core/tables.js';
import {
  checkText,
  crossCheck,
  invalidDocument,
  requireValid,
} from '../protocol/check.js';
import {settingsSchema} from '../protocol/settings.js';
import {
  poolsTableSchema,
  routesTableSchema,
  tablesSchema,
} from '../protocol/tables.js';

/** Returns a short description of a valid file; throws an error that names every fault otherwise. */
export function checkFile(file: string): string {
  const text = readFileSync(file, 'utf8');
  if (/"role"\s*:/.test(text)) {
    const settings = requireValid(checkText(text, settingsSchema), file);
    return `${file}: valid settings of ${settings.role} "${settings.id}"`;
  }
  const hasRoutes = /"routes"\s*:/.test(text);
  const hasPools = /"pools"\s*:/.test(text);
  if (hasRoutes && hasPools) return checkBoth(file, text);
  if (hasPools) {
    const {pools} = requireValid(checkText(text, poolsTableSchema), file);
    return report(file, {routes: [], pools});
  }
  const {routes} = requireValid(checkText(text, routesTableSchema), file);
  // Pools are named in the other table, which this file does not hold.
  return `${file}: valid table of ${routes.length} routes`;
}

function checkBoth(file: string, text: string): string {
  return report(file, requireValid(checkText(text, tablesSchema), file));
}

function report(file: string, tables: TableSet): string {
  const faults = crossCheck(tables);
  if (faults.length > 0) throw invalidDocument(file, faults);
  return `${file}: valid, ${tables.routes.length} routes and ${tables.pools.length} pools`;
}
