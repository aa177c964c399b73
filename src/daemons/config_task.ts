/**
 * Polls the configuration in the table service, sends changes to agents and other gates,
 * and applies operators' edits.
 */
import {
  AdoptionResult,
  ConfigFollower,
  type TableDelta,
} from '../core/config_follower.js';
import {
  BadRequestError,
  EditConflictError,
  TableServiceError,
} from '../core/errors.js';
import {type ProcessRef} from '../core/ids.js';
import {Task, type Mailbox} from '../core/task.js';
import {
  type Pool,
  type Route,
  TABLE_NAMES,
  TableName,
  type TableRow,
  type TableSet,
  type Versions,
} from '../core/tables.js';
import {type Row, type TableService} from '../ports/table_service.js';
import {
  type CheckResult,
  checkPoolsTable,
  checkRoutesTable,
  checkValue,
  findTableFaults,
  createInvalidDocumentError,
  requireValid,
} from '../protocol/document_check.js';
import {type GateMessage} from '../protocol/messages.js';
import {configRowSchema} from '../protocol/rows.js';
import {type GateSettings} from '../protocol/settings.js';
import {type Logger} from '../plugins/logger_factory.js';
import {type GateLinkEvent, type GateSend} from './gate_events.js';
import {type ProcessContext} from './process_context.js';

export const CONFIG_KEY = 'config';
const READ_TIMEOUT_MS = 2000;
const EDIT_TIMEOUT_MS = 8000;

/** Both tables as stored in the table service. */
interface ConfigRow {
  readonly routes: {readonly version: number; readonly rows: readonly Route[]};
  readonly pools: {readonly version: number; readonly rows: readonly Pool[]};
}

const EMPTY_CONFIG: ConfigRow = {
  routes: {version: 0, rows: []},
  pools: {version: 0, rows: []},
};

/** Called whenever a table has changed. */
export type ConfigListener = (table: TableName) => void;

export class ConfigTask extends Task<GateLinkEvent> {
  readonly follower = new ConfigFollower();
  private readonly listeners: ConfigListener[] = [];
  private readonly agentVersions = new Map<string, Versions>();
  private rowVersion = 0;
  private isPolling = false;
  private lastPollMs = -Infinity;
  private isReachable = true;
  private readonly log: Logger;

  constructor(
    private readonly ctx: ProcessContext,
    private readonly settings: GateSettings,
    private readonly tables: TableService,
    private readonly links: Mailbox<GateSend>,
  ) {
    super();
    this.log = ctx.logs.create('config');
  }

  onChange(listener: ConfigListener): void {
    this.listeners.push(listener);
  }

  /** Versions that each connected agent last reported. */
  versionsOfAgents(): {agent: string; versions: Versions}[] {
    return [...this.agentVersions].map(([agent, versions]) => ({
      agent,
      versions,
    }));
  }

  protected receive(event: GateLinkEvent): void {
    switch (event.type) {
      case 'agentUp':
        return this.onAgentVersions(event.agent, event.versions);
      case 'agentDown':
        this.agentVersions.delete(event.agent.id);
        return;
      case 'agentMessage':
        if (event.body.type === 'heartbeat')
          this.onAgentVersions(event.agent, event.body.versions);
        if (event.body.type === 'tableOffer')
          this.adopt(
            event.body.table,
            event.body.version,
            event.body.rows as TableRow[],
          );
        return;
      case 'gateMessage':
        return this.onGateMessage(event.gate, event.body);
      case 'tick':
        return this.pollWhenDue();
      default:
        return;
    }
  }

  /** Replaces one table if its version is still `expected`. Returns the new version. */
  async edit(
    table: TableName,
    expected: number,
    document: unknown,
  ): Promise<number> {
    const rows = requireValid<readonly TableRow[]>(
      checkTable(table, document),
      `the ${table} table`,
    );
    for (;;) {
      const row = await this.readConfigRow(EDIT_TIMEOUT_MS);
      const current = parseConfigRow(row);
      const currentVersion = current[table].version;
      if (currentVersion !== expected)
        throw editConflict(table, expected, currentVersion);
      const next = {
        ...current,
        [table]: {version: currentVersion + 1, rows},
      } as ConfigRow;
      const faults = findTableFaults(tableSetOf(next));
      if (faults.length > 0)
        throw createInvalidDocumentError(`the ${table} table`, faults);
      const reply = await this.tables.write(
        {key: CONFIG_KEY, expectVersion: row?.version ?? 0, value: next},
        EDIT_TIMEOUT_MS,
      );
      if (reply.type === 'committed') {
        this.log.info(
          `Accepted version ${currentVersion + 1} of table ${table}.`,
        );
        this.adoptConfig(next, reply.version);
        return currentVersion + 1;
      }
    }
  }

