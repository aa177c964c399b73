/* global URL, performance, setTimeout */
/**
 * A small deployment on loopback addresses: the project's own programs, started with the
 * commands of the deploy file, beside stand-ins of the store, the workers and the clients.
 * Everything that is sent, answered and run is written to a record.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {call, sleep} from './http.mjs';
import {Proxy} from './proxy.mjs';
import {Store} from './store.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const WORKER = fileURLToPath(new URL('worker.mjs', import.meta.url));
const STORE_HOST = '127.0.0.1';
const ZONES = ['colombo-a', 'gampaha-b', 'kalutara-c'];
const GRACE_S = 6;
const STOP_MS = 400;
const HOLD_MAX_MS = 10_000;
const DEADLINE_MS = 3000;
/** Time after which a case ends without a verdict, in ms. */
const MAX_RUN_MS = 115_000;
export const SERVICE = 'order-desk';
export const HOST = 'desk.example';
export const PREFIX = '/orders/';
export const KEY = 'key-1';
const PORT_NAMES = [
  'front',
  'ready',
  'control',
  'app',
  'worker',
  'beats',
  'link',
  'metrics',
];
/** Capacity of a worker, as on the site. */
const CAPACITY = {cpu: 128_000, 'mem-mb': 524_288, gpu: 8};

/** Command of a role in the deploy file, without `node`. */
function argumentsOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  const [, words] = /^run = "node (.*)"$/m.exec(section);
  return words.split(' ');
}

/** A port that is free on all hosts. */
async function freePort(hosts) {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 20_000);
    const isFree = await Promise.all(hosts.map(h => canListen(h, port)));
    if (isFree.every(Boolean)) return port;
  }
}

