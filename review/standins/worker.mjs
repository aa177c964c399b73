/* global performance, setInterval, setTimeout */
/**
 * Stand-in of a worker, as a process of its own: `node worker.mjs OPTIONS`, with the
 * options as JSON. It runs tasks under leases as PROTOCOL.md describes, guards its
 * capacity, sends heartbeats and writes each start, end and acknowledgement as a line of
 * JSON. A line `{"drainMs": N}` on standard input makes it announce its end,
 * and a line `{}` makes it deregister and end.
 */
import {createServer} from 'node:http';
import {createInterface} from 'node:readline';
import {call, readJson, sendJson, sleep} from './http.mjs';

const options = JSON.parse(process.argv[2]);
const {id, control, service, zone, rack, capacity, holdMaxMs, stopMs} = options;
const [host, port] = options.listen.split(':');

const HEARTBEAT_MS = 1500;
const HEARTBEAT_TIMEOUT_MS = 1000;
const TICK_MS = 20;
const MAX_WAIT_MS = 2000;
const MAX_LISTED_ENDS = 500;

const born = Date.now();
const startedAtMs = performance.now();
/** Runs by task. */
const runs = new Map();
/** Highest run of each task that was stopped or ended here. */
const closedRuns = new Map();
let ends = [];
let nextEnd = 1;
let highestToken = 0;
let leaseUntilMs = 0;
let seq = 0;
/** Earliest end that was announced, on this clock; undefined unless it drains. */
let leavesAtMs;

function clock() {
  return Math.floor(performance.now() - startedAtMs);
}

function log(event, fields) {
  const line = {atMs: Date.now(), worker: id, born, event, ...fields};
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function extendLease(untilMs) {
  if (typeof untilMs !== 'number') return;
  const longestMs = clock() + holdMaxMs;
  leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, longestMs));
}

function close(run, how) {
  runs.delete(run.task);
  markClosed(run);
  ends.push([nextEnd++, run.task, run.run, how, '']);
  log('end', {task: run.task, run: run.run, how});
}

function markClosed({task, run}) {
  closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, run));
}

/** The work that a task asks for is written in its spec, as is the crash it causes. */
function workMsOf(spec) {
  return JSON.parse(spec).workMs;
}

function requestOf(spec) {
  return JSON.parse(spec).request;
}

function hasRoom(request) {
  const used = {cpu: 0, 'mem-mb': 0, gpu: 0};
  for (const run of runs.values())
    for (const key of Object.keys(used)) used[key] += run.request[key] ?? 0;
  return Object.keys(used).every(
    key => used[key] + (request[key] ?? 0) <= capacity[key],
  );
}

function percentOf(run) {
  const share = (performance.now() - run.startedAtMs) / run.workMs;
  return Math.min(100, Math.floor(share * 100));
}

function onStart(body, res) {
  const clockMs = clock();
  const reject = reason =>
    sendJson(res, 409, {'clock-ms': clockMs, reason, born});
  const token = body['fence-token'] ?? 0;
  if (token < highestToken) return reject('fence');
  highestToken = token;
  const {task, run, spec} = body;
  if (runs.get(task)?.run === run)
    return sendJson(res, 200, {'clock-ms': clockMs, born});
  const known = Math.max(closedRuns.get(task) ?? 0, runs.get(task)?.run ?? 0);
  if (body['until-ms'] <= clockMs) return reject('late');
  extendLease(body['until-ms']);
  if (run <= known || runs.has(task)) return reject('old');
  const request = requestOf(spec);
  if (!hasRoom(request)) return reject('room');
  runs.set(task, {
    task,
    run,
    request,
    workMs: workMsOf(spec),
    startedAtMs: performance.now(),
    stopAtMs: undefined,
  });
  log('start', {task, run});
  sendJson(res, 200, {'clock-ms': clockMs, born});
  const {crashAfterMs} = JSON.parse(spec);
  if (crashAfterMs !== undefined)
    setTimeout(() => process.kill(process.pid, 'SIGKILL'), crashAfterMs);
}

