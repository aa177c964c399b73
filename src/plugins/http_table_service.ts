/**
 * Client of the table service over HTTP. Sends writes in batches (group commit). If the
 * response to a write is lost, reads the row to find out whether the write was applied.
 */
import {Pool} from 'undici';
import * as z from 'zod';
import {Clock} from '../core/clock.js';
import {TableServiceError} from '../core/errors.js';
import {type Kernel, type Plugin} from '../core/kernel.js';
import {Random, backoffMs} from '../core/random.js';
import {TokenBucket} from '../core/token_bucket.js';
import {
  type Row,
  type RowWrite,
  TABLE_SERVICE,
  TableService,
  type TableServiceOptions,
  type WriteReply,
} from '../ports/table_service.js';
import {SystemClock} from './system_clock.js';
import {sleep} from './sleep.js';

const MAX_CONNECTIONS = 4;
/** Timeout of one HTTP call. */
const CALL_TIMEOUT_MS = 1500;
const BACKOFF_BASE_MS = 20;
const BACKOFF_CAP_MS = 1000;
const MAX_BATCH_WRITES = 100;
/**
 * Number of recent write ids stored with each row. They show whether a write without a
 * response was applied.
 */
const WRITE_IDS_PER_ROW = 16;

/** Number of rows whose recent write ids are cached. */
const MAX_CACHED_ROWS = 10_000;

const storedValueSchema = z.object({
  writes: z.array(z.string()),
  data: z.unknown(),
});
const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: storedValueSchema,
});
const rowsSchema = z.object({rows: z.array(rowSchema)});
const versionsSchema = z.object({versions: z.array(z.number())});
const repliesSchema = z.object({
  replies: z.array(
    z.object({
      committed: z.boolean(),
      fenced: z.boolean().optional(),
      version: z.number(),
      row: rowSchema.nullish(),
    }),
  ),
});
type StoredRow = z.infer<typeof rowSchema>;

/** Ids of the recent writes of a row at one version, newest first. */
interface CachedWriteIds {
  readonly version: number;
  readonly ids: readonly string[];
}

/** A write whose result is not yet known. */
interface PendingWrite {
  readonly write: RowWrite;
  readonly id: string;
  readonly deadlineMs: number;
  /** Ids of the preceding writes of the row, newest first; empty if not cached. */
  earlierIds: readonly string[];
  attempt: number;
  resolve(reply: WriteReply): void;
  reject(err: Error): void;
}

export class HttpTableService extends TableService {
  private readonly http: Pool;
  private readonly random: Random;
  private readonly reads: TokenBucket;
  private readonly writes: TokenBucket;
  private readonly clock: Clock = new SystemClock();
  private readonly cachedWriteIds = new Map<string, CachedWriteIds>();
  private pendingWrites: PendingWrite[] = [];
  private isFlushing = false;
  private isClosed = false;
  private nextId = 0;
  private readonly idPrefix: string;
  private readonly callCounts = {reads: 0, writes: 0, failures: 0};

  constructor(options: TableServiceOptions) {
    super();
    this.http = new Pool(options.address, {connections: MAX_CONNECTIONS});
    this.random = new Random(options.seed);
    this.reads = new TokenBucket(options.readsPerS, options.readsPerS);
    this.writes = new TokenBucket(options.writesPerS, options.writesPerS);
    this.idPrefix = `${options.process}.`;
  }

  async get(key: string, timeoutMs: number): Promise<Row | undefined> {
    const {rows} = await this.read(
      `/rows?key=${encodeURIComponent(key)}`,
      rowsSchema,
      timeoutMs,
    );
    return rows.length > 0 ? this.toRow(rows[0]) : undefined;
  }

  async scan(prefix: string, timeoutMs: number): Promise<Row[]> {
    const {rows} = await this.read(
      `/rows?prefix=${encodeURIComponent(prefix)}`,
      rowsSchema,
      timeoutMs,
    );
    return rows.map(row => this.toRow(row));
  }

