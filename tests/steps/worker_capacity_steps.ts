/** Steps on workers whose capacity shrinks and grows. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {FencingTokens} from '../../src/agent/fencing_tokens.js';
import {EvacuationKnowledge} from '../../src/jobs/evacuations.js';
import {LeaderContact, LeaseRenewer} from '../../src/agent/lease_renewer.js';
import {WorkerDriver} from '../../src/agent/worker_driver.js';
import {Random} from '../../src/core/random.js';
import {
  type AddressedOrder,
  type EndReport,
  type RunStatus,
} from '../../src/jobs/engine_messages.js';
import {type Resources} from '../../src/jobs/job.js';
import {type EngineEvent, JobEngine} from '../../src/jobs/job_engine.js';
import {type WorkerReport} from '../../src/jobs/worker_pool.js';
import {EventLog} from '../../src/plugins/event_log.js';
import {Metrics} from '../../src/plugins/metrics.js';
import {sleep} from '../../src/plugins/sleep.js';
import {SystemClock} from '../../src/plugins/system_clock.js';
import {RunEndKind} from '../../src/ports/task_worker.js';
import {RunMonitor, StandInTaskWorker} from '../../standins/task_worker.js';
import {CapacitySimulation} from '../fixtures/capacity_simulation.js';
import {TEST_QUEUE, TEST_TABLES, makeStep} from '../fixtures/job_cluster.js';
import {SilentOutput} from '../fixtures/silent_output.js';

const HISTORY_SEED = 20261205;
const HISTORY_TIMEOUT_MS = 120_000;
const MAX_STEPS = 40;
const AGENT = 'agent-0';

function resourcesFor(accelerators: number): Resources {
  return {
    cpu: 1000 * accelerators,
    memoryMb: 1000 * accelerators,
    accelerators,
  };
}

function makeReport(accelerators: number): WorkerReport {
  return {
    id: 'w-0',
    bornMs: 1000,
    service: TEST_QUEUE.service,
    dataCentre: 'dc1',
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: resourcesFor(accelerators),
    draining: false,
    drainRemainingMs: 0,
  };
}

const HISTORY = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  workers: fc.integer({min: 1, max: 3}),
  steps: fc.array(
    fc.record({
      what: fc.constantFrom(
        'job',
        'job',
        'gang',
        'resize',
        'resize',
        'cancel',
        'takeOver',
        'wait',
        'wait',
      ),
      pick: fc.nat({max: 100}),
    }),
    {minLength: MAX_STEPS / 2, maxLength: MAX_STEPS},
  ),
});
type History = ReturnType<typeof HISTORY.generate>['value'];

let refusedStarts = 0;
let violations: string[];

function runHistory(history: History): CapacitySimulation {
  const simulation = new CapacitySimulation(
    new Random(history.seed),
    history.workers,
  );
  simulation.advance(600);
  for (const {what, pick} of history.steps) {
    const accelerators = 1 + (pick % 4);
    if (what === 'job') simulation.submit(1 + (pick % 5), accelerators, false);
    if (what === 'gang') simulation.submit(2, accelerators, true);
    if (what === 'resize') simulation.resize(pick, pick % 9);
    if (what === 'cancel') simulation.cancel(pick);
    if (what === 'takeOver') simulation.takeOver();
    simulation.advance(what === 'wait' ? 10 * pick : 20);
  }
  simulation.runToEnd();
  return simulation;
}

Given(
  '{int} random histories of workers whose capacity shrinks and grows',
  {timeout: HISTORY_TIMEOUT_MS},
  (histories: number) => {
    refusedStarts = 0;
    violations = [];
    fc.assert(
      fc.property(HISTORY, history => {
        const simulation = runHistory(history);
        refusedStarts += simulation.refusedStarts;
        violations.push(...simulation.violations);
      }),
      {seed: HISTORY_SEED, numRuns: histories},
    );
  },
);

Then('no start brings a worker over its newest reported capacity', () =>
  assert.deepEqual(
    violations.filter(v => v.includes(' brings ')),
    [],
  ),
);

Then('all jobs end once the workers have their full capacity', () =>
  assert.deepEqual(
    violations.filter(v => !v.includes(' brings ')),
    [],
  ),
);

Then('some starts were refused because the capacity had shrunk', () =>
  assert.ok(refusedStarts > 0),
);

let engine: JobEngine;
let events: EngineEvent[];
let nowMs = 0;
/** Runs that the worker lists. */
let listedRuns: RunStatus[];
let orderedStarts: AddressedOrder[];
let reportedAccelerators = 0;
let jobCount = 0;

