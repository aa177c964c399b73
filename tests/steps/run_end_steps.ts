/** Steps on events that an agent or a leader could mistake for the end of a run. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type RunStatus} from '../../src/jobs/engine_messages.js';
import {JobEngine} from '../../src/jobs/job_engine.js';
import {workerKey} from '../../src/jobs/worker_pool.js';
import {
  type AgentHandle,
  TEST_QUEUE,
  TEST_TABLES,
  makeStep,
} from '../fixtures/job_cluster.js';
import {sleep} from '../../src/plugins/sleep.js';
import {runningCluster, submitJob} from './job_steps.js';

const STEP_TIMEOUT_MS = 60_000;
/** Time for which a restarting worker refuses calls, in ms. */
const RESTART_MS = 300;

function firstAgent(): AgentHandle {
  return runningCluster().agents[0];
}

/** Waits until the agent knows the lists of a restarted worker. */
function untilAgentHasLists(): Promise<void> {
  return runningCluster().until(
    'the agent has received the lists',
    // The first answer may go to the driver of the earlier incarnation.
    () => firstAgent().worker.answeredRenewals > 1,
  );
}

Given(
  'the worker holds back starts, and takes {int} ms to stop a run',
  (stopMs: number) => {
    Object.assign(firstAgent().worker.faults, {heldStarts: Infinity, stopMs});
  },
);

Given('the worker holds back the next start', () => {
  firstAgent().worker.faults.heldStarts = 1;
});

When(
  'a task is submitted that needs a worker of kind {word}',
  {timeout: STEP_TIMEOUT_MS},
  (requiredLabel: string) =>
    submitJob(runningCluster().makeJob([makeStep({requiredLabel})])),
);

When('the worker has got a start', {timeout: STEP_TIMEOUT_MS}, () =>
  runningCluster().until(
    'a start is held back',
    () => firstAgent().worker.hasHeldStarts,
  ),
);

When('another agent joins', () => runningCluster().addAgent());

When(
  'the worker restarts with the same id as kind {word}',
  async (kind: string) => {
    const {worker} = firstAgent();
    firstAgent().kind = kind;
    worker.faults.heldStarts = 0;
    worker.terminate();
    await sleep(RESTART_MS);
    worker.restart();
  },
);

When('its next heartbeat comes {int} ms later', (delayMs: number) => {
  runningCluster().delayHeartbeats(firstAgent(), delayMs);
});

When(
  'the agent has received its lists',
  {timeout: STEP_TIMEOUT_MS},
  untilAgentHasLists,
);

When('it executes the starts that it held back', () => {
  const {worker} = firstAgent();
  worker.faults.hasNoRoom = false;
  worker.executeHeldStarts();
});

When(
  'the worker drains, deregisters and terminates {int} ms later',
  {timeout: STEP_TIMEOUT_MS},
  (afterMs: number) => runningCluster().deregisterWorker(firstAgent(), afterMs),
);

When(
  'the worker drains and terminates without a word at its announced end',
  {timeout: STEP_TIMEOUT_MS},
  () => runningCluster().reclaimWorker(firstAgent()),
);

When(
  'the worker drains, ends its run, deregisters and terminates when it is answered',
  {timeout: STEP_TIMEOUT_MS},
  () => runningCluster().finishAndDeregister(firstAgent()),
);

When('its agent terminates', () =>
  runningCluster().terminateAgent(firstAgent()),
);

When(
  'the worker has listed the end of its run and crashes',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    const {worker} = firstAgent();
    const cluster = runningCluster();
    await cluster.until('a run ends', () => worker.hasUnacknowledgedEnds);
    const {answeredRenewals} = worker;
    await cluster.until(
      'the agent gets a list that was requested after that',
      () => worker.answeredRenewals > answeredRenewals + 1,
    );
    worker.crash();
  },
);

When('the agent is restarted and gets one answer of the worker', async () => {
  firstAgent().worker.faults.renewalsUntilUnresponsive = 1;
  await runningCluster().restartAgent(firstAgent());
});

When('the agent is restarted and the worker has no room', async () => {
  Object.assign(firstAgent().worker.faults, {heldStarts: 0, hasNoRoom: true});
  await runningCluster().restartAgent(firstAgent());
});

When(
  'the worker restarts with the same id and an earlier start time',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    const {worker} = firstAgent();
    worker.restart(worker.id, worker.bornMs - 1);
    await untilAgentHasLists();
  },
);

When('a heartbeat of its earlier incarnation arrives late', () => {
  const {agent, worker} = firstAgent();
  agent.recordHeartbeat(
    runningCluster().makeReport(firstAgent(), worker.bornMs + 1),
  );
});

const ENGINE_AGENT = 'agent-0';
const ENGINE_WORKER = 'w-0';
const ENGINE_RUN: RunStatus = {
  task: 'j1.0.0.0',
  run: 1,
  isRunning: true,
  checkpoint: '',
  percent: 0,
};
let engine: JobEngine;
let lostRuns: string[] = [];
let earlierBornMs = 0;

function reportInventory(bornMs: number, runs: readonly RunStatus[]): void {
  const worker = {
    id: ENGINE_WORKER,
    bornMs,
    service: TEST_QUEUE.service,
    dataCentre: 'dc1',
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: {cpu: 8000, memoryMb: 8000, accelerators: 8},
    draining: false,
    drainRemainingMs: 0,
  };
  engine.recordInventory(ENGINE_AGENT, {worker, runs, ends: []}, 0);
}

Given(
  'a leader that knows a run on a worker started at {int} ms, whose earlier incarnation started at {int} ms',
  (bornMs: number, earlierMs: number) => {
    lostRuns = [];
    earlierBornMs = earlierMs;
    engine = new JobEngine(TEST_TABLES, {
      contactTimeoutMs: 10_000,
      endedJobRetentionMs: 60_000,
      onEvent: ({event, task}) => {
        if (event === 'runLost') lostRuns.push(task!);
      },
    });
    reportInventory(earlierMs, []);
    engine.markWorkerLost(
      workerKey(ENGINE_AGENT, ENGINE_WORKER, earlierMs),
      'another incarnation answered',
      0,
    );
    reportInventory(bornMs, []);
    const job = {
      id: 'j1',
      queue: TEST_QUEUE.name,
      acceptedWallMs: 0,
      payload: 'p',
      steps: [makeStep()],
      queueAtHandIn: TEST_QUEUE,
    };
    engine.addJob(job, 0, 0);
    engine.plan(0);
    reportInventory(bornMs, [ENGINE_RUN]);
    assert.equal(engine.placedUnitCount, 1);
  },
);

When('an inventory of the earlier incarnation arrives late', () =>
  reportInventory(earlierBornMs, []),
);

Then('the run is not lost', () => assert.deepEqual(lostRuns, []));