  async versions(
    keys: readonly string[],
    timeoutMs: number,
  ): Promise<number[]> {
    const query = keys.map(key => `key=${encodeURIComponent(key)}`).join('&');
    const {versions} = await this.read(
      `/versions?${query}`,
      versionsSchema,
      timeoutMs,
    );
    return versions;
  }

  write(write: RowWrite, timeoutMs: number): Promise<WriteReply> {
    return new Promise((resolve, reject) => {
      this.pendingWrites.push({
        write,
        id: `${this.idPrefix}${this.nextId++}`,
        deadlineMs: this.clock.nowMs() + timeoutMs,
        earlierIds: this.earlierIdsOf(write),
        attempt: 0,
        resolve,
        reject,
      });
      if (!this.isFlushing) void this.flush();
    });
  }

  counts() {
    return {...this.callCounts};
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await this.http.destroy();
  }

  /** Sends pending writes in batches, one batch at a time. */
  private async flush(): Promise<void> {
    this.isFlushing = true;
    await Promise.resolve();
    while (this.pendingWrites.length > 0 && !this.isClosed) {
      const batch = takeBatch(this.pendingWrites);
      this.pendingWrites = this.pendingWrites.filter(w => !batch.includes(w));
      await this.sendBatch(batch);
    }
    this.isFlushing = false;
  }

  private async sendBatch(batch: readonly PendingWrite[]): Promise<void> {
    const unexpired = batch.filter(w => !this.rejectIfExpired(w));
    if (unexpired.length === 0) return;
    try {
      await this.acquireToken(
        this.writes,
        Math.min(...unexpired.map(w => w.deadlineMs)),
      );
      const writes = unexpired.map(w => ({
        key: w.write.key,
        expectVersion: w.write.expectVersion,
        guard: w.write.guard,
        value: w.write.value === undefined ? null : toStoredValue(w),
      }));
      this.callCounts.writes++;
      const body = await this.call(
        'POST',
        '/batch',
        JSON.stringify({writes}),
        CALL_TIMEOUT_MS,
      );
      const {replies} = repliesSchema.parse(body);
      unexpired.forEach((w, i) => this.onReply(w, replies[i]));
    } catch {
      this.callCounts.failures++;
      for (const w of unexpired) void this.resolveUnknownOutcome(w);
    }
  }

  private onReply(
    pending: PendingWrite,
    reply: z.infer<typeof repliesSchema>['replies'][number],
  ): void {
    if (reply.committed) {
      const ids = [pending.id, ...pending.earlierIds];
      this.cacheWriteIds(pending.write.key, reply.version, ids);
      return pending.resolve({type: 'committed', version: reply.version});
    }
    if (reply.fenced) return pending.resolve({type: 'fenced'});
    this.onVersionMismatch(pending, reply.row ?? undefined);
  }

  /**
   * Handles a row that is not at the expected version. Its write ids show whether an
   * earlier attempt of this write was applied, or another write came first.
   */
  private onVersionMismatch(pending: PendingWrite, row?: StoredRow): void {
    const index = row ? row.value.writes.indexOf(pending.id) : -1;
    if (row && index >= 0)
      return pending.resolve({type: 'committed', version: row.version - index});
    pending.resolve({type: 'conflict', row: row && this.toRow(row)});
  }

  /** Reads the row of a write without a response; resends it if it was not applied. */
  private async resolveUnknownOutcome(pending: PendingWrite): Promise<void> {
    const delayMs = backoffMs(
      this.random,
      pending.attempt++,
      BACKOFF_BASE_MS,
      BACKOFF_CAP_MS,
    );
    await sleep(delayMs);
    if (this.rejectIfExpired(pending)) return;
    try {
      const path = `/rows?key=${encodeURIComponent(pending.write.key)}`;
      const {rows} = await this.read(
        path,
        rowsSchema,
        pending.deadlineMs - this.clock.nowMs(),
      );
      const row = rows.at(0);
      if ((row?.version ?? 0) !== pending.write.expectVersion)
        return this.onVersionMismatch(pending, row);
      this.pendingWrites.push(pending);
      if (!this.isFlushing) void this.flush();
    } catch {
      await this.resolveUnknownOutcome(pending);
    }
  }

