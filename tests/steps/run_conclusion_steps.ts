/** Steps on conclusions that a review of the fixes for duplicate runs questions. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {WebSocket} from 'ws';
import {FencingTokens} from '../../src/agent/fencing_tokens.js';
import {WebSocketDialer} from '../../src/agent/gate_dialer.js';
import {JobAgent} from '../../src/agent/job_agent.js';
import {RunTable} from '../../src/agent/run_table.js';
import {ManualClock} from '../../src/core/clock.js';
import {HybridClock} from '../../src/core/hybrid_clock.js';
import {AgentServer} from '../../src/gate/agent_server.js';
import {type WorkerInventory} from '../../src/jobs/engine_messages.js';
import {type EngineEvent, JobEngine} from '../../src/jobs/job_engine.js';
import {workerKey} from '../../src/jobs/worker_pool.js';
import {EventLog} from '../../src/plugins/event_log.js';
import {Metrics} from '../../src/plugins/metrics.js';
import {sleep} from '../../src/plugins/sleep.js';
import {SystemClock} from '../../src/plugins/system_clock.js';
import {RunEndKind} from '../../src/ports/task_worker.js';
import {
  type AgentMessage,
  type AgentReport,
  agentJobCodec,
} from '../../src/protocol/job_messages.js';
import {
  type AgentHandle,
  TEST_QUEUE,
  TEST_TABLES,
  makeStep,
} from '../fixtures/job_cluster.js';
import {MemoryStateStore, RowTable} from '../../standins/row_store.js';
import {RunMonitor, StandInTaskWorker} from '../../standins/task_worker.js';
import {SilentOutput} from '../fixtures/silent_output.js';
import {runningCluster} from './job_steps.js';

const STEP_TIMEOUT_MS = 60_000;
const RESTART_MS = 300;

function firstAgent(): AgentHandle {
  return runningCluster().agents[0];
}

When(
  'the worker restarts with the same id and executes at once the starts that it held back',
  async () => {
    const {worker} = firstAgent();
    assert.ok(worker.hasHeldStarts);
    worker.faults.heldStarts = 0;
    worker.faults.isUnresponsive = false;
    worker.terminate();
    await sleep(RESTART_MS);
    worker.restart();
    worker.executeHeldStarts();
  },
);

When(
  'the worker falls silent until its runs are placed elsewhere',
  {timeout: STEP_TIMEOUT_MS},
  async () => {
    firstAgent().worker.faults.isUnresponsive = true;
    await runningCluster().until(
      'a task runs elsewhere',
      () => runningCluster().runMonitor.runningTasks.length > 0,
    );
  },
);

When(
  'the worker restarts with the same id and terminates for good {int} ms later without a heartbeat',
  async (ms: number) => {
    const {worker} = firstAgent();
    runningCluster().delayHeartbeats(firstAgent(), Infinity);
    worker.terminate();
    worker.restart();
    await sleep(ms);
    worker.terminate();
  },
);

When('the worker terminates for good and the agent is restarted', async () => {
  firstAgent().worker.terminate();
  await runningCluster().restartAgent(firstAgent());
});

let server: AgentServer | undefined;
let links: WebSocket[] = [];
const received: number[] = [];

After(() => {
  for (const ws of links) ws.terminate();
  links = [];
  server?.close();
  server = undefined;
});

Given(
  'an agent server with two links of one agent, opened one after the other',
  async () => {
    const clock = new SystemClock();
    received.length = 0;
    server = new AgentServer(
      {host: '127.0.0.1', port: 0},
      {clock, hybridClock: new HybridClock(clock), timeoutMs: 10_000},
      new EventLog('gate', clock, new SilentOutput()).forComponent('agents'),
      message => {
        received.push(message.sentAtMs);
        return {
          type: 'answer',
          sentAtMs: message.sentAtMs,
          epoch: 1,
          leads: true,
          extendsLeases: true,
        };
      },
    );
    const port = await server.listening();
    for (let i = 0; i < 2; i++) {
      const ws = new WebSocket(`ws://127.0.0.1:${port}`);
      links.push(ws);
      await new Promise(resolve => ws.once('open', resolve));
    }
  },
);

When(
  'the later link delivers its first report, and then the earlier link its own',
  async () => {
    const clock = new SystemClock();
    const stamp = new HybridClock(clock).now();
    const report = (sentAtMs: number): AgentMessage => ({
      type: 'report',
      agent: 'a0',
      sentAtMs,
      epoch: 1,
      refusals: [],
    });
    for (const [ws, sentAtMs] of [
      [links[1], 2000],
      [links[0], 1000],
      [links[1], 2500],
    ] as const) {
      ws.send(agentJobCodec.encode({stamp, body: report(sentAtMs)}));
      await sleep(100);
    }
  },
);

Then('only the report of the later link is applied', () => {
  assert.deepEqual(received, [2000, 2500]);
});

let engine: JobEngine;
let events: EngineEvent[] = [];

function inventoryOf(
  bornMs: number,
  runs: WorkerInventory['runs'] = [],
): WorkerInventory {
  return {
    worker: {
      id: 'w0',
      bornMs,
      service: TEST_QUEUE.service,
      dataCentre: 'dc1',
      rack: 'r0',
      labels: [],
      capacity: makeStep().request,
      draining: false,
      drainRemainingMs: 0,
    },
    runs,
    ends: [],
  };
}

Given(
  'a leader that has placed a task on the later incarnation of a worker',
  () => {
    events = [];
    engine = new JobEngine(TEST_TABLES, {
      contactTimeoutMs: 10_000,
      endedJobRetentionMs: 60_000,
      onEvent: event => events.push(event),
    });
    engine.recordInventory('a0', inventoryOf(1000), 0);
    engine.recordInventory('a0', inventoryOf(2000), 100);
    const job = {
      id: 'j1',
      queue: TEST_QUEUE.name,
      acceptedWallMs: 0,
      payload: 'p',
      steps: [makeStep()],
      queueAtHandIn: TEST_QUEUE,
    };
    engine.addJob(job, 100, 100);
    engine.plan(200);
    const batch = engine.takeBatch();
    assert.ok(batch);
    assert.equal(engine.confirmCommit(batch.orders, 200).length, 1);
  },
);

When('it gets an inventory of the earlier incarnation', () => {
  engine.recordInventory('a0', inventoryOf(1000), 300);
});

Then('the run on the later incarnation is not lost', () => {
  assert.deepEqual(
    events.filter(e => e.event === 'runLost'),
    [],
  );
});

const WALL_MS = 1_780_000_000_100;
const PROCESS_MS = 90_000;
let earlierToken = 0;
let wall: ManualClock;
let tokens: FencingTokens;
let laterTokens: FencingTokens;

Given('fencing tokens of an agent process that has run for a while', () => {
  wall = new ManualClock(WALL_MS);
  tokens = new FencingTokens(wall);
  tokens.raise();
  wall.advance(PROCESS_MS);
  tokens.raise();
  earlierToken = tokens.at(1);
});

Given(
  'fencing tokens of an agent process that were raised {int} times',
  (times: number) => {
    wall = new ManualClock(WALL_MS);
    tokens = new FencingTokens(wall);
    // The first is of the driver that finds the worker.
    for (let i = 0; i <= times; i++) tokens.raise();
    earlierToken = tokens.at(1);
  },
);

function startProcess(wallMs: number): void {
  laterTokens = new FencingTokens(new ManualClock(wallMs));
  laterTokens.raise();
}

When(
  'a new process of the agent starts after the wall clock stepped back {int} ms',
  (ms: number) => startProcess(wall.wallMs() - ms),
);

When(
  'a new process of the agent starts after the wall clock advanced {int} ms',
  (ms: number) => startProcess(wall.wallMs() + ms),
);

Then('its token is higher than that of the earlier process', () => {
  assert.ok(
    laterTokens.at(1) > earlierToken,
    `${laterTokens.at(1)} is not higher than ${earlierToken}`,
  );
});

When(
  'the worker rejects them {int} times at epoch {int}',
  (times: number, epoch: number) => {
    for (let i = 0; i < times; i++) tokens.recordRejected();
    earlierToken = tokens.at(epoch);
  },
);

Then('the token at epoch 1 is lower than any token at epoch 2', () => {
  const [lowestOfNext] = [new FencingTokens(new ManualClock(0)).at(2)];
  assert.ok(
    earlierToken < lowestOfNext,
    `${earlierToken} is not lower than ${lowestOfNext}`,
  );
});

let table: RunTable;
let ended: {
  number: number;
  task: string;
  run: number;
  kind: RunEndKind;
  checkpoint: string;
}[];
const MAX_LISTED_ENDS = 500; // of the worker

Given('{int} confirmed runs that have all ended as done', (runs: number) => {
  table = new RunTable('a0|w0|1000');
  ended = [];
  for (let i = 0; i < runs; i++) {
    const task = `j1.0.0.${i}`;
    table.addStarting(task, 1, 100);
    table.confirm(task, 1, 110);
    const kind = RunEndKind.DONE;
    ended.push({number: i + 1, task, run: 1, kind, checkpoint: ''});
  }
});

When('the worker lists the first 500 ends and no running task', () => {
  table.applyLists(
    {running: [], ended: ended.slice(0, MAX_LISTED_ENDS), hasMoreEnds: true},
    {requestedAtMs: 1000, receivedAtMs: 1010},
  );
});

Then('no run counts as gone', () => {
  assert.deepEqual(table.takeRefusals(), []);
});

const RUN = {task: 'j1.0.0.0', run: 1};
const EPOCH_TOKEN = 2 ** 35;
let restartedAgent: JobAgent | undefined;
let worker: StandInTaskWorker | undefined;
let heartbeats: NodeJS.Timeout | undefined;
const reports: AgentReport[] = [];

After(async () => {
  clearInterval(heartbeats);
  await restartedAgent?.stop();
  worker?.dispose();
  restartedAgent = undefined;
  worker = undefined;
});

Given(
  'a worker with a run that its agent started for epoch {int} before it was killed',
  async (epoch: number) => {
    const clock = new SystemClock();
    worker = new StandInTaskWorker(clock, new RunMonitor(), 'w0', 1000, 20_000);
    const reply = await worker.start(
      'w0',
      {
        ...RUN,
        payload: 'p',
        checkpoint: '',
        leaseUntilMs: clock.nowMs() + 20_000,
        fencingToken: epoch * EPOCH_TOKEN,
      },
      100,
    );
    assert.equal(reply.type, 'started');
  },
);

let leadingEpoch = 1;

When(
  'the agent restarts, and a gate that still leads epoch {int} sends it the first order of that run',
  {timeout: STEP_TIMEOUT_MS},
  async (epoch: number) => {
    const clock = new SystemClock();
    const logs = new EventLog('test', clock, new SilentOutput());
    reports.length = 0;
    leadingEpoch = epoch;
    server = new AgentServer(
      {host: '127.0.0.1', port: 0},
      {clock, hybridClock: new HybridClock(clock), timeoutMs: 10_000},
      logs.forComponent('agents'),
      message => {
        if (message.type === 'report') reports.push(message);
        return {
          type: 'answer',
          sentAtMs: message.sentAtMs,
          epoch: leadingEpoch,
          leads: true,
          extendsLeases: leadingEpoch > epoch,
          leaderAddress: address,
        };
      },
    );
    const address = `127.0.0.1:${await server.listening()}`;
    restartedAgent = new JobAgent(
      {
        name: 'a0',
        seedGates: [address],
        standbyLinks: 1,
        lease: {leaseMs: 1500, isolationMs: 2500},
        stopMs: 500,
        linkTimeoutMs: 1000,
      },
      {
        store: new MemoryStateStore(new RowTable()),
        dialer: new WebSocketDialer(),
        worker: worker!,
        clock,
        logs,
        metrics: new Metrics(),
      },
    );
    restartedAgent.start();
    const {worker: report} = inventoryOf(1000);
    const beat = () => restartedAgent?.recordHeartbeat(report);
    beat();
    heartbeats = setInterval(beat, 100);
    while (reports.length === 0) await sleep(20);
    const order = {
      type: 'start',
      worker: workerKey('a0', 'w0', 1000),
      ...RUN,
      payload: 'p',
      checkpoint: '',
      isRepeated: false,
    } as const;
    server.sendOrders(epoch, [{agent: 'a0', order}]);
    // The answer of the successor arrives in the same turn.
    leadingEpoch = epoch + 1;
    server.broadcast({
      type: 'answer',
      sentAtMs: 0,
      epoch: leadingEpoch,
      leads: true,
      extendsLeases: true,
      leaderAddress: address,
    });
  },
);

When(
  'the agent then reports to the leader of epoch {int}, of which it was told in the same turn',
  {timeout: STEP_TIMEOUT_MS},
  async (epoch: number) => {
    while (!reports.some(r => r.inventory && r.epoch === epoch))
      await sleep(20);
  },
);

Then('it has not told that leader that the run never started', () => {
  assert.deepEqual(worker!.runningTasks, [RUN.task]);
  assert.deepEqual(
    reports.filter(r => r.epoch === leadingEpoch).flatMap(r => r.refusals),
    [],
  );
});

const DRAIN_NOTICE_MS = 300;

/** Refuses calls without ending the runs. */
async function refuseConnections(ms: number): Promise<void> {
  const {faults} = firstAgent().worker;
  faults.isTerminated = true;
  await sleep(ms);
  faults.isTerminated = false;
}

When(
  'the worker drains, and {int} ms later refuses connections for {int} ms but works on',
  {timeout: STEP_TIMEOUT_MS},
  async (afterMs: number, refusalMs: number) => {
    firstAgent().isDraining = true;
    await sleep(DRAIN_NOTICE_MS);
    runningCluster().delayHeartbeats(firstAgent(), Infinity);
    await sleep(afterMs);
    await refuseConnections(refusalMs);
  },
);

When(
  'the worker drains, deregisters without an answer, refuses connections for {int} ms and works on',
  {timeout: STEP_TIMEOUT_MS},
  async (refusalMs: number) => {
    firstAgent().isDraining = true;
    await sleep(DRAIN_NOTICE_MS);
    runningCluster().delayHeartbeats(firstAgent(), Infinity);
    void firstAgent().agent.recordDeregistration(firstAgent().worker.id);
    await refuseConnections(refusalMs);
  },
);
