/* global Buffer, URL, clearTimeout, performance, setTimeout */
// Stand-in of the platform's metadata store: rows-tx, rows-get and rows-feed of PROTOCOL.md.
import http from 'node:http';

const TX_MS = 4;

export class Store {
  constructor() {
    this.tables = new Map();
    this.ver = 0;
    this.waiters = new Set();
    this.partFreeAt = new Map();
    this.server = http.createServer((req, res) => void this.onCall(req, res));
    this.server.keepAliveTimeout = 60_000;
    /** Time that a read takes, in ms. */
    this.readMs = 0;
    /** Oldest version from which changes can be read. */
    this.historyFrom = 0;
    this.isDeaf = false;
    this.feeds = new Set();
    /** Called after each applied transaction with its entries. */
    this.onApplied = () => {};
  }

  async start(host) {
    await new Promise(done => this.server.listen(0, host, done));
    return `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  rows(table) {
    if (!this.tables.has(table)) this.tables.set(table, new Map());
    return this.tables.get(table);
  }

  /** Writes a row as the operator does. */
  putByOperator(table, key, value) {
    this.apply(
      [
        {
          table,
          part: '',
          key,
          value: Buffer.from(JSON.stringify(value)).toString('base64'),
        },
      ],
      [],
    );
  }

  apply(sets, removes) {
    const ver = ++this.ver;
    for (const {table, part = '', key, value} of sets)
      this.rows(table).set(`${part}\0${key}`, {table, part, key, value, ver});
    for (const {table, part = '', key} of removes) {
      const id = `${part}\0${key}`;
      if (this.rows(table).get(id)?.value !== undefined)
        this.rows(table).set(id, {table, part, key, ver, deleted: true});
    }
    for (const wake of [...this.waiters]) wake();
    this.onApplied(sets, removes);
    return ver;
  }

  /** Lets feeds hear nothing for `deafMs`, then drops the history and cuts the feeds. */
  async dropHistory(deafMs) {
    this.isDeaf = true;
    await new Promise(done => setTimeout(done, deafMs));
    this.isDeaf = false;
    this.historyFrom = this.ver;
    for (const res of this.feeds) res.destroy();
  }

  async onCall(req, res) {
    const url = new URL(req.url, 'http://store');
    const chunks = [];
    for await (const c of req) chunks.push(c);
    const body = chunks.length
      ? JSON.parse(Buffer.concat(chunks).toString())
      : undefined;
    const send = (status, data) => {
      const text = JSON.stringify({
        ...data,
        'now-ms': Math.round(performance.now()),
      });
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(text);
    };
    if (url.pathname === '/lagoonshunt/rows-tx') return this.onTx(body, send);
    if (url.pathname === '/lagoonshunt/rows-get')
      return this.onGet(url.searchParams, send);
    if (url.pathname === '/lagoonshunt/rows-feed') {
      this.feeds.add(res);
      res.once('close', () => this.feeds.delete(res));
      return this.onFeed(url.searchParams, send, res);
    }
    send(404, {});
  }

  async onTx(body, send) {
    const sets = body['set-keys'] ?? [];
    const removes = body.remove ?? [];
    const expected = body['expected-rev'] ?? [];
    const parts = new Set(
      [...sets, ...removes, ...expected].map(r => r.part ?? ''),
    );
    if (
      parts.size !== 1 ||
      sets.length + removes.length + expected.length > 100
    )
      return send(400, {});
    const [part] = parts;
    const now = performance.now();
    const freeAt = Math.max(now, this.partFreeAt.get(part) ?? 0) + TX_MS;
    this.partFreeAt.set(part, freeAt);
    await new Promise(done => setTimeout(done, freeAt - now));
    const found = expected.map(e =>
      this.rows(e.table).get(`${e.part ?? ''}\0${e.key}`),
    );
    const isMet = expected.every((e, i) => {
      const row = found[i];
      return e.ver === 0
        ? !row || row.deleted
        : row && !row.deleted && row.ver === e.ver;
    });
    if (!isMet)
      return send(412, {
        rows: found.filter(r => r && !r.deleted),
        ver: this.ver,
      });
    send(200, {ver: this.apply(sets, removes)});
  }

  onGet(q, send) {
    const part = q.get('part') ?? '';
    const from = q.get('from') ?? '';
    const to = q.get('target');
    const limit = Math.min(500, Number(q.get('limit') ?? 500));
    const all = [...this.rows(q.get('table')).values()]
      .filter(
        r =>
          !r.deleted &&
          r.part === part &&
          r.key >= from &&
          (to === null || r.key < to),
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = {
      rows: all.slice(0, limit),
      'has-more': all.length > limit,
      ver: this.ver,
    };
    if (this.readMs > 0) setTimeout(() => send(200, page), this.readMs);
    else send(200, page);
  }

  async onFeed(q, send, res) {
    const after = Number(q.get('after'));
    if (after < this.historyFrom) return send(410, {});
    const changed = () =>
      this.isDeaf
        ? []
        : [...this.rows(q.get('table')).values()]
            .filter(r => r.ver > after)
            .sort((a, b) => a.ver - b.ver);
    const untilMs =
      performance.now() + Math.min(30_000, Number(q.get('wait-ms') ?? 0));
    while (changed().length === 0 && performance.now() < untilMs)
      await new Promise(done => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          done();
        };
        const timer = setTimeout(
          wake,
          Math.max(1, untilMs - performance.now()),
        );
        this.waiters.add(wake);
      });
    if (res.destroyed) return;
    const ver = this.isDeaf ? after : this.ver;
    send(200, {rows: changed(), ver});
  }
}
