/** Steps for jobs on real gates and agents, with stand-ins of the store and workers. */
import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {JobIndex} from '../../src/jobs/job_index.js';
import {
  type RunStatus,
  type WorkerInventory,
} from '../../src/jobs/engine_messages.js';
import {type EngineEvent, JobEngine} from '../../src/jobs/job_engine.js';
import {
  type TaskRecord,
  TaskState,
  decodeJobResult,
  encodeBlock,
  encodeJobResult,
  encodeJob,
  parseRowKey,
  rowKeys,
} from '../../src/jobs/job_rows.js';
import {sleep} from '../../src/plugins/sleep.js';
import {type RowValue} from '../../src/ports/state_store.js';
import {RunEndKind} from '../../src/ports/task_worker.js';
import {Random} from '../../src/core/random.js';
import {
  TrackedJob,
  TrackedOccurrence,
  type TrackedStep,
} from '../../src/jobs/tracked_job.js';
import {type WorkerReport, workerKey} from '../../src/jobs/worker_pool.js';
import {
  formatTaskName,
  type JobSpec,
  type JobTables,
  type StepSpec,
  coreEquivalents,
} from '../../src/jobs/job.js';
import {
  type AgentHandle,
  type GateHandle,
  JobCluster,
  TEST_QUEUE,
  TEST_TABLES,
  makeStep,
} from '../fixtures/job_cluster.js';
import {RecoverySimulation} from '../fixtures/recovery_simulation.js';

const SUBMIT_TIMEOUT_MS = 5000;
const STEP_TIMEOUT_MS = 60_000;
/** Kinds of rows that belong to no job. */
const FLEET_ROW_KINDS: ReadonlySet<string> = new Set([
  'seat',
  'gate',
  'capacities',
  'departure',
]);
const HISTORY_SEED = 20261204;
const NO_FAILURES = 0;

let cluster: JobCluster | undefined;
let endedJobRetentionMs: number | undefined;
let takeoverMs: number | undefined;
let contactTimeoutMs: number | undefined;
let leaseMs: number | undefined;
let firstLeader: GateHandle | undefined;
let impossible: JobSpec | undefined;
let killedAtMs = 0;
let startCountsAtKill = new Map<string, number>();

export function runningCluster(): JobCluster {
  assert.ok(cluster, 'expected the scenario to start its gates first');
  return cluster;
}

/** Sets the gates and agents of the scenario, which are stopped at its end. */
export function setCluster(started: JobCluster): void {
  cluster = started;
}

After(async () => {
  await cluster?.stop();
  cluster = undefined;
  endedJobRetentionMs = undefined;
  takeoverMs = undefined;
  contactTimeoutMs = undefined;
  leaseMs = undefined;
});

Given('leases last {int} ms', (ms: number) => {
  leaseMs = ms;
});

Given('ended jobs are kept for {int} ms', (ms: number) => {
  endedJobRetentionMs = ms;
});

When(
  '{int} jobs of {int} tasks are submitted and run to their end',
  {timeout: STEP_TIMEOUT_MS},
  async (jobs: number, tasks: number) => {
    await submitJobs(jobs, tasks);
    await runningCluster().until(
      'all tasks are done',
      () => runningCluster().runMonitor.doneTasks.size === jobs * tasks,
    );
  },
);

Then(
  'all of their rows are removed from the store',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    await runningCluster().until('no row of a job is left', () =>
      runningCluster()
        .table.rowsWithPrefix('')
        .rows.every(r => FLEET_ROW_KINDS.has(parseRowKey(r.key)!.kind)),
    );
  },
);

export async function submitJob(job: JobSpec, at?: GateHandle): Promise<void> {
  const gate = (at ?? runningCluster().gates[0]).gate;
  await runningCluster().until(`job ${job.id} is accepted`, async () => {
    const result = await gate.jobService.submit(job, SUBMIT_TIMEOUT_MS);
    return result.type === 'accepted';
  });
}

