/**
 * Steps that compare the state machines with reference implementations and models, and
 * check the outcomes that callers receive.
 */
import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  ConfigFollower,
  type TableDelta,
} from '../../src/core/config_follower.js';
import {type Route} from '../../src/core/tables.js';
import {checkModels} from '../../spec/check_models.js';
import {RunConformance} from '../fixtures/run_conformance.js';
import {
  RequestSimulation,
  MAX_REPLY_DELAY_MS,
} from '../fixtures/request_simulation.js';

const SEED = 20261204;
const LONG_DEADLINE_MS = 20_000;
const SHORT_DEADLINE_MS = 400;
const MODEL_TIMEOUT_MS = 240_000;
/** Labels of the run model's steps that a job engine takes part in; `n` is a number. */
const EXPECTED_LEADER_STEPS = [
  'leader n takes over',
  'leader n places the task on worker n',
  'leader n writes',
  'leader n commits',
  'the write of leader n is committed',
  'the write of leader n is refused',
  'leader n declares worker n lost',
  'leader n detects that worker n restarted',
  'leader n receives the end of run n',
  'leader n stops run n on worker n',
  'leader n finds no run on worker n',
  'leader n acknowledges the end on worker n',
];

interface Step {
  readonly action:
    | 'plain'
    | 'once'
    | 'keyed'
    | 'cancel'
    | 'flap'
    | 'restartAgent'
    | 'restartGate'
    | 'storeDown'
    | 'storeUp'
    | 'wait';
  readonly a: 0 | 1;
  readonly b: 0 | 1;
  readonly pick: number;
  readonly short: boolean;
}

function arbitraryHistory(
  kinds: readonly Step['action'][],
): fc.Arbitrary<Step[]> {
  const bit = fc.constantFrom<0 | 1>(0, 1);
  const step = fc.record({
    action: fc.constantFrom(...kinds),
    a: bit,
    b: bit,
    pick: fc.nat(100),
    short: fc.boolean(),
  });
  return fc.array(step, {minLength: 3, maxLength: 30});
}

function apply(simulation: RequestSimulation, step: Step): void {
  const {a, b, pick} = step;
  const deadlineMs = step.short ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS;
  if (step.action === 'plain')
    simulation.submit(a, true, undefined, deadlineMs);
  if (step.action === 'once')
    simulation.submit(a, false, undefined, deadlineMs);
  if (step.action === 'keyed')
    simulation.submit(a, false, `key${pick % 3}`, deadlineMs);
  if (step.action === 'cancel') simulation.cancel(pick);
  if (step.action === 'flap') simulation.flap(a, b);
  if (step.action === 'restartAgent') simulation.restartAgent(a);
  if (step.action === 'restartGate') simulation.restartGate(a);
  if (step.action === 'storeDown') simulation.setStoreUp(false);
  if (step.action === 'storeUp') simulation.setStoreUp(true);
  simulation.advance(20 + pick * 4);
}

/** Without faults, each request without a key and each idempotency key runs once. */
function expectedRuns(history: readonly Step[]): number {
  const keys = new Set(
    history.filter(s => s.action === 'keyed').map(s => `key${s.pick % 3}`),
  );
  return (
    history.filter(s => s.action === 'plain' || s.action === 'once').length +
    keys.size
  );
}

Then(
  '{int} random histories without faults match the reference implementation',
  (runs: number) => {
    fc.assert(
      fc.property(
        fc.nat(),
        arbitraryHistory(['plain', 'once', 'keyed', 'wait']),
        (seed, history) => {
          const simulation = new RequestSimulation(seed);
          for (const step of history)
            apply(simulation, {...step, short: false});
          simulation.advance(10_000);
          for (const {req, key} of simulation.sent) {
            const reported = simulation.reported.get(req);
            assert.equal(
              reported?.outcome,
              'done',
              `${req}: ${reported?.outcome} ${reported?.reason}`,
            );
            assert.equal(
              Buffer.from(reported.answer!.body).toString(),
              key ?? req,
            );
          }
          const total = [...simulation.runs.values()].reduce(
            (sum, times) => sum + times.length,
            0,
          );
          assert.equal(total, expectedRuns(history));
        },
      ),
      {seed: SEED, numRuns: runs},
    );
  },
);

Then(
  '{int} random paths through the run model are matched by real job engines',
  {timeout: MODEL_TIMEOUT_MS},
  (paths: number) => {
    const seen = new Set<string>();
    fc.assert(
      fc.property(fc.array(fc.nat(), {minLength: 10, maxLength: 60}), picks => {
        const run = new RunConformance();
        try {
          for (const pick of picks) if (!run.step(pick)) break;
        } catch (err) {
          (err as Error).message += `; ${run.trace.join('; ')}`;
          throw err;
        }
        for (const label of run.trace) seen.add(label.replace(/\d+/g, 'n'));
      }),
      {seed: SEED, numRuns: paths},
    );
    for (const label of EXPECTED_LEADER_STEPS)
      assert.ok(seen.has(label), `no path took the step "${label}"`);
  },
);

