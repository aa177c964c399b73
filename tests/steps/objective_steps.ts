/** Steps on the objectives of jobs that failed once, or that a new leader took over. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type JobSpec} from '../../src/jobs/job.js';
import {JobEngine} from '../../src/jobs/job_engine.js';
import {TaskState} from '../../src/jobs/job_rows.js';
import {objectiveAtMs} from '../../src/jobs/placement_order.js';
import {
  TEST_QUEUE,
  TEST_TABLES,
  URGENT_TEST_QUEUE,
  makeStep,
} from '../fixtures/job_cluster.js';
import {indexOf} from './job_steps.js';

const BATCH = {...TEST_QUEUE, name: 'batch', priority: 2};

const URGENT_RUN_MS = 2000;
let retried: {readonly arrivedAgoMs: number; readonly failures: number};
let stopsOfRetry: number;

Given(
  'an urgent job of 2000 ms that arrived {int} ms ago and whose run has failed {int} times',
  (arrivedAgoMs: number, failures: number) => {
    retried = {arrivedAgoMs, failures};
  },
);

/** Restores the urgent job beside a batch run that fills the only worker. */
When('a leader that has no room for it considers preemption', () => {
  const nowMs = 10_000;
  const tables = {
    ...TEST_TABLES,
    queues: new Map([[URGENT_TEST_QUEUE.name, URGENT_TEST_QUEUE]]),
  };
  const engine = new JobEngine(tables, {
    contactTimeoutMs: 1e9,
    endedJobRetentionMs: 1e9,
    onEvent: () => undefined,
  });
  const filling = {
    ...makeJob('j2', nowMs),
    steps: [makeStep({estimateMs: 2000})],
    queueAtHandIn: BATCH,
  };
  engine.addJob(filling, nowMs, nowMs);
  reportWorker(engine, nowMs);
  engine.plan(nowMs);
  const urgent = {
    ...makeJob('j1', nowMs - retried.arrivedAgoMs),
    queue: URGENT_TEST_QUEUE.name,
    queueAtHandIn: URGENT_TEST_QUEUE,
    steps: [makeStep({estimateMs: URGENT_RUN_MS})],
  };
  const waiting = {...STOPPED_TASK, failures: retried.failures};
  engine.restore(indexOf(urgent, waiting), nowMs, nowMs);
  engine.plan(nowMs + LATER_MS);
  stopsOfRetry = engine
    .takeOrders()
    .filter(o => o.order.type === 'stop').length;
});

Then(
  /^the objective was (-?\d+) ms ago, and it (preempts a run|preempts nothing)$/,
  (agoMs: string, preempts: string) => {
    const nowMs = 10_000;
    const objectiveMs = objectiveAtMs({
      queue: URGENT_TEST_QUEUE,
      arrivalMs: nowMs - retried.arrivedAgoMs,
      criticalPathMs: URGENT_RUN_MS,
      failedRunsMs: retried.failures * URGENT_RUN_MS,
      isGuaranteed: false,
    });
    assert.equal(nowMs - objectiveMs, Number(agoMs));
    assert.equal(stopsOfRetry, preempts === 'preempts a run' ? 1 : 0);
  },
);

/** Time after which a leader that took over may preempt, in ms. */
const LATER_MS = 800;
const ACCEPTED_AGO_MS = 100_000;
let storedJob: JobSpec;
let placedTasks: string[];

const STOPPED_TASK = {
  state: TaskState.WAITING,
  run: 1,
  worker: '',
  checkpoint: '',
  failures: 0,
};

/** Reports a worker with room for one task. */
function reportWorker(engine: JobEngine, nowMs: number): void {
  const worker = {
    id: 'w',
    bornMs: 1,
    service: TEST_QUEUE.service,
    dataCentre: 'dc1',
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: makeStep().request,
    draining: false,
    drainRemainingMs: 0,
  };
  engine.recordInventory('a0', {worker, runs: [], ends: []}, nowMs);
}

function makeJob(id: string, acceptedWallMs: number): JobSpec {
  return {
    id,
    queue: TEST_QUEUE.name,
    acceptedWallMs,
    payload: 'p',
    steps: [makeStep()],
    queueAtHandIn: TEST_QUEUE,
  };
}

Given(
  'a stored job that was accepted 100 s ago and whose task was stopped',
  () => {
    storedJob = makeJob('j1', 0);
  },
);

When('a new leader has room for one task, and another job is accepted', () => {
  const nowMs = 5000;
  const wallMs = ACCEPTED_AGO_MS;
  placedTasks = [];
  const engine = new JobEngine(TEST_TABLES, {
    contactTimeoutMs: 1e9,
    endedJobRetentionMs: 1e9,
    onEvent: e => {
      if (e.event === 'placed') placedTasks.push(e.task!);
    },
  });
  engine.restore(indexOf(storedJob, STOPPED_TASK), nowMs, wallMs);
  engine.addJob(makeJob('j2', wallMs), nowMs, wallMs);
  reportWorker(engine, nowMs);
  engine.plan(nowMs);
});

Then('it places the task of the other job', () =>
  assert.deepEqual(placedTasks, ['j2.0.0.0']),
);