async function submitJobs(
  jobs: number,
  tasks: number,
  at?: GateHandle,
): Promise<void> {
  const specs = Array.from({length: jobs}, () =>
    runningCluster().makeJob([makeStep({count: tasks})]),
  );
  await Promise.all(specs.map(s => submitJob(s, at)));
}

function otherGate(leader: GateHandle): GateHandle {
  const found = runningCluster().gates.find(g => g !== leader);
  assert.ok(found, 'expected another gate');
  return found;
}

function taskNames(): string[] {
  return runningCluster().jobs.flatMap(job =>
    job.steps.flatMap((step, s) =>
      Array.from({length: step.count}, (unused, index) =>
        formatTaskName({job: job.id, occurrence: 0, step: s, index}),
      ),
    ),
  );
}

Given(
  '{int} gates and {int} agents whose tasks run {int} ms',
  {timeout: STEP_TIMEOUT_MS},
  async (gates: number, agents: number, runMs: number) => {
    cluster = new JobCluster();
    if (leaseMs) cluster.setLeaseMs(leaseMs);
    Object.assign(cluster.times, endedJobRetentionMs && {endedJobRetentionMs});
    Object.assign(cluster.times, takeoverMs && {takeoverMs});
    Object.assign(cluster.times, contactTimeoutMs && {contactTimeoutMs});
    await cluster.start(gates, agents, runMs);
  },
);

Given(
  'the next {int} starts of each worker are executed {int} ms late',
  (starts: number, ms: number) => {
    for (const {worker} of runningCluster().agents) {
      worker.faults.delayedStarts = starts;
      worker.faults.startDelayMs = ms;
    }
  },
);

Given(
  'the next {int} starts of each worker are not answered',
  (starts: number) => {
    for (const {worker} of runningCluster().agents)
      worker.faults.lostResponses = starts;
  },
);

Given('every run fails on all workers', () => {
  for (const {worker} of runningCluster().agents)
    worker.faults.failsAllRuns = true;
});

Given(
  'the store loses the next {int} answers to the leader',
  (answers: number) => {
    firstLeader = runningCluster().leader!;
    firstLeader.store.faults.lostResponses = answers;
  },
);

Given(
  'the store executes the next {int} writes of the leader late',
  (writes: number) => {
    firstLeader = runningCluster().leader!;
    firstLeader.store.faults.delayedWrites = writes;
  },
);

Given('the store is down for all gates', () => {
  for (const {store} of runningCluster().gates) store.faults.isDown = true;
});

When(
  '{int} jobs of {int} tasks are submitted',
  {timeout: STEP_TIMEOUT_MS},
  (jobs: number, tasks: number) => submitJobs(jobs, tasks),
);

When(
  '{int} jobs of {int} tasks are submitted to the other gate',
  {timeout: STEP_TIMEOUT_MS},
  (jobs: number, tasks: number) =>
    submitJobs(jobs, tasks, otherGate(firstLeader!)),
);

When(
  'a gang of {int} tasks is submitted',
  {timeout: STEP_TIMEOUT_MS},
  async (tasks: number) => {
    const accelerators = 8;
    const request = {cpu: 1000, memoryMb: 1000, accelerators};
    await submitJob(
      runningCluster().makeJob([makeStep({count: tasks, gang: true, request})]),
    );
  },
);

When(
  'one job is submitted to each gate at the same time, and again after its end',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    const job = runningCluster().makeJob([makeStep()]);
    await Promise.all(runningCluster().gates.map(g => submitJob(job, g)));
    await runningCluster().untilAllEnd('completed');
    await Promise.all(runningCluster().gates.map(g => submitJob(job, g)));
  },
);

When(
  '{int} tasks are running',
  {timeout: STEP_TIMEOUT_MS},
  async (tasks: number) => {
    await runningCluster().until(
      `${tasks} tasks run`,
      () => runningCluster().runMonitor.runningTasks.length >= tasks,
    );
  },
);

Given('another gate takes over only after {int} ms', (ms: number) => {
  takeoverMs = ms;
});