function startLeader(): void {
  nowMs = 1000;
  events = [];
  listedRuns = [];
  orderedStarts = [];
  engine = new JobEngine(TEST_TABLES, {
    contactTimeoutMs: 1e9,
    endedJobRetentionMs: 1e9,
    onEvent: event => events.push(event),
  });
}

function reportWorker(
  accelerators = reportedAccelerators,
  ends: readonly EndReport[] = [],
): void {
  reportedAccelerators = accelerators;
  const worker = makeReport(accelerators);
  engine.recordInventory(AGENT, {worker, runs: listedRuns, ends}, nowMs);
}

function submit(count: number, accelerators: number, gang = false): void {
  const request = resourcesFor(accelerators);
  const job = {
    id: `j${jobCount++}`,
    queue: TEST_QUEUE.name,
    acceptedWallMs: nowMs,
    payload: 'p',
    steps: [makeStep({count, request, gang})],
    queueAtHandIn: TEST_QUEUE,
  };
  engine.addJob(job, nowMs, nowMs);
}

/** Commits all rows and adds the runs that are ordered to the worker. */
function commit(): void {
  const {orders} = engine.takeBatch() ?? {orders: []};
  for (const addressed of engine.confirmCommit(orders, nowMs)) {
    const {order} = addressed;
    if (order.type !== 'start') continue;
    orderedStarts.push(addressed);
    listedRuns.push(toStatus(order));
  }
}

function toStatus({task, run}: {task: string; run: number}): RunStatus {
  return {task, run, isRunning: true, checkpoint: '', percent: 0};
}

function endRun({task, run}: RunStatus): EndReport {
  listedRuns = listedRuns.filter(r => r.task !== task);
  return {number: 1, task, run, kind: RunEndKind.DONE, checkpoint: ''};
}

Given(
  /^a worker with (\d+) accelerators on which a (step|gang) of (\d+) tasks of (\d+) accelerators is placed$/,
  (capacity: string, kind: string, count: string, accelerators: string) => {
    startLeader();
    reportWorker(Number(capacity));
    submit(Number(count), Number(accelerators), kind === 'gang');
    engine.plan(nowMs);
    assert.equal(
      events.filter(e => e.event === 'placed').length,
      Number(count),
    );
  },
);

When(
  /^the worker's capacity changes to (\d+) accelerators(?: before the commit)?$/,
  (accelerators: string) => reportWorker(Number(accelerators)),
);

Then('{int} starts are ordered', (starts: number) => {
  commit();
  assert.equal(orderedStarts.length, starts);
  const stops = engine.takeOrders().filter(o => o.order.type === 'stop');
  assert.deepEqual(stops, []);
});

Then(
  'all tasks are ordered once the worker has {int} accelerators again',
  (accelerators: number) => {
    nowMs += 1000;
    reportWorker(accelerators);
    engine.plan(nowMs);
    commit();
    assert.equal(orderedStarts.length, 2);
  },
);

Given(
  'a worker with {int} accelerators that lists an unrecorded run of {int} accelerators',
  (capacity: number, accelerators: number) => {
    startLeader();
    reportWorker(capacity);
    submit(1, accelerators);
    engine.plan(nowMs);
    commit();
    const [unrecorded] = listedRuns;
    // The leader takes the run for over, and it appears on the worker later.
    listedRuns = [];
    engine.recordRefusal(
      {worker: workerKeyOf(orderedStarts[0]), ...unrecorded, reason: 'test'},
      nowMs,
    );
    engine.cancelJob(unrecorded.task.split('.')[0], nowMs);
    nowMs += 1000;
    listedRuns = [unrecorded];
    orderedStarts = [];
    reportWorker();
  },
);

