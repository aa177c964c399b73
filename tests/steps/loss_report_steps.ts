/** Steps on starts that an agent gets or holds when it reports its worker as lost. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {type WorkerInventory} from '../../src/jobs/engine_messages.js';
import {JobEngine} from '../../src/jobs/job_engine.js';
import {workerKey} from '../../src/jobs/worker_pool.js';
import {type AgentReport} from '../../src/protocol/job_messages.js';
import {TEST_QUEUE, TEST_TABLES, makeStep} from '../fixtures/job_cluster.js';
import {ScriptedAgent, WORKER_KEY} from '../fixtures/scripted_agent.js';

const STEP_TIMEOUT_MS = 60_000;
const TASK = 'j1.0.0.0';
const CLOCK_STEP_MS = 100;

let agent: ScriptedAgent | undefined;

After(async () => {
  await agent?.stop();
  agent = undefined;
});

Given(
  'an agent with an idle worker and leases of {int} ms',
  {timeout: STEP_TIMEOUT_MS},
  async (leaseMs: number) => {
    agent = new ScriptedAgent(leaseMs);
    await agent.start();
  },
);

function isLoss({lost}: AgentReport): boolean {
  return lost?.worker === WORKER_KEY;
}

function hasRun({inventory}: AgentReport, run: number): boolean {
  const runs = inventory?.runs ?? [];
  return runs.some(r => r.task === TASK && r.run === run && r.isRunning);
}

function hasRefusal({refusals}: AgentReport, run: number): boolean {
  return refusals.some(r => r.task === TASK && r.run === run);
}

When(
  'the leader sends run {int} just before it hears that the worker is lost',
  (run: number) => {
    const {onReport} = agent!;
    agent!.onReport = report => {
      onReport(report);
      if (isLoss(report)) agent!.order(TASK, run);
    };
  },
);

When(
  'the leader sends run {int} at the first inventory after a loss',
  (run: number) => {
    agent!.onReport = ({inventory}) => {
      if (!inventory || !agent!.reports.some(isLoss)) return;
      agent!.onReport = () => undefined;
      // After the answer to the report, as an order that follows from it.
      setImmediate(() => agent!.order(TASK, run));
    };
  },
);

When('the worker hangs', () => agent!.worker.hang());

When(
  'the worker hangs, and run {int} is ordered {int} ms after its last answer',
  {timeout: STEP_TIMEOUT_MS},
  async (run: number, afterMs: number) => {
    agent!.worker.hang();
    await agent!.advance(afterMs);
    agent!.order(TASK, run);
    await agent!.until(() => agent!.worker.startCalls.length > 0);
  },
);

When(
  'the worker answers again as soon as the leader hears that it is lost',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    const {onReport} = agent!;
    agent!.onReport = report => {
      onReport(report);
      if (isLoss(report)) agent!.worker.goOn();
    };
    while (!agent!.reports.some(isLoss)) await agent!.advance(CLOCK_STEP_MS);
  },
);

When(
  'there is no leader, and the worker hangs for {int} ms',
  {timeout: STEP_TIMEOUT_MS},
  async (ms: number) => {
    agent!.setLed(false);
    agent!.worker.hang();
    await agent!.advance(ms);
  },
);

When(
  'the worker answers again, has a run and hangs for {int} ms',
  {timeout: STEP_TIMEOUT_MS},
  async (ms: number) => {
    const {worker, clock} = agent!;
    worker.running.push({task: TASK, run: 1, checkpoint: '', percent: 0});
    worker.goOn();
    await agent!.until(() => worker.leaseUntilMs > clock.nowMs());
    worker.hang();
    await agent!.advance(ms);
  },
);

When('there is a leader again', {timeout: STEP_TIMEOUT_MS}, async () => {
  const known = agent!.reports.length;
  agent!.setLed(true);
  await agent!.until(() => agent!.reports.length > known);
});

When('the instance is suspended for {int} ms', (ms: number) =>
  agent!.clock.suspend(ms),
);

When(
  'the agent reports to the leader, and the worker answers again',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    const known = agent!.reports.length;
    while (agent!.reports.length === known) await agent!.advance(CLOCK_STEP_MS);
    agent!.worker.goOn();
  },
);

async function waitForOutcome(run: number): Promise<void> {
  const isOver = (r: AgentReport) => hasRefusal(r, run) || hasRun(r, run);
  while (!agent!.reports.some(isOver)) await agent!.advance(CLOCK_STEP_MS);
}

Then(
  'run {int} is refused, and its start is not sent again',
  {timeout: STEP_TIMEOUT_MS},
  async (run: number) => {
    await waitForOutcome(run);
    assert.equal(agent!.worker.startCalls.length, 1);
    assert.ok(agent!.reports.some(r => hasRefusal(r, run)));
  },
);

Then(
  'run {int} is refused, and the worker gets no start',
  {timeout: STEP_TIMEOUT_MS},
  async (run: number) => {
    await waitForOutcome(run);
    assert.deepEqual(agent!.worker.startCalls, []);
    assert.ok(agent!.reports.some(r => hasRefusal(r, run)));
  },
);

Then(
  'run {int}, which the leader orders after that, is started',
  {timeout: STEP_TIMEOUT_MS},
  async (run: number) => {
    agent!.onReport = () => undefined;
    agent!.order(TASK, run);
    await waitForOutcome(run);
    assert.ok(agent!.reports.some(r => hasRun(r, run)));
  },
);

Then(
  'run {int} is started',
  {timeout: STEP_TIMEOUT_MS},
  async (run: number) => {
    await waitForOutcome(run);
    assert.ok(!agent!.reports.some(r => hasRefusal(r, run)));
  },
);

Then('the worker is not reported as lost', () => {
  assert.deepEqual(agent!.reports.filter(isLoss), []);
});

const RESEND_AFTER_MS = 2000;
const INVENTORY: WorkerInventory = {
  worker: {
    id: 'w0',
    bornMs: 1,
    service: TEST_QUEUE.service,
    dataCentre: 'dc1',
    rack: 'r1',
    labels: [],
    capacity: makeStep().request,
    draining: false,
    drainRemainingMs: 0,
  },
  runs: [],
  ends: [],
};
let engine: JobEngine;

Given(
  'a leader that has ordered a start which the worker does not list',
  () => {
    engine = new JobEngine(TEST_TABLES, {
      contactTimeoutMs: 60_000,
      endedJobRetentionMs: 60_000,
      onEvent: () => undefined,
    });
    engine.recordInventory('a0', INVENTORY, 0);
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
    const orders = engine.takeBatch()!.orders;
    assert.equal(engine.confirmCommit(orders, 0).length, 1);
  },
);

When(
  'it gets an inventory, and in the same turn a report that the worker is lost',
  () => {
    engine.recordInventory('a0', INVENTORY, RESEND_AFTER_MS);
    const key = workerKey('a0', 'w0', 1);
    engine.markWorkerLost(key, 'all leases ran out', RESEND_AFTER_MS);
  },
);

Then('it sends no start', () => {
  const starts = engine.takeOrders().filter(o => o.order.type === 'start');
  assert.deepEqual(starts, []);
});
