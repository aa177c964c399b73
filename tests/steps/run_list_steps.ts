/** Steps on the lists from which an agent knows the runs on its worker. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RunTable} from '../../src/agent/run_table.js';

const TASK = 'j1.0.0.0';
const RUN = 1;
const SHOWN_RUN = {task: TASK, run: RUN, checkpoint: '', percent: 10};

let table: RunTable;

Given(
  'a run whose start was sent at {int} ms and is not answered',
  (sentAtMs: number) => {
    table = new RunTable('agent-0|w-0|1000');
    table.addStarting(TASK, RUN, sentAtMs);
  },
);

Given(
  'a run whose start was sent at {int} ms and confirmed at {int} ms',
  (sentAtMs: number, confirmedAtMs: number) => {
    table = new RunTable('agent-0|w-0|1000');
    table.addStarting(TASK, RUN, sentAtMs);
    table.confirm(TASK, RUN, confirmedAtMs);
  },
);

Given(
  /^a run whose start was sent at \d+ ms by an earlier process$/,
  () => void (table = new RunTable('agent-0|w-0|1000')),
);

Given(
  'a list requested at {int} ms that arrives at {int} ms and shows the run',
  (requestedAtMs: number, receivedAtMs: number) =>
    void table.applyLists(
      {running: [SHOWN_RUN], ended: [], hasMoreEnds: false},
      {requestedAtMs, receivedAtMs},
    ),
);

When(
  'a list requested at {int} ms that lacks the run arrives at {int} ms',
  (requestedAtMs: number, receivedAtMs: number) =>
    void table.applyLists(
      {running: [], ended: [], hasMoreEnds: false},
      {requestedAtMs, receivedAtMs},
    ),
);

Then('the run is still there', () => {
  assert.ok(table.isTracked(TASK, RUN));
  assert.deepEqual(table.takeRefusals(), []);
});

Then('the run is gone', () => {
  assert.ok(!table.isTracked(TASK, RUN));
  assert.equal(table.takeRefusals().length, 1);
});
