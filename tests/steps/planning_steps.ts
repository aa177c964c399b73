/** Steps about plans and gangs, in memory. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {JobClass} from '../../src/core/outcome.js';
import {type Pool, ShapeLevel} from '../../src/core/tables.js';
import {type GangSpec} from '../../src/planning/gang_spec.js';
import {
  DEFAULT_PLANNER_OPTIONS,
  GuaranteePlanner,
} from '../../src/planning/guarantee_planner.js';
import {type JobSpec} from '../../src/planning/job.js';
import {
  JobEnd,
  type PlannerEffect,
  type PlannerInput,
} from '../../src/planning/pool_planner.js';
import {GangBench} from '../fixtures/gang_bench.js';
import {
  type FixedBlock,
  type OwedCell,
  layoutExists,
} from '../fixtures/layout_oracle.js';

const SEED = 20261204;
const MINUTE_MS = 60_000;

/** A planner with what it has decided so far. */
class PlanBench {
  readonly planner = new GuaranteePlanner(DEFAULT_PLANNER_OPTIONS);
  readonly placed = new Map<string, string[]>();
  readonly stopped: string[] = [];
  readonly rejected = new Map<string, boolean>();
  readonly failed: string[] = [];
  readonly quarantined: string[] = [];
  nowMs = 0;
  private next = 0;

  constructor(workers: number, pool: Pool, perRack = 2) {
    this.do({type: 'configure', pool});
    for (let i = 0; i < workers; i++)
      this.do({
        type: 'workerUp',
        site: {
          id: `w${i}`,
          rack: `r${Math.floor(i / perRack)}`,
          accelerators: 8,
        },
      });
    this.do({type: 'inventoryKnown'});
  }

  do(input: PlannerInput): PlannerEffect[] {
    const effects = this.planner.handle(input, this.nowMs);
    for (const e of effects) {
      if (e.type === 'place')
        this.placed.set(
          e.job,
          e.blocks.map(b => b.worker),
        );
      if (e.type === 'stop') this.stopped.push(e.job);
      if (e.type === 'reject') this.rejected.set(e.job, e.permanent);
      if (e.type === 'fail') this.failed.push(e.job);
      if (e.type === 'quarantine') this.quarantined.push(e.worker);
    }
    return effects;
  }

  submit(
    workspace: string,
    accelerators: number,
    change: Partial<JobSpec> = {},
  ): string {
    const id = `${workspace}-${this.next++}`;
    this.do({
      type: 'submit',
      job: {...jobSpec(id, workspace, accelerators, this.nowMs), ...change},
    });
    return id;
  }

  end(job: string, end: JobEnd, failedWorkers: string[] = []): void {
    this.placed.delete(job);
    this.do({type: 'ended', job, end, failedWorkers, retry: true});
  }

  runningOf(workspace: string): string[] {
    return [...this.placed.keys()].filter(id => id.startsWith(`${workspace}-`));
  }
}

let bench: PlanBench;
let special = '';

function jobSpec(
  id: string,
  workspace: string,
  accelerators: number,
  acceptedMs: number,
): JobSpec {
  return {
    id,
    workspace,
    kind: `k${accelerators}`,
    shape: [{accelerators, level: ShapeLevel.WORKER, count: 1}],
    class: JobClass.NORMAL,
    preemptible: false,
    checkpointable: false,
    acceptedMs,
  };
}

function poolOf(guarantees: Readonly<Record<string, readonly number[]>>): Pool {
  const workspaces = Object.entries(guarantees).map(([name, sizes]) => ({
    name,
    guarantee: sizes.map(accelerators => ({
      accelerators,
      level: ShapeLevel.WORKER,
      count: 1,
    })),
  }));
  return {name: 'pool', selector: {}, workspaces};
}

Given(
  'a pool of {int} workers with a guarantee of {int} for {string}',
  (workers: number, size: number, workspace: string) => {
    bench = new PlanBench(workers, poolOf({[workspace]: [size], bo: []}));
  },
);

Given('a pool of {int} workers without guarantees', (workers: number) => {
  bench = new PlanBench(workers, poolOf({ana: [], bo: []}));
});

