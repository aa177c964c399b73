/** Reads and writes the gang rows of one pool for the pool owner. */
import {type Settlement} from '../core/outcome.js';
import {type RowReply} from '../planning/coordinator_messages.js';
import {type StartRecord} from '../planning/gang_spec.js';
import {type RowGuard, type TableService} from '../ports/table_service.js';
import {type GangRow} from '../protocol/rows.js';
import {
  decodeSettlement,
  encodeSettlement,
} from '../protocol/settlement_codec.js';
import {gangKey, parseGangRow} from './gang_service.js';

const WRITE_TIMEOUT_MS = 4000;
const READ_TIMEOUT_MS = 4000;
/**
 * Time for which writing the end of a gang is retried while the table service is
 * unavailable.
 */
const RECORD_END_TIMEOUT_MS = 15 * 60_000;
const RECORD_END_ATTEMPTS = 3;
/**
 * Retention time of the row of an ended gang, so that callers can still read its outcome.
 */
const ENDED_RETENTION_MS = 60 * 60_000;
const MAX_REMOVALS_PER_SCAN = 50;

export interface VersionedGangRow {
  readonly row: GangRow;
  readonly version: number;
}

export class GangRows {
  private readonly unfinished = new Map<string, GangRow>();

  constructor(
    private readonly pool: string,
    private readonly tables: TableService,
    private readonly wallMs: () => number,
  ) {}

  /** Last known row of a gang that has not ended. */
  get(gang: string): GangRow | undefined {
    return this.unfinished.get(gang);
  }

  /**
   * Reads the row of one gang. Returns undefined if there is none or the gang has ended.
   */
  async read(gang: string): Promise<VersionedGangRow | undefined> {
    const row = await this.tables.get(
      gangKey(this.pool, gang),
      READ_TIMEOUT_MS,
    );
    return row && this.storeUnfinished(row.value, row.version);
  }

  /**
   * Reads all gangs of the pool that have not ended. Removes ended rows past their
   * retention.
   */
  async scan(): Promise<VersionedGangRow[]> {
    const rows = await this.tables.scan(
      gangKey(this.pool, ''),
      READ_TIMEOUT_MS,
    );
    await this.removeExpired(rows);
    return rows.flatMap(
      ({value, version}) => this.storeUnfinished(value, version) ?? [],
    );
  }

  async writeStartRecord(
    gang: string,
    expectVersion: number,
    startRecord: StartRecord,
    guard: RowGuard,
  ): Promise<RowReply> {
    const row = this.unfinished.get(gang)!;
    return this.write({...row, mark: startRecord}, expectVersion, guard);
  }

  async writeEnd(
    gang: string,
    expectVersion: number,
    settlement: Settlement,
    guard: RowGuard,
  ): Promise<RowReply> {
    return this.write(this.endedRow(gang, settlement), expectVersion, guard);
  }

  /** Writes the end of a gang whose outcome the callers have received already. */
  async recordEnd(
    gang: string,
    expectVersion: number,
    settlement: Settlement,
  ): Promise<void> {
    const value = this.endedRow(gang, settlement);
    this.unfinished.delete(gang);
    const key = gangKey(this.pool, gang);
    for (let attempt = 0; attempt < RECORD_END_ATTEMPTS; attempt++) {
      const reply = await this.tables.write(
        {key, expectVersion, value},
        RECORD_END_TIMEOUT_MS,
      );
      if (reply.type !== 'conflict' || !reply.row) return;
      if (parseGangRow(reply.row.value).state === 'ended') return;
      expectVersion = reply.row.version;
    }
  }

  private async write(
    row: GangRow,
    expectVersion: number,
    guard: RowGuard,
  ): Promise<RowReply> {
    try {
      const reply = await this.tables.write(
        {key: gangKey(this.pool, row.id), expectVersion, value: row, guard},
        WRITE_TIMEOUT_MS,
      );
      if (reply.type === 'fenced') return {type: 'conflict'};
      if (reply.type === 'conflict')
        return conflictReply(reply.row && parseGangRow(reply.row.value));
      if (row.state === 'ended') this.unfinished.delete(row.id);
      else this.unfinished.set(row.id, row);
      return reply;
    } catch {
      return {type: 'unavailable'};
    }
  }

  private endedRow(gang: string, settlement: Settlement): GangRow {
    const row = this.unfinished.get(gang)!;
    return {
      ...row,
      state: 'ended',
      bodyBase64: '',
      settlement: encodeSettlement(settlement),
      endedWallMs: this.wallMs(),
    };
  }

  private storeUnfinished(
    value: unknown,
    version: number,
  ): VersionedGangRow | undefined {
    const row = parseGangRow(value);
    if (row.state === 'ended') return undefined;
    this.unfinished.set(row.id, row);
    return {row, version};
  }

  private async removeExpired(
    rows: readonly {
      readonly key: string;
      readonly version: number;
      readonly value: unknown;
    }[],
  ): Promise<void> {
    const cutoffWallMs = this.wallMs() - ENDED_RETENTION_MS;
    const expired = rows.filter(
      r => (parseGangRow(r.value).endedWallMs ?? Infinity) < cutoffWallMs,
    );
    for (const {key, version} of expired.slice(0, MAX_REMOVALS_PER_SCAN)) {
      await this.tables.write(
        {key, expectVersion: version, value: undefined},
        WRITE_TIMEOUT_MS,
      );
    }
  }
}

function conflictReply(row: GangRow | undefined): RowReply {
  if (row?.state === 'ended')
    return {type: 'ended', settlement: decodeSettlement(row.settlement!)};
  return {type: 'conflict'};
}
