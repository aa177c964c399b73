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
import {checkValue} from '../protocol/check.js';
import {type GangRow, gangRowSchema} from '../protocol/rows.js';
import {loadSettlement} from '../protocol/settlement_codec.js';
import {type RecordStore} from './records.js';
import {type LookUp, type Submission} from './request_service.js';

const ACCEPT_TIMEOUT_MS = 8000;
const READ_TIMEOUT_MS = 2000;
/**
 * Interval at which the row is read while a caller waits, in case no gate reports the
 * end.
 */
const ROW_POLL_MS = 2000;
const UNIQUE_BYTES = 12;
const ID_PATTERN = /^g~([a-z0-9._-]+)~[0-9a-z]+$/;

/** Sends notifications to the owner of a pool, which may be this gate or another one. */
export interface PoolOwners {
  wake(pool: string, gang: string): void;
  cancel(pool: string, gang: string): void;
}

export interface GangServiceParts {
  readonly clock: Clock;
  readonly tables: TableService;
  readonly records: RecordStore;
  readonly owners: PoolOwners;
  /** Why the route's shape can never be placed in its pool; undefined if it can. */
  reasonNeverFits(route: Route, workspace: string): string | undefined;
}

export class GangService {
  constructor(private readonly parts: GangServiceParts) {}

  isGang(id: string): boolean {
    return ID_PATTERN.test(id);
  }

  /** Accepts a gang. The gang is durable once its row is written. */
  async submit(
    submission: Submission,
    route: Route,
    deadlineMs: number,
  ): Promise<string> {
    const id = gangId(route.pool!, submission);
    const neverFits = this.parts.reasonNeverFits(route, submission.workspace);
    const record =
      this.parts.records.get(id) ??
      this.parts.records.add(id, submission.workspace);
    if (neverFits) {
      this.parts.records.settle(id, {
        outcome: 'not_run',
        reason: neverFits,
        permanent: true,
      });
      return id;
    }
    if (record.settlement?.outcome === 'not_run') record.settlement = undefined;
    await this.accept(this.newRow(id, submission, route, deadlineMs), 0);
    return id;
  }

  async lookUp(question: LookUp): Promise<Settlement | undefined> {
    const deadlineMs = this.parts.clock.nowMs() + question.waitMs;
    for (;;) {
      const settlement = await this.readEnd(question);
      const leftMs = deadlineMs - this.parts.clock.nowMs();
      if (settlement || leftMs <= 0) return settlement;
      const record =
        this.parts.records.get(question.id) ??
        this.parts.records.add(question.id, question.workspace);
      await this.parts.records.wait(record, Math.min(leftMs, ROW_POLL_MS));
    }
  }

  /**
   * Asks the pool owner to cancel the gang. Its row contains the outcome once it has
   * ended.
   */
  async cancel(question: LookUp): Promise<Settlement | undefined> {
    const settlement = await this.readEnd(question);
    if (settlement) return settlement;
    this.parts.owners.cancel(poolOfGang(question.id), question.id);
    return undefined;
  }

  private async readEnd(question: LookUp): Promise<Settlement | undefined> {
    const record = this.parts.records.get(question.id);
    if (record && record.workspace !== question.workspace)
      throw notFound(question.id);
    if (record?.settlement) return record.settlement;
    const row = await this.readRow(question.id, record !== undefined);
    if (!row) return undefined;
    if (row.workspace !== question.workspace) throw notFound(question.id);
    return row.state === 'ended' && row.settlement
      ? loadSettlement(row.settlement)
      : undefined;
  }

  /**
   * Reads the row of a gang. If the table service is unavailable and this gate has a
   * record of the gang, returns undefined: the gang counts as not ended.
   */
  private async readRow(
    id: string,
    known: boolean,
  ): Promise<GangRow | undefined> {
    let row: Row | undefined;
    try {
      row = await this.parts.tables.get(
        gangKey(poolOfGang(id), id),
        READ_TIMEOUT_MS,
      );
    } catch (err) {
      if (known) return undefined;
      throw err;
    }
    if (!row && !known) throw notFound(id);
    return row && parseGangRow(row.value);
  }

  private async accept(row: GangRow, expectVersion: number): Promise<void> {
    const key = gangKey(row.pool, row.id);
    let reply;
    try {
      reply = await this.parts.tables.write(
        {key, expectVersion, value: row},
        ACCEPT_TIMEOUT_MS,
      );
    } catch (err) {
      throw new TableServiceError(
        'the table service did not confirm the request, so it may run; ask for its result later or send it again with the same Idempotency-Key',
        {
          cause: err,
          props: {status: 504},
        },
      );
    }
    if (reply.type === 'conflict') return this.onExisting(row, reply.row);
    this.parts.owners.wake(row.pool, row.id);
  }

  /**
   * Handles an idempotency key that was used before: joins the existing gang, or queues
   * it again if it ended without running and may be retried.
   */
  private async onExisting(
    row: GangRow,
    existing: Row | undefined,
  ): Promise<void> {
    const known = existing && parseGangRow(existing.value);
    if (!known) return this.accept(row, 0);
    if (known.payloadHash !== row.payloadHash) {
      throw new KeyReuseError(
        'the idempotency key was used before with another payload; use a new key',
      );
    }
    if (known.state === 'queued') return;
    if (
      known.settlement?.outcome === 'not_run' &&
      !known.settlement.permanent
    ) {
      return this.accept({...row, mark: known.mark}, existing.version);
    }
    this.parts.records.settle(row.id, loadSettlement(known.settlement!));
  }

  private newRow(
    id: string,
    submission: Submission,
    route: Route,
    deadlineMs: number,
  ): GangRow {
    const nowWallMs = this.parts.clock.wallMs();
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

/** Key of the row of a gang. */
export function gangKey(pool: string, id: string): string {
  return `gang/${pool}/${id}`;
}

/** Name of the pool that a gang id contains. */
export function poolOfGang(id: string): string {
  const match = ID_PATTERN.exec(id);
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
      'the row of a gang is damaged; remove it and send the request again',
    );
  return checked.value;
}

/**
 * Makes the id of a gang. With an idempotency key the id is derived from the key, so that
 * repeated submissions get the same id. Without one it is random.
 */
function gangId(pool: string, submission: Submission): string {
  if (!submission.key)
    return `g~${pool}~${randomBytes(UNIQUE_BYTES).toString('hex')}`;
  const text = JSON.stringify([
    submission.workspace,
    submission.kind,
    submission.key,
  ]);
  const digest = createHash('sha256')
    .update(text)
    .digest('hex')
    .slice(0, 2 * UNIQUE_BYTES);
  return `g~${pool}~k${digest}`;
}

function notFound(id: string): Error {
  return new NotFoundError(
    `request "${id}" was not found; check the id and the token that it was submitted with`,
  );
}
