/**
 * Stand-in of a worker. What a task takes stands in its `spec`, as JSON with `ms` and `gpu`.
 * Tasks without `checkpointing` only: no checkpoint is ever produced.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {send, sleep} from './store.mjs';

const HEARTBEAT_MS = 1500;
const HOLD_MAX_MS = 10_000;
const MAX_ENDS = 500;
/** Time that a stop takes, in ms. */
const STOP_MS = 100;

let bornBefore = 0;
let instances = 0;

export class Worker {
  /** `place`: name, host, port, control (address for heartbeats), rack, zone, service. */
  constructor(place, record, log) {
    this.place = place;
    this.record = record;
    /** Starts and ends of all runs, over all incarnations. */
    this.log = log;
    this.capacity = {cpu: 128_000, 'mem-mb': 524_288, gpu: 8};
  }

  /** Begins a life of the worker, under a new id or the one that it had. */
  async up({sameId = false} = {}) {
    if (!sameId) this.id = `i-${(++instances).toString(16).padStart(8, '0')}`;
    this.isCutOff = false;
    bornBefore = Math.max(bornBefore + 1, Date.now());
    this.born = bornBefore;
    this.clockZero = performance.now();
    this.seq = 0;
    this.fence = 0;
    this.runs = new Map();
    this.highest = new Map();
    this.ends = [];
    this.endNumber = 0;
    this.untilMs = 0;
    this.isUp = true;
    this.waiting = new Set();
    this.server = http.createServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 60_000;
    await new Promise(resolve =>
      this.server.listen(this.place.port, this.place.host, resolve),
    );
    void this.beat(this.id, this.born);
    this.ticker = setInterval(() => this.expire(), 20);
    this.record(`${this.place.name}: worker ${this.id} is up`);
  }

