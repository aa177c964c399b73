/** Steps for workers that crash, with and without a task that causes it. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Packr} from 'msgpackr';
import {CrashDetector} from '../../src/agent/crash_detector.js';
import {
  type CrashCounts,
  type CrashSuspect,
  CrashSuspects,
  NO_CRASHES,
  isGivenUp,
} from '../../src/jobs/crash_suspects.js';
import {
  type JobSpec,
  type StepSpec,
  formatTaskName,
} from '../../src/jobs/job.js';
import {
  type TaskRecord,
  TaskState,
  decodeBlock,
  encodeBlock,
} from '../../src/jobs/job_rows.js';
import {type RenewReply} from '../../src/ports/task_worker.js';
import {CrashSimulation} from '../fixtures/crash_simulation.js';
import {TEST_QUEUE, makeStep} from '../fixtures/job_cluster.js';
import {runningCluster, submitJob} from './job_steps.js';

const STEP_TIMEOUT_MS = 60_000;

let crashingJob: JobSpec;

function taskOf(job: JobSpec, step: number, index: number): string {
  return formatTaskName({job: job.id, occurrence: 0, step, index});
}

function startsOf(task: string): number {
  return runningCluster().runMonitor.startCountOf(task);
}

/** Submits a job of which the first task crashes each worker that starts it. */
async function submitCrashingJob(
  first: Partial<StepSpec>,
  steps: number,
): Promise<void> {
  crashingJob = runningCluster().makeJob(
    Array.from({length: steps}, (unused, i) =>
      makeStep(i === 0 ? first : {after: [i - 1]}),
    ),
  );
  const crashingTasks = new Set([taskOf(crashingJob, 0, 0)]);
  for (const {worker} of runningCluster().agents)
    worker.faults.crashingTasks = crashingTasks;
  await submitJob(crashingJob);
}

When(
  'a job of 1 task is submitted that crashes each worker that starts it',
  {timeout: STEP_TIMEOUT_MS},
  () => submitCrashingJob({count: 1}, 1),
);

When(
  'a job of {int} tasks and a later step is submitted whose first task crashes each worker',
  {timeout: STEP_TIMEOUT_MS},
  (count: number) => submitCrashingJob({count}, 2),
);

When(
  'a gang of {int} tasks for whole workers is submitted whose first task crashes each worker',
  {timeout: STEP_TIMEOUT_MS},
  (count: number) => {
    const request = {cpu: 1000, memoryMb: 1000, accelerators: 8};
    return submitCrashingJob({count, gang: true, request}, 1);
  },
);

Then(
  'that task was started {int} times',
  {timeout: STEP_TIMEOUT_MS},
  async (times: number) => {
    const task = taskOf(crashingJob, 0, 0);
    await runningCluster().until(
      `${task} was started ${times} times`,
      () => startsOf(task) >= times,
    );
    assert.equal(startsOf(task), times);
  },
);

Then('that job is reported as failed', {timeout: STEP_TIMEOUT_MS}, () =>
  runningCluster().until(
    `job ${crashingJob.id} is failed`,
    async () => (await runningCluster().stateOf(crashingJob.id)) === 'failed',
  ),
);

Then('all other jobs are completed', {timeout: STEP_TIMEOUT_MS}, async () => {
  for (const {id} of otherJobs())
    await runningCluster().until(
      `job ${id} is completed`,
      async () => (await runningCluster().stateOf(id)) === 'completed',
    );
});

function otherJobs(): JobSpec[] {
  return runningCluster().jobs.filter(job => job !== crashingJob);
}

Then('no other task was started more than {int} times', (most: number) => {
  for (const job of otherJobs())
    for (let index = 0; index < job.steps[0].count; index++) {
      const task = taskOf(job, 0, index);
      assert.ok(startsOf(task) <= most, `${task}: ${startsOf(task)}`);
    }
});

Then('the later step was not begun', () => {
  assert.equal(startsOf(taskOf(crashingJob, 1, 0)), 0);
});

When(
  'the worker and its agent restart {int} times while its tasks run',
  {timeout: STEP_TIMEOUT_MS},
  async (times: number) => {
    const cluster = runningCluster();
    const [handle] = cluster.agents;
    for (let i = 0; i < times; i++) {
      await cluster.until(
        'the worker runs tasks',
        () => handle.worker.runningTasks.length > 0,
      );
      handle.worker.crash();
      await cluster.restartAgent(handle);
    }
  },
);

const CALL_TIMES = {requestedAtMs: 1000, answeredAtMs: 1020, timeoutMs: 600};
const LISTED: RenewReply = {
  type: 'listed',
  clockMs: 1,
  bornMs: 1,
  running: [],
  ended: [],
  hasMoreEnds: false,
};
let detector: CrashDetector;

