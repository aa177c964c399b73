/** Steps on decisions while urgent work and other work compete for too little room. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {LoadSimulation} from '../../harness/load_simulation.js';
import {type Resources} from '../../src/jobs/job.js';
import {mayUseOtherRacks} from '../../src/jobs/rack_patience.js';
import {UrgentDemand} from '../../src/jobs/urgent_demand.js';
import {
  type HeadroomWorker,
  type WaitingFiller,
  chooseHeadroom,
  staysOffHeadroom,
} from '../../src/jobs/urgent_headroom.js';
import {
  TEST_QUEUE,
  URGENT_TEST_QUEUE,
  makeStep,
} from '../fixtures/job_cluster.js';

const CAPACITY: Resources = {cpu: 64_000, memoryMb: 262_144, accelerators: 8};
const NOTHING: Resources = {cpu: 0, memoryMb: 0, accelerators: 0};
const BATCH = {
  ...TEST_QUEUE,
  name: 'batch',
  priority: 2,
  stretch: 3,
  targetMs: 3000,
};
const WORKERS_PER_RACK = 8;
/** Time in which all jobs of a scenario end. */
const COMPLETION_TIME_MS = 60_000;

interface BatchLoad {
  readonly tasks: number;
  readonly runMs: number;
  readonly everyMs: number;
}

let simulation: LoadSimulation;
let batch: BatchLoad;
let stops: {readonly task: string; readonly atMs: number}[];

function submitBatch(tasks: number, runMs: number): void {
  const request = {cpu: 4000, memoryMb: 16_000, accelerators: 1};
  const step = makeStep({count: tasks, request, estimateMs: runMs});
  simulation.submit('batch', 'shed', [step], [runMs]);
}

function submitGang(tasks: number, accelerators: number, runMs: number): void {
  const request = {cpu: 4000, memoryMb: 16_000, accelerators};
  const step = makeStep({count: tasks, request, estimateMs: runMs, gang: true});
  simulation.submit('urgent', 'kiln', [step], [runMs]);
}

function startSimulation(workers: number): void {
  stops = [];
  simulation = new LoadSimulation({
    queues: [URGENT_TEST_QUEUE, BATCH],
    guarantees: {kiln: 64},
    workers,
    racks: workers / WORKERS_PER_RACK,
    capacity: CAPACITY,
    onPreempted: (task, atMs) => stops.push({task, atMs}),
  });
}

Given(
  '{int} workers, and batch jobs of {int} tasks of {int} ms every {int} ms',
  (workers: number, tasks: number, runMs: number, everyMs: number) => {
    batch = {tasks, runMs, everyMs};
    startSimulation(workers);
  },
);

Given(
  '{int} workers, full of batch jobs of {int} tasks of {int} ms',
  (workers: number, tasks: number, runMs: number) => {
    startSimulation(workers);
    submitBatch(tasks, runMs);
    submitBatch(tasks, runMs);
    simulation.advance(1000);
    assert.equal(simulation.freeAccelerators, 0);
  },
);

When(
  'urgent gangs of {int} tasks of {int} accelerators and {int} ms come every {int} ms for {int} ms',
  (
    tasks: number,
    accelerators: number,
    runMs: number,
    everyMs: number,
    forMs: number,
  ) => {
    const untilMs = simulation.nowMs + forMs;
    let nextBatchAtMs = simulation.nowMs;
    let nextUrgentAtMs = simulation.nowMs + everyMs / 2;
    while (simulation.nowMs < untilMs) {
      if (simulation.nowMs >= nextBatchAtMs) {
        submitBatch(batch.tasks, batch.runMs);
        nextBatchAtMs += batch.everyMs;
      }
      if (simulation.nowMs >= nextUrgentAtMs) {
        submitGang(tasks, accelerators, runMs);
        nextUrgentAtMs += everyMs;
      }
      simulation.advance(50);
    }
  },
);

When('{int} ms pass without urgent work', (ms: number) =>
  simulation.advance(ms),
);

When(
  'a batch job of {int} tasks of {int} ms comes',
  (tasks: number, runMs: number) => {
    submitBatch(tasks, runMs);
    simulation.advance(1000);
  },
);

Then('all accelerators are in use', () =>
  assert.equal(simulation.freeAccelerators, 0),
);

Then('no task was preempted more than once', () => {
  const tasks = stops.map(s => s.task);
  assert.equal(new Set(tasks).size, tasks.length);
});