When(
  '{string} fills the pool with preemptible jobs of {int} accelerators',
  (workspace: string, size: number) => {
    for (let i = 0; i < 4; i++)
      bench.submit(workspace, size, {preemptible: true, class: JobClass.BATCH});
    assert.equal(bench.runningOf(workspace).length, 4);
  },
);

When(
  '{string} submits a job of {int} accelerators',
  (workspace: string, size: number) => {
    special = bench.submit(workspace, size);
  },
);

When(
  '{string} submits {int} fixed jobs of {int} accelerators',
  (workspace: string, count: number, size: number) => {
    for (let i = 0; i < count; i++) bench.submit(workspace, size);
  },
);

When(
  '{string} submits a job of {int} whole workers',
  (workspace: string, count: number) => {
    special = bench.submit(workspace, 8, {
      shape: [{accelerators: 8 * count, level: ShapeLevel.RACK, count: 1}],
    });
  },
);

When('{int} minutes pass', (minutes: number) => {
  bench.nowMs += minutes * MINUTE_MS;
  bench.do({type: 'tick'});
});

Given(
  'a pool of {int} workers with three guarantees of {int} for {string}',
  (workers: number, size: number, workspace: string) => {
    const sizes = [size, size, size];
    bench = new PlanBench(workers, poolOf({[workspace]: sizes, bo: []}));
  },
);

Given(
  'workers come one by one to a pool that promises more than it has',
  () => {
    const whole = {accelerators: 8, level: ShapeLevel.WORKER, count: 1};
    const rack = {accelerators: 16, level: ShapeLevel.RACK, count: 1};
    const workspaces = [
      {name: 'ana', guarantee: [rack]},
      {name: 'bo', guarantee: [whole, whole]},
    ];
    bench = new PlanBench(0, {name: 'pool', selector: {}, workspaces});
    // Smaller guarantees are bound first, one in each rack.
    for (const id of ['w0', 'w2', 'w1']) {
      const rackName = id === 'w2' ? 'r1' : 'r0';
      bench.do({
        type: 'workerUp',
        site: {id, rack: rackName, accelerators: 8},
      });
    }
  },
);

Given(
  '{string} submits a job of 2 whole workers before the layout is repaired',
  (workspace: string) => {
    const shape = [{accelerators: 16, level: ShapeLevel.RACK, count: 1}];
    special = bench.submit(workspace, 16, {shape});
    assert.ok(!bench.placed.has(special));
  },
);

Then('the job of {string} runs in the guarantee', (workspace: string) => {
  assert.ok(special.startsWith(`${workspace}-`));
  assert.deepEqual(bench.placed.get(special), ['w0', 'w1']);
});

When('only one worker of each rack is left', () => {
  for (const worker of ['w0', 'w2', 'w4']) {
    bench.do({type: 'workerDown', worker});
  }
  assert.deepEqual(bench.planner.status().unmetGuarantees, []);
});

When('all workers are back', () => {
  for (const i of [0, 2, 4]) {
    const site = {id: `w${i}`, rack: `r${i / 2}`, accelerators: 8};
    bench.do({type: 'workerUp', site});
  }
});

When(
  '{string} and then {string} submit preemptible jobs',
  (first: string, second: string) => {
    const batch = {preemptible: true, class: JobClass.BATCH};
    bench.submit(first, 4, batch);
    bench.nowMs += 1000;
    bench.submit(second, 8, batch);
  },
);

When('the first job of {string} ends', (workspace: string) => {
  bench.end(bench.runningOf(workspace)[0], JobEnd.DONE);
});

Then(
  'the preemptible job of {string} runs and nothing was stopped',
  (workspace: string) => {
    assert.equal(bench.runningOf(workspace).length, 1);
    assert.deepEqual(bench.stopped, []);
  },
);

When('the stopped jobs have ended', () => {
  for (const job of bench.stopped.splice(0)) bench.end(job, JobEnd.STOPPED);
});

When(
  'one job of {string} ends and {string} submits another',
  (workspace: string, same: string) => {
    const [worker] = bench.placed.get(bench.runningOf(workspace)[0])!;
    const reserved = bench.planner.status().reservedForLargeJobs;
    assert.equal(reserved, 1);
    bench.end(
      bench
        .runningOf(workspace)
        .find(id => bench.placed.get(id)![0] === worker)!,
      JobEnd.DONE,
    );
    bench.submit(same, 4);
  },
);

