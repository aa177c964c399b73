/** Steps that test the pool planner and the gang coordinator in memory. */
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
import {GangSimulation} from '../fixtures/gang_simulation.js';
import {
  type NonPreemptibleBlock,
  type GuaranteedCell,
  layoutExists,
} from '../fixtures/layout_oracle.js';

const SEED = 20261204;
const MINUTE_MS = 60_000;

/** A planner with a simulated pool; records the effects of the planner. */
class PlannerSimulation {
  readonly planner = new GuaranteePlanner(DEFAULT_PLANNER_OPTIONS);
  readonly placed = new Map<string, string[]>();
  readonly stopped: string[] = [];
  readonly rejected = new Map<string, boolean>();
  readonly failed: string[] = [];
  readonly quarantined: string[] = [];
  nowMs = 0;
  private nextJobNumber = 0;

  constructor(workers: number, pool: Pool, perRack = 2) {
    this.handle({type: 'configure', pool});
    for (let i = 0; i < workers; i++)
      this.handle({
        type: 'workerUp',
        site: {
          id: `w${i}`,
          rack: `r${Math.floor(i / perRack)}`,
          accelerators: 8,
        },
      });
    this.handle({type: 'inventoryKnown'});
  }

  handle(input: PlannerInput): PlannerEffect[] {
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
    overrides: Partial<JobSpec> = {},
  ): string {
    const id = `${workspace}-${this.nextJobNumber++}`;
    this.handle({
      type: 'submit',
      job: {...jobSpec(id, workspace, accelerators, this.nowMs), ...overrides},
    });
    return id;
  }

  end(job: string, end: JobEnd, failedWorkers: string[] = []): void {
    this.placed.delete(job);
    this.handle({type: 'ended', job, end, failedWorkers, retry: true});
  }

  runningOf(workspace: string): string[] {
    return [...this.placed.keys()].filter(id => id.startsWith(`${workspace}-`));
  }
}

let simulation: PlannerSimulation;
let lastJob = '';

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
    simulation = new PlannerSimulation(
      workers,
      poolOf({[workspace]: [size], bo: []}),
    );
  },
);

Given('a pool of {int} workers without guarantees', (workers: number) => {
  simulation = new PlannerSimulation(workers, poolOf({ana: [], bo: []}));
});

When(
  '{string} fills the pool with preemptible jobs of {int} accelerators',
  (workspace: string, size: number) => {
    for (let i = 0; i < 4; i++)
      simulation.submit(workspace, size, {
        preemptible: true,
        class: JobClass.BATCH,
      });
    assert.equal(simulation.runningOf(workspace).length, 4);
  },
);

When(
  '{string} submits a job of {int} accelerators',
  (workspace: string, size: number) => {
    lastJob = simulation.submit(workspace, size);
  },
);

When(
  '{string} submits {int} non-preemptible jobs of {int} accelerators',
  (workspace: string, count: number, size: number) => {
    for (let i = 0; i < count; i++) simulation.submit(workspace, size);
  },
);

When(
  '{string} submits a job of {int} whole workers',
  (workspace: string, count: number) => {
    lastJob = simulation.submit(workspace, 8, {
      shape: [{accelerators: 8 * count, level: ShapeLevel.RACK, count: 1}],
    });
  },
);

When('{int} minutes pass', (minutes: number) => {
  simulation.nowMs += minutes * MINUTE_MS;
  simulation.handle({type: 'tick'});
});

Given(
  'a pool of {int} workers with three guarantees of {int} for {string}',
  (workers: number, size: number, workspace: string) => {
    const sizes = [size, size, size];
    simulation = new PlannerSimulation(
      workers,
      poolOf({[workspace]: sizes, bo: []}),
    );
  },
);

