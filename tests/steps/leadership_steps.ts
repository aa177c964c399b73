/** Steps on the gate's role as leader, with a store that is slower than its commits. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Random} from '../../src/core/random.js';
import {LeaderRole} from '../../src/gate/leader_role.js';
import {JobIndex} from '../../src/jobs/job_index.js';
import {
  TaskState,
  encodeBlock,
  encodeJob,
  parseRowKey,
  rowKeys,
} from '../../src/jobs/job_rows.js';
import {LeaderElection} from '../../src/jobs/leader_election.js';
import {EventLog} from '../../src/plugins/event_log.js';
import {Metrics} from '../../src/plugins/metrics.js';
import {sleep} from '../../src/plugins/sleep.js';
import {SystemClock} from '../../src/plugins/system_clock.js';
import {
  type Transaction,
  type TransactionResult,
} from '../../src/ports/state_store.js';
import {MemoryStateStore, RowTable} from '../../standins/row_store.js';
import {TEST_QUEUE, TEST_TABLES, makeStep} from '../fixtures/job_cluster.js';
import {SilentOutput} from '../fixtures/silent_output.js';

const COMMIT_MS = 10;

/** Store in which each transaction takes `COMMIT_MS`. */
class SlowStore extends MemoryStateStore {
  transactionCount = 0;

  override async transact(tx: Transaction): Promise<TransactionResult> {
    this.transactionCount++;
    await sleep(COMMIT_MS);
    return super.transact(tx);
  }
}

let store: SlowStore;
let leaderRole: LeaderRole;
let transactionsAtRelease: number;

/** Index of jobs that are done, but whose results are not stored yet. */
function indexOfDoneJobs(jobs: number): JobIndex {
  const jobIndex = new JobIndex();
  const done = {
    state: TaskState.DONE,
    run: 1,
    worker: '',
    checkpoint: '',
    failures: 0,
  };
  for (let i = 0; i < jobs; i++) {
    const job = {
      id: `j${i}`,
      queue: TEST_QUEUE.name,
      acceptedWallMs: 0,
      payload: 'p',
      steps: [makeStep()],
      queueAtHandIn: TEST_QUEUE,
    };
    const ref = {job: job.id, occurrence: 0, step: 0, block: 0};
    for (const [key, value] of [
      [rowKeys.job(job.id), encodeJob(job)],
      [rowKeys.block(ref), encodeBlock([done])],
    ] as const)
      jobIndex.apply(parseRowKey(key)!, {key, value, version: 1});
  }
  return jobIndex;
}

/** Starts a leader that knows the jobs of this index. */
export async function startLeader(
  store: MemoryStateStore,
  jobIndex: JobIndex,
  endedJobRetentionMs: number,
): Promise<LeaderRole> {
  const clock = new SystemClock();
  const log = new EventLog('gate-0', clock, new SilentOutput());
  const times = {takeoverMs: 2000, spreadMs: 0, weaknessDelayMs: 0};
  const election = new LeaderElection(times, clock.nowMs(), () => 0);
  const leaderRole = new LeaderRole(
    store,
    election,
    jobIndex,
    TEST_TABLES,
    {onOrders: () => undefined, onLeadershipChange: () => undefined},
    {
      clock,
      random: new Random(1),
      log: log.forComponent('seat'),
      metrics: new Metrics(),
      incarnation: 'gate-0-1',
      address: () => '127.0.0.1:7000',
      engineOptions: {
        contactTimeoutMs: 10_000,
        endedJobRetentionMs,
        onEvent: () => undefined,
      },
      maxCommitIntervalMs: 500,
      takeoverMs: times.takeoverMs,
    },
  );
  leaderRole.tick(clock.nowMs());
  while (!leaderRole.engine) {
    await sleep(COMMIT_MS);
    leaderRole.onSynced(Infinity);
  }
  return leaderRole;
}

Given(
  'a leader that has the results of {int} jobs to commit',
  async (jobs: number) => {
    store = new SlowStore(new RowTable());
    leaderRole = await startLeader(store, indexOfDoneJobs(jobs), 60_000);
  },
);

When('it releases its leadership', async () => {
  transactionsAtRelease = store.transactionCount;
  await leaderRole.releaseLeadership();
});

Then('it commits no more than {int} more times', (maxCommits: number) => {
  const commits = store.transactionCount - transactionsAtRelease;
  assert.ok(commits <= maxCommits, `${commits} commits`);
  assert.equal(leaderRole.engine, undefined);
});
