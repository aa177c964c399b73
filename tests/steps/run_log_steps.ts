/** Steps on the log lines about ends of runs, and on the check of logs. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {WebSocketDialer} from '../../src/agent/gate_dialer.js';
import {JobAgent} from '../../src/agent/job_agent.js';
import {type RunConclusion} from '../../src/agent/run_conclusion.js';
import {RunTable} from '../../src/agent/run_table.js';
import {RunHistory} from '../../measure/run_history.js';
import {workerKey} from '../../src/jobs/worker_pool.js';
import {EventLog} from '../../src/plugins/event_log.js';
import {LineOutput} from '../../src/plugins/line_output.js';
import {Metrics} from '../../src/plugins/metrics.js';
import {SystemClock} from '../../src/plugins/system_clock.js';
import {MemoryStateStore, RowTable} from '../../standins/row_store.js';
import {RunMonitor, StandInTaskWorker} from '../../standins/task_worker.js';

const TASK = 'j1.0.0.0';
const FIRST_WORKER = workerKey('agent-0', 'w-0', 1000);
const SECOND_WORKER = workerKey('agent-1', 'w-1', 1000);
const STARTED_AT_MS = 10_000;
const CONCLUDED_AT_MS = 15_000;
const START_DISTANCE_MS = 1000;
/** Proofs that the log gives for all runs of a worker in one line. */
const WORKER_WIDE_PROOFS = [
  'deregistered',
  'connectionsRefused',
  'leasesExpired',
  'otherIncarnation',
];

let lines: object[];
let formatLine: (line: object) => string;

function startLine(
  agent: string,
  worker: string,
  run: number,
  atMs: number,
): object {
  const event = 'startSent';
  return {
    atMs,
    process: agent,
    event,
    task: TASK,
    run,
    worker,
    result: 'started',
  };
}

function conclusionLine(proof: string): object {
  const common = {atMs: CONCLUDED_AT_MS, worker: FIRST_WORKER, proof};
  if (WORKER_WIDE_PROOFS.includes(proof))
    return {...common, process: 'agent-0', event: 'runsConcluded', runs: 1};
  const run = {...common, task: TASK, run: 1};
  if (proof === 'contactTimeout')
    return {...run, process: 'gate-0', event: 'runLost'};
  return {...run, process: 'agent-0', event: 'runConcluded'};
}

Given(
  'logs of a run that was started by one agent and counts as over by {string}',
  (proof: string) => {
    formatLine = line => JSON.stringify(line);
    lines = [
      startLine('agent-0', FIRST_WORKER, 1, STARTED_AT_MS),
      conclusionLine(proof),
    ];
  },
);

When('each line follows a time and the name of an instance', () => {
  formatLine = line => {
    const {atMs} = line as {atMs: number};
    return `  ${(atMs / 1000).toFixed(4)} node-1 ${JSON.stringify({...line, atMs: 1})}`;
  };
});

When(
  /^the logs show that another agent starts the task (before|after) that$/,
  (when: string) => {
    const distanceMs =
      when === 'after' ? START_DISTANCE_MS : -START_DISTANCE_MS;
    const atMs = CONCLUDED_AT_MS + distanceMs;
    lines.push(startLine('agent-1', SECOND_WORKER, 2, atMs));
  },
);

Then(
  'the check of the logs finds {int} overlapping runs',
  (overlaps: number) => {
    const texts = ['built in 1 s', ...lines.map(formatLine)];
    const {history, unreadableLines} = RunHistory.fromLines(texts);
    assert.equal(unreadableLines, 1);
    assert.equal(history.intervals.length, 2);
    assert.equal(history.overlaps().length, overlaps);
  },
);

let table: RunTable;
let conclusions: RunConclusion[];

Given(
  'a run that was ordered at {int} ms and listed as running by a list requested at {int} ms',
  (orderedAtMs: number, listedAtMs: number) => {
    table = new RunTable(FIRST_WORKER);
    table.addStarting(TASK, 1, orderedAtMs);
    const running = [{task: TASK, run: 1, checkpoint: '', percent: 0}];
    const call = {requestedAtMs: listedAtMs, receivedAtMs: listedAtMs};
    table.applyLists({running, ended: [], hasMoreEnds: false}, call);
  },
);

When(
  'a list without the run arrives that was requested at {int} ms',
  (requestedAtMs: number) => {
    table.applyLists(
      {running: [], ended: [], hasMoreEnds: false},
      {requestedAtMs, receivedAtMs: requestedAtMs},
    );
    conclusions = table.takeConclusions();
  },
);

Then(
  'any conclusion on the run tells that its list was overtaken by {int} ms',
  (ms: number) => {
    for (const {facts} of conclusions) assert.equal(facts.overtakenByMs, ms);
  },
);

Then('the run is concluded to be over by a list that was not overtaken', () => {
  assert.equal(conclusions.length, 1);
  const [{proof, facts}] = conclusions;
  assert.equal(proof, 'notListed');
  assert.equal(facts.wasRunning, true);
  assert.equal(facts.overtakenByMs, 0);
});

/** Keeps the lines in memory. */
class MemoryOutput extends LineOutput {
  readonly lines: string[] = [];

  override add(line: string): void {
    this.lines.push(line);
  }
}

let agent: JobAgent | undefined;
let worker: StandInTaskWorker;
let output: MemoryOutput;

function sendHeartbeat(bornMs: number): void {
  agent!.recordHeartbeat({
    id: worker.id,
    bornMs,
    service: 'desk',
    dataCentre: 'dc1',
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: {cpu: 8000, memoryMb: 8000, accelerators: 8},
    draining: false,
    drainRemainingMs: 0,
  });
}

function loggedEvents(name: string): Record<string, unknown>[] {
  return output.lines
    .map(line => JSON.parse(line) as Record<string, unknown>)
    .filter(({event}) => event === name);
}

Given('an agent that logs, with a worker', () => {
  const clock = new SystemClock();
  output = new MemoryOutput();
  worker = new StandInTaskWorker(clock, new RunMonitor(), 'w-0', 1000, 0);
  agent = new JobAgent(
    {
      name: 'agent-0',
      seedGates: [],
      standbyLinks: 0,
      lease: {leaseMs: 1500, isolationMs: 2500},
      stopMs: 500,
      linkTimeoutMs: 1000,
    },
    {
      store: new MemoryStateStore(new RowTable()),
      dialer: new WebSocketDialer(),
      worker,
      clock,
      logs: new EventLog('agent-0', clock, output),
      metrics: new Metrics(),
    },
  );
  sendHeartbeat(worker.bornMs);
});

When('two heartbeats of an older incarnation arrive', () => {
  sendHeartbeat(worker.bornMs - 1);
  sendHeartbeat(worker.bornMs - 1);
});

When('the worker deregisters', () => agent!.recordDeregistration(worker.id));

Then('the agent has logged one heartbeat of the other incarnation', () =>
  assert.equal(loggedEvents('heartbeatOfOtherIncarnation').length, 1),
);

Then(
  'the agent has logged the deregistration of a worker that it knows',
  () => {
    const [line] = loggedEvents('workerDeregistered');
    assert.equal(line?.known, workerKey('agent-0', worker.id, worker.bornMs));
    assert.equal(typeof line?.sinceAnswerMs, 'number');
  },
);

Then('the agent has concluded nothing about its runs', () =>
  assert.deepEqual(loggedEvents('runsConcluded'), []),
);

After(async () => {
  await agent?.stop();
  if (agent) worker.dispose();
  agent = undefined;
});