Given(
  'workers join one by one a pool whose guarantees exceed its capacity',
  () => {
    const whole = {accelerators: 8, level: ShapeLevel.WORKER, count: 1};
    const rack = {accelerators: 16, level: ShapeLevel.RACK, count: 1};
    const workspaces = [
      {name: 'ana', guarantee: [rack]},
      {name: 'bo', guarantee: [whole, whole]},
    ];
    simulation = new PlannerSimulation(0, {
      name: 'pool',
      selector: {},
      workspaces,
    });
    // The two smaller guarantees are bound first, one in each rack.
    for (const id of ['w0', 'w2', 'w1']) {
      const rackName = id === 'w2' ? 'r1' : 'r0';
      simulation.handle({
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
    lastJob = simulation.submit(workspace, 16, {shape});
    assert.ok(!simulation.placed.has(lastJob));
  },
);

Then('the job of {string} runs in the guarantee', (workspace: string) => {
  assert.ok(lastJob.startsWith(`${workspace}-`));
  assert.deepEqual(simulation.placed.get(lastJob), ['w0', 'w1']);
});

When('only one worker of each rack remains', () => {
  for (const worker of ['w0', 'w2', 'w4']) {
    simulation.handle({type: 'workerDown', worker});
  }
  assert.deepEqual(simulation.planner.status().unmetGuarantees, []);
});

When('all workers have rejoined', () => {
  for (const i of [0, 2, 4]) {
    const workerInfo = {id: `w${i}`, rack: `r${i / 2}`, accelerators: 8};
    simulation.handle({type: 'workerUp', site: workerInfo});
  }
});

When(
  '{string} and then {string} submit preemptible jobs',
  (first: string, second: string) => {
    const batch = {preemptible: true, class: JobClass.BATCH};
    simulation.submit(first, 4, batch);
    simulation.nowMs += 1000;
    simulation.submit(second, 8, batch);
  },
);

When('the first job of {string} ends', (workspace: string) => {
  simulation.end(simulation.runningOf(workspace)[0], JobEnd.DONE);
});

Then(
  'the preemptible job of {string} runs and no job was stopped',
  (workspace: string) => {
    assert.equal(simulation.runningOf(workspace).length, 1);
    assert.deepEqual(simulation.stopped, []);
  },
);

When('the stopped jobs have ended', () => {
  for (const job of simulation.stopped.splice(0))
    simulation.end(job, JobEnd.STOPPED);
});

When(
  'one job of {string} ends and {string} submits another',
  (workspace: string, submitter: string) => {
    const [worker] = simulation.placed.get(simulation.runningOf(workspace)[0])!;
    const reserved = simulation.planner.status().reservedForLargeJobs;
    assert.equal(reserved, 1);
    simulation.end(
      simulation
        .runningOf(workspace)
        .find(id => simulation.placed.get(id)![0] === worker)!,
      JobEnd.DONE,
    );
    simulation.submit(submitter, 4);
  },
);

When('one job of {string} on the reserved worker ends', (workspace: string) => {
  // Ends jobs until the large one starts; at most two jobs share the reserved worker.
  for (const id of simulation.runningOf(workspace).slice(0, 2)) {
    if (!simulation.placed.has(lastJob)) simulation.end(id, JobEnd.DONE);
  }
});

When(
  'different jobs fail {int} times in a row on one worker and succeed elsewhere',
  (times: number) => {
    for (let i = 0; i < 4; i++) simulation.submit('bo', 8);
    const jobsElsewhere = simulation
      .runningOf('bo')
      .filter(id => simulation.placed.get(id)![0] !== 'w1');
    for (const id of jobsElsewhere) simulation.end(id, JobEnd.DONE);
    for (let i = 0; i < times; i++) {
      const id =
        simulation
          .runningOf('bo')
          .find(j => simulation.placed.get(j)![0] === 'w1') ??
        simulation.submit('bo', 8);
      simulation.placed.delete(id);
      simulation.handle({
        type: 'ended',
        job: id,
        end: JobEnd.FAILED,
        failedWorkers: ['w1'],
        retry: false,
      });
      for (let k = 0; k < 4; k++) simulation.submit('bo', 8);
      for (const other of simulation
        .runningOf('bo')
        .filter(j => simulation.placed.get(j)![0] !== 'w1'))
        simulation.end(other, JobEnd.DONE);
    }
  },
);

When('a job fails on {int} healthy workers', (times: number) => {
  while (simulation.runningOf('bo').length > 0) {
    simulation.end(simulation.runningOf('bo')[0], JobEnd.DONE);
  }
  lastJob = simulation.submit('ana', 8);
  const healthyWorkers = new Set<string>();
  while (healthyWorkers.size < times) {
    const [worker] = simulation.placed.get(lastJob)!;
    simulation.end(lastJob, JobEnd.FAILED, [worker]);
    // A failure on the worker on probation is attributed to that worker.
    if (worker !== 'w1') healthyWorkers.add(worker);
  }
});

Then('only jobs on one worker are stopped', () => {
  const all = new Set(
    simulation.stopped.flatMap(id => simulation.placed.get(id)!),
  );
  assert.equal(simulation.stopped.length, 2);
  assert.equal(all.size, 1);
});

Then('the job of {string} runs', (workspace: string) => {
  assert.ok(
    lastJob.startsWith(workspace) && simulation.placed.has(lastJob),
    'the job still waits',
  );
});

Then('{int} jobs of {string} run', (count: number, workspace: string) => {
  assert.equal(simulation.runningOf(workspace).length, count);
});

Then('the invariants of the plan hold', () => {
  assert.deepEqual(simulation.planner.violatedInvariants(), []);
});

Then('it is rejected permanently', () => {
  assert.equal(simulation.rejected.get(lastJob), true);
});

Then(
  'the job of {string} runs before the new job of {string}',
  (large: string, small: string) => {
    assert.ok(
      lastJob.startsWith(large) && simulation.placed.has(lastJob),
      'the large job does not run',
    );
    assert.ok(simulation.runningOf(small).length <= 2);
  },
);

Then('that worker is quarantined', () => {
  assert.deepEqual(simulation.quarantined, ['w1']);
  assert.deepEqual(simulation.planner.status().quarantinedWorkers, ['w1']);
});

Then('that worker is on probation', () => {
  assert.deepEqual(simulation.planner.status().quarantinedWorkers, []);
});

Then('the job is failed', () => {
  assert.deepEqual(simulation.failed.includes(lastJob), true);
});

// Properties checked on random histories.

interface PlannerStep {
  readonly action:
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

const plannerStepArbitrary: fc.Arbitrary<PlannerStep> = fc.record({
  action: fc.constantFrom(
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

function applyPlannerStep(
  simulation: PlannerSimulation,
  step: PlannerStep,
): void {
  const names = ['ana', 'bo', 'cy'];
  const running = [...simulation.placed.keys()].filter(
    id => !simulation.stopped.includes(id),
  );
  const pick = <T>(list: readonly T[]) => list[step.pick % list.length];
  simulation.nowMs += 5000;
  switch (step.action) {
    case 'submit':
      return void simulation.submit(pick(names), step.size, {
        preemptible: step.preemptible,
        class: pick(Object.values(JobClass)),
      });
    case 'end':
      return running.length > 0
        ? simulation.end(pick(running), JobEnd.DONE)
        : undefined;
    case 'fail':
      return running.length > 0
        ? simulation.end(
            pick(running),
            JobEnd.FAILED,
            simulation.placed.get(pick(running)),
          )
        : undefined;
    case 'stopped': {
      const job = simulation.stopped.shift();
      return job ? simulation.end(job, JobEnd.STOPPED) : undefined;
    }
    case 'down':
      return void simulation.handle({
        type: 'workerDown',
        worker: `w${step.pick % 4}`,
      });
    case 'up':
      return void simulation.handle({
        type: 'workerUp',
        site: {
          id: `w${step.pick % 4}`,
          rack: `r${Math.floor((step.pick % 4) / 2)}`,
          accelerators: 8,
        },
      });
    case 'edit':
      return void simulation.handle({type: 'configure', pool: pick(POOLS)});
    case 'cancel':
      return running.length > 0
        ? void simulation.handle({
            type: 'cancel',
            job: pick(running),
            reason: 'cancelled',
          })
        : undefined;
    case 'tick':
      return void simulation.handle({type: 'tick'});
  }
}

Then(
  'the invariants of a pool hold in {int} random histories',
  (runs: number) => {
    fc.assert(
      fc.property(
        fc.array(plannerStepArbitrary, {minLength: 10, maxLength: 120}),
        steps => {
          const simulation = new PlannerSimulation(4, POOLS[0]);
          for (const step of steps) {
            applyPlannerStep(simulation, step);
            assert.deepEqual(simulation.planner.violatedInvariants(), []);
          }
        },
      ),
      {seed: SEED, numRuns: runs},
    );
  },
);

Then(
  'on {int} small pools every layout is valid and at most {int} existing layouts are missed',
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
        const simulation = new PlannerSimulation(2, poolOf({ana: [], bo: []}));
        for (const job of jobs) simulation.submit(job.workspace, job.size);
        simulation.handle({type: 'configure', pool: poolOf({ana, bo})});
        assert.deepEqual(simulation.planner.violatedInvariants(), []);
        const guaranteed: GuaranteedCell[] = [
          ...ana.map(size => ({workspace: 'ana', size})),
          ...bo.map(size => ({workspace: 'bo', size})),
        ];
        guaranteed.sort((a, b) => b.size - a.size);
        const exists = layoutExists(
          2,
          guaranteed,
          nonPreemptibleBlocksOf(simulation),
        );
        const found = simulation.planner.status().unmetGuarantees.length === 0;
        assert.ok(
          exists || !found,
          'the planner found a layout, but exhaustive search found none',
        );
        if (exists) existing++;
        if (exists && !found) missed++;
      }),
      {seed: SEED, numRuns: runs},
    );
    assert.ok(existing > runs / 10, `only ${existing} pools have a layout`);
    assert.ok(
      missed <= allowed,
      `${missed} of ${existing} layouts were missed`,
    );
  },
);

function nonPreemptibleBlocksOf(
  simulation: PlannerSimulation,
): NonPreemptibleBlock[] {
  return simulation.planner.heldBlocks().map(({workspace, worker, mask}) => ({
    workspace,
    worker: Number(worker.slice(1)),
    mask,
  }));
}

interface GangStep {
  readonly action:
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
  action: fc.constantFrom(
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

function applyGangStep(
  simulation: GangSimulation,
  step: GangStep,
  index: number,
): void {
  const {pick} = step;
  if (step.action === 'submit')
    simulation.submit(
      gangSpec(`g${index}`, pick, step.idempotent, simulation.nowMs),
    );
  if (step.action === 'cancel') simulation.cancel(`g${pick % (index + 1)}`);
  if (step.action === 'takeOver') simulation.takeOver();
  if (step.action === 'split') simulation.takeOver(true);
  if (step.action === 'restart') simulation.restartAgent(pick % 4);
  if (step.action === 'cut')
    simulation.disconnectAgent(pick % 4, 500 + pick * 5);
  if (step.action === 'storeDown') simulation.setTableServiceUp(false);
  if (step.action === 'storeUp') simulation.setTableServiceUp(true);
  simulation.advance(100 + (pick % 900));
}

/** Returns the gang invariants that a history violated. */
function violatedGangInvariants(
  simulation: GangSimulation,
  steps: readonly GangStep[],
): string[] {
  const violations: string[] = [];
  const attempts = new Map<string, Set<number>>();
  for (const agent of simulation.agents) {
    if (agent.overlappingStartCount > 0)
      violations.push(`${agent.ref.id} ran two tasks on one accelerator`);
    for (const {gang, attempt} of agent.tasks)
      attempts.set(
        gang,
        (attempts.get(gang) ?? new Set<number>()).add(attempt),
      );
  }
  steps.forEach((step, i) => {
    const id = `g${i}`;
    const ran = attempts.get(id)?.size ?? 0;
    const outcome = simulation.settlementOf(id)?.outcome;
    if (step.action !== 'submit') return;
    if (!step.idempotent && ran > 1)
      violations.push(`non-idempotent ${id} ran in ${ran} attempts`);
    if (outcome === 'not_run' && ran > 0)
      violations.push(`${id} was reported not_run but ran`);
    if (outcome === 'done' && ran === 0)
      violations.push(`${id} was reported done but never ran`);
  });
  return violations;
}

Then(
  'the invariants of gangs hold in {int} random histories with faults',
  (runs: number) => {
    let ended = 0;
    let submitted = 0;
    fc.assert(
      fc.property(
        fc.nat(),
        fc.array(gangStepArbitrary, {minLength: 4, maxLength: 25}),
        (seed, steps) => {
          const simulation = new GangSimulation(
            seed,
            poolOf({ana: [], bo: []}),
          );
          simulation.advance(500);
          steps.forEach((step, i) => applyGangStep(simulation, step, i));
          simulation.setTableServiceUp(true);
          simulation.takeOver();
          simulation.advance(90_000);
          assert.deepEqual(violatedGangInvariants(simulation, steps), []);
          ended += simulation.endedCount;
          submitted += simulation.submittedCount;
          assert.equal(
            simulation.endedCount,
            simulation.submittedCount,
            'a gang never ended',
          );
        },
      ),
      {seed: SEED, numRuns: runs},
    );
    assert.ok(ended > runs && ended === submitted);
  },
);
