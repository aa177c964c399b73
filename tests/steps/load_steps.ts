/** Steps that run the job engine under load and check its placement and preemption. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {LoadSimulation} from '../../harness/load_simulation.js';
import {Random} from '../../src/core/random.js';
import {type StepSpec} from '../../src/jobs/job.js';
import {
  TEST_QUEUE,
  URGENT_TEST_QUEUE,
  makeStep,
} from '../fixtures/job_cluster.js';

const SEED = 20261204;
const ACCELERATORS = 8;
const GUARANTEED_ACCELERATORS = 48;
const CAPACITY = {cpu: 64_000, memoryMb: 262_144, accelerators: ACCELERATORS};
const BATCH = {...TEST_QUEUE, name: 'batch', priority: 2};
/** Age of the batch runs when urgent work arrives; preemption discards their work. */
const BATCH_AGE_MS = 3000;
/** Virtual time in which all jobs must be done. */
const COMPLETION_TIME_MS = 600_000;

/** Widest range of the ages of runs on full workers, in ms. */
const AGE_SPREAD_MS = 4000;

let simulation: LoadSimulation;
let ids: string[] = [];

function createSimulation(
  workers: number,
  workerChecksPerMs?: number,
): LoadSimulation {
  return new LoadSimulation({
    workerChecksPerMs,
    queues: [URGENT_TEST_QUEUE, BATCH],
    guarantees: {kiln: GUARANTEED_ACCELERATORS},
    workers,
    racks: 3,
    capacity: CAPACITY,
  });
}

function createStep(
  count: number,
  accelerators: number,
  estimateMs: number,
): StepSpec {
  const request = {cpu: 4000, memoryMb: 16_000, accelerators};
  return makeStep({count, request, estimateMs});
}

function submit(
  queue: string,
  workspace: string,
  count: number,
  accelerators: number,
  workMs: number,
): string {
  const step = createStep(count, accelerators, workMs);
  return simulation.submit(queue, workspace, [step], [workMs]);
}

Given('{int} workers', (workers: number) => {
  simulation = createSimulation(workers);
});

Given(
  '{int} workers that are full of batch work for {int} ms',
  (workers: number, workMs: number) => {
    simulation = createSimulation(workers);
    submit('batch', 'shed', workers, ACCELERATORS, workMs);
    simulation.advance(BATCH_AGE_MS);
  },
);

Given(
  'a leader that checks {int} workers per ms, and {int} workers full of small batch runs',
  (workerChecksPerMs: number, workers: number) => {
    simulation = createSimulation(workers, workerChecksPerMs);
    const random = new Random(SEED);
    for (let i = 0; i < workers; i++) {
      submit('batch', 'shed', ACCELERATORS, 1, 60_000 + random.nextInt(60_000));
      simulation.advance(Math.round(AGE_SPREAD_MS / workers / 50) * 50);
    }
  },
);

When(
  '{int} batch jobs of {int} tasks and {int} urgent jobs of {int} tasks of {int} accelerators wait for {int} ms',
  (
    batchJobs: number,
    batchTasks: number,
    urgentJobs: number,
    urgentTasks: number,
    accelerators: number,
    ms: number,
  ) => {
    for (let i = 0; i < batchJobs; i++)
      submit('batch', 'shed', batchTasks, 1, 10_000);
    for (let i = 0; i < urgentJobs; i++)
      submit('urgent', 'barn', urgentTasks, accelerators, 4000);
    simulation.advance(ms);
  },
);

Given(
  'another batch job of {int} ms waits for all {int} workers',
  (workMs: number, workers: number) => {
    submit('batch', 'shed', workers, ACCELERATORS, workMs);
  },
);

When(
  /^(an|\d+) urgent jobs? of (\d+) tasks of (\d+) accelerators and (\d+) ms comes? (within|beyond) the guarantee$/,
  (
    jobs: string,
    tasks: string,
    accelerators: string,
    workMs: string,
    guaranteeRelation: string,
  ) => {
    const workspace = guaranteeRelation === 'within' ? 'kiln' : 'barn';
    const count = jobs === 'an' ? 1 : Number(jobs);
    ids = Array.from({length: count}, () =>
      submit(
        'urgent',
        workspace,
        Number(tasks),
        Number(accelerators),
        Number(workMs),
      ),
    );
    simulation.advance(60_000);
  },
);

When(
  '{int} jobs of mixed sizes come within {int} ms',
  (jobs: number, withinMs: number) => {
    const random = new Random(SEED);
    const sizes = [1, 1, 2, 4, 8];
    for (let i = 0; i < jobs; i++) {
      const queue = random.next() < 0.3 ? 'urgent' : 'batch';
      const workspace = random.next() < 0.5 ? 'kiln' : 'barn';
      const accelerators = sizes[random.nextInt(sizes.length)];
      const workMs = 500 + random.nextInt(4000);
      submit(queue, workspace, 1 + random.nextInt(4), accelerators, workMs);
      simulation.advance(Math.max(50, Math.round(withinMs / jobs / 50) * 50));
    }
    simulation.advance(COMPLETION_TIME_MS);
  },
);

Then(
  'it is done within {float} times {int} waves of {int} ms',
  (stretch: number, waves: number, workMs: number) => {
    const {acceptedAtMs, doneAtMs} = simulation.jobTimestamps.get(ids[0])!;
    assert.ok(doneAtMs, 'the job is not done');
    const limitMs = stretch * waves * workMs + URGENT_TEST_QUEUE.targetMs;
    assert.ok(doneAtMs - acceptedAtMs <= limitMs, String(doneAtMs));
  },
);

Then('at most {int} workers were cleared for it', (maxStops: number) => {
  assert.ok(
    simulation.stopCount > 0 && simulation.stopCount <= maxStops,
    `${simulation.stopCount} runs were stopped`,
  );
});

Then('no run was preempted', () => {
  assert.equal(simulation.preemptionCount, 0);
});

Then('each has begun after at most {int} ms', (maxDelayMs: number) => {
  for (const id of ids) {
    const {acceptedAtMs, startedAtMs} = simulation.jobTimestamps.get(id)!;
    assert.ok(startedAtMs, `${id} has not started`);
    assert.ok(startedAtMs - acceptedAtMs <= maxDelayMs, id);
  }
});

Then('the leader commits at least every {int} ms', (limitMs: number) => {
  const gapMs = Math.round(simulation.longestCommitGapMs);
  assert.ok(gapMs <= limitMs, `the leader was busy for ${gapMs} ms`);
});

Then(
  'planning for {int} waiting batch tasks on {int} full workers takes as many worker checks as for {int}',
  (manyTasks: number, workers: number, fewTasks: number) => {
    const [many, few] = [manyTasks, fewTasks].map(tasks => {
      simulation = createSimulation(workers);
      submit('batch', 'shed', workers, ACCELERATORS, COMPLETION_TIME_MS);
      simulation.advance(BATCH_AGE_MS);
      submit('batch', 'shed', tasks, 1, COMPLETION_TIME_MS);
      simulation.advance(BATCH_AGE_MS);
      return simulation.passSizes.at(-1)!;
    });
    assert.equal(many.waitingUnits, manyTasks);
    assert.ok(few.workerChecks > 0);
    assert.equal(many.workerChecks, few.workerChecks);
  },
);

Then('no worker was over its capacity', () => {
  assert.deepEqual(simulation.violations, []);
});

Then('all of the jobs are done in the end', () => {
  const unfinished = [...simulation.jobTimestamps.values()].filter(
    o => !o.doneAtMs,
  );
  assert.deepEqual(unfinished, []);
});
