/** Steps on expected run times. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RunTimeEstimates} from '../../src/jobs/run_time_estimates.js';
import {TEST_QUEUE} from '../fixtures/job_cluster.js';

let estimates: RunTimeEstimates;
let expectedMs: number;

Given(
  /^(?:a job|(\d+) jobs) of (\d+) ms that (?:declares?) (\d+) ms (?:has|have) ended$/,
  (jobs: string | null, ranMs: string, declaredMs: string) => {
    estimates = new RunTimeEstimates();
    for (let i = 0; i < Number(jobs ?? 1); i++)
      estimates.record(TEST_QUEUE.name, Number(declaredMs), Number(ranMs));
  },
);

When(
  'a job that declares {int} ms is expected to run',
  (declaredMs: number) => {
    expectedMs = estimates.expectedMs(TEST_QUEUE.name, declaredMs);
  },
);

Then(
  'it is expected to take {int} to {int} ms',
  (leastMs: number, mostMs: number) => {
    assert.ok(expectedMs >= leastMs, `${expectedMs} ms`);
    assert.ok(expectedMs <= mostMs, `${expectedMs} ms`);
  },
);