When(
  'the leader crashes and restarts at its address',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    const {name, address} = await runningCluster().killLeader();
    await runningCluster().addGate(name, Number(address.split(':')[1]));
  },
);

Then('gates that do not lead have received no reports', () => {
  const {gates, leader} = runningCluster();
  const reportCount = (g: GateHandle): number =>
    g.metrics.counterValue('agent_reports');
  assert.ok(reportCount(leader!) > 0);
  for (const gate of gates)
    if (gate !== leader) assert.equal(reportCount(gate), 0, gate.name);
});

Given('a gate joins that takes over after {int} ms', async (ms: number) => {
  runningCluster().times.takeoverMs = ms;
  await runningCluster().addGate('gate-late');
});

/** Share of the agents that is killed together with the gates. */
const KILLED_AGENT_SHARES = {
  'all gates': 0,
  'all gates and half of the agents': 0.5,
  'all gates and all agents': 1,
} as const;

When(
  /^(all gates(?: and (?:half of the|all) agents)?) are killed and restarted (once|twice in a row)$/,
  {timeout: STEP_TIMEOUT_MS},
  async (killed: keyof typeof KILLED_AGENT_SHARES, times: string) => {
    const {agents} = runningCluster();
    const agentCount = agents.length * KILLED_AGENT_SHARES[killed];
    startCountsAtKill = startCounts();
    killedAtMs = performance.now();
    for (let i = 0; i < (times === 'once' ? 1 : 2); i++)
      await runningCluster().killAndRestart(agents.slice(0, agentCount));
  },
);

function startCounts(): Map<string, number> {
  return new Map(
    taskNames().map(t => [t, runningCluster().runMonitor.startCountOf(t)]),
  );
}

Then(
  'a waiting task is started, and the time to it is recorded',
  {timeout: STEP_TIMEOUT_MS},
  async function (this: World) {
    await runningCluster().until('a waiting task is started', () =>
      [...startCounts()].some(([t, n]) => n > startCountsAtKill.get(t)!),
    );
    const ms = Math.round(performance.now() - killedAtMs);
    this.log(`kill to the first order of the next leader: ${ms} ms`);
  },
);

When('the leader crashes', async () => {
  firstLeader = await runningCluster().killLeader();
});

When('the leader shuts down', {timeout: STEP_TIMEOUT_MS}, async () => {
  const leader = runningCluster().leader!;
  runningCluster().gates = runningCluster().gates.filter(g => g !== leader);
  await leader.gate.stop();
});

Given('an agent that reaches only the leader', () => {
  runningCluster().addAgent(runningCluster().leader!);
});

When('an agent joins that reaches only the other gate', () => {
  runningCluster().addAgent(otherGate(runningCluster().leader!));
});

Then(
  'each task is started a second time',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    await runningCluster().until('each task is started a second time', () =>
      taskNames().every(t => runningCluster().runMonitor.startCountOf(t) === 2),
    );
  },
);

When('the leader loses its connection to the store', () => {
  firstLeader = runningCluster().leader!;
  firstLeader.store.faults.isDown = true;
});

When('the first leader reaches the store again', () => {
  firstLeader!.store.faults.isDown = false;
});

When('another gate leads', {timeout: STEP_TIMEOUT_MS}, async () => {
  await runningCluster().until('another gate leads', () =>
    runningCluster().gates.some(g => g !== firstLeader && g.gate.isLeader),
  );
});

When('each agent is restarted', async () => {
  for (const agent of runningCluster().agents)
    await runningCluster().restartAgent(agent);
});

When('a worker restarts with the same id', () => {
  const handle = runningCluster().agents.find(
    a => a.worker.runningTasks.length > 0,
  );
  assert.ok(handle, 'expected a worker that runs tasks');
  handle.worker.restart();
});

When('an instance is lost', async () => {
  const handle = runningCluster().agents.find(
    a => a.worker.runningTasks.length > 0,
  );
  assert.ok(handle, 'expected a worker that runs tasks');
  await runningCluster().loseInstance(handle);
});

