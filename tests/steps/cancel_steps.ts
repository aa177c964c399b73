/** Steps for cancelling requests at the agent's request executor. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {makeRequestId} from '../../src/core/ids.js';
import {
  type ExecutorEffect,
  type ExecutorInput,
  RequestExecutor,
} from '../../src/core/request_executor.js';
import {
  BackendState,
  RefusalReason,
  RunEnd,
} from '../../src/core/shared_types.js';

const GATE = 'g0';
const SERVICE = 'desk';
const TICK_MS = 10;

let executor: RequestExecutor;
let nowMs = 0;
let runs: string[] = [];
let started: string[] = [];
let refused: string[] = [];

/** Passes an input to the executor. An aborted call ends immediately. */
function handleInput(input: ExecutorInput): void {
  for (const effect of executor.handle(input, nowMs, nowMs)) record(effect);
}

function record(effect: ExecutorEffect): void {
  if (effect.type === 'call') started.push(effect.run);
  if (effect.type === 'refused' && effect.reason === RefusalReason.CANCELLED)
    refused.push(effect.run);
  if (effect.type === 'abort')
    handleInput({type: 'ended', run: effect.run, end: RunEnd.CANCELLED});
}

function cancel(run: string): void {
  handleInput({type: 'cancel', gate: GATE, run, attempt: 1});
}

function advanceClock(ms: number): void {
  for (const endMs = nowMs + ms; nowMs < endMs;) {
    nowMs += TICK_MS;
    handleInput({type: 'tick'});
  }
}

Given(
  'a backend server of {int} slots with {int} requests',
  (slots: number, count: number) => {
    nowMs = 0;
    started = [];
    refused = [];
    executor = new RequestExecutor({
      announcementMs: 10_000,
      maxRecords: 100,
      maxAnswerBytes: 1000,
    });
    const state = BackendState.SERVING;
    handleInput({
      type: 'announce',
      announcement: {service: SERVICE, slots, state},
    });
    runs = Array.from({length: count}, (unused, i) =>
      makeRequestId({acceptedWallMs: 0, gate: GATE, unique: `${i}`}),
    );
    for (const run of runs)
      handleInput({
        type: 'dispatch',
        gate: GATE,
        run,
        attempt: 1,
        service: SERVICE,
        remainingMs: 10_000,
      });
  },
);

When(
  'all {int} requests are cancelled within {int} ms, running ones first',
  (count: number, ms: number) => {
    for (const run of runs) {
      cancel(run);
      advanceClock(ms / count);
    }
  },
);

When('one running request is cancelled', () => cancel(runs[0]));

Then('{int} requests have started', (count: number) => {
  assert.equal(started.length, count);
});

Then('{int} requests are refused as cancelled', (count: number) => {
  assert.equal(refused.length, count);
});

Then(
  '{int} requests have started after {int} ms',
  (count: number, ms: number) => {
    advanceClock(ms);
    assert.equal(started.length, count);
  },
);
