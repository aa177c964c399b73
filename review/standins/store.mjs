/* global Buffer, URL, clearTimeout, performance, setTimeout */
/**
 * Stand-in of the platform's metadata store: rows, transactions and the change feed as
 * PROTOCOL.md describes them. It serves on a loopback address and has no faults of its own.
 */
import {createServer} from 'node:http';
import {readJson, sendJson, sleep} from './http.mjs';

/** Duration of a transaction, in ms; those of one part run one after another. */
const TX_MS = 5;
/** Queueing time of a part above which it answers 429, in ms. */
const MAX_QUEUE_MS = 1000;
const MAX_PAGE_ROWS = 500;
/** Tables that only the operator and the workers write. */
const FOREIGN_TABLES = new Set(['op', 'servers']);

export class Store {
  #rows = new Map();
  #history = [];
  #version = 0;
  #waiters = new Set();
  #partFreeAtMs = new Map();
  #server = createServer((req, res) => void this.#onRequest(req, res));

  /** Serves on a free port of the host; resolves with the address. */
  async start(host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row of the operator. */
  putOperatorRow(key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#apply([{table: 'op', part: '', key, value: text}], []);
  }

  async #onRequest(req, res) {
    const url = new URL(req.url, 'http://store');
    const body = req.method === 'POST' ? await readJson(req) : undefined;
    if (url.pathname === '/lagoonshunt/rows-tx') await this.#onTx(body, res);
    else if (url.pathname === '/lagoonshunt/rows-get')
      this.#onGet(url.searchParams, res);
    else if (url.pathname === '/lagoonshunt/rows-feed')
      await this.#onFeed(url.searchParams, res);
    else sendJson(res, 404, {});
  }

  async #onTx(body, res) {
    const expected = body['expected-rev'] ?? [];
    const puts = body['set-keys'] ?? [];
    const removes = body.remove ?? [];
    const all = [...expected, ...puts, ...removes];
    const parts = new Set(all.map(r => r.part ?? ''));
    if (all.length === 0 || all.length > 100 || parts.size > 1)
      return sendJson(res, 400, {});
    if ([...puts, ...removes].some(r => FOREIGN_TABLES.has(r.table)))
      return sendJson(res, 403, {});
    const [part] = parts;
    const nowMs = performance.now();
    const startMs = Math.max(nowMs, this.#partFreeAtMs.get(part) ?? 0);
    if (startMs - nowMs > MAX_QUEUE_MS) return sendJson(res, 429, {});
    this.#partFreeAtMs.set(part, startMs + TX_MS);
    await sleep(startMs + TX_MS - nowMs);
    const isCurrent = expected.every(
      r => (this.#rows.get(idOf(r))?.ver ?? 0) === r.ver,
    );
    if (!isCurrent) {
      const rows = expected.flatMap(r => this.#rows.get(idOf(r)) ?? []);
      return sendJson(res, 412, {rows, ...this.#stamp()});
    }
    this.#apply(puts, removes);
    sendJson(res, 200, this.#stamp());
  }

  #onGet(query, res) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Number(query.get('limit') ?? MAX_PAGE_ROWS);
    const rows = [...this.#rows.values()]
      .filter(r => r.table === table && r.part === part && r.key >= from)
      .filter(r => target === null || r.key < target)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = rows.slice(0, Math.min(limit, MAX_PAGE_ROWS));
    const hasMore = page.length < rows.length;
    sendJson(res, 200, {rows: page, 'has-more': hasMore, ...this.#stamp()});
  }

  async #onFeed(query, res) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const waitMs = Math.min(30_000, Number(query.get('wait-ms') ?? 0));
    const untilMs = performance.now() + waitMs;
    const changes = () =>
      this.#history.filter(r => r.table === table && r.ver > after);
    while (changes().length === 0 && performance.now() < untilMs)
      await this.#nextChange(untilMs - performance.now());
    sendJson(res, 200, {rows: changes(), ...this.#stamp()});
  }

  #nextChange(timeoutMs) {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, timeoutMs);
      this.#waiters.add(done);
    });
  }

  #apply(puts, removes) {
    const ver = ++this.#version;
    for (const {table, part = '', key, value} of puts) {
      const row = {table, part, key, value, ver};
      this.#rows.set(idOf(row), row);
      this.#history.push(row);
    }
    for (const {table, part = '', key} of removes) {
      this.#rows.delete(idOf({table, part, key}));
      this.#history.push({table, part, key, ver, deleted: true});
    }
    for (const notify of [...this.#waiters]) notify();
  }

  #stamp() {
    return {ver: this.#version, 'now-ms': Math.floor(performance.now())};
  }
}

function idOf({table, part = '', key}) {
  return `${table}\n${part}\n${key}`;
}
