/** Generates seeded job arrivals and incidents for the policy measurement. */
import {JobClass} from '../src/core/outcome.js';
import {Random} from '../src/core/random.js';
import {type Shape, ShapeLevel} from '../src/core/tables.js';
import {type JobSpec} from '../src/planning/job.js';

const MINUTE_MS = 60_000;
export const ARRIVALS_END_MS = 120 * MINUTE_MS;
const MIDPOINT_MS = ARRIVALS_END_MS / 2;

/** One job and its run times. */
export interface Arrival {
  readonly spec: JobSpec;
  /** Actual run time on its accelerators, in ms. */
  readonly runMs: number;
  /** Run time declared by its submitter, in ms. */
  readonly declaredMs: number;
}

/** A fault, its end, or a mass cancellation at a given time. */
export type Incident =
  | {readonly atMs: number; readonly type: 'rackDown'; readonly rack: number}
  | {readonly atMs: number; readonly type: 'rackUp'; readonly rack: number}
  | {
      readonly atMs: number;
      readonly type: 'workerBreaks';
      readonly worker: number;
    }
  | {
      readonly atMs: number;
      readonly type: 'workerMends';
      readonly worker: number;
    }
  /** Cancels these fractions of the waiting and of the running jobs. */
  | {
      readonly atMs: number;
      readonly type: 'cancelWave';
      readonly waitingShare: number;
      readonly runningShare: number;
    };

export interface Workload {
  readonly name: string;
  readonly arrivals: readonly Arrival[];
  readonly incidents: readonly Incident[];
}

interface SizeClass {
  readonly shape: Shape;
  readonly size: number;
  readonly meanRunMs: number;
}

const SIZE_CLASSES: readonly SizeClass[] = [
  {shape: [workerBlock(1)], size: 1, meanRunMs: 3 * MINUTE_MS},
  {shape: [workerBlock(2)], size: 2, meanRunMs: 4 * MINUTE_MS},
  {shape: [workerBlock(4)], size: 4, meanRunMs: 6 * MINUTE_MS},
  {shape: [workerBlock(8)], size: 8, meanRunMs: 10 * MINUTE_MS},
  {
    shape: [{accelerators: 16, level: ShapeLevel.RACK, count: 1}],
    size: 16,
    meanRunMs: 15 * MINUTE_MS,
  },
];

/** Fraction of the requested accelerator time of each size class, in their order. */
const MIXED_SIZES: readonly number[] = [0.1, 0.15, 0.2, 0.25, 0.3];
const MOSTLY_SMALL_SIZES: readonly number[] = [0.3, 0.35, 0.2, 0.1, 0.05];
const MOSTLY_LARGE_SIZES: readonly number[] = [0.05, 0.05, 0.1, 0.3, 0.5];

const URGENT_SHARE = 0.05;
const BATCH_SHARE = 0.4;

/** Names of the measured cases. */
export const CASE_NAMES = [
  'steady',
  'burst of small',
  'burst of large',
  'wrong declarations',
  'cancellation wave',
  'worker fails all',
  'rack lost',
  'mix changes',
] as const;
export type CaseName = (typeof CASE_NAMES)[number];