Given('an agent whose worker has answered', () => {
  detector = new CrashDetector();
  detector.recordRenewal(LISTED, CALL_TIMES);
});

const CALLS: Readonly<Record<string, readonly RenewReply[]>> = {
  'are refused': [{type: 'refused'}],
  break: [{type: 'unanswered'}],
  'break and are answered again': [{type: 'unanswered'}, LISTED],
  'are answered by another incarnation': [{type: 'otherIncarnation'}],
  'break and are answered by another one': [
    {type: 'unanswered'},
    {type: 'refused'},
    {type: 'otherIncarnation'},
  ],
};

When(/^its calls to the worker (.+)$/, (end: string) => {
  if (end === 'get no answer in time')
    detector.recordRenewal(
      {type: 'unanswered'},
      {...CALL_TIMES, answeredAtMs: 1600},
    );
  else
    for (const reply of CALLS[end]) detector.recordRenewal(reply, CALL_TIMES);
});

Then(
  /^the worker (has|has not) crashed when another takes its place$/,
  (crashed: string) =>
    assert.equal(detector.crashedAtMs !== undefined, crashed === 'has'),
);

let counts: CrashCounts;

Given(
  'a task under which {int} workers crashed, {int} of them without other jobs',
  (total: number, alone: number) => {
    counts = {total, alone};
  },
);

Then(/^it is (given up|continued)$/, (verdict: string) =>
  assert.equal(isGivenUp(counts), verdict === 'given up'),
);

let suspects: CrashSuspect[];

When(
  '{int} workers crash within {int} ms, each with a run of {int} ms',
  (workers: number, withinMs: number, ageMs: number) => {
    const crashSuspects = new CrashSuspects<CrashSuspect>();
    suspects = Array.from({length: workers}, (unused, i) => ({
      jobId: `j${i}`,
      crashes: NO_CRASHES,
      crashedAfterMs: 0,
    }));
    suspects.forEach((task, i) => {
      const atMs = (i * withinMs) / (workers - 1);
      crashSuspects.recordCrash({atMs, runs: [{task, ageMs}]});
    });
  },
);

Then(/^(no|each) run is suspected$/, (which: string) => {
  const total = which === 'each' ? 1 : 0;
  assert.deepEqual(
    suspects.map(s => s.crashes.total),
    suspects.map(() => total),
  );
});

const RECORD: TaskRecord = {
  state: TaskState.WAITING,
  run: 3,
  worker: '',
  checkpoint: 'c',
  failures: 1,
};
let storedRecord: Uint8Array;

Given('a task record of the earlier version', () => {
  const {state, run, worker, checkpoint, failures} = RECORD;
  storedRecord = new Packr({useRecords: false}).pack([
    [state, run, worker, checkpoint, failures],
  ]);
});

Then('it is read as a task without crashes', () =>
  assert.deepEqual(decodeBlock(storedRecord), [
    {...RECORD, crashes: NO_CRASHES},
  ]),
);

Then('a record with 2 crashes is read as it was written', () => {
  const record = {...RECORD, crashes: {total: 2, alone: 1}};
  assert.deepEqual(decodeBlock(encodeBlock([record])), [record]);
});

const SUSPECT_JOB = 'suspect';
let simulation: CrashSimulation;
let healthyJobs: string[];
let crashingJobs: string[];

Given(
  '{int} simulated workers whose tasks run {int} ms',
  (workers: number, runMs: number) => {
    simulation = new CrashSimulation(workers, runMs);
    healthyJobs = [];
    crashingJobs = [];
    simulation.advance(200);
  },
);

Given(
  /^(\d+) (urgent )?jobs of (\d+) simulated tasks are submitted$/,
  (jobs: string, urgent: string | null, tasks: string) => {
    const priority = urgent ? 0 : TEST_QUEUE.priority;
    const queue = {...TEST_QUEUE, name: `queue-${priority}`, priority};
    for (let i = 0; i < Number(jobs); i++) {
      const id = `healthy-${i}`;
      healthyJobs.push(id);
      simulation.submit(id, [makeStep({count: Number(tasks)})], queue);
    }
    simulation.advance(1000);
  },
);

Then('{int} simulated tasks run', (running: number) => {
  const tasks = healthyJobs.map(id => `${id}.0.0.0`);
  assert.equal(tasks.filter(t => simulation.isRunning(t)).length, running);
});

function submitSimulatedCrashes(jobs: number): void {
  for (let i = 0; i < jobs; i++) {
    const id = `crashing-${i}`;
    crashingJobs.push(id);
    simulation.crashingTasks.add(`${id}.0.0.0`);
    simulation.submit(id, [makeStep()]);
  }
}

Given('a simulated job is submitted that crashes its workers', () =>
  submitSimulatedCrashes(1),
);

When(
  '{int} simulated jobs are submitted that crash their workers',
  (n: number) => submitSimulatedCrashes(n),
);