  private rejectIfExpired(pending: PendingWrite): boolean {
    if (!this.isClosed && this.clock.nowMs() < pending.deadlineMs) return false;
    pending.reject(
      new TableServiceError(
        `the table service did not answer the write of "${pending.write.key}", which may or may not have been applied; try again later`,
      ),
    );
    return true;
  }

  private async read<T>(
    path: string,
    schema: z.ZodType<T>,
    timeoutMs: number,
  ): Promise<T> {
    const deadlineMs = this.clock.nowMs() + timeoutMs;
    for (let attempt = 0; ; attempt++) {
      try {
        await this.acquireToken(this.reads, deadlineMs);
        this.callCounts.reads++;
        const remainingMs = Math.max(1, deadlineMs - this.clock.nowMs());
        return schema.parse(
          await this.call(
            'GET',
            path,
            undefined,
            Math.min(CALL_TIMEOUT_MS, remainingMs),
          ),
        );
      } catch (err) {
        this.callCounts.failures++;
        const delayMs = backoffMs(
          this.random,
          attempt,
          BACKOFF_BASE_MS,
          BACKOFF_CAP_MS,
        );
        if (this.isClosed || this.clock.nowMs() + delayMs >= deadlineMs) {
          throw new TableServiceError(
            'cannot read from the table service; try again later',
            {cause: err},
          );
        }
        await sleep(delayMs);
      }
    }
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<unknown> {
    const res = await this.http.request({
      method,
      path,
      body,
      headers: body ? {'content-type': 'application/json'} : {},
      signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
    });
    const text = await res.body.text();
    if (res.statusCode !== 200)
      throw new TableServiceError(
        `the table service answered with status ${res.statusCode}; try again later`,
      );
    return JSON.parse(text);
  }

  private async acquireToken(
    bucket: TokenBucket,
    deadlineMs: number,
  ): Promise<void> {
    while (!bucket.tryTake(this.clock.nowMs())) {
      const waitMs = bucket.waitMs(this.clock.nowMs());
      if (this.clock.nowMs() + waitMs > deadlineMs) {
        throw new TableServiceError(
          'the rate limit of calls to the table service is reached; try again later or raise limits.tableReadsPerS or limits.tableWritesPerS',
        );
      }
      await sleep(Math.max(1, waitMs));
    }
  }

  private toRow(row: StoredRow): Row {
    this.cacheWriteIds(row.key, row.version, row.value.writes);
    return {key: row.key, version: row.version, value: row.value.data};
  }

  /** Cached write ids of the row version that a write expects. */
  private earlierIdsOf(write: RowWrite): readonly string[] {
    const cached = this.cachedWriteIds.get(write.key);
    return cached?.version === write.expectVersion ? cached.ids : [];
  }

  private cacheWriteIds(
    key: string,
    version: number,
    ids: readonly string[],
  ): void {
    this.cachedWriteIds.delete(key);
    this.cachedWriteIds.set(key, {
      version,
      ids: ids.slice(0, WRITE_IDS_PER_ROW),
    });
    if (this.cachedWriteIds.size > MAX_CACHED_ROWS) {
      const [oldest] = this.cachedWriteIds.keys();
      this.cachedWriteIds.delete(oldest);
    }
  }
}

function toStoredValue(pending: PendingWrite) {
  const writes = [pending.id, ...pending.earlierIds].slice(
    0,
    WRITE_IDS_PER_ROW,
  );
  return {writes, data: pending.write.value};
}

/** Selects the writes of the next batch, at most one for each row. */
function takeBatch(pendingWrites: readonly PendingWrite[]): PendingWrite[] {
  const keys = new Set<string>();
  const batch: PendingWrite[] = [];
  for (const w of pendingWrites) {
    if (batch.length >= MAX_BATCH_WRITES) break;
    if (keys.has(w.write.key)) continue;
    keys.add(w.write.key);
    batch.push(w);
  }
  return batch;
}

export const httpTableServicePlugin: Plugin = {
  register(kernel: Kernel) {
    kernel.provide(
      TABLE_SERVICE,
      'http',
      options => new HttpTableService(options),
    );
  },
};