/** Builds the workload of one case for a pool with this number of accelerators. */
export function makeWorkload(
  name: CaseName,
  seed: number,
  workspaces: readonly string[],
  accelerators: number,
): Workload {
  const builder = new WorkloadBuilder(
    new Random(seed),
    workspaces,
    accelerators,
  );
  switch (name) {
    case 'steady':
      return builder.build(name, [
        builder.makePoissonArrivals(0, ARRIVALS_END_MS, 0.8, MIXED_SIZES),
      ]);
    case 'burst of small':
      return builder.build(name, [
        builder.makePoissonArrivals(0, ARRIVALS_END_MS, 0.55, MIXED_SIZES),
        builder.makeBurst(250, 0, 1),
      ]);
    case 'burst of large':
      return builder.build(name, [
        builder.makePoissonArrivals(0, ARRIVALS_END_MS, 0.55, MIXED_SIZES),
        builder.makeBurst(14, 4, 4),
      ]);
    case 'wrong declarations':
      builder.declaredTimeErrorFactor = 10;
      return builder.build(name, [
        builder.makePoissonArrivals(0, ARRIVALS_END_MS, 0.8, MIXED_SIZES),
      ]);
    case 'cancellation wave':
      return builder.build(
        name,
        [builder.makePoissonArrivals(0, ARRIVALS_END_MS, 0.9, MIXED_SIZES)],
        [
          {
            atMs: MIDPOINT_MS,
            type: 'cancelWave',
            waitingShare: 0.6,
            runningShare: 0.3,
          },
        ],
      );
    case 'worker fails all':
      return builder.build(
        name,
        [builder.makePoissonArrivals(0, ARRIVALS_END_MS, 0.65, MIXED_SIZES)],
        [
          {atMs: 20 * MINUTE_MS, type: 'workerBreaks', worker: 4},
          {atMs: 80 * MINUTE_MS, type: 'workerMends', worker: 4},
        ],
      );
    case 'rack lost':
      return builder.build(
        name,
        [builder.makePoissonArrivals(0, ARRIVALS_END_MS, 0.65, MIXED_SIZES)],
        [
          {atMs: 30 * MINUTE_MS, type: 'rackDown', rack: 1},
          {atMs: 60 * MINUTE_MS, type: 'rackUp', rack: 1},
        ],
      );
    case 'mix changes':
      return builder.build(name, [
        builder.makePoissonArrivals(0, MIDPOINT_MS, 0.75, MOSTLY_SMALL_SIZES),
        builder.makePoissonArrivals(
          MIDPOINT_MS,
          ARRIVALS_END_MS,
          0.75,
          MOSTLY_LARGE_SIZES,
        ),
      ]);
  }
}

class WorkloadBuilder {
  /** Largest factor by which declared run times are too long or too short. */
  declaredTimeErrorFactor = 1.5;
  private nextJobNumber = 0;

  constructor(
    private readonly random: Random,
    private readonly workspaces: readonly string[],
    private readonly accelerators: number,
  ) {}

  build(
    name: string,
    arrivalLists: readonly Arrival[][],
    incidents: readonly Incident[] = [],
  ): Workload {
    const arrivals = arrivalLists
      .flat()
      .sort((a, b) => a.spec.acceptedMs - b.spec.acceptedMs);
    return {name, arrivals, incidents};
  }

  /**
   * Generates Poisson arrivals. `load` is the accelerator time that they request in
   * total, as a fraction of the accelerator time of the pool.
   */
  makePoissonArrivals(
    fromMs: number,
    toMs: number,
    load: number,
    mix: readonly number[],
  ): Arrival[] {
    return SIZE_CLASSES.flatMap((size, i) => {
      const meanIntervalMs =
        (size.size * size.meanRunMs) / (load * mix[i] * this.accelerators);
      const arrivals: Arrival[] = [];
      for (
        let atMs = fromMs + this.random.exponential(meanIntervalMs);
        atMs < toMs;
        atMs += this.random.exponential(meanIntervalMs)
      ) {
        arrivals.push(this.makeArrival(size, atMs));
      }
      return arrivals;
    });
  }

  /**
   * Generates jobs that arrive within one minute. `smallest` and `largest` are indexes
   * of size classes.
   */
  makeBurst(count: number, smallest: number, largest: number): Arrival[] {
    return Array.from({length: count}, () => {
      const size =
        SIZE_CLASSES[smallest + this.random.nextInt(largest - smallest + 1)];
      return this.makeArrival(
        size,
        MIDPOINT_MS + this.random.next() * MINUTE_MS,
      );
    });
  }

  private makeArrival(size: SizeClass, atMs: number): Arrival {
    const runMs = Math.max(5000, this.random.exponential(size.meanRunMs));
    const declaredTimeFactor =
      this.declaredTimeErrorFactor ** (2 * this.random.next() - 1);
    const classDraw = this.random.next();
    const batch = classDraw < BATCH_SHARE;
    const urgent = !batch && classDraw < BATCH_SHARE + URGENT_SHARE;
    const spec: JobSpec = {
      id: `j${this.nextJobNumber++}`,
      workspace: this.random.pick(this.workspaces),
      kind: `size-${size.size}`,
      shape: size.shape,
      class: batch
        ? JobClass.BATCH
        : urgent
          ? JobClass.URGENT
          : JobClass.NORMAL,
      preemptible: batch,
      checkpointable: batch && this.random.next() < 0.5,
      acceptedMs: atMs,
    };
    return {spec, runMs, declaredMs: runMs * declaredTimeFactor};
  }
}

function workerBlock(accelerators: number) {
  return {accelerators, level: ShapeLevel.WORKER, count: 1};
}
