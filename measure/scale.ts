/** Measures time per planner input and memory of one planner for growing pools. */
import {JobClass} from '../src/core/outcome.js';
import {Random} from '../src/core/random.js';
import {type Pool, ShapeLevel} from '../src/core/tables.js';
import {
  DEFAULT_PLANNER_OPTIONS,
  GuaranteePlanner,
} from '../src/planning/guarantee_planner.js';
import {type JobSpec} from '../src/planning/job.js';
import {JobEnd, type PlannerInput} from '../src/planning/pool_planner.js';
import {percentile} from './policy_run.js';

const WORKER_COUNTS: readonly number[] = [11, 100, 1000, 3500];
const WORKERS_PER_RACK = 3;
const JOBS_PER_FOUR_WORKERS = 17;
const REPLACED_JOBS = 4000;
const WORKSPACES = 88;
const JOB_SIZES: readonly number[] = [1, 1, 1, 1, 2, 2, 4, 8];

/** Prints one row for each pool size. */
export function measureScale(): void {
  console.log(
    'workers  accelerators  running  queued  place p50  place p99     max  worker lost  edit     memory',
  );
  for (const workers of WORKER_COUNTS) measurePoolSize(workers);
}

function measurePoolSize(workers: number): void {
  const heapBeforeMb = usedHeapMb();
  const benchmark = new PlannerBenchmark(workers);
  benchmark.fill();
  const times = benchmark.replaceJobs(REPLACED_JOBS);
  const workerLostMs = benchmark.timeInput({type: 'workerDown', worker: 'w0'});
  const editMs = benchmark.timeInput({type: 'configure', pool: benchmark.pool});
  const {queued, running} = benchmark.planner.status();
  console.log(
    [
      String(workers).padStart(7),
      String(workers * 8).padStart(13),
      String(running).padStart(8),
      String(queued).padStart(7),
      `${percentile(times, 0.5).toFixed(3)} ms`.padStart(10),
      `${percentile(times, 0.99).toFixed(3)} ms`.padStart(10),
      `${percentile(times, 1).toFixed(1)} ms`.padStart(8),
      `${workerLostMs.toFixed(1)} ms`.padStart(12),
      `${editMs.toFixed(1)} ms`.padStart(8),
      `${(usedHeapMb() - heapBeforeMb).toFixed(1)} MB`.padStart(9),
    ].join(' '),
  );
}

class PlannerBenchmark {
  readonly planner = new GuaranteePlanner(DEFAULT_PLANNER_OPTIONS);
  readonly pool: Pool;
  private readonly random = new Random(7);
  private readonly running: string[] = [];
  private nextJobNumber = 0;
  private nowMs = 0;

  constructor(private readonly workers: number) {
    const workspaceCount = Math.min(WORKSPACES, workers);
    const guaranteedPerWorkspace = Math.max(
      1,
      Math.floor(workers / 2 / workspaceCount),
    );
    this.pool = {
      name: 'scale',
      selector: {},
      workspaces: Array.from({length: workspaceCount}, (unused, i) => ({
        name: `ws${i}`,
        guarantee: [
          {
            accelerators: 8,
            level: ShapeLevel.WORKER,
            count: guaranteedPerWorkspace,
          },
        ],
      })),
    };
    this.handle({type: 'configure', pool: this.pool});
    for (let i = 0; i < workers; i++) {
      this.handle({
        type: 'workerUp',
        site: {
          id: `w${i}`,
          rack: `r${Math.floor(i / WORKERS_PER_RACK)}`,
          accelerators: 8,
        },
      });
    }
    this.nowMs += 2000;
    this.handle({type: 'tick'});
    this.handle({type: 'inventoryKnown'});
  }

  /** Submits jobs until the pool is full and some are waiting. */
  fill(): void {
    const target = Math.floor((this.workers * JOBS_PER_FOUR_WORKERS) / 4);
    for (let i = 0; i < target; i++) this.submit();
  }

  /**
   * Ends a random job and submits a new one, `events` times. Returns the time of each
   * planner input, in ms.
   */
  replaceJobs(events: number): number[] {
    const times: number[] = [];
    for (let i = 0; i < events; i++) {
      this.nowMs += 10;
      const index = this.random.nextInt(this.running.length);
      const job = this.running[index];
      this.running[index] = this.running.at(-1)!;
      this.running.pop();
      times.push(
        this.timeInput({
          type: 'ended',
          job,
          end: JobEnd.DONE,
          failedWorkers: [],
          retry: true,
        }),
      );
      times.push(this.submit());
    }
    return times;
  }

  /** Passes an input to the planner; returns the time that it took, in ms. */
  timeInput(input: PlannerInput): number {
    const startedMs = performance.now();
    const effects = this.planner.handle(input, this.nowMs);
    const elapsedMs = performance.now() - startedMs;
    for (const effect of effects) {
      if (effect.type === 'place') this.running.push(effect.job);
      if (effect.type === 'stop') this.removeRunning(effect.job);
    }
    return elapsedMs;
  }

  private removeRunning(job: string): void {
    const index = this.running.indexOf(job);
    if (index >= 0) this.running.splice(index, 1);
  }

  private handle(input: PlannerInput): void {
    this.timeInput(input);
  }

  private submit(): number {
    const size = this.random.pick(JOB_SIZES);
    const preemptible = this.random.next() < 0.4;
    const job: JobSpec = {
      id: `j${this.nextJobNumber++}`,
      workspace: `ws${this.random.nextInt(this.pool.workspaces.length)}`,
      kind: `k${size}`,
      shape: [{accelerators: size, level: ShapeLevel.WORKER, count: 1}],
      class: preemptible ? JobClass.BATCH : JobClass.NORMAL,
      preemptible,
      checkpointable: false,
      acceptedMs: this.nowMs,
    };
    return this.timeInput({type: 'submit', job});
  }
}

function usedHeapMb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1e6;
}