Given(
  'agents count as lost only after {int} ms without contact',
  (ms: number) => {
    contactTimeoutMs = ms;
  },
);

When(
  'a draining worker terminates, and its agent with it',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    const handle = runningCluster().agents.find(
      a => a.worker.runningTasks.length > 0,
    );
    assert.ok(handle, 'expected a worker that runs tasks');
    assert.equal(runningCluster().leader, undefined);
    await runningCluster().leaveInstance(handle);
    assert.equal(runningCluster().leader, undefined);
  },
);

When('a worker stops responding', () => {
  const handle = runningCluster().agents.find(
    a => a.worker.runningTasks.length > 0,
  );
  assert.ok(handle, 'expected a worker that runs tasks');
  handle.worker.faults.isUnresponsive = true;
});

When('the store discards its change history', () =>
  runningCluster().table.discardHistory(),
);

When('all jobs are cancelled', {timeout: STEP_TIMEOUT_MS}, async () => {
  const {jobService: service} = runningCluster().gates[0].gate;
  for (const job of runningCluster().jobs)
    assert.equal(await service.cancel(job.id, SUBMIT_TIMEOUT_MS), 'cancelled');
});

When(
  'a job requests {int} accelerators for one task',
  async (count: number) => {
    const request = {cpu: 1, memoryMb: 1, accelerators: count};
    impossible = runningCluster().makeJob([makeStep({request})]);
    await untilWorkerIsKnown(runningCluster().gates[0]);
  },
);

/** Waits until the gate rejects a job that no worker can be large enough for. */
async function untilWorkerIsKnown({gate}: GateHandle): Promise<void> {
  const request = {cpu: 1e9, memoryMb: 1, accelerators: 1};
  await runningCluster().until('the worker is known', async () => {
    const result = await gate.jobService.submit(
      {
        ...impossible!,
        id: randomBytes(8).toString('hex'),
        steps: [makeStep({request})],
      },
      SUBMIT_TIMEOUT_MS,
    );
    return result.type === 'invalid';
  });
}

Then('all jobs are completed', {timeout: STEP_TIMEOUT_MS}, () =>
  runningCluster().untilAllEnd('completed'),
);

Then('the jobs are reported as failed', {timeout: STEP_TIMEOUT_MS}, () =>
  runningCluster().untilAllEnd('failed'),
);

Then('all jobs are reported as cancelled', {timeout: STEP_TIMEOUT_MS}, () =>
  runningCluster().untilAllEnd('cancelled'),
);

Then('no task is running in the end', {timeout: STEP_TIMEOUT_MS}, async () => {
  await runningCluster().until(
    'nothing runs',
    () => runningCluster().runMonitor.runningTasks.length === 0,
  );
});

Then('no invariant of runs is violated', () => {
  assert.deepEqual(runningCluster().runMonitor.violations, []);
});

Then('no task was started twice', () => {
  const twice = taskNames().filter(
    t => runningCluster().runMonitor.startCountOf(t) > 1,
  );
  assert.deepEqual(twice, []);
});

Then('no task was started more than {int} times', (most: number) => {
  for (const task of taskNames())
    assert.ok(runningCluster().runMonitor.startCountOf(task) <= most, task);
});

Then('all members were started equally often', () => {
  const starts = new Set(
    taskNames().map(t => runningCluster().runMonitor.startCountOf(t)),
  );
  assert.equal(starts.size, 1);
});

Then(
  'a submission is refused and succeeds when repeated later',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    const job = runningCluster().makeJob([makeStep()]);
    const {jobService: service} = runningCluster().gates[0].gate;
    const result = await service.submit(job, SUBMIT_TIMEOUT_MS);
    assert.equal(result.type, 'refused');
    for (const {store} of runningCluster().gates) store.faults.isDown = false;
    await submitJob(job);
    await runningCluster().untilAllEnd('completed');
    runningCluster().jobs.pop();
  },
);