  /** The worker crashes: connections break, and all that ran is gone. */
  crash() {
    this.isUp = false;
    clearInterval(this.ticker);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.log.end(run, 'gone with its worker');
    }
    this.record(
      `${this.place.name}: worker ${this.id} crashes, it ran ${[...this.runs.values()].map(nameOf).join(' ') || 'nothing'}`,
    );
    this.runs.clear();
    this.server.closeAllConnections();
    this.server.close();
  }

  get clockMs() {
    return Math.round(performance.now() - this.clockZero);
  }

  async beat(id, born) {
    while (this.isUp && this.id === id && this.born === born) {
      if (this.isCutOff) {
        await sleep(100);
        continue;
      }
      const body = JSON.stringify({
        service: this.place.service,
        address: `${this.place.host}:${this.place.port}`,
        zone: this.place.zone,
        version: 'v1',
        slots: 8,
        state: 'ready',
        'cold-left-ms': 0,
        capacity: this.capacity,
        labels: ['a', this.place.rack],
        'clock-ms': this.clockMs,
        seq: ++this.seq,
        born: this.born,
      });
      const path = `/lagoonshunt/instances/${id}/heartbeat`;
      const isTaken = await call(this.place.control, 'POST', path, {body}, 1000)
        .then(r => r.status === 200)
        .catch(() => false);
      await sleep(isTaken ? HEARTBEAT_MS : 200);
    }
  }

  async serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    // Cut off, it gets no calls, and what it runs goes on.
    if (!this.isUp || this.isCutOff) return;
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
    if (this.onHeld && req.url.endsWith('/hold') && 'until-ms' in body) {
      const take = this.onHeld;
      this.onHeld = undefined;
      return take(body);
    }
    const wanted = req.headers['lagoonshunt-expect-instance'];
    if (wanted && wanted !== this.id)
      return send(res, 421, {'clock-ms': this.clockMs});
    const name = req.url.replace('/lagoonshunt/', '');
    const token = body['fence-token'] ?? 0;
    if (token < this.fence)
      return send(res, 409, {'clock-ms': this.clockMs, reason: 'fence'});
    this.fence = token;
    if (name === 'run-start') return this.onStart(body, res);
    if (name === 'run-stop') return this.onStop(body, res);
    if (name === 'hold') return this.onHold(body, res);
    send(res, 404, {});
  }

  /** Resolves with the next call that extends leases, which gets no response. */
  holdNextCall() {
    return new Promise(resolve => {
      this.onHeld = resolve;
    });
  }

  /** Carries out a call late that got no response. */
  executeLate(body) {
    const isFenced = body['fence-token'] < this.fence;
    if (!isFenced) {
      this.fence = body['fence-token'];
      this.extend(body['until-ms']);
    }
    this.record(
      `${this.place.name}: carries out a hold late, until-ms ${body['until-ms']} at clock-ms ${this.clockMs}${isFenced ? ', fenced' : `, leases until ${this.untilMs}`}`,
    );
  }

  /** Cuts the worker off from its machine's agent. */
  cutOff(isCutOff) {
    this.isCutOff = isCutOff;
    this.record(
      `${this.place.name}: worker ${this.id} is ${isCutOff ? 'cut off' : 'back'}`,
    );
  }

  extend(untilMs) {
    if (typeof untilMs !== 'number') return;
    const limited = Math.min(untilMs, this.clockMs + HOLD_MAX_MS);
    this.untilMs = Math.max(this.untilMs, limited);
  }

  onStart(body, res) {
    const {task, run, spec} = body;
    const reject = reason => send(res, 409, {'clock-ms': this.clockMs, reason});
    const known = this.runs.get(task);
    if (known?.run === run) {
      this.extend(body['until-ms']);
      return send(res, 200, {'clock-ms': this.clockMs});
    }
    if (run <= (this.highest.get(task) ?? 0)) {
      this.extend(body['until-ms']);
      return reject('old');
    }
    if (body['until-ms'] <= this.clockMs) return reject('late');
    this.extend(body['until-ms']);
    const {ms, gpu} = JSON.parse(spec);
    const used = [...this.runs.values()].reduce((sum, r) => sum + r.gpu, 0);
    if (known || used + gpu > this.capacity.gpu) return reject('room');
    const entry = {task, run, ms, gpu, since: performance.now()};
    entry.worker = `${this.place.name}/${this.id}`;
    entry.timer = setTimeout(() => this.finish(entry, 'done'), ms);
    this.runs.set(task, entry);
    this.log.start(entry);
    this.record(`${this.place.name}: starts ${nameOf(entry)}`);
    send(res, 200, {'clock-ms': this.clockMs});
  }

  onStop({task, run}, res) {
    const entry = this.runs.get(task);
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    if (entry && entry.run <= run && !entry.isStopping) {
      entry.isStopping = true;
      clearTimeout(entry.timer);
      setTimeout(() => this.finish(entry, 'stopped'), STOP_MS);
    }
    send(res, 200, {'clock-ms': this.clockMs});
  }

  async onHold(body, res) {
    this.extend(body['until-ms']);
    const acked = body['acked-upto'] ?? 0;
    this.ends = this.ends.filter(e => e[0] > acked);
    const untilMs = performance.now() + (body['wait-ms'] ?? 0);
    while (this.isUp && this.ends.length === 0) {
      const leftMs = untilMs - performance.now();
      if (leftMs <= 0) break;
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
    if (!this.isUp || this.isCutOff) return;
    const now = performance.now();
    send(res, 200, {
      'clock-ms': this.clockMs,
      born: this.born,
      running: [...this.runs.values()].map(r => [
        r.task,
        r.run,
        '',
        Math.min(99, Math.floor((100 * (now - r.since)) / r.ms)),
        r.gpu * 1000,
      ]),
      ended: this.ends.slice(0, MAX_ENDS),
    });
  }

  finish(entry, how) {
    if (this.runs.get(entry.task) !== entry) return;
    this.runs.delete(entry.task);
    this.highest.set(
      entry.task,
      Math.max(entry.run, this.highest.get(entry.task) ?? 0),
    );
    this.ends.push([++this.endNumber, entry.task, entry.run, how, '']);
    this.log.end(entry, how);
    this.record(`${this.place.name}: ${nameOf(entry)} ends ${how}`);
    for (const wake of [...this.waiting]) wake();
  }

  expire() {
    if (this.clockMs < this.untilMs) return;
    for (const entry of [...this.runs.values()]) {
      clearTimeout(entry.timer);
      this.finish(entry, 'lapsed');
    }
  }
}

function nameOf({task, run}) {
  return `${task} run ${run}`;
}

/** A call over HTTP/1.1 on a connection of its own; rejects if there is no answer in time. */
export function call(address, method, path, {headers, body}, timeoutMs) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = http.request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...(body ? {'content-type': 'application/json'} : {}),
          ...headers,
        },
      },
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('error', reject);
        res.on('end', () => {
          clearTimeout(timer);
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({status: res.statusCode, body: parse(text)});
        });
      },
    );
    const timer = setTimeout(
      () => req.destroy(new Error('no answer in time')),
      timeoutMs,
    );
    req.on('error', err => {
      clearTimeout(timer);
      reject(err);
    });
    req.end(body);
  });
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
