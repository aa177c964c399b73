/** Steps on jobs that are cancelled before they are stored. */
import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import {Given, Then, When} from '@cucumber/cucumber';
import {type LeaderRole} from '../../src/gate/leader_role.js';
import {type JobSpec, JobState} from '../../src/jobs/job.js';
import {JobIndex} from '../../src/jobs/job_index.js';
import {
  encodeCancellation,
  encodeJob,
  parseRowKey,
  rowKeys,
} from '../../src/jobs/job_rows.js';
import {sleep} from '../../src/plugins/sleep.js';
import {MemoryStateStore, RowTable} from '../../standins/row_store.js';
import {
  type GateHandle,
  TEST_QUEUE,
  makeStep,
} from '../fixtures/job_cluster.js';
import {runningCluster, submitJob} from './job_steps.js';
import {startLeader} from './leadership_steps.js';

const TIMEOUT_MS = 30_000;
const CALL_TIMEOUT_MS = 3000;
/** Time in which a job that may run would have started, in ms. */
const START_TIME_MS = 1000;

let job: JobSpec;

async function cancel(id: string, {gate}: GateHandle): Promise<string> {
  return gate.jobService.cancel(id, CALL_TIMEOUT_MS);
}

Given('the store will apply the next submission late', () => {
  runningCluster().gates[0].store.faults.delayedWrites = 1;
});

When(
  'a client submits a job, gets no answer and cancels the job at the other gate',
  async () => {
    const [first, second] = runningCluster().gates;
    job = runningCluster().makeJob([makeStep()]);
    const {type} = await first.gate.jobService.submit(job, CALL_TIMEOUT_MS);
    assert.equal(type, 'unknown');
    assert.equal(await cancel(job.id, second), 'absent');
  },
);

When('a client cancels a job that is not stored', async () => {
  job = runningCluster().makeJob([makeStep()]);
  assert.equal(await cancel(job.id, runningCluster().gates[0]), 'absent');
});

When('the client cancels it again', async () => {
  for (const gate of runningCluster().gates)
    assert.equal(await cancel(job.id, gate), 'absent');
});

When('the client submits the job', () => submitJob(job));

Then(
  'the job is stored as cancelled, and no task of it has started',
  {timeout: TIMEOUT_MS},
  async () => {
    const cluster = runningCluster();
    const key = rowKeys.job(job.id);
    await cluster.until(
      'the job is stored',
      () => cluster.table.rowsWithPrefix(key).rows.length > 0,
    );
    await sleep(START_TIME_MS);
    assert.equal(cluster.runMonitor.startCountOf(`${job.id}.0.0.0`), 0);
    assert.equal(await cluster.stateOf(job.id), JobState.CANCELLED);
  },
);

Then('every gate knows no such job', async () => {
  for (const {gate} of runningCluster().gates) {
    const state = await gate.jobService.getState(job.id);
    assert.deepEqual(state, {type: 'absent'});
  }
});

When(
  'a client cancels {int} jobs that are not stored',
  {timeout: TIMEOUT_MS},
  async (jobs: number) => {
    const [first] = runningCluster().gates;
    for (let i = 0; i < jobs; i++)
      await cancel(randomBytes(8).toString('hex'), first);
  },
);

let copy: JobIndex;

function applyCancellation(index: JobIndex, value?: Uint8Array): void {
  const key = rowKeys.cancellation('j1');
  index.apply(parseRowKey(key)!, {key, value, version: 1});
}

Given('a copy of the rows with a cancellation of a job that never came', () => {
  copy = new JobIndex();
  applyCancellation(copy, encodeCancellation());
});

When('the cancellation is removed from the store', () =>
  applyCancellation(copy),
);

Then('the copy holds no job', () => assert.equal(copy.jobs.size, 0));

let leader: LeaderRole;
let table: RowTable;
let transactions: number;

/** Store that counts the transactions that remove cancellations. */
class CountingStore extends MemoryStateStore {
  override async transact(
    ...[tx]: Parameters<MemoryStateStore['transact']>
  ): ReturnType<MemoryStateStore['transact']> {
    if (tx.remove.some(k => k.startsWith('cancel/'))) transactions++;
    return super.transact(tx);
  }
}

Given(
  'a leader to which a cancellation looks like that of a job that never came',
  async () => {
    transactions = 0;
    const key = rowKeys.cancellation('j1');
    const value = encodeCancellation();
    table = new RowTable();
    table.apply({expect: [], put: [{key, value}], remove: []});
    const index = new JobIndex();
    applyCancellation(index, value);
    leader = await startLeader(new CountingStore(table), index, 0);
  },
);

Given('the job has just been stored', () => {
  const spec: JobSpec = {
    id: 'j1',
    queue: TEST_QUEUE.name,
    acceptedWallMs: 0,
    payload: 'p',
    steps: [makeStep()],
    queueAtHandIn: TEST_QUEUE,
  };
  const put = [{key: rowKeys.job('j1'), value: encodeJob(spec)}];
  table.apply({expect: [], put, remove: []});
});

When('the leader removes such cancellations', async () => {
  for (let i = 0; i < 5; i++) {
    leader.tick(Infinity);
    await sleep(20);
  }
});

Then('the cancellation is still stored', () =>
  assert.equal(table.rowsWithPrefix(rowKeys.cancellation('j1')).rows.length, 1),
);

Then('the leader does not try again', () => {
  assert.equal(transactions, 1);
  leader.stopWithoutRelease();
});
