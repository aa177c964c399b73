/** Steps on the number of waiting jobs, as gates read it from the leader's rows. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Packr} from 'msgpackr';
import {type StoredRow} from '../../src/ports/state_store.js';
import {
  type EndReport,
  type RunStatus,
} from '../../src/jobs/engine_messages.js';
import {type JobSpec} from '../../src/jobs/job.js';
import {JobEngine} from '../../src/jobs/job_engine.js';
import {JobIndex} from '../../src/jobs/job_index.js';
import {
  TaskState,
  encodeCancellation,
  encodeJob,
  parseRowKey,
  rowKeys,
} from '../../src/jobs/job_rows.js';
import {type WorkerReport, workerKey} from '../../src/jobs/worker_pool.js';
import {RunEndKind} from '../../src/ports/task_worker.js';
import {JobService} from '../../src/gate/job_service.js';
import {SystemClock} from '../../src/plugins/system_clock.js';
import {EventLog} from '../../src/plugins/event_log.js';
import {Metrics} from '../../src/plugins/metrics.js';
import {MemoryStateStore, RowTable} from '../../standins/row_store.js';
import {TEST_QUEUE, TEST_TABLES, makeStep} from '../fixtures/job_cluster.js';
import {SilentOutput} from '../fixtures/silent_output.js';

const AGENT = 'a0';
const JOB = 'j1';
const FIRST_TASK = `${JOB}.0.0.0`;
const KEY = workerKey(AGENT, 'w0', 1);
const PLAN_INTERVAL_MS = 50;

let nowMs: number;
let engine: JobEngine;
let index: JobIndex;
let table: RowTable;

function putRow(key: string, value: Uint8Array): void {
  table.apply({expect: [], put: [{key, value}], remove: []});
  const {version} = table;
  index.apply(parseRowKey(key)!, {key, value, version});
}

function makeEngine(): JobEngine {
  return new JobEngine(TEST_TABLES, {
    contactTimeoutMs: 60_000,
    endedJobRetentionMs: 60_000,
    onEvent: () => undefined,
  });
}

/** Commits as a leader does that has to renew its row. */
function commit(): void {
  for (
    let batch = engine.takeBatch(true);
    batch;
    batch = engine.takeBatch(true)
  ) {
    for (const {key, value} of batch.puts) putRow(key, value);
    engine.confirmCommit(batch.orders, nowMs);
  }
}

function report(
  runs: readonly RunStatus[],
  ends: readonly EndReport[] = [],
): void {
  const worker: WorkerReport = {
    id: 'w0',
    bornMs: 1,
    service: TEST_QUEUE.service,
    dataCentre: 'dc1',
    rack: 'r1',
    labels: [],
    capacity: {cpu: 8000, memoryMb: 8000, accelerators: 8},
    draining: false,
    drainRemainingMs: 0,
  };
  engine.recordInventory(AGENT, {worker, runs, ends}, nowMs);
}

function makeJob(tasks: number): JobSpec {
  return {
    id: JOB,
    queue: TEST_QUEUE.name,
    acceptedWallMs: nowMs,
    payload: 'p',
    steps: [makeStep({count: tasks})],
    queueAtHandIn: TEST_QUEUE,
  };
}

function reportFirstTask(isRunning: boolean): void {
  report([{task: FIRST_TASK, run: 1, isRunning, checkpoint: '', percent: 0}]);
}

function reportEnd(kind: RunEndKind): void {
  report([], [{number: 1, task: FIRST_TASK, run: 1, kind, checkpoint: ''}]);
}

function loseWorker(): void {
  engine.markWorkerLost(KEY, 'its leases have expired', nowMs);
}

Given('a leader with one worker', () => {
  nowMs = 1000;
  engine = makeEngine();
  index = new JobIndex();
  table = new RowTable();
  report([]);
});

When('a job of {int} tasks is accepted and placed', (tasks: number) => {
  const job = makeJob(tasks);
  putRow(rowKeys.job(JOB), encodeJob(job));
  engine.addJob(job, nowMs, nowMs);
  nowMs += PLAN_INTERVAL_MS;
  engine.plan(nowMs);
  commit();
  assert.equal(engine.placedUnitCount, tasks);
});

When(
  /^the worker reports that the first task is (being started|running)$/,
  (phase: string) => reportFirstTask(phase === 'running'),
);

When(
  /^the worker reports that the first task (is done|was stopped)$/,
  (end: string) =>
    reportEnd(end === 'is done' ? RunEndKind.DONE : RunEndKind.STOPPED),
);

When('the start of the first task is refused', () =>
  engine.recordRefusal(
    {worker: KEY, task: FIRST_TASK, run: 1, reason: 'room'},
    nowMs,
  ),
);

When('the worker is lost', loseWorker);

When('the first task runs, and the worker is lost', () => {
  reportFirstTask(true);
  loseWorker();
});

When('the job is cancelled', () => {
  putRow(rowKeys.cancellation(JOB), encodeCancellation());
  engine.cancelJob(JOB, nowMs);
});

Then(/^the gates count (\d+) waiting jobs?$/, (waiting: string) => {
  commit();
  assert.equal(index.countWaiting(TEST_QUEUE.name), Number(waiting));
});

Then(
  /^the gates count (\d+) waiting jobs?, (?:which is|and the job is) (\w+)$/,
  (waiting: string, state: string) => {
    commit();
    assert.equal(index.countWaiting(TEST_QUEUE.name), Number(waiting));
    assert.equal(index.stateOf(JOB), state);
  },
);

Then(
  /^a leader that takes over counts (\d+) waiting jobs$/,
  (waiting: string) => {
    engine = makeEngine();
    engine.restore(index, nowMs, nowMs);
    commit();
    assert.equal(index.countWaiting(TEST_QUEUE.name), Number(waiting));
  },
);

Then(
  /^a gate without a copy of its rows reads that it is (\w+)$/,
  async (state: string) => {
    commit();
    const clock = new SystemClock();
    const service = new JobService(
      new MemoryStateStore(table),
      new JobIndex(),
      {
        clock,
        log: new EventLog('gate', clock, new SilentOutput()).forComponent(
          'jobs',
        ),
        metrics: new Metrics(),
        freshAsOfMs: () => clock.nowMs(),
        capacities: () => new Map(),
      },
    );
    assert.deepEqual(await service.getState(JOB), {type: 'found', state});
  },
);

Then('there is nothing to commit', () =>
  assert.equal(engine.takeBatch(), undefined),
);

Then('a commit that is due writes {int} row', (rows: number) =>
  assert.equal(engine.takeBatch(true)?.puts.length, rows),
);

Given(
  'a stored task record of an earlier version with run {int}',
  (run: number) => {
    nowMs = 1000;
    engine = makeEngine();
    index = new JobIndex();
    table = new RowTable();
    putRow(rowKeys.job(JOB), encodeJob(makeJob(1)));
    const ref = {job: JOB, occurrence: 0, step: 0, block: 0};
    const record = [TaskState.PLACED, run, KEY, '', 0];
    putRow(
      rowKeys.block(ref),
      new Packr({useRecords: false}).pack([record]) as StoredRow['value'] &
        Uint8Array,
    );
  },
);