function canListen(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export class Cluster {
  store = new Store();
  isStopping = false;
  gates = [];
  sides = [];
  /** Lines of all workers. */
  workerLines = [];
  #recordFile;
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #children = new Set();
  #proxies = [];
  #workerCount = 0;
  #nextGate = 0;

  /** @param folder Folder of the case, for `record.txt`. */
  constructor(folder) {
    this.#recordFile = join(folder, 'record.txt');
    writeFileSync(this.#recordFile, '');
    for (const signal of ['SIGINT', 'SIGTERM'])
      process.once(signal, () => void this.#abort(signal));
    setTimeout(() => void this.#abort('watchdog'), MAX_RUN_MS).unref();
  }

  /** Ends the case without a verdict. */
  async #abort(reason) {
    this.record('check', `ended early: ${reason}`);
    await this.stop();
    process.exit(2);
  }

  record(who, what, fields = {}) {
    const text = JSON.stringify({at: Date.now(), who, what, ...fields});
    appendFileSync(this.#recordFile, `${text}\n`);
  }

  /** Starts the store, the gates, and the agents with their workers. */
  async start({gates, sides, configuration, hasProxies = false}) {
    const storeAddress = await this.store.start(STORE_HOST);
    this.store.putOperatorRow('config', configuration);
    const gateHosts = [...Array(gates).keys()].map(i => `127.0.1.${i + 1}`);
    const sideHosts = [...Array(sides).keys()].map(i => `127.0.2.${i + 1}`);
    const hosts = [...gateHosts, ...sideHosts];
    const ports = {};
    for (const name of PORT_NAMES) ports[name] = await freePort(hosts);
    const seeds = gateHosts.slice(0, 3).map(h => `${h}:${ports.control}`);
    const common = {ports, seeds, storeAddress};
    this.gates = gateHosts.map((host, i) =>
      this.#makeMachine('gate', `edge-${i + 1}`, host, i, common),
    );
    this.sides = sideHosts.map((host, i) =>
      this.#makeMachine('agent', `side-${i + 1}`, host, i, common),
    );
    for (const machine of [...this.gates, ...this.sides])
      this.startProgram(machine);
    if (hasProxies) for (const side of this.sides) await this.#addProxies(side);
    for (const side of this.sides) this.startWorker(side);
  }

  /** Puts proxies between an agent and its worker, one in each direction. */
  async #addProxies(side) {
    const {app, listen} = side.settings;
    side.toWorker = new Proxy(app, side.listen, (what, fields) =>
      this.record(`proxy of ${side.name}`, what, fields),
    );
    side.toAgent = new Proxy(side.control, listen.control, () => undefined);
    await Promise.all([side.toWorker.open(), side.toAgent.open()]);
    this.#proxies.push(side.toWorker, side.toAgent);
  }

  #makeMachine(role, name, host, index, {ports, seeds, storeAddress}) {
    const isGate = role === 'gate';
    const address = port => `${host}:${ports[port]}`;
    const settings = {
      'node-name': name,
      role,
      'machine-class': isGate ? 'edge' : 'side',
      serves: isGate ? ['edge', 'control_plane'] : ['side'],
      ip: host,
      zone: ZONES[index % ZONES.length],
      region: 'lk-west',
      listen: isGate
        ? {
            front: address('front'),
            ready: address('ready'),
            control: address('control'),
          }
        : {control: address('control')},
      'inner-ports': [ports.link, ports.metrics],
      seeds,
      bootstrap: true,
      limits: {'cpu-share': isGate ? 0.675 : 0.405, cores: 1},
      'data-dir': null,
      discovery: 'local',
      entry: 'vip',
      'heartbeat-ms': 1500,
      bounds: {
        'stable-window-ms': 3000,
        'ack-ms': 4000,
        'grace-s': GRACE_S,
        'hold-max-ms': HOLD_MAX_MS,
        'stop-ms': STOP_MS,
        'gang-ms': 3000,
        cancel_ms: 3000,
        visible_ms: 3000,
        finish_s: 14,
        status_s: 120,
        'save-s': 0.5,
        'restore-ms': 600,
      },
      orders: 'dispatch',
      platform: {
        address: storeAddress,
        form: 'table',
        'writes-per-s': 800,
        'reads-per-s': 2000,
        'tx-ms': 5,
        'part-writes-s': 200,
        'row-bytes': 65_536,
        across: false,
        'history-s': 20,
      },
      ...(isGate ? {} : {app: address('app'), service: SERVICE}),
    };
    const file = join(this.#folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return {
      role,
      name,
      host,
      settings,
      file,
      program: undefined,
      // Where the worker listens and sends heartbeats if there are proxies between.
      listen: address('worker'),
      control: address('beats'),
    };
  }

  /** Starts the project's program of a machine. */
  startProgram(machine) {
    const child = spawn(process.execPath, argumentsOf(machine.role), {
      cwd: ROOT,
      env: {PATH: process.env.PATH, LAGOONSHUNT_BOOT: machine.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.program = child;
    this.#follow(child, machine.name, line => {
      const isLine = line.startsWith('{');
      if (isLine && !/"event":"(leading|jobEnded|taskGivenUp)"/.test(line))
        return;
      this.record(machine.name, 'log', {line});
    });
    child.once('exit', (code, signal) =>
      this.record(machine.name, 'exit', {code, signal}),
    );
    this.record(machine.name, 'spawned', {pid: child.pid});
  }

  #nextWorkerId() {
    return `i-${String(++this.#workerCount).padStart(8, '0')}`;
  }

  /** Starts a new incarnation of the worker of a side machine. */
  startWorker(side, id = this.#nextWorkerId()) {
    const index = this.sides.indexOf(side);
    const options = {
      id,
      control: side.toAgent ? side.control : side.settings.listen.control,
      address: side.settings.app,
      listen: side.toWorker ? side.listen : side.settings.app,
      service: SERVICE,
      zone: side.settings.zone,
      rack: `r${Math.floor(index / 3) + 1}`,
      capacity: CAPACITY,
      holdMaxMs: HOLD_MAX_MS,
      stopMs: STOP_MS,
    };
    const child = spawn(process.execPath, [WORKER, JSON.stringify(options)], {
      stdio: ['pipe', 'pipe', 'pipe'],
    });
    side.worker = {id, child};
    child.once('exit', () =>
      this.workerLines.push({atMs: Date.now(), worker: id, event: 'down'}),
    );
    this.#follow(child, id, text => {
      if (!text.startsWith('{')) return this.record(id, 'log', {text});
      const line = JSON.parse(text);
      this.workerLines.push(line);
      this.record(id, line.event, line);
    });
    this.record(id, 'spawned', {side: side.name});
  }

  #follow(child, name, onLine) {
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
    for (const stream of [child.stdout, child.stderr])
      createInterface({input: stream}).on('line', onLine);
  }

  /** Makes the worker of a side machine announce its end. */
  drain(side, drainMs) {
    side.worker.child.stdin.write(`${JSON.stringify({drainMs})}\n`);
  }

  /** Makes the worker deregister and end. */
  leave(side) {
    side.worker.child.stdin.write('{}\n');
  }

  /**
   * Runs that break TWICE: two runs of a task at the same time on workers that are up, or a
   * start after a run has ended as done and that end was acknowledged to the worker.
   */
  findTwice() {
    const found = [];
    const running = new Map();
    const done = new Set();
    const lines = [...this.workerLines].sort((a, b) => a.atMs - b.atMs);
    for (const {event, worker, task, run, how} of lines) {
      const onTask = running.get(task) ?? new Map();
      if (event === 'start') {
        running.set(task, onTask.set(worker, run));
        const runs = [...onTask].map(([w, r]) => `run ${r} on ${w}`).join(', ');
        if (onTask.size > 1) found.push(`${task}: at the same time ${runs}`);
        if (done.has(task))
          found.push(`${task}: ${runs} after an acknowledged end as done`);
      } else if (event === 'end') onTask.delete(worker);
      else if (event === 'acked' && how === 'done') done.add(task);
      else if (event === 'down')
        for (const others of running.values()) others.delete(worker);
    }
    return found;
  }

  /** Kills a process, as a crash does. */
  async crash(child, who) {
    this.record(who, 'killed');
    const gone = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    await gone;
  }

  /** Sends one call of a client to the next gate. */
  async call(method, id, body, who = 'client') {
    const gate = this.gates[this.#nextGate++ % this.gates.length];
    const answer = await call(gate.settings.listen.front, {
      method,
      path: `${PREFIX}${id}`,
      headers: {
        host: HOST,
        'lagoonshunt-credential': KEY,
        'lagoonshunt-deadline-ms': String(DEADLINE_MS),
      },
      body,
      timeoutMs: DEADLINE_MS,
    });
    this.record(who, `${method} ${id || '(queue)'}`, {
      gate: gate.name,
      ...(body && method === 'POST'
        ? {bytes: JSON.stringify(body).length}
        : {}),
      ...answer,
    });
    return answer;
  }

  /** Submits a job, again after an answer that asks for it; resolves with the status. */
  async submit(id, job, tries = 20) {
    for (let i = 0; i < tries; i++) {
      const {status} = await this.call('POST', id, job);
      if (status >= 200 && status < 300) return status;
      if (status >= 400 && status < 500 && status !== 429) return status;
      await sleep(1000);
    }
    return 0;
  }

  async waitUntil(isTrue, timeoutMs, stepMs = 50) {
    const untilMs = performance.now() + timeoutMs;
    while (performance.now() < untilMs) {
      if (await isTrue()) return true;
      await sleep(stepMs);
    }
    return false;
  }

  /** Waits until all gates are ready and all workers can be given work. */
  async waitUntilReady(timeoutMs = 15_000) {
    const isUp = async () => {
      const answers = await Promise.all(
        this.gates.map(g =>
          call(g.settings.listen.ready, {
            method: 'GET',
            path: '/lagoonshunt/readiness',
            timeoutMs: 1000,
          }),
        ),
      );
      return answers.every(a => a.status === 200);
    };
    return this.waitUntil(isUp, timeoutMs, 200);
  }

  /** Ends all processes that were started. */
  async stop() {
    this.isStopping = true;
    const children = [...this.#children];
    for (const child of children) child.kill('SIGKILL');
    await Promise.all(
      children.map(c =>
        c.exitCode === null && c.signalCode === null
          ? new Promise(resolve => c.once('exit', resolve))
          : undefined,
      ),
    );
    for (const proxy of this.#proxies) proxy.close();
    this.store.stop();
    rmSync(this.#folder, {recursive: true, force: true});
  }
}

/** A configuration with one queue of a service and one tenant. */
export function makeConfiguration(queue = {}) {
  return {
    version: 11,
    routes: [
      {
        name: 'r-orders',
        host: HOST,
        prefix: PREFIX,
        service: SERVICE,
        priority: 1,
        'max-attempts': 2,
        stretch: 3,
        'target-duration-ms': 1000,
        'timeout-ms': DEADLINE_MS,
        ...queue,
      },
    ],
    services: [{name: SERVICE, 'enforces-capacity': true}],
    limits: {'max-body-bytes': 262_144},
    tenants: [{name: 'tenant-1', 'api-keys': [KEY]}],
  };
}

/** A job of one step whose tasks each work for the given time, or crash their worker. */
export function makeJob({count = 1, workMs, request, crashAfterMs, step = {}}) {
  return {
    spec: JSON.stringify({workMs, request, crashAfterMs}),
    steps: [{count, ...request, 'est-runtime-ms': workMs, ...step}],
  };
}
