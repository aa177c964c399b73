/** Accepts gangs by writing their rows, and returns their outcomes to callers. */
import {createHash, randomBytes} from 'node:crypto';
import {type Clock} from '../core/clock.js';
import {
  KeyReuseError,
  LagoonError,
  NotFoundError,
  TableServiceError,
} from '../core/errors.js';
import {type Settlement} from '../core/outcome.js';
import {type Route} from '../core/tables.js';
import {type Row, type TableService} from '../ports/table_service.js';
import {checkValue} from '../protocol/document_check.js';
import {type GangRow, gangRowSchema} from '../protocol/rows.js';
import {decodeSettlement} from '../protocol/settlement_codec.js';
import {type RecordStore} from './record_store.js';
import {type RequestLookup, type Submission} from './request_service.js';

const ACCEPT_TIMEOUT_MS = 8000;
const READ_TIMEOUT_MS = 2000;
/**
 * Interval at which the row is read while a caller waits, in case no gate reports the
 * end.
 */
const ROW_POLL_INTERVAL_MS = 2000;
const ID_RANDOM_BYTES = 12;
const GANG_ID_PATTERN = /^g~([a-z0-9._-]+)~[0-9a-z]+$/;

/** Sends notifications to the owner of a pool, which may be this gate or another one. */
export interface PoolOwnerNotifier {
  notifyAccepted(pool: string, gang: string): void;
  cancel(pool: string, gang: string): void;
}

export interface GangServiceDependencies {
  readonly clock: Clock;
  readonly tables: TableService;
  readonly records: RecordStore;
  readonly poolOwners: PoolOwnerNotifier;
  /** Why the route's shape can never be placed in its pool; undefined if it can. */
  explainUnplaceable(route: Route, workspace: string): string | undefined;
}

export class GangService {
  constructor(private readonly deps: GangServiceDependencies) {}

  isGangId(id: string): boolean {
    return GANG_ID_PATTERN.test(id);
  }

  /** Accepts a gang. The gang is durable once its row is written. */
  async submit(
    submission: Submission,
    route: Route,
    deadlineMs: number,
  ): Promise<string> {
    const id = makeGangId(route.pool!, submission);
    const unplaceableReason = this.deps.explainUnplaceable(
      route,
      submission.workspace,
    );
    const record =
      this.deps.records.get(id) ??
      this.deps.records.add(id, submission.workspace);
    if (unplaceableReason) {
      this.deps.records.settle(id, {
        outcome: 'not_run',
        reason: unplaceableReason,
        permanent: true,
      });
      return id;
    }
    if (record.settlement?.outcome === 'not_run') record.settlement = undefined;
    await this.writeAccepted(
      this.makeRow(id, submission, route, deadlineMs),
      0,
    );
    return id;
  }

  async lookUp(lookup: RequestLookup): Promise<Settlement | undefined> {
    const deadlineMs = this.deps.clock.nowMs() + lookup.waitMs;
    for (;;) {
      const settlement = await this.readSettlement(lookup);
      const leftMs = deadlineMs - this.deps.clock.nowMs();
      if (settlement || leftMs <= 0) return settlement;
      const record =
        this.deps.records.get(lookup.id) ??
        this.deps.records.add(lookup.id, lookup.workspace);
      await this.deps.records.wait(
        record,
        Math.min(leftMs, ROW_POLL_INTERVAL_MS),
      );
    }
  }

  /**
   * Asks the pool owner to cancel the gang. The row of the gang contains the outcome once
   * it has ended.
   */
  async cancel(lookup: RequestLookup): Promise<Settlement | undefined> {
    const settlement = await this.readSettlement(lookup);
    if (settlement) return settlement;
    this.deps.poolOwners.cancel(poolOfGang(lookup.id), lookup.id);
    return undefined;
  }

  private async readSettlement(
    lookup: RequestLookup,
  ): Promise<Settlement | undefined> {
    const record = this.deps.records.get(lookup.id);
    if (record && record.workspace !== lookup.workspace)
      throw notFound(lookup.id);
    if (record?.settlement) return record.settlement;
    const row = await this.readRow(lookup.id, record !== undefined);
    if (!row) return undefined;
    if (row.workspace !== lookup.workspace) throw notFound(lookup.id);
    return row.state === 'ended' && row.settlement
      ? decodeSettlement(row.settlement)
      : undefined;
  }