function workerKeyOf({order}: AddressedOrder): string {
  return order.worker;
}

Given(
  'a worker with {int} accelerators that runs {int} tasks of {int} accelerators',
  (capacity: number, count: number, accelerators: number) => {
    startLeader();
    reportWorker(capacity);
    submit(count, accelerators);
    engine.plan(nowMs);
    commit();
    assert.equal(orderedStarts.length, count);
    orderedStarts = [];
  },
);

When(/^a task of (\d+) accelerators? is submitted$/, (accelerators: string) =>
  submit(1, Number(accelerators)),
);

Then('it is not placed', () => {
  engine.plan(nowMs);
  commit();
  assert.deepEqual(orderedStarts, []);
});

Then('no run is stopped', () =>
  assert.deepEqual(
    engine.takeOrders().filter(o => o.order.type === 'stop'),
    [],
  ),
);

Then(
  /^it is placed once (?:the end of the unrecorded run is listed|one of the runs has ended)$/,
  () => {
    reportWorker(reportedAccelerators, [endRun(listedRuns[0])]);
    nowMs += 1000;
    engine.plan(nowMs);
    commit();
    assert.equal(orderedStarts.length, 1);
  },
);

const LEASE = {leaseMs: 1500, isolationMs: 2500};
const ANSWER_LIMIT_MS = 10_000;

let driver: WorkerDriver | undefined;
let worker: StandInTaskWorker;

Given(
  'an agent whose worker reported {int} accelerators',
  async (accelerators: number) => {
    const clock = new SystemClock();
    const log = new EventLog(AGENT, clock, new SilentOutput());
    const contact = new LeaderContact();
    contact.record({nowMs: clock.nowMs(), wallMs: clock.wallMs()});
    worker = new StandInTaskWorker(clock, new RunMonitor(), 'w-0', 1000, 1e6);
    driver = new WorkerDriver(AGENT, makeReport(accelerators), {
      worker,
      clock,
      log: log.forComponent('worker'),
      metrics: new Metrics(),
      lease: new LeaseRenewer(LEASE, contact),
      tokens: new FencingTokens(clock),
      evacuations: new EvacuationKnowledge(undefined),
      stopMs: 500,
      epoch: () => 1,
      onStatusChange: () => undefined,
      onOtherIncarnation: () => undefined,
      onDeparture: () => undefined,
    });
    const untilMs = clock.nowMs() + ANSWER_LIMIT_MS;
    while (!driver.isReachable && clock.nowMs() < untilMs) await sleep(10);
    assert.ok(driver.isReachable);
  },
);

function orderStart(accelerators: number): Promise<void> {
  return driver!.start({
    type: 'start',
    worker: driver!.key,
    task: 'j1.0.0.0',
    run: 1,
    payload: 'p',
    checkpoint: '',
    isRepeated: false,
    workerCapacity: resourcesFor(accelerators),
  });
}

When('a start is ordered for a worker of {int} accelerators', orderStart);

When('the refusal is reported', () =>
  assert.equal(driver!.takeRefusals().length, 1),
);

When(
  'the worker reports {int} accelerators and the order is repeated',
  async (accelerators: number) => {
    driver!.update(makeReport(accelerators));
    await orderStart(accelerators);
  },
);

Then(/^the start is (sent|refused)$/, (result: string) => {
  assert.equal(worker.startCount, result === 'sent' ? 1 : 0);
  const refused = driver!.takeRefusals().map(r => r.task);
  assert.deepEqual(refused, result === 'sent' ? [] : ['j1.0.0.0']);
});

After(() => {
  driver?.close();
  if (driver) worker.dispose();
  driver = undefined;
});