Then('it is rejected as invalid and not stored', () =>
  assertRejected(runningCluster().gates[0]),
);

Then(
  'each gate rejects it as invalid and does not store it',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    for (const handle of runningCluster().gates) {
      await untilWorkerIsKnown(handle);
      await assertRejected(handle);
    }
  },
);

async function assertRejected({gate}: GateHandle): Promise<void> {
  const result = await gate.jobService.submit(impossible!, SUBMIT_TIMEOUT_MS);
  assert.equal(result.type, 'invalid');
  assert.equal(
    runningCluster().table.rowsWithPrefix(`job/${impossible!.id}`).rows.length,
    0,
  );
}

interface History {
  readonly seed: number;
  readonly workers: number;
  readonly steps: readonly {
    readonly what:
      | 'job'
      | 'gang'
      | 'chain'
      | 'cancel'
      | 'takeOver'
      | 'takeOverUncommitted'
      | 'cut'
      | 'heal'
      | 'restart'
      | 'wait'
      | 'longWait';
    readonly pick: number;
  }[];
}

const HISTORY: fc.Arbitrary<History> = fc.record({
  seed: fc.nat(),
  workers: fc.integer({min: 1, max: 4}),
  steps: fc.array(
    fc.record({
      what: fc.constantFrom<History['steps'][number]['what']>(
        'job',
        'job',
        'gang',
        'chain',
        'cancel',
        'takeOver',
        'takeOverUncommitted',
        'cut',
        'heal',
        'restart',
        'wait',
        'wait',
        'longWait',
      ),
      pick: fc.nat(100),
    }),
    {minLength: 5, maxLength: 40},
  ),
});

function runHistory(history: History): RecoverySimulation {
  const simulation = new RecoverySimulation(
    new Random(history.seed),
    history.workers,
  );
  simulation.advance(600, true);
  for (const {what, pick} of history.steps) {
    const count = 1 + (pick % 5);
    if (what === 'job') simulation.submit([makeStep({count})]);
    if (what === 'gang') simulation.submit([makeStep({count, gang: true})]);
    if (what === 'chain')
      simulation.submit([makeStep({count}), makeStep({count: 2, after: [0]})]);
    if (what === 'cancel') simulation.cancel(pick);
    if (what === 'takeOver') simulation.takeOver(true);
    if (what === 'takeOverUncommitted') simulation.takeOver(false);
    if (what === 'cut') simulation.disconnectWorker(pick);
    if (what === 'heal') simulation.reconnectWorker(pick);
    if (what === 'restart') simulation.restartWorker(pick);
    if (what === 'wait') simulation.advance(50 * (1 + (pick % 20)), true);
    if (what === 'longWait') simulation.advance(200 * pick, true);
  }
  simulation.runToEnd();
  return simulation;
}

Then(
  '{int} random histories of leaders, agents, workers and orders violate no invariant',
  {timeout: 4 * STEP_TIMEOUT_MS},
  (histories: number) => {
    let takeovers = 0;
    fc.assert(
      fc.property(HISTORY, history => {
        const simulation = runHistory(history);
        takeovers += simulation.takeovers;
        assert.deepEqual(simulation.violations, []);
      }),
      {seed: HISTORY_SEED, numRuns: histories},
    );
    assert.ok(
      takeovers > histories,
      'expected more than one takeover per history',
    );
  },
);

let orphanedRows: string[] = [];

Given('a job of which only the result and the task records are stored', () => {
  const ref = {job: 'j1', occurrence: 0, step: 0, block: 0};
  const task: TaskRecord = {
    state: TaskState.DONE,
    run: 1,
    worker: '',
    checkpoint: '',
    failures: 0,
  };
  const jobIndex = new JobIndex();
  const rows = new Map([
    [rowKeys.jobResult('j1'), encodeJobResult('completed')],
    [rowKeys.block(ref), encodeBlock([task])],
  ]);
  for (const [key, value] of rows)
    jobIndex.apply(parseRowKey(key)!, {key, value, version: 1});
  storedJob = {jobIndex};
  orphanedRows = [...rows.keys()];
});

