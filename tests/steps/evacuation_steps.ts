/** Steps on the evacuation of data centres. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {EvacuationRows} from '../../platform/evacuation_rows.js';
import {type ClockReading, readClocks} from '../../src/core/clock_reading.js';
import {
  type AddressedOrder,
  type Order,
} from '../../src/jobs/engine_messages.js';
import {
  EvacuationKnowledge,
  type EvacuationNotice,
} from '../../src/jobs/evacuations.js';
import {
  type JobTables,
  type Queue,
  type Resources,
  type StepSpec,
} from '../../src/jobs/job.js';
import {type EngineEvent, JobEngine} from '../../src/jobs/job_engine.js';
import {FencingTokens} from '../../src/agent/fencing_tokens.js';
import {LeaderContact, LeaseRenewer} from '../../src/agent/lease_renewer.js';
import {WorkerDriver} from '../../src/agent/worker_driver.js';
import {type WorkerReport} from '../../src/jobs/worker_pool.js';
import {EventLog} from '../../src/plugins/event_log.js';
import {Metrics} from '../../src/plugins/metrics.js';
import {sleep} from '../../src/plugins/sleep.js';
import {SystemClock} from '../../src/plugins/system_clock.js';
import {RunMonitor, StandInTaskWorker} from '../../standins/task_worker.js';
import {
  JobCluster,
  TEST_QUEUE,
  TEST_TABLES,
  makeStep,
} from '../fixtures/job_cluster.js';
import {SilentOutput} from '../fixtures/silent_output.js';
import {runningCluster, setCluster} from './job_steps.js';

const STEP_TIMEOUT_MS = 60_000;
const WHOLE_WORKER: Resources = {
  cpu: 8000,
  memoryMb: 8000,
  accelerators: 8,
};
const ONE_ACCELERATOR: Resources = {
  cpu: 1000,
  memoryMb: 1000,
  accelerators: 1,
};
const URGENT_QUEUE: Queue = {...TEST_QUEUE, name: 'urgent', priority: 0};
const TABLES: JobTables = {
  ...TEST_TABLES,
  queues: new Map([
    [TEST_QUEUE.name, TEST_QUEUE],
    [URGENT_QUEUE.name, URGENT_QUEUE],
  ]),
};
/** Time after a takeover from which work is preempted, in ms. */
const PREEMPTS_FROM_MS = 1000;

interface LeaderFixture {
  readonly engine: JobEngine;
  readonly events: EngineEvent[];
  readonly dataCentres: readonly string[];
  readonly workersEach: number;
  nowMs: number;
  jobCount: number;
  /** Placements before the request. */
  placedBefore: number;
}

let leader: LeaderFixture;
let ordered: AddressedOrder[];

function makeReport(
  dataCentre: string,
  capacity: Resources = WHOLE_WORKER,
): WorkerReport {
  return {
    id: 'w',
    bornMs: 1,
    service: TEST_QUEUE.service,
    dataCentre,
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity,
    draining: false,
    drainRemainingMs: 0,
  };
}

/** Agents are named after their data centre and their number. */
function agentNames({dataCentres, workersEach}: LeaderFixture): string[] {
  return dataCentres.flatMap(dataCentre =>
    Array.from({length: workersEach}, (unused, i) => `${dataCentre}-${i}`),
  );
}

/** Reports all workers as empty, but for the runs that are placed there. */
function reportWorkers(): void {
  for (const agent of agentNames(leader)) {
    const worker = makeReport(agent.slice(0, agent.lastIndexOf('-')));
    const runs = startsOf(ordered)
      .filter(o => o.worker.startsWith(`${agent}|`))
      .map(({task, run}) => ({
        task,
        run,
        isRunning: true,
        checkpoint: '',
        percent: 10,
      }));
    leader.engine.recordInventory(
      agent,
      {worker, runs, ends: []},
      leader.nowMs,
    );
  }
}

