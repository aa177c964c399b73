/** Steps on work that waits for its rack. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {LoadSimulation} from '../../harness/load_simulation.js';
import {type Resources} from '../../src/jobs/job.js';
import {
  TEST_QUEUE,
  URGENT_TEST_QUEUE,
  makeStep,
} from '../fixtures/job_cluster.js';

const CAPACITY: Resources = {cpu: 8000, memoryMb: 8000, accelerators: 8};
const RACK = 'r0';
const BLOCKER_MS = 60_000;

let simulation: LoadSimulation;
let job: string;
let wholeWorker: Resources;

function submit(
  queue: string,
  tasks: number,
  runMs: number,
  change = {},
): string {
  const step = makeStep({
    count: tasks,
    estimateMs: runMs,
    request: wholeWorker,
    ...change,
  });
  return simulation.submit(queue, 'kiln', [step], [runMs]);
}

function startSimulation(
  workers: number,
  racks: number,
  capacity: Resources,
): void {
  simulation = new LoadSimulation({
    queues: [TEST_QUEUE, URGENT_TEST_QUEUE],
    guarantees: {kiln: 64},
    workers,
    racks,
    capacity,
  });
  wholeWorker = capacity;
}

/** Fills all workers of a rack for the whole scenario. */
function fillRack(rack: string, workers: number, kind: string): void {
  submit(queueOf(kind), workers, BLOCKER_MS, {preferredRack: rack});
}

Given(
  /^(\d+) workers on (\d+) racks, of which the first is full of (other|guaranteed) work$/,
  (workers: string, racks: string, kind: string) => {
    startSimulation(Number(workers), Number(racks), CAPACITY);
    const perRack = Number(workers) / Number(racks);
    fillRack(RACK, perRack, kind);
    simulation.advance(1000);
    assert.equal(
      simulation.freeAccelerators,
      (Number(workers) - perRack) * CAPACITY.accelerators,
    );
  },
);

Given(
  '{int} workers without accelerators on {int} racks, of which all but one are full of other work',
  (workers: number, racks: number) => {
    startSimulation(workers, racks, {...CAPACITY, accelerators: 0});
    for (let i = 0; i < racks - 1; i++)
      fillRack(`r${i}`, workers / racks, 'other');
    simulation.advance(1000);
  },
);

function queueOf(kind: string): string {
  return (kind === 'guaranteed' ? URGENT_TEST_QUEUE : TEST_QUEUE).name;
}

When(
  /^(other|guaranteed) work of (\d+) ms comes whose data is on the full rack$/,
  (kind: string, runMs: string) => {
    job = submit(queueOf(kind), 1, Number(runMs), {preferredRack: RACK});
  },
);

Then('it starts within {int} ms', (ms: number) => {
  simulation.advance(ms);
  assert.notEqual(simulation.jobTimestamps.get(job)!.startedAtMs, undefined);
});

Then('it has not started after {int} ms', (ms: number) => {
  simulation.advance(ms);
  assert.equal(simulation.jobTimestamps.get(job)!.startedAtMs, undefined);
});
