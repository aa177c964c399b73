/** Validates a settings file, or a file with one or both tables. */
import {readFileSync} from 'node:fs';
import {type TableSet} from '../core/tables.js';
import {
  checkJsonText,
  findTableFaults,
  createInvalidDocumentError,
  requireValid,
} from '../protocol/document_check.js';
import {settingsSchema} from '../protocol/settings.js';
import {
  poolsTableSchema,
  routesTableSchema,
  tablesSchema,
} from '../protocol/tables.js';

/** Returns a summary of a valid file; otherwise throws an error that lists all faults. */
export function checkFile(file: string): string {
  const text = readFileSync(file, 'utf8');
  if (/"role"\s*:/.test(text)) {
    const settings = requireValid(checkJsonText(text, settingsSchema), file);
    return `${file}: valid settings of ${settings.role} "${settings.id}"`;
  }
  const hasRoutes = /"routes"\s*:/.test(text);
  const hasPools = /"pools"\s*:/.test(text);
  if (hasRoutes && hasPools) return checkTables(file, text);
  if (hasPools) {
    const {pools} = requireValid(checkJsonText(text, poolsTableSchema), file);
    return describeTables(file, {routes: [], pools});
  }
  const {routes} = requireValid(checkJsonText(text, routesTableSchema), file);
  // References to pools cannot be checked without the pools table.
  return `${file}: valid table of ${routes.length} routes`;
}

function checkTables(file: string, text: string): string {
  return describeTables(
    file,
    requireValid(checkJsonText(text, tablesSchema), file),
  );
}

function describeTables(file: string, tables: TableSet): string {
  const faults = findTableFaults(tables);
  if (faults.length > 0) throw createInvalidDocumentError(file, faults);
  return `${file}: valid, ${tables.routes.length} routes and ${tables.pools.length} pools`;
}
