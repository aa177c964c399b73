/** Steps on workers that terminate as they announced. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {DepartureDetector} from '../../src/agent/departure_detector.js';
import {JobIndex} from '../../src/jobs/job_index.js';
import {JobEngine} from '../../src/jobs/job_engine.js';
import {
  encodeDeparture,
  parseRowKey,
  rowKeys,
} from '../../src/jobs/job_rows.js';
import {workerKey} from '../../src/jobs/worker_pool.js';
import {TEST_QUEUE, TEST_TABLES, makeStep} from '../fixtures/job_cluster.js';

/** Interval between calls to the worker, in ms. */
const CALL_INTERVAL_MS = 100;

let detector: DepartureDetector;
let lastCallAtMs = 0;
let engine: JobEngine;

Given(
  'a worker that announced its end within {int} ms',
  (remainingMs: number) => {
    detector = new DepartureDetector();
    detector.recordHeartbeat(
      {draining: true, drainRemainingMs: remainingMs},
      0,
    );
  },
);

Given('a worker that announced no end', () => {
  detector = new DepartureDetector();
});

Given('a worker that took back that it ends', () => {
  detector = new DepartureDetector();
  detector.recordHeartbeat({draining: true, drainRemainingMs: 1500}, 0);
  detector.recordHeartbeat({draining: false, drainRemainingMs: 0}, 500);
});

When(
  /^it (refuses|ignores) calls from (\d+) ms to (\d+) ms$/,
  (answer: string, from: string, until: string) => {
    lastCallAtMs = Number(until);
    for (let ms = Number(from); ms <= lastCallAtMs; ms += CALL_INTERVAL_MS)
      detector.recordCall(answer === 'refuses', ms);
  },
);

Then('it has left', () => assert.ok(detector.hasLeft(lastCallAtMs)));

Then('it has not left', () => assert.ok(!detector.hasLeft(lastCallAtMs)));

const DEPARTED_KEY = workerKey('agent-0', 'w-0', 1000);

Given('a new leader that read that a worker left', () => {
  const jobIndex = new JobIndex();
  const key = rowKeys.departure(DEPARTED_KEY);
  const row = {
    key,
    value: encodeDeparture({writtenWallMs: 0, ends: []}),
    version: 1,
  };
  jobIndex.apply(parseRowKey(key)!, row);
  engine = new JobEngine(TEST_TABLES, {
    contactTimeoutMs: 10_000,
    endedJobRetentionMs: 60_000,
    onEvent: () => undefined,
  });
  engine.restore(jobIndex, 0, 0);
  const job = {
    id: 'j1',
    queue: TEST_QUEUE.name,
    acceptedWallMs: 0,
    payload: 'p',
    steps: [makeStep()],
    queueAtHandIn: TEST_QUEUE,
  };
  engine.addJob(job, 0, 0);
});

When('an inventory of that worker arrives late', () => {
  const worker = {
    id: 'w-0',
    bornMs: 1000,
    service: TEST_QUEUE.service,
    dataCentre: 'dc1',
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: {cpu: 8000, memoryMb: 8000, accelerators: 8},
    draining: false,
    drainRemainingMs: 0,
  };
  engine.recordInventory('agent-0', {worker, runs: [], ends: []}, 100);
});

Then('nothing is placed on it', () => {
  engine.plan(1000);
  assert.equal(engine.placedUnitCount, 0);
});