When('one job of {string} on the reserved worker ends', (workspace: string) => {
  // Ends jobs until the large one has its worker: at most two shared that worker.
  for (const id of bench.runningOf(workspace).slice(0, 2)) {
    if (!bench.placed.has(special)) bench.end(id, JobEnd.DONE);
  }
});

When(
  'different jobs fail {int} times in a row on one worker and succeed elsewhere',
  (times: number) => {
    for (let i = 0; i < 4; i++) bench.submit('bo', 8);
    const good = bench
      .runningOf('bo')
      .filter(id => bench.placed.get(id)![0] !== 'w1');
    for (const id of good) bench.end(id, JobEnd.DONE);
    for (let i = 0; i < times; i++) {
      const id =
        bench.runningOf('bo').find(j => bench.placed.get(j)![0] === 'w1') ??
        bench.submit('bo', 8);
      bench.placed.delete(id);
      bench.do({
        type: 'ended',
        job: id,
        end: JobEnd.FAILED,
        failedWorkers: ['w1'],
        retry: false,
      });
      for (let k = 0; k < 4; k++) bench.submit('bo', 8);
      for (const other of bench
        .runningOf('bo')
        .filter(j => bench.placed.get(j)![0] !== 'w1'))
        bench.end(other, JobEnd.DONE);
    }
  },
);

When('a job fails on {int} good workers', (times: number) => {
  while (bench.runningOf('bo').length > 0) {
    bench.end(bench.runningOf('bo')[0], JobEnd.DONE);
  }
  special = bench.submit('ana', 8);
  const good = new Set<string>();
  while (good.size < times) {
    const [worker] = bench.placed.get(special)!;
    bench.end(special, JobEnd.FAILED, [worker]);
    // The worker on probation is blamed itself.
    if (worker !== 'w1') good.add(worker);
  }
});

Then('only jobs on one worker are stopped', () => {
  const all = new Set(bench.stopped.flatMap(id => bench.placed.get(id)!));
  assert.equal(bench.stopped.length, 2);
  assert.equal(all.size, 1);
});

Then('the job of {string} runs', (workspace: string) => {
  assert.ok(
    special.startsWith(workspace) && bench.placed.has(special),
    'it waits',
  );
});

Then('{int} jobs of {string} run', (count: number, workspace: string) => {
  assert.equal(bench.runningOf(workspace).length, count);
});

Then('the plan keeps its invariants', () => {
  assert.deepEqual(bench.planner.audit(), []);
});

Then('it is refused for good', () => {
  assert.equal(bench.rejected.get(special), true);
});

Then(
  'the job of {string} runs before the new job of {string}',
  (large: string, small: string) => {
    assert.ok(
      special.startsWith(large) && bench.placed.has(special),
      'the large job does not run',
    );
    assert.ok(bench.runningOf(small).length <= 2);
  },
);

Then('that worker is quarantined', () => {
  assert.deepEqual(bench.quarantined, ['w1']);
  assert.deepEqual(bench.planner.status().quarantinedWorkers, ['w1']);
});

Then('that worker is on probation', () => {
  assert.deepEqual(bench.planner.status().quarantinedWorkers, []);
});

Then('the job is failed', () => {
  assert.deepEqual(bench.failed.includes(special), true);
});

// Properties.

interface Step {
  readonly what:
    | 'submit'
    | 'end'
    | 'fail'
    | 'stopped'
    | 'down'
    | 'up'
    | 'edit'
    | 'cancel'
    | 'tick';
  readonly pick: number;
  readonly size: number;
  readonly preemptible: boolean;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  what: fc.constantFrom(
    'submit',
    'submit',
    'submit',
    'end',
    'end',
    'fail',
    'stopped',
    'stopped',
    'down',
    'up',
    'edit',
    'cancel',
    'tick',
  ),
  pick: fc.nat(1000),
  size: fc.constantFrom(1, 2, 4, 8),
  preemptible: fc.boolean(),
});

const POOLS: readonly Pool[] = [
  poolOf({ana: [8, 4], bo: [8], cy: [2, 2]}),
  poolOf({ana: [4], bo: [8, 8], cy: []}),
  poolOf({ana: [], bo: [], cy: [8]}),
];

