/** Reads and writes the gang rows of one pool for the pool owner. */
import {type Settlement} from '../core/outcome.js';
import {type RowReply} from '../planning/coordinator_messages.js';
import {type StartMark} from '../planning/gang_spec.js';
import {type RowGuard, type TableService} from '../ports/table_service.js';
import {type GangRow} from '../protocol/rows.js';
import {loadSettlement, storeSettlement} from '../protocol/settlement_codec.js';
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
const KEEP_ENDED_MS = 60 * 60_000;
const REMOVALS_PER_SCAN = 50;

export interface HeldRow {
  readonly row: GangRow;
  readonly version: number;
}

export class GangRows {
  private readonly held = new Map<string, GangRow>();

  constructor(
    private readonly pool: string,
    private readonly tables: TableService,
    private readonly wallMs: () => number,
  ) {}

  /** Last known row of a gang that has not ended. */
  get(gang: string): GangRow | undefined {
    return this.held.get(gang);
  }

  /**
   * Reads the row of one gang. Returns undefined if there is none or the gang has ended.
   */
  async read(gang: string): Promise<HeldRow | undefined> {
    const row = await this.tables.get(
      gangKey(this.pool, gang),
      READ_TIMEOUT_MS,
    );
    return row && this.hold(row.value, row.version);
  }

  /**
   * Reads all gangs of the pool that have not ended. Removes ended rows past their
   * retention.
   */
  async scan(): Promise<HeldRow[]> {
    const rows = await this.tables.scan(
      gangKey(this.pool, ''),
      READ_TIMEOUT_MS,
    );
    await this.removeOld(rows);
    return rows.flatMap(({value, version}) => this.hold(value, version) ?? []);
  }

  async writeMark(
    gang: string,
    expectVersion: number,
    mark: StartMark,
    guard: RowGuard,
  ): Promise<RowReply> {
    const row = this.held.get(gang)!;
    return this.write({...row, mark}, expectVersion, guard);
  }

  async writeEnd(
    gang: string,
    expectVersion: number,
    settlement: Settlement,
    guard: RowGuard,
  ): Promise<RowReply> {
    return this.write(this.ended(gang, settlement), expectVersion, guard);
  }

  /** Writes the end of a gang whose outcome the callers have received already. */
  async recordEnd(
    gang: string,
    expectVersion: number,
    settlement: Settlement,
  ): Promise<void> {
    const value = this.ended(gang, settlement);
    this.held.delete(gang);
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
      if (row.state === 'ended') this.held.delete(row.id);
      else this.held.set(row.id, row);
      return reply;
    } catch {
      return {type: 'unavailable'};
    }
  }

  private ended(gang: string, settlement: Settlement): GangRow {
    const row = this.held.get(gang)!;
    return {
      ...row,
      state: 'ended',
      bodyBase64: '',
      settlement: storeSettlement(settlement),
      endedWallMs: this.wallMs(),
    };
  }

  private hold(value: unknown, version: number): HeldRow | undefined {
    const row = parseGangRow(value);
    if (row.state === 'ended') return undefined;
    this.held.set(row.id, row);
    return {row, version};
  }

  private async removeOld(
    rows: readonly {
      readonly key: string;
      readonly version: number;
      readonly value: unknown;
    }[],
  ): Promise<void> {
    const limitMs = this.wallMs() - KEEP_ENDED_MS;
    const old = rows.filter(
      r => (parseGangRow(r.value).endedWallMs ?? Infinity) < limitMs,
    );
    for (const {key, version} of old.slice(0, REMOVALS_PER_SCAN)) {
      await this.tables.write(
        {key, expectVersion: version, value: undefined},
        WRITE_TIMEOUT_MS,
      );
    }
  }
}

function conflictReply(row: GangRow | undefined): RowReply {
  if (row?.state === 'ended')
    return {type: 'ended', settlement: loadSettlement(row.settlement!)};
  return {type: 'conflict'};
}
