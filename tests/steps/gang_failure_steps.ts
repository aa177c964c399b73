/** Steps on gangs whose members fail in one run, while leaders change. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type EndReport} from '../../src/jobs/engine_messages.js';
import {type JobTables} from '../../src/jobs/job.js';
import {JobEngine} from '../../src/jobs/job_engine.js';
import {JobIndex} from '../../src/jobs/job_index.js';
import {
  blockRowKey,
  encodeBlock,
  encodeJob,
  parseRowKey,
  rowKeys,
} from '../../src/jobs/job_rows.js';
import {RunEndKind} from '../../src/ports/task_worker.js';
import {TEST_QUEUE, TEST_TABLES, makeStep} from '../fixtures/job_cluster.js';

const AGENT = 'a0';
const JOB = 'j1';
const STEP_MS = 1000;
const LARGE_WORKER = {cpu: 1e6, memoryMb: 1e6, accelerators: 1000};

let nowMs: number;
let engine: JobEngine;
let index: JobIndex;
let tables: JobTables;
let version: number;
let run: number;
let ends: EndReport[];

function putRow(key: string, value: Uint8Array): void {
  index.apply(parseRowKey(key)!, {key, value, version: ++version});
}

function makeEngine(): JobEngine {
  return new JobEngine(tables, {
    contactTimeoutMs: 60_000,
    endedJobRetentionMs: 60_000,
    onEvent: () => undefined,
  });
}

/** Commits the changed rows; `isWritten` tells which the store gets before the leader ends. */
function commit(isWritten: (key: string) => boolean = () => true): void {
  for (
    let batch = engine.takeBatch(true);
    batch;
    batch = engine.takeBatch(true)
  ) {
    for (const {key, value} of batch.puts)
      if (isWritten(key)) putRow(key, value);
    engine.confirmCommit(batch.orders, nowMs);
  }
}

/** Reports the worker with all ends that it has listed; the leader takes the new ones. */
function report(): void {
  nowMs += STEP_MS;
  const worker = {
    id: 'w0',
    bornMs: 1,
    service: TEST_QUEUE.service,
    dataCentre: 'dc1',
    rack: 'r1',
    labels: [],
    capacity: LARGE_WORKER,
    draining: false,
    drainRemainingMs: 0,
  };
  engine.recordInventory(AGENT, {worker, runs: [], ends}, nowMs);
}

function end(member: number, kind: RunEndKind): void {
  const task = `${JOB}.0.0.${member}`;
  const isListed = ends.some(e => e.task === task && e.run === run);
  const number = ends.length + 1;
  if (!isListed) ends.push({number, task, run, kind, checkpoint: ''});
  report();
}

function fail(...members: number[]): void {
  for (const member of members) end(member, RunEndKind.FAILED);
}

function place(): void {
  nowMs += STEP_MS;
  engine.plan(nowMs);
  commit();
  assert.equal(engine.placedUnitCount, 1);
}

Given(
  'a gang of {int} tasks with {int} attempts in run 1',
  (count: number, maxAttempts: number) => {
    nowMs = STEP_MS;
    version = 0;
    run = 1;
    ends = [];
    const queue = {...TEST_QUEUE, maxAttempts};
    tables = {...TEST_TABLES, queues: new Map([[queue.name, queue]])};
    index = new JobIndex();
    engine = makeEngine();
    report();
    const job = {
      id: JOB,
      queue: queue.name,
      acceptedWallMs: nowMs,
      payload: 'p',
      steps: [makeStep({count, gang: true})],
      queueAtHandIn: queue,
    };
    putRow(rowKeys.job(JOB), encodeJob(job));
    engine.addJob(job, nowMs, nowMs);
    place();
  },
);

When('member {int} fails', (member: number) => fail(member));

When('member {int} fails, and the leader commits that', (member: number) => {
  fail(member);
  commit();
});

When(
  'members {int} and {int} fail, and the leader commits that',
  (first: number, second: number) => {
    fail(first, second);
    commit();
  },
);

When(
  'members {int} and {int} fail, and the leader commits only row {int}',
  (first: number, second: number, row: number) => {
    fail(first, second);
    commit(key => key === blockRowKey(JOB, `0.0.${row}`));
  },
);

When(
  'member {int} fails, and a leader of an earlier version commits that',
  (member: number) => {
    fail(member);
    commit();
    const key = blockRowKey(JOB, '0.0.0');
    const records = [...index.jobs.get(JOB)!.blocks.values()][0];
    putRow(key, encodeBlock(records.map(r => ({...r, failures: 1}))));
  },
);

When('another leader takes over', () => {
  engine = makeEngine();
  engine.restore(index, nowMs, nowMs);
});

When(
  'member {int} is broken, and the gang is in run {int}',
  (member: number, nextRun: number) => {
    end(member, RunEndKind.BROKEN);
    place();
    run = nextRun;
  },
);

Then('the gang has failed once, and its job goes on', () => {
  const records = [...index.jobs.get(JOB)!.blocks.values()].flat();
  assert.equal(Math.max(...records.map(r => r.failures)), 1);
  assert.equal(index.jobs.get(JOB)!.result, undefined);
});

Then('the job has failed', () => {
  assert.equal(index.jobs.get(JOB)!.result, 'failed');
});
