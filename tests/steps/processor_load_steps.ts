/** Steps that count the operations of frequent events, which must stay few under load. */
import assert from 'node:assert/strict';
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  type write,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {FencingTokens} from '../../src/agent/fencing_tokens.js';
import {EvacuationKnowledge} from '../../src/jobs/evacuations.js';
import {LeaderContact, LeaseRenewer} from '../../src/agent/lease_renewer.js';
import {ReportSchedule} from '../../src/agent/report_schedule.js';
import {WorkerDriver} from '../../src/agent/worker_driver.js';
import {ManualClock} from '../../src/core/clock.js';
import {PollWait} from '../../src/gate/poll_wait.js';
import {JobEngine} from '../../src/jobs/job_engine.js';
import {type WorkerReport} from '../../src/jobs/worker_pool.js';
import {EventLog} from '../../src/plugins/event_log.js';
import {LineOutput} from '../../src/plugins/line_output.js';
import {Metrics} from '../../src/plugins/metrics.js';
import {RunMonitor, StandInTaskWorker} from '../../standins/task_worker.js';
import {TEST_TABLES} from '../fixtures/job_cluster.js';
import {countVisitedEntries} from '../fixtures/operation_counter.js';
import {SilentOutput} from '../fixtures/silent_output.js';

const GATES = ['gate-0', 'gate-1'] as const;

let reportSchedule: ReportSchedule;
let driver: WorkerDriver;

function makeWorkerReport(change: Partial<WorkerReport> = {}): WorkerReport {
  return {
    id: 'w-0',
    bornMs: 1000,
    service: 'desk',
    dataCentre: 'dc1',
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: {cpu: 8000, memoryMb: 8000, accelerators: 8},
    draining: false,
    drainRemainingMs: 0,
    ...change,
  };
}

function gatesDueAt(nowMs: number): string[] {
  return GATES.filter(g => reportSchedule.isDue(g, nowMs));
}

Given('reports to each gate at least every {int} ms', (intervalMs: number) => {
  reportSchedule = new ReportSchedule(intervalMs);
  assert.deepEqual(gatesDueAt(0), GATES);
  for (const gate of GATES) reportSchedule.recordSent(gate, 0);
});

When(
  'a change is reported to the first of 2 gates after {int} ms',
  (nowMs: number) => {
    assert.deepEqual(gatesDueAt(nowMs), []);
    reportSchedule.recordSent(GATES[0], nowMs);
  },
);

// Guards against reports to the leader whose content was sent just before.
Then(
  'after {int} ms a report is due to the second gate only',
  (nowMs: number) => assert.deepEqual(gatesDueAt(nowMs), [GATES[1]]),
);

Then('after {int} ms reports are due to both gates', (nowMs: number) =>
  assert.deepEqual(gatesDueAt(nowMs), GATES),
);

Given('an agent with a worker that was reported', () => {
  const clock = new ManualClock();
  const log = new EventLog('agent', clock, new SilentOutput());
  const worker = new StandInTaskWorker(clock, new RunMonitor(), 'w-0', 1000, 0);
  driver = new WorkerDriver('agent-0', makeWorkerReport(), {
    worker,
    clock,
    log: log.forComponent('worker'),
    metrics: new Metrics(),
    lease: new LeaseRenewer(
      {leaseMs: 1500, isolationMs: 2500},
      new LeaderContact(),
    ),
    tokens: new FencingTokens(clock),
    evacuations: new EvacuationKnowledge(undefined),
    stopMs: 500,
    epoch: () => 0,
    onStatusChange: () => undefined,
    onOtherIncarnation: () => undefined,
    onDeparture: () => undefined,
  });
  driver.close();
  worker.dispose();
});

// Guards against one report per heartbeat, beside the periodic ones.
Then('a heartbeat with the same content contains nothing new', () =>
  assert.equal(driver.update(makeWorkerReport()), false),
);

Then('a heartbeat of the draining worker does', () => {
  const report = makeWorkerReport({draining: true, drainRemainingMs: 2000});
  assert.equal(driver.update(report), true);
});

const POLLS_UNTIL_STEADY = 40;

let pollWait: PollWait;
let latencyMs: number;

Given(
  'a store that responds {int} ms later than it is asked to wait',
  (ms: number) => {
    pollWait = new PollWait();
    latencyMs = ms;
    for (let i = 0; i < POLLS_UNTIL_STEADY; i++) {
      const waitMs = pollWait.nextMs;
      pollWait.recordPoll(waitMs, waitMs + latencyMs, false);
      // A poll that returns changes early does not show the latency.
      pollWait.recordPoll(waitMs, latencyMs + waitMs / 2, true);
    }
  },
);

Then('two polls in a row take at most {int} ms', (mostMs: number) =>
  assert.ok(2 * (pollWait.nextMs + latencyMs) <= mostMs),
);

Then('a poll asks it to wait {int} ms', (waitMs: number) =>
  assert.equal(pollWait.nextMs, waitMs),
);

let lineOutput: LineOutput;
let writes: string[] = [];
let firstWrite: Promise<void>;

Given('an output of log lines', () => {
  writes = [];
  firstWrite = new Promise(resolve => {
    const recordWrite = (
      fd: number,
      bytes: Buffer,
      done: (err: null, written: number) => void,
    ): void => {
      writes.push(bytes.toString());
      done(null, bytes.length);
      resolve();
    };
    lineOutput = new LineOutput(1, recordWrite as typeof write);
  });
});

When('{int} lines are added', (count: number) => {
  for (let i = 0; i < count; i++) lineOutput.add(`line ${i}`);
});

// Guards against a system call for each line.
Then(
  'they are written in order by {int} write',
  async (expectedWrites: number) => {
    await firstWrite;
    const lines = Array.from({length: 100}, (unused, i) => `line ${i}\n`);
    assert.equal(writes.length, expectedWrites);
    assert.equal(writes.join(''), lines.join(''));
  },
);

let exitOutput = '';

When('{int} lines are added and the process exits', (count: number) => {
  const folder = mkdtempSync(join(tmpdir(), 'lines-'));
  const file = join(folder, 'log');
  const fd = openSync(file, 'w');
  const output = new LineOutput(fd);
  for (let i = 0; i < count; i++) output.add(`line ${i}`);
  output.flushSync();
  closeSync(fd);
  exitOutput = readFileSync(file, 'utf8');
  rmSync(folder, {recursive: true});
});

// Guards against the loss of the last lines, which explain why a process ended.
Then('they are in the output', () =>
  assert.equal(exitOutput, 'line 0\nline 1\nline 2\n'),
);

function makeEngine(): JobEngine {
  return new JobEngine(TEST_TABLES, {
    contactTimeoutMs: 1000,
    endedJobRetentionMs: 60_000,
    onEvent: () => undefined,
  });
}

function countInventoryVisits(workers: number): number {
  const engine = makeEngine();
  const report = (i: number): void =>
    engine.recordInventory(
      `agent-${i}`,
      {worker: makeWorkerReport({id: `w-${i}`}), runs: [], ends: []},
      0,
    );
  for (let i = 0; i < workers; i++) report(i);
  return countVisitedEntries(() => report(0));
}

// Guards against collections of all workers that are built for each report.
Then(
  'the inventory of one of {int} workers visits as many entries as that of one of {int}',
  (large: number, small: number) =>
    assert.equal(countInventoryVisits(large), countInventoryVisits(small)),
);
