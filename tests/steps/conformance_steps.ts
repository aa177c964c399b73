/** Steps that compare the machines with a naive version and check what callers are told. */
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
import {RequestBench, SLOW_REPLY_MS} from '../fixtures/request_bench.js';

const SEED = 20261204;
const LONG_DEADLINE_MS = 20_000;
const SHORT_DEADLINE_MS = 400;
const MODEL_TIMEOUT_MS = 240_000;
/** Steps of the specification of runs in which an engine takes part. */
const EVERY_STEP_OF_A_HOLDER = [
  'holder n takes the seat',
  'holder n places the task on worker n',
  'holder n writes',
  'holder n commits',
  'the write of holder n is committed',
  'the write of holder n is refused',
  'holder n gives worker n up',
  'holder n hears of a new worker n',
  'holder n hears that run n ended',
  'holder n stops run n on worker n',
  'holder n misses the run on worker n',
  'holder n acknowledges the end on worker n',
];

interface Step {
  readonly what:
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

function steps(kinds: readonly Step['what'][]): fc.Arbitrary<Step[]> {
  const bit = fc.constantFrom<0 | 1>(0, 1);
  const step = fc.record({
    what: fc.constantFrom(...kinds),
    a: bit,
    b: bit,
    pick: fc.nat(100),
    short: fc.boolean(),
  });
  return fc.array(step, {minLength: 3, maxLength: 30});
}

function apply(bench: RequestBench, step: Step): void {
  const {a, b, pick} = step;
  const deadlineMs = step.short ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS;
  if (step.what === 'plain') bench.submit(a, true, undefined, deadlineMs);
  if (step.what === 'once') bench.submit(a, false, undefined, deadlineMs);
  if (step.what === 'keyed')
    bench.submit(a, false, `key${pick % 3}`, deadlineMs);
  if (step.what === 'cancel') bench.cancel(pick);
  if (step.what === 'flap') bench.flap(a, b);
  if (step.what === 'restartAgent') bench.restartAgent(a);
  if (step.what === 'restartGate') bench.restartGate(a);
  if (step.what === 'storeDown') bench.setStore(false);
  if (step.what === 'storeUp') bench.setStore(true);
  bench.advance(20 + pick * 4);
}

/** The naive version: one process, no faults; each request runs once, each key once. */
function naiveRuns(history: readonly Step[]): number {
  const keys = new Set(
    history.filter(s => s.what === 'keyed').map(s => `key${s.pick % 3}`),
  );
  return (
    history.filter(s => s.what === 'plain' || s.what === 'once').length +
    keys.size
  );
}

Then(
  '{int} random histories without faults end as in the naive version',
  (runs: number) => {
    fc.assert(
      fc.property(
        fc.nat(),
        steps(['plain', 'once', 'keyed', 'wait']),
        (seed, history) => {
          const bench = new RequestBench(seed);
          for (const step of history) apply(bench, {...step, short: false});
          bench.advance(10_000);
          for (const {req, key} of bench.sent) {
            const told = bench.told.get(req);
            assert.equal(
              told?.outcome,
              'done',
              `${req}: ${told?.outcome} ${told?.reason}`,
            );
            assert.equal(Buffer.from(told.answer!.body).toString(), key ?? req);
          }
          const total = [...bench.runs.values()].reduce(
            (sum, times) => sum + times.length,
            0,
          );
          assert.equal(total, naiveRuns(history));
        },
      ),
      {seed: SEED, numRuns: runs},
    );
  },
);

Then(
  '{int} random ways through the specification of runs are followed by real engines',
  {timeout: MODEL_TIMEOUT_MS},
  (ways: number) => {
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
      {seed: SEED, numRuns: ways},
    );
    for (const label of EVERY_STEP_OF_A_HOLDER)
      assert.ok(seen.has(label), `no way took the step "${label}"`);
  },
);

/** What was told and is not true. */
function lies(bench: RequestBench): string[] {
  const found: string[] = [];
  for (const {req, key, idempotent} of bench.sent) {
    const subject = key ?? req;
    const times = bench.runs.get(subject) ?? [];
    const told = bench.told.get(req);
    if (!idempotent && times.length > 1)
      found.push(`${subject} ran ${times.length} times`);
    if (
      told?.outcome === 'done' &&
      Buffer.from(told.answer!.body).toString() !== subject
    )
      found.push(`${req} got another answer`);
    if (told?.outcome === 'done' && times.length === 0)
      found.push(`${req} was told done and never ran`);
    if (told?.outcome !== 'not_run') continue;
    // Only a send made after the row was closed may run under the same key.
    const closedFromMs = told.toldMs - SLOW_REPLY_MS;
    const laterSends = bench.sent.filter(
      s =>
        s.key !== undefined &&
        s.key === key &&
        s.req !== req &&
        s.sentMs >= closedFromMs,
    );
    const ranBefore = times.some(t => t <= told.toldMs);
    if (ranBefore || (times.length > 0 && laterSends.length === 0))
      found.push(
        `${req} (${key ?? 'no key'}) was told not_run at ${told.toldMs} and ran at ${times.join()}`,
      );
  }
  return found;
}

Then('{int} random histories with faults tell the truth', (runs: number) => {
  const outcomes = new Map<string, number>();
  fc.assert(
    fc.property(
      fc.nat(),
      steps([
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
        const bench = new RequestBench(seed);
        for (const step of history) apply(bench, step);
        bench.setStore(true);
        bench.advance(LONG_DEADLINE_MS + 5000);
        assert.deepEqual(lies(bench), []);
        for (const {outcome} of bench.told.values())
          outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
        const gateLost = history.some(s => s.what === 'restartGate');
        if (!gateLost)
          assert.equal(
            bench.told.size,
            bench.sent.length,
            'a caller was told nothing',
          );
      },
    ),
    {seed: SEED, numRuns: runs},
  );
  for (const outcome of ['done', 'not_run', 'unknown', 'cancelled'])
    assert.ok((outcomes.get(outcome) ?? 0) > 0, `no history ended ${outcome}`);
});

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
          assert.ok(follower.versions.routes >= before, 'a version went down');
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
