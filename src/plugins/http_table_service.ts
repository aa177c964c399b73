/** Table service over HTTP, with group commit and resolution of lost answers. */
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

const CONNECTIONS = 4;
/** Longest wait for one answer of the service. */
const CALL_TIMEOUT_MS = 1500;
const BACKOFF_BASE_MS = 20;
const BACKOFF_CAP_MS = 1000;
const MAX_BATCH = 100;
/** Ids of the newest writes that each row carries. */
const WRITE_IDS_KEPT = 16;

/** Rows whose newest write ids are kept in memory. */
const MAX_SEEN_ROWS = 10_000;

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

/** Ids of the newest writes of a row, as of one version. */
interface SeenIds {
  readonly version: number;
  readonly ids: readonly string[];
}

/** A write that waits for its turn in a batch. */
interface Waiting {
  readonly write: RowWrite;
  readonly id: string;
  readonly deadlineMs: number;
  /** Ids of earlier writes of the row, as far as they are known. */
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
  private readonly seenIds = new Map<string, SeenIds>();
  private waiting: Waiting[] = [];
  private flushing = false;
  private closed = false;
  private nextId = 0;
  private readonly idPrefix: string;
  private readonly total = {reads: 0, writes: 0, failures: 0};

  constructor(options: TableServiceOptions) {
    super();
    this.http = new Pool(options.address, {connections: CONNECTIONS});
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
    return rows.length > 0 ? this.publicRow(rows[0]) : undefined;
  }