function startsOf(
  orders: readonly AddressedOrder[],
): Extract<Order, {type: 'start'}>[] {
  return orders.flatMap(({order}) => (order.type === 'start' ? [order] : []));
}

function submit(change: Partial<StepSpec>, queue = TEST_QUEUE): void {
  const {engine, nowMs} = leader;
  const spec = {
    id: `j${leader.jobCount++}`,
    queue: queue.name,
    workspace: 'farm',
    acceptedWallMs: nowMs,
    payload: 'p',
    steps: [makeStep(change)],
    queueAtHandIn: queue,
  };
  engine.addJob(spec, nowMs, nowMs);
}

function plan(): void {
  leader.engine.plan(leader.nowMs);
}

function commit(): AddressedOrder[] {
  const {engine, nowMs} = leader;
  const {orders} = engine.takeBatch() ?? {orders: []};
  const confirmed = engine.confirmCommit(orders, nowMs);
  ordered.push(...confirmed);
  return confirmed;
}

function placements(): string[] {
  return leader.events
    .filter(e => e.event === 'placed')
    .map(e => e.worker!)
    .slice(leader.placedBefore);
}

function areIn(dataCentre: string, workers: readonly string[]): boolean {
  return workers.every(w => w.startsWith(`${dataCentre}-`));
}

Given(
  'a leader with {int} workers in each of the data centres {string} and {string}',
  (workersEach: number, first: string, second: string) => {
    const events: EngineEvent[] = [];
    ordered = [];
    leader = {
      engine: new JobEngine(TABLES, {
        contactTimeoutMs: 1e9,
        endedJobRetentionMs: 1e9,
        onEvent: event => events.push(event),
      }),
      events,
      dataCentres: [first, second],
      workersEach,
      nowMs: PREEMPTS_FROM_MS,
      jobCount: 0,
      placedBefore: 0,
    };
    reportWorkers();
  },
);

Given('2 tasks run in {string}', (dataCentre: string) => {
  const others = leader.dataCentres.filter(d => d !== dataCentre);
  leader.engine.setEvacuations(new Set(others));
  submit({count: 2, request: ONE_ACCELERATOR});
  plan();
  commit();
  leader.engine.setEvacuations(new Set());
  leader.placedBefore = placements().length;
  reportWorkers();
});

Given('batch work fills all workers', () => {
  submit({count: 2, request: WHOLE_WORKER, estimateMs: 60_000});
  plan();
  assert.equal(commit().length, 2);
  leader.nowMs += 10;
  reportWorkers();
});

When('{string} is evacuated', (dataCentre: string) =>
  leader.engine.setEvacuations(new Set([dataCentre])),
);

When('the evacuation of "north" is taken back', () => {
  leader.placedBefore += placements().length;
  leader.engine.setEvacuations(new Set());
});

When('a gang of 2 whole workers and 4 tasks are submitted', () => {
  submit({count: 2, request: WHOLE_WORKER, gang: true});
  submit({count: 4, request: WHOLE_WORKER});
  plan();
  commit();
});

Then('all of it that is placed is placed in {string}', (dataCentre: string) => {
  assert.equal(placements().length, 2);
  assert.ok(areIn(dataCentre, placements()));
});

Then('the 2 tasks in "north" run on', () => {
  const stops = leader.engine.takeOrders().filter(o => o.order.type === 'stop');
  assert.deepEqual(stops, []);
});

Then('the rest is placed at once in {string}', (dataCentre: string) => {
  plan();
  // One of its workers is occupied by the tasks that ran on.
  assert.equal(placements().length, 1);
  assert.ok(areIn(dataCentre, placements()));
});

When('guaranteed work for a whole worker is submitted', () => {
  submit({request: WHOLE_WORKER, estimateMs: 100}, URGENT_QUEUE);
  plan();
});

Then('only runs in {string} are preempted', (dataCentre: string) => {
  const stops = leader.engine.takeOrders().map(o => o.order);
  assert.equal(stops.length, 1);
  assert.ok(areIn(dataCentre, [stops[0].worker]));
});

