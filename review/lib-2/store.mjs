/** Stand-in of the platform's store: tables of rows, transactions, reads and the feed. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const TX_MS = 4;
const MAX_WAIT_MS = 30_000;

export class Store {
  constructor(record) {
    this.record = record;
    this.version = 0;
    this.started = performance.now();
    /** Rows by "table part key"; a dropped row stays with `deleted`. */
    this.rows = new Map();
    this.waiting = new Set();
    /**
     * Decides the fate of a write: undefined, or {lateMs} for one that gets no response and
     * is carried out later, if its conditions still hold.
     */
    this.faultOf = () => undefined;
    this.server = http.createServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 60_000;
  }

  listen(host, port) {
    return new Promise(resolve => this.server.listen(port, host, resolve));
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** What the operator writes under op/NAME. */
  operate(key, value) {
    this.apply({
      'set-keys': [
        {
          table: 'op',
          part: '',
          key,
          value: Buffer.from(JSON.stringify(value)).toString('base64'),
        },
      ],
    });
  }

  apply(tx) {
    const expected = tx['expected-rev'] ?? [];
    const current = expected.map(e => this.rows.get(idOf(e)));
    const holds = expected.every(
      (e, i) =>
        (current[i] && !current[i].deleted ? current[i].ver : 0) === e.ver,
    );
    if (!holds)
      return {
        status: 412,
        body: {rows: current.filter(r => r && !r.deleted), ...this.head()},
      };
    const ver = ++this.version;
    for (const {table, part, key, value} of tx['set-keys'] ?? [])
      this.rows.set(idOf({table, part, key}), {table, part, key, value, ver});
    for (const {table, part, key} of tx.remove ?? []) {
      const id = idOf({table, part, key});
      if (this.rows.has(id))
        this.rows.set(id, {table, part, key, ver, deleted: true});
    }
    for (const wake of [...this.waiting]) wake();
    return {status: 200, body: {ver, ...this.head()}};
  }

  head() {
    return {ver: this.version, 'now-ms': Math.round(performance.now())};
  }

  async serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString('utf8');
    const name = url.pathname.replace('/lagoonshunt/', '');
    if (name === 'rows-tx') return this.onTx(JSON.parse(text), res);
    if (name === 'rows-get') return this.onGet(url.searchParams, res);
    if (name === 'rows-feed') return this.onFeed(url.searchParams, res);
    send(res, 404, {});
  }

  async onTx(tx, res) {
    const fault = this.faultOf(tx);
    if (fault) {
      // The connection delivers nothing further.
      const keys = (tx['set-keys'] ?? []).map(r => r.key).join(' ');
      this.record(`store: write of ${keys} gets no response`);
      setTimeout(() => {
        const {status} = this.apply(tx);
        this.record(`store: that write is carried out now: ${status}`);
      }, fault.lateMs);
      return;
    }
    await sleep(TX_MS);
    const {status, body} = this.apply(tx);
    send(res, status, body);
  }

  async onGet(query, res) {
    await sleep(1);
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const rows = [...this.rows.values()]
      .filter(r => r.table === table && r.part === part && !r.deleted)
      .filter(r => r.key >= from && (target === null || r.key < target))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    send(res, 200, {
      rows: rows.slice(0, limit),
      'has-more': rows.length > limit,
      ...this.head(),
    });
  }

  async onFeed(query, res) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait-ms') ?? 0));
    const untilMs = performance.now() + waitMs;
    for (;;) {
      const rows = [...this.rows.values()]
        .filter(r => r.table === table && r.ver > after)
        .sort((a, b) => a.ver - b.ver);
      const leftMs = untilMs - performance.now();
      if (rows.length > 0 || leftMs <= 0)
        return send(res, 200, {rows, ...this.head()});
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiting.add(wake);
      });
    }
  }
}

function idOf({table, part, key}) {
  return `${table}\n${part ?? ''}\n${key}`;
}

export function send(res, status, body) {
  if (res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

export function sleep(ms) {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