/** Describes each reported outcome that contradicts the runs that took place. */
function findFalseOutcomes(simulation: RequestSimulation): string[] {
  const found: string[] = [];
  for (const {req, key, idempotent} of simulation.sent) {
    const subject = key ?? req;
    const times = simulation.runs.get(subject) ?? [];
    const reported = simulation.reported.get(req);
    if (!idempotent && times.length > 1)
      found.push(`${subject} ran ${times.length} times`);
    if (
      reported?.outcome === 'done' &&
      Buffer.from(reported.answer!.body).toString() !== subject
    )
      found.push(`${req} received the answer of another request`);
    if (reported?.outcome === 'done' && times.length === 0)
      found.push(`${req} was reported done but never ran`);
    if (reported?.outcome !== 'not_run') continue;
    // Only a request sent after the claim row was closed may run under the same key.
    const closedFromMs = reported.reportedMs - MAX_REPLY_DELAY_MS;
    const laterSends = simulation.sent.filter(
      s =>
        s.key !== undefined &&
        s.key === key &&
        s.req !== req &&
        s.sentMs >= closedFromMs,
    );
    const ranBefore = times.some(t => t <= reported.reportedMs);
    if (ranBefore || (times.length > 0 && laterSends.length === 0))
      found.push(
        `${req} (${key ?? 'no key'}) was reported not_run at ${reported.reportedMs} but ran at ${times.join()}`,
      );
  }
  return found;
}

Then(
  '{int} random histories with faults report no false outcome',
  (runs: number) => {
    const outcomes = new Map<string, number>();
    fc.assert(
      fc.property(
        fc.nat(),
        arbitraryHistory([
          'plain',
          'once',
          'keyed',
          'keyed',
          'keyed',
          'cancel',
          'flap',
          'restartAgent',
          'restartGate',
          'storeDown',
          'storeUp',
          'wait',
        ]),
        (seed, history) => {
          const simulation = new RequestSimulation(seed);
          for (const step of history) apply(simulation, step);
          simulation.setStoreUp(true);
          simulation.advance(LONG_DEADLINE_MS + 5000);
          assert.deepEqual(findFalseOutcomes(simulation), []);
          for (const {outcome} of simulation.reported.values())
            outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
          const gateLost = history.some(s => s.action === 'restartGate');
          if (!gateLost)
            assert.equal(
              simulation.reported.size,
              simulation.sent.length,
              'a caller received no outcome',
            );
        },
      ),
      {seed: SEED, numRuns: runs},
    );
    for (const outcome of ['done', 'not_run', 'unknown', 'cancelled'])
      assert.ok(
        (outcomes.get(outcome) ?? 0) > 0,
        `no history ended ${outcome}`,
      );
  },
);

function route(kind: string): Route {
  return {
    kind,
    service: 's',
    idempotent: true,
    class: 'normal',
    preemptible: false,
    deadlineMs: 1000,
    checkpointable: false,
  };
}

Then(
  '{int} random orders of deltas, whole tables and offers end at the newest version',
  (runs: number) => {
    const orders = fc.array(
      fc.record({whole: fc.boolean(), version: fc.integer({min: 1, max: 6})}),
      {maxLength: 20},
    );
    fc.assert(
      fc.property(orders, order => {
        const versions = Array.from({length: 7}, (unused, v) =>
          Array.from({length: v}, (u, i) => route(`k${i}-${v % 2}`)),
        );
        const source = new ConfigFollower();
        const deltas: TableDelta[] = [];
        for (let v = 1; v <= 6; v++)
          deltas.push(source.adoptTable('routes', v, versions[v])!);
        const follower = new ConfigFollower();
        for (const {whole, version} of order) {
          const before = follower.versions.routes;
          if (whole) follower.adoptTable('routes', version, versions[version]);
          else follower.adoptDelta(deltas[version - 1]);
          assert.ok(follower.versions.routes >= before, 'a version decreased');
          assert.deepEqual(
            new Set(follower.rowsOf('routes')),
            new Set(versions[follower.versions.routes]),
          );
        }
        follower.adoptDelta(source.wholeTable('routes'));
        assert.equal(follower.versions.routes, 6);
        assert.deepEqual(
          new Set(follower.rowsOf('routes')),
          new Set(versions[6]),
        );
      }),
      {seed: SEED, numRuns: runs},
    );
  },
);

Then(
  'all models pass, and each weakened one is caught',
  {timeout: MODEL_TIMEOUT_MS},
  () => {
    const reports = checkModels();
    assert.ok(reports.length > 10);
    assert.deepEqual(
      reports
        .filter(r => !r.passed)
        .map(r => `${r.model} ${r.weakened ?? ''}: ${r.detail}`),
      [],
    );
  },
);
