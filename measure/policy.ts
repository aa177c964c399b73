/** Compares planning policies on the same arrivals and incidents for several seeds. */
import {instanceLocations, readDeploymentFiles} from '../harness/deployment.js';
import {type Pool} from '../src/core/tables.js';
import {type WorkerInfo} from '../src/planning/buddy_pool.js';
import {
  DEFAULT_PLANNER_OPTIONS,
  GuaranteePlanner,
  type PlannerOptions,
} from '../src/planning/guarantee_planner.js';
import {type PoolPlanner} from '../src/planning/pool_planner.js';
import {CASE_NAMES, type Workload, makeWorkload} from './arrivals.js';
import {BestFitBackfill, FifoFirstFit} from './baselines.js';
import {PolicyRun, type PolicyRunResult, mean} from './policy_run.js';

const DEFAULT_SEED_COUNT = 20;
const FIRST_SEED = 1001;

interface Policy {
  readonly name: string;
  makePlanner(workload: Workload): PoolPlanner;
}

/** Weights of the mean slowdown (`completion`) and of fragmentation in the score. */
interface Weights {
  readonly completion: number;
  readonly fragmentation: number;
}

const WEIGHTS_BY_USER: Readonly<Record<string, Weights>> = {
  foundry: {completion: 0.7, fragmentation: 0.3},
  consortium: {completion: 0.3, fragmentation: 0.7},
};

const POLICIES: readonly Policy[] = [
  {name: 'fifo first fit', makePlanner: () => new FifoFirstFit()},
  {name: 'best fit, backfill', makePlanner: makeBackfillPlanner},
  guaranteePolicy('ours', {}),
  guaranteePolicy('  own cells first', {splitGuaranteesLast: false}),
  guaranteePolicy('  no reservations', {maxReservations: 0}),
  guaranteePolicy('  no borrowing', {allowBorrowing: false}),
  guaranteePolicy('  no fair share', {useFairShare: false}),
  guaranteePolicy('  no quarantine', {quarantineFaultyWorkers: false}),
];

function guaranteePolicy(
  name: string,
  overrides: Partial<PlannerOptions>,
): Policy {
  return {
    name,
    makePlanner: () =>
      new GuaranteePlanner({...DEFAULT_PLANNER_OPTIONS, ...overrides}),
  };
}

function makeBackfillPlanner(workload: Workload): PoolPlanner {
  const declared = new Map(
    workload.arrivals.map(a => [a.spec.id, a.declaredMs]),
  );
  return new BestFitBackfill(job => declared.get(job)!);
}

/** Results of one policy in one case, with one entry for each seed. */
interface CaseResult {
  readonly policy: string;
  readonly runs: readonly PolicyRunResult[];
}

/** Runs all cases of one user and prints a table for each. */
export function measurePolicy(
  user: string,
  seedCount = DEFAULT_SEED_COUNT,
): void {
  const {deployment, tables} = readDeploymentFiles(user);
  const pool = tables.pools[0] as Pool;
  const workers = instanceLocations(deployment).map((location, i) => ({
    id: `${deployment.service}-${i + 1}`,
    rack: `${location.dataCentre}/${location.rack}`,
    accelerators: deployment.acceleratorsPerWorker,
  }));
  console.log(
    `\n${user}: ${workers.length} workers, seeds ${FIRST_SEED} to ${FIRST_SEED + seedCount - 1}`,
  );
  for (const name of CASE_NAMES) {
    const results = POLICIES.map(policy => ({
      policy: policy.name,
      runs: runSeeds(policy, name, pool, workers, seedCount),
    }));
    printCase(name, results, WEIGHTS_BY_USER[user]);
  }
}

function runSeeds(
  policy: Policy,
  name: (typeof CASE_NAMES)[number],
  pool: Pool,
  workers: readonly WorkerInfo[],
  seedCount: number,
): PolicyRunResult[] {
  const workspaces = pool.workspaces.map(w => w.name);
  const accelerators = workers.reduce((sumOf, s) => sumOf + s.accelerators, 0);
  return Array.from({length: seedCount}, (unused, i) => {
    const workload = makeWorkload(
      name,
      FIRST_SEED + i,
      workspaces,
      accelerators,
    );
    return new PolicyRun(
      policy.makePlanner(workload),
      pool,
      workers,
      workload,
    ).run();
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
    const scores = runs.map((run, i) =>
      relativeScore([run], [fifo.runs[i]], weights),
    );
    const betterCount = scores.filter(s => s < 1).length;
    const columns = [
      policy.padEnd(21),
      meanOf(runs, r => r.meanSlowdown)
        .toFixed(2)
        .padStart(9),
      meanOf(runs, r => r.p95Slowdown)
        .toFixed(1)
        .padStart(6),
      meanOf(runs, r => r.fragmentation)
        .toFixed(3)
        .padStart(7),
      `${Math.round(meanOf(runs, r => r.longestLargeWaitMs) / 1000)} s`.padStart(
        11,
      ),
      `${(meanOf(runs, r => r.guaranteedWaitP95Ms) / 1000).toFixed(1)} s`.padStart(
        9,
      ),
      `${(Math.max(...runs.map(r => r.guaranteedWaitMaxMs)) / 1000).toFixed(1)} s`.padStart(
        9,
      ),
      String(sum(runs, r => r.waitViolations)).padStart(7),
      meanOf(runs, r => r.lostAcceleratorHours)
        .toFixed(2)
        .padStart(7),
      String(sum(runs, r => r.invalidPlacements)).padStart(6),
      String(sum(runs, r => r.invariantViolations)).padStart(6),
      `${betterCount}/${runs.length}`.padStart(7),
      relativeScore(runs, fifo.runs, weights).toFixed(3).padStart(6),
    ];
    console.log(columns.join(' '));
  }
}

/**
 * Weighted sum of mean slowdown and fragmentation, each relative to first come, first
 * served. Lower is better.
 */
function relativeScore(
  runs: readonly PolicyRunResult[],
  base: readonly PolicyRunResult[],
  weights: Weights,
): number {
  const completion =
    meanOf(runs, r => r.meanSlowdown) / meanOf(base, r => r.meanSlowdown);
  const baseFragmentation = meanOf(base, r => r.fragmentation);
  const fragmentation =
    baseFragmentation === 0
      ? 1
      : meanOf(runs, r => r.fragmentation) / baseFragmentation;
  return (
    weights.completion * completion + weights.fragmentation * fragmentation
  );
}

function meanOf(
  runs: readonly PolicyRunResult[],
  value: (run: PolicyRunResult) => number,
): number {
  return mean(runs.map(value));
}

function sum(
  runs: readonly PolicyRunResult[],
  value: (run: PolicyRunResult) => number,
): number {
  return runs.reduce((total, run) => total + value(run), 0);
}