Then('it removes these rows and starts no task', () => {
  assert.deepEqual(removes, orphanedRows);
  assert.deepEqual(puts, []);
});

function makeStoredJob(steps: readonly StepSpec[]): JobSpec {
  return {
    id: 'j1',
    queue: TEST_QUEUE.name,
    acceptedWallMs: 0,
    payload: 'p',
    steps,
    queueAtHandIn: TEST_QUEUE,
  };
}

/** Index of the stored rows of a job with one step. */
export function indexOf(
  job: JobSpec,
  ...tasks: readonly TaskRecord[]
): JobIndex {
  const ref = {job: job.id, occurrence: 0, step: 0, block: 0};
  const jobIndex = new JobIndex();
  for (const [key, value] of [
    [rowKeys.job(job.id), encodeJob(job)],
    [rowKeys.block(ref), encodeBlock(tasks)],
  ] as const)
    jobIndex.apply(parseRowKey(key)!, {key, value, version: 1});
  return jobIndex;
}

let storedJob:
  {readonly jobIndex: JobIndex; readonly job?: JobSpec} | undefined;
let puts: readonly RowValue[] = [];
let removes: readonly string[] = [];

Given(
  /^the stored rows show that the only task of a job (is done|has used all of its attempts|has crashed 3 workers), but not the job result$/,
  (taskState: string) => {
    const job = makeStoredJob([makeStep()]);
    const isDone = taskState === 'is done';
    const hasFailed = taskState === 'has used all of its attempts';
    const task: TaskRecord = {
      state: isDone ? TaskState.DONE : TaskState.WAITING,
      run: TEST_QUEUE.maxAttempts,
      worker: '',
      checkpoint: '',
      failures: hasFailed ? TEST_QUEUE.maxAttempts : 0,
      crashes: {total: isDone || hasFailed ? 0 : 3, alone: 1},
    };
    storedJob = {jobIndex: indexOf(job, task), job};
  },
);

When('a new leader loads the rows', () => {
  const engine = new JobEngine(TEST_TABLES, {
    contactTimeoutMs: 1000,
    endedJobRetentionMs: 60_000,
    onEvent: () => undefined,
  });
  engine.restore(storedJob!.jobIndex, 0, 0);
  engine.tick(100, 100);
  engine.plan(100);
  assert.equal(engine.waitingUnitCount, 0);
  const batch = engine.takeBatch();
  puts = batch?.puts ?? [];
  removes = batch?.removes ?? [];
});

Then(
  /^it commits that the job is (completed|failed) and starts no task$/,
  (result: string) => {
    const row = puts.find(p => p.key === rowKeys.jobResult(storedJob!.job!.id));
    assert.ok(row, 'expected the job result to be committed');
    assert.equal(decodeJobResult(row.value), result);
  },
);

const ADOPTED_RUN = {
  agent: 'a0',
  worker: 'w0',
  bornMs: 1,
  task: 'j1.0.0.0',
  run: 1,
};
let adoptedRunMs = 0;
let lostCoreMs: number | undefined;
let adoptingEngine: JobEngine | undefined;

Given(
  'a stored job with a run of {int} ms on a worker',
  (estimateMs: number) => {
    adoptedRunMs = estimateMs;
    lostCoreMs = undefined;
    const job = makeStoredJob([makeStep({estimateMs})]);
    storedJob = {jobIndex: indexOf(job, makePlacedTask('a0')), job};
  },
);

Given(
  'a stored gang of 2 runs of {int} ms on 2 workers',
  (estimateMs: number) => {
    const step = makeStep({count: 2, gang: true, estimateMs});
    const job = makeStoredJob([step]);
    const tasks = ['a0', 'a1'].map(makePlacedTask);
    storedJob = {jobIndex: indexOf(job, ...tasks), job};
  },
);