When(
  /^2 tasks for whole workers are (placed|ordered), and "(\w+)" is evacuated before (?:the commit|a run is listed)$/,
  (state: string, dataCentre: string) => {
    submit({count: 2, request: WHOLE_WORKER});
    plan();
    assert.equal(placements().length, 2);
    if (state === 'ordered') assert.equal(commit().length, 2);
    leader.engine.setEvacuations(new Set([dataCentre]));
  },
);

Then('starts are ordered in {string} only', (dataCentre: string) => {
  const starts = startsOf(commit());
  assert.equal(starts.length, 1);
  assert.ok(areIn(dataCentre, [starts[0].worker]));
});

Then(
  'after {int} ms the run in {string} is stopped and that in {string} is ordered again',
  (ms: number, stopped: string, repeated: string) => {
    leader.nowMs += ms;
    ordered = [];
    reportWorkers();
    const orders = leader.engine.takeOrders().map(o => o.order);
    const workers = (type: string): string[] =>
      orders.flatMap(o => (o.type === type ? [o.worker] : []));
    assert.equal(orders.length, 2);
    assert.ok(areIn(stopped, workers('stop')));
    assert.ok(areIn(repeated, workers('start')));
  },
);

Given(
  '{int} gates and {int} agents in different data centres whose tasks run {int} ms',
  {timeout: STEP_TIMEOUT_MS},
  async (gates: number, agents: number, runMs: number) => {
    const cluster = new JobCluster();
    setCluster(cluster);
    cluster.dataCentreOf = name => `dc-${name}`;
    cluster.evacuationMs = 5000;
    await cluster.start(gates, agents, runMs);
  },
);

function firstAgent(): {name: string; worker: StandInTaskWorker} {
  return runningCluster().agents[0];
}

When('the first data centre is evacuated', () =>
  runningCluster().setEvacuations([`dc-${firstAgent().name}`]),
);

When('the evacuation is taken back', () => runningCluster().setEvacuations([]));

Then('the worker in the first data centre started nothing', () =>
  assert.equal(firstAgent().worker.startCount, 0),
);

Then(
  'the worker in the first data centre starts something',
  {timeout: STEP_TIMEOUT_MS},
  () =>
    runningCluster().until(
      'the worker starts something',
      () => firstAgent().worker.startCount > 0,
    ),
);

interface AgentFixture {
  readonly worker: StandInTaskWorker;
  readonly driver: WorkerDriver;
  readonly knowledge: EvacuationKnowledge;
  started: Promise<void>;
}

const MAX_NOTICE_AGE_MS = 4000;
const LEASE = {leaseMs: 1500, isolationMs: 2500};
const clock = new SystemClock();
let agent: AgentFixture | undefined;

After(() => {
  agent?.driver.close();
  agent?.worker.dispose();
  agent = undefined;
});

async function startAgent(notice: EvacuationNotice): Promise<void> {
  const log = new EventLog('agent', clock, new SilentOutput());
  const contact = new LeaderContact();
  contact.record(readClocks(clock));
  const worker = new StandInTaskWorker(clock, new RunMonitor(), 'w', 1, 1e6);
  const knowledge = new EvacuationKnowledge(MAX_NOTICE_AGE_MS);
  knowledge.record(notice, readClocks(clock));
  const driver = new WorkerDriver('north-0', makeReport('north'), {
    worker,
    clock,
    log: log.forComponent('worker'),
    metrics: new Metrics(),
    lease: new LeaseRenewer(LEASE, contact),
    tokens: new FencingTokens(clock),
    evacuations: knowledge,
    stopMs: 500,
    epoch: () => 1,
    onStatusChange: () => undefined,
    onOtherIncarnation: () => undefined,
    onDeparture: () => undefined,
  });
  agent = {worker, driver, knowledge, started: Promise.resolve()};
  while (!driver.isReachable) await sleep(5);
}

Given('an agent that was told that {string} is evacuated', (name: string) =>
  startAgent({version: 1, dataCentres: [name], ageMs: 100}),
);