Then('nothing was preempted from {int} ms on', (fromMs: number) =>
  assert.deepEqual(
    stops.filter(s => s.atMs >= fromMs),
    [],
  ),
);

Then(
  'all urgent jobs and all batch jobs were done within their objectives',
  () => {
    simulation.advance(COMPLETION_TIME_MS);
    const runMs = {urgent: 2500, batch: batch.runMs};
    for (const job of simulation.jobTimestamps.values()) {
      const {stretch, targetMs} =
        job.queue === URGENT_TEST_QUEUE.name ? URGENT_TEST_QUEUE : BATCH;
      const limitMs =
        stretch * runMs[job.queue as 'urgent' | 'batch'] + targetMs;
      assert.ok(job.doneAtMs !== undefined, `${job.queue} job is not done`);
      const tookMs = job.doneAtMs - job.acceptedAtMs;
      assert.ok(tookMs <= limitMs, `a ${job.queue} job took ${tookMs} ms`);
    }
  },
);

let demand: UrgentDemand;

When(
  '{int} urgent arrivals come, one every {int} ms',
  (arrivals: number, everyMs: number) => {
    demand = new UrgentDemand();
    for (let i = 0; i < arrivals; i++)
      demand.record({
        service: TEST_QUEUE.service,
        atMs: i * everyMs,
        count: 1,
        request: CAPACITY,
        runMs: 1000,
      });
  },
);

Then('{int} of them are known', (known: number) =>
  assert.equal(demand.size, known),
);

let filler: WaitingFiller;

Given(
  'work that needs {int} ms, has waited {int} ms and has {int} ms to its objective',
  (pathMs: number, waitedMs: number, leftMs: number) => {
    const nowMs = 100_000;
    filler = {
      nowMs,
      readyAtMs: nowMs - waitedMs,
      pathMs,
      objectiveAtMs: nowMs + leftMs,
      lateLimitAtMs: nowMs + 3 * leftMs,
      isCheapToStop: false,
      useShare: 0,
    };
  },
);

Given('it has checkpoints', () => {
  filler = {...filler, isCheapToStop: true};
});

Given('{int} % of the accelerators are in use', (percent: number) => {
  filler = {...filler, useShare: percent / 100};
});

Then(/^it (stays|is not kept) off the headroom$/, (stays: string) =>
  assert.equal(staysOffHeadroom(filler), stays === 'stays'),
);

let rackWorkers: HeadroomWorker[];
let kept: ReadonlySet<string>;

Given(
  '{int} racks of {int} workers of which the first rack has {int} full workers',
  (racks: number, workers: number, full: number) => {
    rackWorkers = Array.from({length: racks * workers}, (unused, i) => {
      const rack = Math.floor(i / workers);
      return {
        worker: `r${rack}-${i}`,
        rack: `r${rack}`,
        capacity: CAPACITY,
        occupied: i < full ? CAPACITY : NOTHING,
      };
    });
  },
);

When('room for {int} workers is kept', (workers: number) => {
  kept = chooseHeadroom(rackWorkers, workers, new Set());
});

Then('{int} workers of the second rack are kept', (workers: number) => {
  assert.equal(kept.size, workers);
  assert.ok([...kept].every(w => w.startsWith('r1-')));
});

let rackWork: {isGuaranteed: boolean; runMs: number; waitedMs: number};
let leftMs: {objective: number; limit: number};
let rackUseShare: number;

Given(
  /^(other|guaranteed) work that runs (\d+) ms on its rack and has waited (\d+) ms$/,
  (kind: string, runMs: string, waitedMs: string) => {
    rackUseShare = 1;
    rackWork = {
      isGuaranteed: kind === 'guaranteed',
      runMs: Number(runMs),
      waitedMs: Number(waitedMs),
    };
  },
);

Given(
  'it has {int} ms to its objective and {int} ms to its late limit',
  (objective: number, limit: number) => {
    leftMs = {objective, limit};
  },
);

Given('most workers are idle', () => {
  rackUseShare = 0.4;
});

Then(/^it (may|may not) use other racks$/, (may: string) => {
  const nowMs = 100_000;
  const {isGuaranteed, runMs, waitedMs} = rackWork;
  const mayUse = mayUseOtherRacks({
    isGuaranteed,
    nowMs,
    waitsSinceMs: nowMs - waitedMs,
    runMs,
    afterMs: 0,
    objectiveAtMs: nowMs + leftMs.objective,
    lateLimitAtMs: nowMs + leftMs.limit,
    useShare: rackUseShare,
  });
  assert.equal(mayUse, may === 'may');
});