  private pollWhenDue(): void {
    const nowMs = this.ctx.clock.nowMs();
    if (
      this.isPolling ||
      nowMs - this.lastPollMs < this.settings.times.configPollMs
    )
      return;
    this.lastPollMs = nowMs;
    this.isPolling = true;
    void this.poll().finally(() => {
      this.isPolling = false;
    });
  }

  private async poll(): Promise<void> {
    try {
      const [version] = await this.tables.versions(
        [CONFIG_KEY],
        READ_TIMEOUT_MS,
      );
      if (version > this.rowVersion) {
        const row = await this.readConfigRow(READ_TIMEOUT_MS);
        if (row) this.adoptConfig(parseConfigRow(row), row.version);
      }
      this.updateReachable(true);
    } catch {
      this.updateReachable(false);
    }
  }

  private updateReachable(reachable: boolean): void {
    if (reachable === this.isReachable) return;
    this.isReachable = reachable;
    const text = reachable
      ? 'table service answers again'
      : 'table service does not answer';
    this.ctx.timeline.add('config', text);
    if (reachable) this.log.info('The table service answers again.');
    else
      this.log.warn(
        'The table service does not answer; the last known configuration remains in use.',
      );
  }

  private readConfigRow(timeoutMs: number): Promise<Row | undefined> {
    return this.tables.get(CONFIG_KEY, timeoutMs);
  }

  private adoptConfig(config: ConfigRow, rowVersion: number): void {
    this.rowVersion = Math.max(this.rowVersion, rowVersion);
    for (const table of TABLE_NAMES)
      this.adopt(table, config[table].version, config[table].rows);
  }

  private adopt(
    table: TableName,
    version: number,
    rows: readonly TableRow[],
  ): void {
    const delta = this.follower.adoptTable(table, version, rows);
    if (!delta) return;
    this.ctx.timeline.add('config', `version ${version} of ${table} in force`);
    this.links.post({type: 'toAllAgents', body: deltaMessage(delta)});
    for (const listener of this.listeners) listener(table);
  }

  private onAgentVersions(agent: ProcessRef, versions: Versions): void {
    this.agentVersions.set(agent.id, versions);
    for (const table of this.follower.tablesNewerThan(versions)) {
      this.links.post({
        type: 'toAgent',
        agent,
        body: deltaMessage(this.follower.wholeTable(table)),
      });
    }
    for (const table of this.follower.tablesOlderThan(versions)) {
      this.links.post({
        type: 'toAgent',
        agent,
        body: {type: 'tableWant', table},
      });
    }
  }

  private onGateMessage(gate: ProcessRef, body: GateMessage): void {
    if (body.type === 'heartbeat') {
      for (const table of this.follower.tablesOlderThan(body.versions)) {
        this.links.post({
          type: 'toGate',
          gate: gate.id,
          body: {type: 'tableWant', table},
        });
      }
    }
    if (body.type === 'tableWant') {
      this.links.post({
        type: 'toGate',
        gate: gate.id,
        body: deltaMessage(this.follower.wholeTable(body.table)),
      });
    }
    if (body.type === 'tableDelta') this.onTableDelta(body);
  }

  private onTableDelta(body: Extract<GateMessage, {type: 'tableDelta'}>): void {
    if (body.from === 0)
      return this.adopt(body.table, body.to, body.upserts as TableRow[]);
    const adoption = this.follower.adoptDelta(body as TableDelta);
    if (adoption === AdoptionResult.ADOPTED)
      for (const listener of this.listeners) listener(body.table);
  }
}

function deltaMessage(delta: TableDelta): GateMessage {
  return {type: 'tableDelta', ...delta} as GateMessage;
}

function parseConfigRow(row: Row | undefined): ConfigRow {
  if (!row) return EMPTY_CONFIG;
  const checked = checkValue(row.value, configRowSchema);
  if (!checked.ok)
    throw new TableServiceError(
      'the configuration row is corrupted; restore it from a backup of both tables',
    );
  return checked.value as ConfigRow;
}

function tableSetOf(config: ConfigRow): TableSet {
  return {routes: config.routes.rows, pools: config.pools.rows};
}

function checkTable(
  table: TableName,
  document: unknown,
): CheckResult<readonly TableRow[]> {
  return table === TableName.ROUTES
    ? checkRoutesTable(document)
    : checkPoolsTable(document);
}

function editConflict(
  table: TableName,
  expected: number,
  currentVersion: number,
): Error {
  return new EditConflictError(
    `the ${table} table is at version ${currentVersion}, but the edit is based on version ${expected}; read the table again, repeat the edit and send it with If-Match: "${currentVersion}"`,
  );
}

/** Parses the version in an `If-Match` header. */
export function parseIfMatch(header: string | undefined): number {
  const match = /^"?(\d+)"?$/.exec(header ?? '');
  if (match) return Number(match[1]);
  throw new BadRequestError(
    'expected an If-Match header with the version that the edit is based on, such as "7"; read the table and send its ETag',
    {props: {status: 428}},
  );
}
