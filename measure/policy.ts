/** Compares planners on the same arrivals and faults, over many seeds. */
import {placesOf, readDeployment} from '../harness/deployment.js';
import {type Pool} from '../src/core/tables.js';
import {type WorkerSite} from '../src/planning/buddy_pool.js';
import {
  DEFAULT_PLANNER_OPTIONS,
  GuaranteePlanner,
  type PlannerOptions,
} from '../src/planning/guarantee_planner.js';
import {type PoolPlanner} from '../src/planning/pool_planner.js';
import {CASES, type Workload, makeWorkload} from './arrivals.js';
import {BestFitBackfill, FifoFirstFit} from './baselines.js';
import {PolicyRun, type RunFigures, mean} from './policy_run.js';

const SEEDS = 20;
const FIRST_SEED = 1001;

interface Policy {
  readonly name: string;
  make(workload: Workload): PoolPlanner;
}

/** Weights of completion and of fragmentation. */
interface Weights {
  readonly completion: number;
  readonly fragmentation: number;
}

const USERS: Readonly<Record<string, Weights>> = {
  foundry: {completion: 0.7, fragmentation: 0.3},
  consortium: {completion: 0.3, fragmentation: 0.7},
};

const POLICIES: readonly Policy[] = [
  {name: 'fifo first fit', make: () => new FifoFirstFit()},
  {name: 'best fit, backfill', make: makeBackfill},
  ours('ours', {}),
  ours('  own cells first', {splitOwnLast: false}),
  ours('  no reservations', {maxReservations: 0}),
  ours('  no borrowing', {borrowing: false}),
  ours('  no fair share', {fairShare: false}),
  ours('  no quarantine', {quarantine: false}),
];

function ours(name: string, change: Partial<PlannerOptions>): Policy {
  return {
    name,
    make: () => new GuaranteePlanner({...DEFAULT_PLANNER_OPTIONS, ...change}),
  };
}

function makeBackfill(workload: Workload): PoolPlanner {
  const declared = new Map(
    workload.arrivals.map(a => [a.spec.id, a.declaredMs]),
  );
  return new BestFitBackfill(job => declared.get(job)!);
}

/** Figures of one policy in one case, one entry for each seed. */
interface CaseResult {
  readonly policy: string;
  readonly runs: readonly RunFigures[];
}

/** Runs all cases of one user and prints a table. */
export function measurePolicy(user: string, seeds = SEEDS): void {
  const {deployment, tables} = readDeployment(user);
  const pool = tables.pools[0] as Pool;
  const sites = placesOf(deployment).map((place, i) => ({
    id: `${deployment.service}-${i + 1}`,
    rack: `${place.dataCentre}/${place.rack}`,
    accelerators: deployment.acceleratorsPerWorker,
  }));
  console.log(
    `\n${user}: ${sites.length} workers, seeds ${FIRST_SEED} to ${FIRST_SEED + seeds - 1}`,
  );
  for (const name of CASES) {
    const results = POLICIES.map(policy => ({
      policy: policy.name,
      runs: runSeeds(policy, name, pool, sites, seeds),
    }));
    printCase(name, results, USERS[user]);
  }
}

function runSeeds(
  policy: Policy,
  name: (typeof CASES)[number],
  pool: Pool,
  sites: readonly WorkerSite[],
  seeds: number,
): RunFigures[] {
  const workspaces = pool.workspaces.map(w => w.name);
  const accelerators = sites.reduce((sum, s) => sum + s.accelerators, 0);
  return Array.from({length: seeds}, (unused, i) => {
    const workload = makeWorkload(
      name,
      FIRST_SEED + i,
      workspaces,
      accelerators,
    );
    return new PolicyRun(policy.make(workload), pool, sites, workload).run();
  });
}

function printCase(
  name: string,
  results: readonly CaseResult[],
  weights: Weights,
): void {
  console.log(`\n${name}`);
  console.log(
    'policy                 slowdown    p95  fragm.  large wait  owed p95  owed max  breach  lost h  part.  audit  better  score',
  );
  const [fifo] = results;
  for (const {policy, runs} of results) {
    const scores = runs.map((run, i) => score([run], [fifo.runs[i]], weights));
    const better = scores.filter(s => s < 1).length;
    const columns = [
      policy.padEnd(21),
      avg(runs, r => r.meanSlowdown)
        .toFixed(2)
        .padStart(9),
      avg(runs, r => r.p95Slowdown)
        .toFixed(1)
        .padStart(6),
      avg(runs, r => r.fragmentation)
        .toFixed(3)
        .padStart(7),
      `${Math.round(avg(runs, r => r.longestLargeWaitMs) / 1000)} s`.padStart(
        11,
      ),
      `${(avg(runs, r => r.owedWaitP95Ms) / 1000).toFixed(1)} s`.padStart(9),
      `${(Math.max(...runs.map(r => r.owedWaitMaxMs)) / 1000).toFixed(1)} s`.padStart(
        9,
      ),
      String(sum(runs, r => r.breaches)).padStart(7),
      avg(runs, r => r.lostHours)
        .toFixed(2)
        .padStart(7),
      String(sum(runs, r => r.partialGangs)).padStart(6),
      String(sum(runs, r => r.auditFaults)).padStart(6),
      `${better}/${runs.length}`.padStart(7),
      score(runs, fifo.runs, weights).toFixed(3).padStart(6),
    ];
    console.log(columns.join(' '));
  }
}

/** Weighted completion and fragmentation against first come, first served; lower is better. */
function score(
  runs: readonly RunFigures[],
  base: readonly RunFigures[],
  weights: Weights,
): number {
  const completion =
    avg(runs, r => r.meanSlowdown) / avg(base, r => r.meanSlowdown);
  const baseFragmentation = avg(base, r => r.fragmentation);
  const fragmentation =
    baseFragmentation === 0
      ? 1
      : avg(runs, r => r.fragmentation) / baseFragmentation;
  return (
    weights.completion * completion + weights.fragmentation * fragmentation
  );
}

function avg(
  runs: readonly RunFigures[],
  value: (run: RunFigures) => number,
): number {
  return mean(runs.map(value));
}

function sum(
  runs: readonly RunFigures[],
  value: (run: RunFigures) => number,
): number {
  return runs.reduce((total, run) => total + value(run), 0);
}