function onStop(body, res) {
  const token = body['fence-token'] ?? 0;
  if (token < highestToken)
    return sendJson(res, 409, {'clock-ms': clock(), reason: 'fence', born});
  highestToken = token;
  const run = runs.get(body.task);
  if (run && run.run <= body.run) run.stopAtMs ??= performance.now() + stopMs;
  else if (!run) markClosed(body);
  sendJson(res, 200, {'clock-ms': clock(), born});
}

async function onHold(body, res) {
  const token = body['fence-token'] ?? 0;
  if (token < highestToken)
    return sendJson(res, 409, {'clock-ms': clock(), reason: 'fence', born});
  highestToken = token;
  extendLease(body['until-ms']);
  for (const [number, task, run, how] of ends)
    if (number <= body['acked-upto']) log('acked', {task, run, how});
  ends = ends.filter(([number]) => number > body['acked-upto']);
  const untilMs =
    performance.now() + Math.min(MAX_WAIT_MS, body['wait-ms'] ?? 0);
  while (ends.length === 0 && performance.now() < untilMs) await sleep(TICK_MS);
  sendJson(res, 200, {
    'clock-ms': clock(),
    born,
    running: [...runs.values()].map(run => [
      run.task,
      run.run,
      '',
      percentOf(run),
      run.request.cpu ?? 0,
    ]),
    ended: ends.slice(0, MAX_LISTED_ENDS),
  });
}

async function onRequest(req, res) {
  const body = await readJson(req);
  const expected = req.headers['lagoonshunt-expect-instance'];
  if (expected !== undefined && expected !== id) return sendJson(res, 421, {});
  if (body === undefined) return sendJson(res, 400, {});
  if (req.url === '/lagoonshunt/run-start') onStart(body, res);
  else if (req.url === '/lagoonshunt/run-stop') onStop(body, res);
  else if (req.url === '/lagoonshunt/hold') await onHold(body, res);
  else sendJson(res, 404, {});
}

function tick() {
  const nowMs = performance.now();
  const hasLapsed = runs.size > 0 && clock() >= leaseUntilMs;
  for (const run of [...runs.values()]) {
    if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs)
      close(run, 'stopped');
    else if (hasLapsed) close(run, 'lapsed');
    else if (nowMs - run.startedAtMs >= run.workMs) close(run, 'done');
  }
}

function sendHeartbeat() {
  const isDraining = leavesAtMs !== undefined;
  return call(control, {
    method: 'POST',
    path: `/lagoonshunt/instances/${id}/heartbeat`,
    body: {
      service,
      address: options.address,
      zone,
      version: 'v1',
      slots: 8,
      state: isDraining ? 'draining' : 'ready',
      'cold-left-ms': 0,
      capacity,
      labels: ['a', rack],
      'clock-ms': clock(),
      born,
      seq: ++seq,
      ...(isDraining
        ? {'drain-remaining-ms': Math.max(0, leavesAtMs - clock())}
        : {}),
    },
    timeoutMs: HEARTBEAT_TIMEOUT_MS,
  });
}

async function sendHeartbeats() {
  for (;;) {
    await sendHeartbeat();
    await sleep(HEARTBEAT_MS);
  }
}

async function drain(drainMs) {
  leavesAtMs = clock() + drainMs;
  const {status} = await sendHeartbeat();
  log('draining', {drainMs, acknowledged: status === 200});
}

async function leave() {
  const path = `/lagoonshunt/instances/${id}/deregister`;
  await call(control, {
    method: 'POST',
    path,
    body: {born},
    timeoutMs: HEARTBEAT_TIMEOUT_MS,
  });
  log('leaves', {});
  process.exit(0);
}

createInterface({input: process.stdin}).on('line', text => {
  const {drainMs} = JSON.parse(text);
  void (drainMs === undefined ? leave() : drain(drainMs));
});

createServer((req, res) => void onRequest(req, res)).listen(
  Number(port),
  host,
  () => {
    log('up', {});
    setInterval(tick, TICK_MS);
    void sendHeartbeats();
  },
);