  /**
   * Reads the row of a gang. If the table service is unavailable and this gate has a
   * record of the gang, returns undefined: the gang counts as not ended.
   */
  private async readRow(
    id: string,
    hasRecord: boolean,
  ): Promise<GangRow | undefined> {
    let row: Row | undefined;
    try {
      row = await this.deps.tables.get(
        gangKey(poolOfGang(id), id),
        READ_TIMEOUT_MS,
      );
    } catch (err) {
      if (hasRecord) return undefined;
      throw err;
    }
    if (!row && !hasRecord) throw notFound(id);
    return row && parseGangRow(row.value);
  }

  private async writeAccepted(
    row: GangRow,
    expectVersion: number,
  ): Promise<void> {
    const key = gangKey(row.pool, row.id);
    let reply;
    try {
      reply = await this.deps.tables.write(
        {key, expectVersion, value: row},
        ACCEPT_TIMEOUT_MS,
      );
    } catch (err) {
      throw new TableServiceError(
        'the table service did not confirm the request, so it may still run; ask for its result later or send it again with the same Idempotency-Key',
        {
          cause: err,
          props: {status: 504},
        },
      );
    }
    if (reply.type === 'conflict') return this.handleConflict(row, reply.row);
    this.deps.poolOwners.notifyAccepted(row.pool, row.id);
  }

  /**
   * Handles an idempotency key that was used before: joins the existing gang, or queues
   * it again if it ended without running and may be retried.
   */
  private async handleConflict(
    row: GangRow,
    existing: Row | undefined,
  ): Promise<void> {
    const existingRow = existing && parseGangRow(existing.value);
    if (!existingRow) return this.writeAccepted(row, 0);
    if (existingRow.payloadHash !== row.payloadHash) {
      throw new KeyReuseError(
        'the idempotency key was used before with another payload; use a new key',
      );
    }
    if (existingRow.state === 'queued') return;
    if (
      existingRow.settlement?.outcome === 'not_run' &&
      !existingRow.settlement.permanent
    ) {
      return this.writeAccepted(
        {...row, mark: existingRow.mark},
        existing.version,
      );
    }
    this.deps.records.settle(row.id, decodeSettlement(existingRow.settlement!));
  }

  private makeRow(
    id: string,
    submission: Submission,
    route: Route,
    deadlineMs: number,
  ): GangRow {
    const nowWallMs = this.deps.clock.wallMs();
    return {
      id,
      pool: route.pool!,
      kind: route.kind,
      workspace: submission.workspace,
      payloadHash: submission.payloadHash,
      shape: [...route.shape!],
      class: route.class,
      idempotent: route.idempotent,
      preemptible: route.preemptible,
      checkpointable: route.checkpointable,
      acceptedWallMs: nowWallMs,
      deadlineWallMs: nowWallMs + deadlineMs,
      contentType: submission.contentType,
      bodyBase64: Buffer.from(submission.body).toString('base64'),
      state: 'queued',
    };
  }
}

/** Returns the key of the row of a gang. */
export function gangKey(pool: string, id: string): string {
  return `gang/${pool}/${id}`;
}

/** Returns the name of the pool, which is part of the gang id. */
export function poolOfGang(id: string): string {
  const match = GANG_ID_PATTERN.exec(id);
  if (!match)
    throw new LagoonError(
      `"${id}" is not the id of a gang; send the id from the Location header`,
      {props: {status: 404}},
    );
  return match[1];
}

export function parseGangRow(value: unknown): GangRow {
  const checked = checkValue(value, gangRowSchema);
  if (!checked.ok)
    throw new TableServiceError(
      'the row of a gang is corrupted; remove it and send the request again',
    );
  return checked.value;
}

/**
 * Creates the id of a gang. With an idempotency key the id is derived from the key, so
 * that repeated submissions get the same id. Without one it is random.
 */
function makeGangId(pool: string, submission: Submission): string {
  if (!submission.key)
    return `g~${pool}~${randomBytes(ID_RANDOM_BYTES).toString('hex')}`;
  const text = JSON.stringify([
    submission.workspace,
    submission.kind,
    submission.key,
  ]);
  const digest = createHash('sha256')
    .update(text)
    .digest('hex')
    .slice(0, 2 * ID_RANDOM_BYTES);
  return `g~${pool}~k${digest}`;
}

function notFound(id: string): Error {
  return new NotFoundError(
    `request "${id}" was not found; check the id and the token that it was submitted with`,
  );
}