function apply(plan: PlanBench, step: Step): void {
  const names = ['ana', 'bo', 'cy'];
  const running = [...plan.placed.keys()].filter(
    id => !plan.stopped.includes(id),
  );
  const pick = <T>(list: readonly T[]) => list[step.pick % list.length];
  plan.nowMs += 5000;
  switch (step.what) {
    case 'submit':
      return void plan.submit(pick(names), step.size, {
        preemptible: step.preemptible,
        class: pick(Object.values(JobClass)),
      });
    case 'end':
      return running.length > 0
        ? plan.end(pick(running), JobEnd.DONE)
        : undefined;
    case 'fail':
      return running.length > 0
        ? plan.end(pick(running), JobEnd.FAILED, plan.placed.get(pick(running)))
        : undefined;
    case 'stopped': {
      const job = plan.stopped.shift();
      return job ? plan.end(job, JobEnd.STOPPED) : undefined;
    }
    case 'down':
      return void plan.do({type: 'workerDown', worker: `w${step.pick % 4}`});
    case 'up':
      return void plan.do({
        type: 'workerUp',
        site: {
          id: `w${step.pick % 4}`,
          rack: `r${Math.floor((step.pick % 4) / 2)}`,
          accelerators: 8,
        },
      });
    case 'edit':
      return void plan.do({type: 'configure', pool: pick(POOLS)});
    case 'cancel':
      return running.length > 0
        ? void plan.do({
            type: 'cancel',
            job: pick(running),
            reason: 'cancelled',
          })
        : undefined;
    case 'tick':
      return void plan.do({type: 'tick'});
  }
}

Then('{int} random histories of a pool keep its invariants', (runs: number) => {
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, {minLength: 10, maxLength: 120}),
      steps => {
        const plan = new PlanBench(4, POOLS[0]);
        for (const step of steps) {
          apply(plan, step);
          assert.deepEqual(plan.planner.audit(), []);
        }
      },
    ),
    {seed: SEED, numRuns: runs},
  );
});

Then(
  'on {int} small pools every layout is sound, and it misses at most {int} that exist',
  (runs: number, allowed: number) => {
    const sizes = fc.array(fc.constantFrom(1, 2, 4, 8), {maxLength: 3});
    const fixedJobs = fc.array(
      fc.record({
        workspace: fc.constantFrom('ana', 'bo'),
        size: fc.constantFrom(1, 2, 4),
      }),
      {maxLength: 5},
    );
    let missed = 0;
    let existing = 0;
    fc.assert(
      fc.property(sizes, sizes, fixedJobs, (ana, bo, jobs) => {
        const plan = new PlanBench(2, poolOf({ana: [], bo: []}));
        for (const job of jobs) plan.submit(job.workspace, job.size);
        plan.do({type: 'configure', pool: poolOf({ana, bo})});
        assert.deepEqual(plan.planner.audit(), []);
        const owed: OwedCell[] = [
          ...ana.map(size => ({workspace: 'ana', size})),
          ...bo.map(size => ({workspace: 'bo', size})),
        ];
        owed.sort((a, b) => b.size - a.size);
        const exists = layoutExists(2, owed, fixedBlocksOf(plan));
        const found = plan.planner.status().unmetGuarantees.length === 0;
        assert.ok(
          exists || !found,
          'a layout was found that the oracle says does not exist',
        );
        if (exists) existing++;
        if (exists && !found) missed++;
      }),
      {seed: SEED, numRuns: runs},
    );
    assert.ok(existing > runs / 10, `only ${existing} pools had a layout`);
    assert.ok(
      missed <= allowed,
      `${missed} of ${existing} layouts were missed`,
    );
  },
);

function fixedBlocksOf(plan: PlanBench): FixedBlock[] {
  return plan.planner.heldBlocks().map(({workspace, worker, mask}) => ({
    workspace,
    worker: Number(worker.slice(1)),
    mask,
  }));
}

interface GangStep {
  readonly what:
    | 'submit'
    | 'cancel'
    | 'takeOver'
    | 'split'
    | 'restart'
    | 'cut'
    | 'storeDown'
    | 'storeUp'
    | 'wait';
  readonly pick: number;
  readonly idempotent: boolean;
}