  async scan(prefix: string, timeoutMs: number): Promise<Row[]> {
    const {rows} = await this.read(
      `/rows?prefix=${encodeURIComponent(prefix)}`,
      rowsSchema,
      timeoutMs,
    );
    return rows.map(row => this.publicRow(row));
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
      this.waiting.push({
        write,
        id: `${this.idPrefix}${this.nextId++}`,
        deadlineMs: this.clock.nowMs() + timeoutMs,
        earlierIds: this.idsBefore(write),
        attempt: 0,
        resolve,
        reject,
      });
      if (!this.flushing) void this.flush();
    });
  }

  counts() {
    return {...this.total};
  }

  async close(): Promise<void> {
    this.closed = true;
    await this.http.destroy();
  }

  /** Sends waiting writes in batches, one batch in flight at a time. */
  private async flush(): Promise<void> {
    this.flushing = true;
    await Promise.resolve();
    while (this.waiting.length > 0 && !this.closed) {
      const batch = takeBatch(this.waiting);
      this.waiting = this.waiting.filter(w => !batch.includes(w));
      await this.sendBatch(batch);
    }
    this.flushing = false;
  }

  private async sendBatch(batch: readonly Waiting[]): Promise<void> {
    const live = batch.filter(w => !this.rejectIfLate(w));
    if (live.length === 0) return;
    try {
      await this.takeToken(
        this.writes,
        Math.min(...live.map(w => w.deadlineMs)),
      );
      const writes = live.map(w => ({
        key: w.write.key,
        expectVersion: w.write.expectVersion,
        guard: w.write.guard,
        value: w.write.value === undefined ? null : storedValue(w),
      }));
      this.total.writes++;
      const body = await this.call(
        'POST',
        '/batch',
        JSON.stringify({writes}),
        CALL_TIMEOUT_MS,
      );
      const {replies} = repliesSchema.parse(body);
      live.forEach((w, i) => this.onReply(w, replies[i]));
    } catch {
      this.total.failures++;
      for (const w of live) void this.resolveLost(w);
    }
  }

  private onReply(
    waiting: Waiting,
    reply: z.infer<typeof repliesSchema>['replies'][number],
  ): void {
    if (reply.committed) {
      const ids = [waiting.id, ...waiting.earlierIds];
      this.rememberIds(waiting.write.key, reply.version, ids);
      return waiting.resolve({type: 'committed', version: reply.version});
    }
    if (reply.fenced) return waiting.resolve({type: 'fenced'});
    this.onOtherRow(waiting, reply.row ?? undefined);
  }

  /** The row is not as expected: either this very write was taken before, or another was. */
  private onOtherRow(waiting: Waiting, row?: StoredRow): void {
    const at = row ? row.value.writes.indexOf(waiting.id) : -1;
    if (row && at >= 0)
      return waiting.resolve({type: 'committed', version: row.version - at});
    waiting.resolve({type: 'conflict', row: row && this.publicRow(row)});
  }

  /** The answer to a write was lost: reads the row to see whether it was taken. */
  private async resolveLost(waiting: Waiting): Promise<void> {
    const delayMs = backoffMs(
      this.random,
      waiting.attempt++,
      BACKOFF_BASE_MS,
      BACKOFF_CAP_MS,
    );
    await sleep(delayMs);
    if (this.rejectIfLate(waiting)) return;
    try {
      const path = `/rows?key=${encodeURIComponent(waiting.write.key)}`;
      const {rows} = await this.read(
        path,
        rowsSchema,
        waiting.deadlineMs - this.clock.nowMs(),
      );
      const row = rows.at(0);
      if ((row?.version ?? 0) !== waiting.write.expectVersion)
        return this.onOtherRow(waiting, row);
      this.waiting.push(waiting);
      if (!this.flushing) void this.flush();
    } catch {
      await this.resolveLost(waiting);
    }
  }

  private rejectIfLate(waiting: Waiting): boolean {
    if (!this.closed && this.clock.nowMs() < waiting.deadlineMs) return false;
    waiting.reject(
      new TableServiceError(
        `no answer from the table service for the write of "${waiting.write.key}"; it may or may not have been taken; try again later`,
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
        await this.takeToken(this.reads, deadlineMs);
        this.total.reads++;
        const leftMs = Math.max(1, deadlineMs - this.clock.nowMs());
        return schema.parse(
          await this.call(
            'GET',
            path,
            undefined,
            Math.min(CALL_TIMEOUT_MS, leftMs),
          ),
        );
      } catch (err) {
        this.total.failures++;
        const delayMs = backoffMs(
          this.random,
          attempt,
          BACKOFF_BASE_MS,
          BACKOFF_CAP_MS,
        );
        if (this.closed || this.clock.nowMs() + delayMs >= deadlineMs) {
          throw new TableServiceError(
            'the table service can not be read; try again later',
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

  private async takeToken(
    bucket: TokenBucket,
    deadlineMs: number,
  ): Promise<void> {
    while (!bucket.tryTake(this.clock.nowMs())) {
      const waitMs = bucket.waitMs(this.clock.nowMs());
      if (this.clock.nowMs() + waitMs > deadlineMs) {
        throw new TableServiceError(
          'the cap on calls to the table service is reached; try again later or raise limits.tableReadsPerS or limits.tableWritesPerS',
        );
      }
      await sleep(Math.max(1, waitMs));
    }
  }

  private publicRow(row: StoredRow): Row {
    this.rememberIds(row.key, row.version, row.value.writes);
    return {key: row.key, version: row.version, value: row.value.data};
  }

  /** Write ids of the row version that a write is conditional on. */
  private idsBefore(write: RowWrite): readonly string[] {
    const seen = this.seenIds.get(write.key);
    return seen?.version === write.expectVersion ? seen.ids : [];
  }

  private rememberIds(
    key: string,
    version: number,
    ids: readonly string[],
  ): void {
    this.seenIds.delete(key);
    this.seenIds.set(key, {version, ids: ids.slice(0, WRITE_IDS_KEPT)});
    if (this.seenIds.size > MAX_SEEN_ROWS) {
      const [oldest] = this.seenIds.keys();
      this.seenIds.delete(oldest);
    }
  }
}

function storedValue(waiting: Waiting) {
  const writes = [waiting.id, ...waiting.earlierIds].slice(0, WRITE_IDS_KEPT);
  return {writes, data: waiting.write.value};
}

/** Takes writes for one batch; two writes of one row go into two batches. */
function takeBatch(waiting: readonly Waiting[]): Waiting[] {
  const keys = new Set<string>();
  const batch: Waiting[] = [];
  for (const w of waiting) {
    if (batch.length >= MAX_BATCH) break;
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