Given(
  'an agent that was told {int} ms ago that nothing is evacuated',
  (ageMs: number) => startAgent({version: 1, dataCentres: [], ageMs}),
);

When('a start is ordered on its worker in "north"', () => {
  const {driver} = agent!;
  agent!.started = driver.start({
    type: 'start',
    worker: driver.key,
    task: 'j.0.0.0',
    run: 1,
    payload: 'p',
    checkpoint: '',
    isRepeated: false,
  });
});

Then('the worker gets no start, and it is refused', async () => {
  await agent!.started;
  assert.equal(agent!.worker.startCount, 0);
  const [refusal] = agent!.driver.takeRefusals();
  assert.equal(refusal.reason, 'the data centre is evacuated');
});

Then('the worker gets no start', async () => {
  await sleep(200);
  assert.equal(agent!.worker.startCount, 0);
});

When('the agent is told that nothing is evacuated', () => {
  const notice = {version: 2, dataCentres: [], ageMs: 100};
  agent!.knowledge.record(notice, readClocks(clock));
});

Then('the worker gets the start', async () => {
  await agent!.started;
  assert.equal(agent!.worker.startCount, 1);
});

let knowledge: EvacuationKnowledge;

Given(
  'an agent that starts nothing on notices older than {int} ms',
  (maxAgeMs: number) => {
    knowledge = new EvacuationKnowledge(maxAgeMs);
  },
);

Given('an agent of a deployment without a bound on evacuations', () => {
  knowledge = new EvacuationKnowledge(undefined);
});

/** Time of the agent on both clocks, of which the wall clock counts suspensions. */
function at(nowMs: number, suspendedMs = 0): ClockReading {
  return {nowMs, wallMs: nowMs + suspendedMs};
}

const NOTICE_PATTERN =
  /^v(\d+) (?:aged (\d+) for (\d+)|announced): (none|\w+)$/;

When(/^it gets these notices:(.*)$/, (notices: string) => {
  for (const text of notices.split(',').filter(n => n.trim())) {
    const match = NOTICE_PATTERN.exec(text.trim());
    assert.ok(match, `expected a notice, got ${text}`);
    const [, version, age, requestedAt, dataCentre] = match;
    knowledge.record(
      {
        version: Number(version),
        dataCentres: dataCentre === 'none' ? [] : [dataCentre],
        ageMs: Number(age ?? 0),
      },
      requestedAt === undefined ? undefined : at(Number(requestedAt)),
    );
  }
});

Then(
  /^at (\d+) ms(?:, after it was suspended for (\d+) ms,)? a start in "(\w+)" is (\w+)$/,
  (nowMs: string, suspendedMs: string, dataCentre: string, result: string) => {
    const reading = at(Number(nowMs), Number(suspendedMs ?? 0));
    const bar = knowledge.barFor(dataCentre, reading);
    assert.equal(bar ?? 'allowed', result);
  },
);

let rows: EvacuationRows;

function applyRequest(dataCentre: string): void {
  rows.apply({
    key: `evacuate/${dataCentre}`,
    version: 1,
    value: Buffer.from('{}'),
  });
}

Given(
  "a copy of the operator's table with requests for {string} and {string}",
  (first: string, second: string) => {
    rows = new EvacuationRows();
    applyRequest(first);
    applyRequest(second);
    assert.deepEqual(rows.publish(), {begun: [first, second], ended: []});
  },
);

When(
  'all rows are read again and only {string} is requested',
  (dataCentre: string) => {
    rows.reset();
    applyRequest(dataCentre);
  },
);

Then(
  'only {string} is evacuated, and {string} was until the copy was complete',
  (kept: string, ended: string) => {
    assert.deepEqual(new Set(rows.current), new Set([kept, ended]));
    assert.deepEqual(rows.publish(), {begun: [], ended: [ended]});
    assert.deepEqual([...rows.current], [kept]);
    assert.equal(rows.publish(), undefined);
  },
);