const gangStepArbitrary: fc.Arbitrary<GangStep> = fc.record({
  what: fc.constantFrom(
    'submit',
    'submit',
    'submit',
    'cancel',
    'takeOver',
    'split',
    'restart',
    'cut',
    'storeDown',
    'storeUp',
    'wait',
    'wait',
  ),
  pick: fc.nat(1000),
  idempotent: fc.boolean(),
});

function gangSpec(
  id: string,
  pick: number,
  idempotent: boolean,
  nowMs: number,
): GangSpec {
  const shapes = [
    [{accelerators: 16, level: ShapeLevel.RACK, count: 1}],
    [{accelerators: 4, level: ShapeLevel.WORKER, count: 3}],
    [{accelerators: 8, level: ShapeLevel.WORKER, count: 1}],
  ];
  return {
    id,
    workspace: pick % 2 ? 'ana' : 'bo',
    kind: 'k',
    shape: shapes[pick % shapes.length],
    class: JobClass.NORMAL,
    idempotent,
    preemptible: false,
    checkpointable: false,
    acceptedWallMs: nowMs,
    deadlineWallMs: nowMs + 60 * MINUTE_MS,
  };
}

function applyGangStep(gangs: GangBench, step: GangStep, index: number): void {
  const {pick} = step;
  if (step.what === 'submit')
    gangs.submit(gangSpec(`g${index}`, pick, step.idempotent, gangs.nowMs));
  if (step.what === 'cancel') gangs.cancel(`g${pick % (index + 1)}`);
  if (step.what === 'takeOver') gangs.takeOver();
  if (step.what === 'split') gangs.takeOver(true);
  if (step.what === 'restart') gangs.restartAgent(pick % 4);
  if (step.what === 'cut') gangs.cutAgent(pick % 4, 500 + pick * 5);
  if (step.what === 'storeDown') gangs.setStore(false);
  if (step.what === 'storeUp') gangs.setStore(true);
  gangs.advance(100 + (pick % 900));
}

/** Promises about gangs that a history has broken. */
function brokenGangPromises(
  gangs: GangBench,
  steps: readonly GangStep[],
): string[] {
  const broken: string[] = [];
  const attempts = new Map<string, Set<number>>();
  for (const agent of gangs.agents) {
    if (agent.sharedAccelerators > 0)
      broken.push(`${agent.ref.id} shared accelerators`);
    for (const {gang, attempt} of agent.tasks)
      attempts.set(
        gang,
        (attempts.get(gang) ?? new Set<number>()).add(attempt),
      );
  }
  steps.forEach((step, i) => {
    const id = `g${i}`;
    const ran = attempts.get(id)?.size ?? 0;
    const outcome = gangs.endOf(id)?.outcome;
    if (step.what !== 'submit') return;
    if (!step.idempotent && ran > 1)
      broken.push(`${id} ran under ${ran} attempts`);
    if (outcome === 'not_run' && ran > 0)
      broken.push(`${id} was told not_run and ran`);
    if (outcome === 'done' && ran === 0)
      broken.push(`${id} was told done and never ran`);
  });
  return broken;
}

Then(
  '{int} random histories of gangs under faults keep their promises',
  (runs: number) => {
    let ended = 0;
    let submitted = 0;
    fc.assert(
      fc.property(
        fc.nat(),
        fc.array(gangStepArbitrary, {minLength: 4, maxLength: 25}),
        (seed, steps) => {
          const gangs = new GangBench(seed, poolOf({ana: [], bo: []}));
          gangs.advance(500);
          steps.forEach((step, i) => applyGangStep(gangs, step, i));
          gangs.setStore(true);
          gangs.takeOver();
          gangs.advance(90_000);
          assert.deepEqual(brokenGangPromises(gangs, steps), []);
          ended += gangs.endedCount;
          submitted += gangs.submittedCount;
          assert.equal(
            gangs.endedCount,
            gangs.submittedCount,
            'a gang never ended',
          );
        },
      ),
      {seed: SEED, numRuns: runs},
    );
    assert.ok(ended > runs && ended === submitted);
  },
);