function makePlacedTask(agent: string): TaskRecord {
  const {worker, bornMs, run} = ADOPTED_RUN;
  return {
    state: TaskState.PLACED,
    run,
    worker: workerKey(agent, worker, bornMs),
    checkpoint: '',
    failures: 0,
  };
}

function makeEngine(
  tables: JobTables,
  onEvent: (event: EngineEvent) => void,
): JobEngine {
  const engine = new JobEngine(tables, {
    contactTimeoutMs: 10_000,
    endedJobRetentionMs: 60_000,
    onEvent,
  });
  engine.restore(storedJob!.jobIndex, 0, 0);
  return engine;
}

/** Reports the worker of the adopted run, which fills it, with these runs and ends. */
function reportInventory(
  engine: JobEngine,
  {runs = [], ends = []}: Partial<WorkerInventory>,
): void {
  const {agent, worker, bornMs} = ADOPTED_RUN;
  const report: WorkerReport = {
    id: worker,
    bornMs,
    service: TEST_QUEUE.service,
    dataCentre: 'dc1',
    rack: 'r0',
    labels: [],
    capacity: makeStep().request,
    draining: false,
    drainRemainingMs: 0,
  };
  engine.recordInventory(agent, {worker: report, runs, ends}, 0);
}

function makeRunStatus(task: string, percent: number): RunStatus {
  const {run} = ADOPTED_RUN;
  return {task, run, isRunning: true, checkpoint: '', percent};
}

/** Reports the adopted run with this progress. */
function reportAdoptedRun(engine: JobEngine, percent: number): void {
  reportInventory(engine, {runs: [makeRunStatus(ADOPTED_RUN.task, percent)]});
}

When(
  'a new leader finds that run at {int} % and the worker is lost',
  (percent: number) => {
    const engine = makeEngine(TEST_TABLES, event => {
      if (event.event === 'runLost') lostCoreMs = event.lostCoreMs;
    });
    reportAdoptedRun(engine, percent);
    const {agent, worker, bornMs} = ADOPTED_RUN;
    engine.markWorkerLost(workerKey(agent, worker, bornMs), 'test', 0);
  },
);

When(
  'a new leader finds that run done, and a run of the same queue at {int} % is lost',
  (percent: number) => {
    const engine = makeEngine(TEST_TABLES, event => {
      if (event.event === 'runLost') lostCoreMs = event.lostCoreMs;
    });
    const {agent, worker, bornMs, task, run} = ADOPTED_RUN;
    const kind = RunEndKind.DONE;
    const end = {number: 1, task, run, kind, checkpoint: ''};
    reportInventory(engine, {ends: [end]});
    const next = makeStoredJob([makeStep({estimateMs: adoptedRunMs})]);
    engine.addJob({...next, id: 'j2'}, 0, 0);
    engine.plan(0);
    reportInventory(engine, {runs: [makeRunStatus('j2.0.0.0', percent)]});
    engine.markWorkerLost(workerKey(agent, worker, bornMs), 'test', 0);
  },
);

When(
  'a new leader gets guaranteed work for the whole worker, which reports that run',
  () => {
    const queue = {...TEST_QUEUE, name: 'urgent', priority: 0};
    const tables: JobTables = {
      ...TEST_TABLES,
      queues: new Map([...TEST_TABLES.queues, [queue.name, queue]]),
    };
    adoptingEngine = makeEngine(tables, () => undefined);
    const job: JobSpec = {
      ...makeStoredJob([makeStep({estimateMs: 100_000})]),
      id: 'j2',
      queue: queue.name,
      workspace: 'farm',
      queueAtHandIn: queue,
    };
    adoptingEngine.addJob(job, 0, 0);
    reportAdoptedRun(adoptingEngine, 1);
  },
);

/** Runs that the new leader orders to stop in a pass at this time. */
function stopsAt(nowMs: number): string[] {
  adoptingEngine!.plan(nowMs);
  return adoptingEngine!
    .takeOrders()
    .flatMap(({order}) => (order.type === 'stop' ? [order.task] : []));
}

Then('the run is not stopped at once', () => {
  assert.deepEqual(stopsAt(1), []);
});

