/** Stand-in of the platform's table service: versioned rows and conditional writes. */
import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import {type StandInFaults, registerFaults, sleep} from './faults.js';

interface StoredRow {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

interface ConditionalWrite {
  readonly key: string;
  readonly expectVersion: number;
  readonly value: unknown;
  readonly guard?: {readonly key: string; readonly version: number};
}

interface RowQuery {
  readonly key?: string | string[];
  readonly prefix?: string;
}

export function makeTableService(): FastifyInstance {
  const http = fastify({bodyLimit: 64 * 1024 * 1024});
  const faults = registerFaults(http);
  const rows = new Map<string, StoredRow>();
  const counts = {reads: 0, batches: 0, writes: 0};

  http.addHook('onRequest', async (req, res) => {
    if (req.url.startsWith('/faults') || req.url.startsWith('/counts')) return;
    if (faults.down) return res.code(503).send({error: 'down'});
    if (faults.slowMs > 0) await sleep(faults.slowMs);
  });
  http.get('/counts', async () => counts);
  http.get<{Querystring: RowQuery}>('/rows', async req => {
    counts.reads++;
    const {key, prefix} = req.query;
    if (typeof key === 'string')
      return {rows: rows.has(key) ? [rows.get(key)] : []};
    return {
      rows: [...rows.values()].filter(row => row.key.startsWith(prefix ?? '')),
    };
  });
  http.get<{Querystring: RowQuery}>('/versions', async req => {
    counts.reads++;
    const keys = [req.query.key ?? []].flat();
    return {versions: keys.map(key => rows.get(key)?.version ?? 0)};
  });
  http.post<{Body: {writes: ConditionalWrite[]}}>(
    '/batch',
    async (req, res) => {
      counts.batches++;
      counts.writes += req.body.writes.length;
      const replies = req.body.writes.map(write => applyWrite(rows, write));
      return dropResponse(faults, res) ?? {replies};
    },
  );
  return http;
}

function applyWrite(rows: Map<string, StoredRow>, write: ConditionalWrite) {
  if (
    write.guard &&
    (rows.get(write.guard.key)?.version ?? 0) !== write.guard.version
  ) {
    return {committed: false, fenced: true, version: 0};
  }
  const row = rows.get(write.key);
  if ((row?.version ?? 0) !== write.expectVersion) {
    return {committed: false, version: row?.version ?? 0, row};
  }
  const version = write.expectVersion + 1;
  if (write.value === null) rows.delete(write.key);
  else rows.set(write.key, {key: write.key, version, value: write.value});
  return {committed: true, version};
}

/** Closes the connection instead of responding while the `loseAnswers` fault is set. */
function dropResponse(
  faults: StandInFaults,
  res: FastifyReply,
): FastifyReply | undefined {
  if (faults.loseAnswers <= 0) return undefined;
  faults.loseAnswers--;
  res.hijack();
  res.raw.destroy();
  return res;
}