When(
  '{int} workers crash together {int} times, {int} ms apart',
  (workers: number, times: number, apartMs: number) => {
    for (let i = 0; i < times; i++) {
      simulation.crash(Array.from({length: workers}, (unused, w) => w));
      simulation.advance(apartMs);
    }
  },
);

function advanceUntil(check: () => boolean, limitMs: number): void {
  for (let ms = 0; ms < limitMs && !check(); ms += 100) simulation.advance(100);
}

function assertStates(
  jobs: readonly string[],
  state: string,
  ms: number,
): void {
  const states = (): (string | undefined)[] =>
    jobs.map(id => simulation.stateOf(id));
  advanceUntil(() => states().every(s => s === state), ms);
  assert.deepEqual(
    states(),
    jobs.map(() => state),
  );
}

Then('all simulated jobs are completed within {int} ms', (ms: number) =>
  assertStates(healthyJobs, 'completed', ms),
);

Then(
  /^(?:that simulated job is|these simulated jobs are) failed within (\d+) ms$/,
  (ms: string) => assertStates(crashingJobs, 'failed', Number(ms)),
);

Then('that simulated job is cancelled, and its task is not given up', () => {
  assertStates(crashingJobs, 'cancelled', 0);
  assert.ok(!simulation.events.some(e => e.event === 'taskGivenUp'));
});

When('1 worker crashes', () => simulation.crash([0]));

Then('no crash was counted', () =>
  assert.ok(!simulation.events.some(e => e.event === 'crashCounted')),
);

Then('that job runs alone after at most {int} ms', (ms: number) => {
  const task = `${SUSPECT_JOB}.0.0.0`;
  advanceUntil(() => simulation.isRunning(task), ms);
  assert.ok(simulation.isRunning(task));
  assert.deepEqual(simulation.tasksBeside(task), []);
});

Then(
  'no other simulated task was under more than {int} crashes',
  (most: number) => {
    const tasks = simulation.crashes
      .flatMap(c => c.tasks)
      .filter(t => !simulation.crashingTasks.has(t));
    for (const task of tasks)
      assert.ok(tasks.filter(t => t === task).length <= most, task);
  },
);

function crashUnderSuspect(times: number): void {
  const task = `${SUSPECT_JOB}.0.0.0`;
  simulation.submit(SUSPECT_JOB, [makeStep()]);
  for (let i = 0; i < times; i++) {
    advanceUntil(() => simulation.isRunning(task), 30_000);
    simulation.crash([simulation.workerOf(task)]);
    simulation.advance(3100);
  }
}

Given('a simulated job whose worker crashed {int} times', (times: number) => {
  crashUnderSuspect(times);
  advanceUntil(() => simulation.isRunning(`${SUSPECT_JOB}.0.0.0`), 10_000);
});

Given(
  'a simulated job is submitted and its worker has crashed {int} times',
  crashUnderSuspect,
);

When(
  'its worker crashes again and {int} urgent simulated jobs come',
  (jobs: number) => {
    simulation.crash([simulation.workerOf(`${SUSPECT_JOB}.0.0.0`)]);
    const queue = {...TEST_QUEUE, name: 'urgent', priority: 0};
    for (let i = 0; i < jobs; i++)
      simulation.submit(`urgent-${i}`, [makeStep({estimateMs: 3000})], queue);
    simulation.advance(3100);
  },
);

When('{int} ms pass', (ms: number) => simulation.advance(ms));

Then('nothing runs beside that job', () =>
  assert.deepEqual(simulation.tasksBeside(`${SUSPECT_JOB}.0.0.0`), []),
);

Then('other work runs beside that job', () =>
  assert.notDeepEqual(simulation.tasksBeside(`${SUSPECT_JOB}.0.0.0`), []),
);

Then('that job runs', () =>
  assert.ok(simulation.isRunning(`${SUSPECT_JOB}.0.0.0`)),
);

Then('no simulated task runs', () => {
  for (const job of [...healthyJobs, ...crashingJobs])
    assert.ok(!simulation.isRunning(`${job}.0.0.0`), job);
});

When('its third worker has crashed and it is cancelled', () => {
  advanceUntil(() => simulation.crashes.length === 3, 30_000);
  simulation.cancel(crashingJobs[0]);
});

When('a late order starts its task again', () =>
  simulation.reportLateStart(0, `${crashingJobs[0]}.0.0.0`, 3),
);

When('each crash is followed by a takeover', () => {
  for (let crashes = 1; crashes <= 3; crashes++) {
    advanceUntil(() => simulation.crashes.length >= crashes, 30_000);
    simulation.advance(500);
    simulation.takeOver();
  }
});

Then('it has crashed {int} workers', (crashes: number) =>
  assert.equal(simulation.crashes.length, crashes),
);
