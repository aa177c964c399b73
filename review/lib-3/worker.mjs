/* global AbortSignal, Buffer, clearInterval, clearTimeout, fetch, performance, setInterval, setTimeout */
// Stand-in of a worker: heartbeats, run-start, run-stop and hold of PROTOCOL.md.
import http from 'node:http';

let lives = 0;

/**
 * One worker on a side machine. `crash` ends the present life: what runs there is over, and
 * connections break. `begin` starts the next life, with a new id and nothing known of before.
 */
export class Worker {
  constructor(options) {
    Object.assign(this, {
      cpu: 64_000,
      memMb: 262_144,
      gpu: 8,
      stopMs: 200,
      holdMaxMs: 6000,
      gangMs: 3000,
      beatMs: 1500,
      drainMs: undefined,
      ...options,
    });
    this.isUp = false;
    this.sockets = new Set();
    this.server = http.createServer((req, res) => void this.onCall(req, res));
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', s => {
      if (!this.isUp) return s.destroy();
      this.sockets.add(s);
      s.on('close', () => this.sockets.delete(s));
      s.on('error', () => {});
    });
  }

  async listen() {
    const [host, port] = this.app.split(':');
    await new Promise((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(Number(port), host, done);
    });
  }

  /** Starts a life. The port refuses connections while there is none. */
  async begin(id = `i-${(++lives).toString(16).padStart(8, '0')}`) {
    await this.listen();
    this.id = id;
    this.born = Date.now();
    this.startedAt = performance.now();
    this.seq = 0;
    this.running = new Map();
    this.ended = [];
    this.endNumber = 0;
    this.acked = 0;
    this.fence = 0;
    this.leaseUntil = 0;
    this.barred = new Map();
    this.waiters = new Set();
    this.state = 'ready';
    this.isUp = true;
    this.log('life', {id, born: this.born});
    this.tick = setInterval(() => this.onTick(), 20);
    this.beat = setInterval(() => void this.sendBeat(), this.beatMs);
    void this.sendBeat();
  }

  /** Ends the life at once, like SIGKILL. */
  async crash() {
    this.log('crash', {
      id: this.id,
      running: [...this.running.values()].map(r => [r.task, r.run]),
    });
    this.isUp = false;
    clearInterval(this.tick);
    clearInterval(this.beat);
    for (const r of this.running.values()) this.onRunOver?.(this, r, 'lost');
    this.running.clear();
    const closed = new Promise(done => this.server.close(done));
    for (const s of this.sockets) s.destroy();
    await closed;
  }

  /** Answers nothing from now on. What runs there runs on. */
  standStill() {
    this.log('stands still');
    this.standsStill = true;
    this.standing = [];
  }

  goOn() {
    this.log('goes on', {calls: this.standing.length});
    this.standsStill = false;
    for (const done of this.standing) done();
  }

  get clock() {
    return Math.round(performance.now() - this.startedAt) + 1000;
  }

  async sendBeat() {
    if (!this.isUp) return;
    const body = {
      service: this.service,
      address: this.app,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      'cold-left-ms': 0,
      capacity: {cpu: this.cpu, 'mem-mb': this.memMb, gpu: this.gpu},
      labels: [this.kind ?? 'a', this.rack],
      'clock-ms': this.clock,
      seq: ++this.seq,
      born: this.born,
    };
    try {
      await fetch(
        `http://${this.control}/lagoonshunt/instances/${this.id}/heartbeat`,
        {
          method: 'POST',
          headers: {'content-type': 'application/json'},
          body: JSON.stringify(body),
          signal: AbortSignal.timeout(1000),
        },
      );
    } catch {
      // Nobody acknowledged it; the next one follows.
    }
  }

  onTick() {
    if (this.running.size > 0 && this.clock > this.leaseUntil) {
      for (const r of [...this.running.values()]) this.end(r, 'lapsed');
      return;
    }
    for (const r of [...this.running.values()]) {
      if (r.stopAt !== undefined && performance.now() >= r.stopAt)
        this.end(r, 'stopped');
      else this.workOn?.(this, r);
    }
  }

  end(r, how) {
    if (!this.running.delete(r.task)) return;
    this.barred.set(r.task, Math.max(r.run, this.barred.get(r.task) ?? 0));
    this.ended.push([++this.endNumber, r.task, r.run, how, '']);
    this.log('end', {number: this.endNumber, task: r.task, run: r.run, how});
    this.onRunOver?.(this, r, how);
    for (const wake of [...this.waiters]) wake();
  }

  extend(until) {
    if (until === undefined) return;
    this.leaseUntil = Math.max(
      this.leaseUntil,
      Math.min(until, this.clock + this.holdMaxMs),
    );
  }

  usedBy(key) {
    return [...this.running.values()].reduce(
      (sum, r) => sum + (r.request?.[key] ?? 0),
      0,
    );
  }

  async onCall(req, res) {
    const chunks = [];
    for await (const c of req) chunks.push(c);
    // A worker that stands still reads nothing; what has arrived is carried out afterwards.
    if (this.standsStill) await new Promise(done => this.standing.push(done));
    if (!this.isUp) return;
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}');
    const send = (status, data = {}) => {
      if (res.destroyed) return;
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(
        JSON.stringify({'clock-ms': this.clock, born: this.born, ...data}),
      );
    };
    const expected = req.headers['lagoonshunt-expect-instance'];
    if (expected !== undefined && expected !== this.id) return send(421);
    const token = body['fence-token'] ?? 0;
    if (token < this.fence) return send(409, {reason: 'fence'});
    this.fence = token;
    if (req.url === '/lagoonshunt/run-start') return this.onStart(body, send);
    if (req.url === '/lagoonshunt/run-stop') return this.onStop(body, send);
    if (req.url === '/lagoonshunt/hold') return this.onHold(body, send, res);
    send(404);
  }

  onStart({task, run, spec, checkpoint, 'until-ms': until}, send) {
    const present = this.running.get(task);
    if (present?.run === run) {
      this.extend(until);
      return send(200);
    }
    if (
      run <= (this.barred.get(task) ?? 0) ||
      (present && run <= present.run)
    ) {
      this.extend(until);
      return send(409, {reason: 'old'});
    }
    if (until <= this.clock) return send(409, {reason: 'late'});
    const request = this.requestOf?.(task) ?? {};
    for (const [key, has] of [
      ['cpu', this.cpu],
      ['memMb', this.memMb],
      ['gpu', this.gpu],
    ])
      if (this.usedBy(key) + (request[key] ?? 0) > has) {
        this.extend(until);
        return send(409, {reason: 'room'});
      }
    this.extend(until);
    const r = {
      task,
      run,
      spec,
      checkpoint: checkpoint ?? '',
      request,
      startedAt: performance.now(),
    };
    this.running.set(task, r);
    this.log('start', {task, run, spec: spec?.slice(0, 20), checkpoint});
    this.onRunBegun?.(this, r);
    send(200);
  }

  onStop({task, run}, send) {
    this.log('stop', {task, run});
    const present = this.running.get(task);
    if (present?.run === run)
      present.stopAt ??= performance.now() + this.stopMs / 2;
    else this.barred.set(task, Math.max(run, this.barred.get(task) ?? 0));
    send(200);
  }

  async onHold(body, send, res) {
    this.extend(body['until-ms']);
    const acked = body['acked-upto'] ?? 0;
    if (acked > this.acked) {
      this.acked = acked;
      const gone = this.ended.filter(e => e[0] <= acked);
      this.ended = this.ended.filter(e => e[0] > acked);
      this.log('acked', {upTo: acked, ends: gone});
      for (const e of gone) this.onAcked?.(this, e);
    }
    const wait = Math.min(2000, body['wait-ms'] ?? 0);
    if (wait > 0 && this.ended.length === 0)
      await new Promise(done => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          done();
        };
        const timer = setTimeout(wake, wait);
        this.waiters.add(wake);
        res.once('close', wake);
      });
    if (this.standsStill) await new Promise(done => this.standing.push(done));
    if (!this.isUp) return;
    this.onListed?.(this);
    send(200, {
      running: [...this.running.values()].map(r => [
        r.task,
        r.run,
        '',
        this.percentOf(r),
        0,
      ]),
      ended: this.ended.slice(0, 500),
    });
  }

  percentOf(r) {
    const ms = r.workMs ?? 10_000;
    return Math.min(
      99,
      Math.floor(((performance.now() - r.startedAt) / ms) * 100),
    );
  }
}