Then('it is stopped {int} ms after the takeover', (afterMs: number) => {
  assert.deepEqual(stopsAt(afterMs - 1), []);
  assert.deepEqual(stopsAt(afterMs), ['j1.0.0.0']);
});

Then('the gang is stopped {int} ms after the takeover', (afterMs: number) => {
  assert.deepEqual(stopsAt(afterMs - 1), []);
  assert.deepEqual(stopsAt(afterMs), ['j1.0.0.0', 'j1.0.0.1']);
});

const REPORTED_AT_MS = 1;
let gangStep: TrackedStep;

Given('a gang of 2 placed tasks of which one was reported', () => {
  const spec = makeStep({count: 2, gang: true});
  const job = new TrackedJob(makeStoredJob([spec]), 0);
  const tasks = ['a0', 'a1'].map(makePlacedTask);
  const occurrence = new TrackedOccurrence(job, 0, 0, () => tasks);
  [gangStep] = occurrence.openReadySteps(0);
  gangStep.tasks[0].runningSinceMs = REPORTED_AT_MS;
});

Then(
  'a stop of the gang {int} ms later loses {int} ms of work of both',
  (laterMs: number, lostMs: number) => {
    const [gang] = gangStep.units;
    assert.equal(
      gang.stopCostCoreMs(REPORTED_AT_MS + laterMs),
      2 * lostMs * coreEquivalents(gangStep.spec.request),
    );
  },
);

Then('the leader counts {int} % of the run as lost work', (percent: number) => {
  const {request} = makeStep();
  assert.equal(
    lostCoreMs,
    (percent / 100) * adoptedRunMs * coreEquivalents(request),
  );
});

let drainingWorker:
  {readonly handle: AgentHandle; readonly starts: number} | undefined;

When('the worker that runs them starts draining', async () => {
  const handle = runningCluster().agents.find(
    a => a.worker.runningTasks.length > 0,
  );
  assert.ok(handle, 'expected a worker that runs tasks');
  handle.isDraining = true;
  // Heartbeats are sent every 100 ms, so the agent knows after 300 ms.
  await sleep(300);
  drainingWorker = {handle, starts: handle.worker.startCount};
});

Then('that worker started no more tasks', () => {
  assert.equal(
    drainingWorker?.handle.worker.startCount,
    drainingWorker?.starts,
  );
});

let scheduleSimulation: RecoverySimulation | undefined;
let schedule = {occurrences: 0, firstWallMs: 0, intervalMs: 0};

Given(
  'a job that runs {int} times every {int} ms from {int} ms on',
  (times: number, everyMs: number, firstMs: number) => {
    scheduleSimulation = new RecoverySimulation(
      new Random(HISTORY_SEED),
      2,
      NO_FAILURES,
    );
    schedule = {occurrences: times, firstWallMs: firstMs, intervalMs: everyMs};
    scheduleSimulation.submit([makeStep()], schedule);
  },
);

When('its leader is replaced after {int} ms', (ms: number) => {
  scheduleSimulation!.advance(ms, false);
  scheduleSimulation!.takeOver(true);
  scheduleSimulation!.advance(5000, false);
});

Then(
  'an occurrence starts at {int}, {int} and {int} ms, within {int} ms',
  (first: number, second: number, third: number, withinMs: number) => {
    const starts = scheduleSimulation!.starts.map(s => s.atMs);
    assert.equal(starts.length, schedule.occurrences);
    [first, second, third].forEach((dueMs, i) => {
      assert.ok(
        starts[i] >= dueMs,
        `expected no start before it is due, got one at ${starts[i]} ms`,
      );
      assert.ok(
        starts[i] <= dueMs + withinMs,
        `expected a start on time, got one at ${starts[i]} ms`,
      );
    });
  },
);

Then('the job is completed with the last occurrence', () => {
  assert.equal(scheduleSimulation!.stateOf('j0'), 'completed');
  assert.deepEqual(scheduleSimulation!.violations, []);
});
