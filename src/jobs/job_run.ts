/** A job as the seat holder works on it: occurrences, steps, tasks and their records. */
import {
  type JobSpec,
  type Queue,
  type Resources,
  type StepSpec,
  coresOf,
  formatTaskName,
} from './job.js';
import {
  BLOCK_TASKS,
  type BlockRef,
  TaskState,
  type TaskRecord,
  UNSTARTED_TASK,
} from './run_record.js';
import {type RunRef} from '../ports/task_worker.js';

/** One task: its record, and what is known of its newest run for now. */
export class TaskRun {
  state: TaskState;
  run: number;
  worker: string;
  checkpoint: string;
  failures: number;
  /** When the newest run was placed, in ms of the clock. */
  placedAtMs = 0;
  /** When the worker said that it runs; 0 when it has not. */
  runningSinceMs = 0;
  percent = 0;
  /** When the newest news of the run came, in ms of the clock. */
  statusAtMs = 0;
  /** When `percent` last changed, in ms of the clock. */
  progressAtMs = 0;
  /** A stop of the newest run was ordered. */
  isStopping = false;
  /** The order of the newest run was given, so it may be on its worker. */
  isOrdered = false;
  /** When an order of the newest run was last given, in ms of the clock. */
  orderedAtMs = -Infinity;
  unit: Unit | undefined;
  readonly name: string;

  constructor(
    readonly step: StepRun,
    readonly index: number,
    record: TaskRecord,
  ) {
    this.state = record.state;
    this.run = record.run;
    this.worker = record.worker;
    this.checkpoint = record.checkpoint;
    this.failures = record.failures;
    this.name = formatTaskName({
      job: step.occurrence.job.spec.id,
      occurrence: step.occurrence.number,
      step: step.number,
      index,
    });
  }

  get isPlaced(): boolean {
    return this.state === TaskState.PLACED;
  }

  /** The newest run. */
  get ref(): RunRef {
    return {task: this.name, run: this.run};
  }

  get record(): TaskRecord {
    const {state, run, worker, checkpoint, failures} = this;
    return {state, run, worker, checkpoint, failures};
  }

  /** Ends the placement; the number of the run stays. */
  clearPlacement(): void {
    this.state = TaskState.WAITING;
    this.worker = '';
    this.runningSinceMs = 0;
    this.percent = 0;
    this.isStopping = false;
    this.isOrdered = false;
  }
}

/** What is placed as one: a gang, or a single task. */
export class Unit {
  /** Not placed before this time, in ms of the clock. */
  notBeforeMs = 0;
  /** Why it was last left waiting though it is urgent, for the log. */
  waitReason = '';
  /** Agents on which a run of it failed, the newest last. */
  readonly failedAgents: string[] = [];
  /** Newest run that counted as failed; a gang fails once a run. */
  lastFailedRun = 0;

  constructor(
    readonly step: StepRun,
    readonly tasks: readonly TaskRun[],
    /** When it could first be placed, in ms of the clock. */
    readonly readyAtMs: number,
  ) {}

  get job(): JobRun {
    return this.step.occurrence.job;
  }

  get isGang(): boolean {
    return this.step.spec.gang;
  }

  get isDone(): boolean {
    return this.tasks.every(t => t.state === TaskState.DONE);
  }

  get isPlaced(): boolean {
    return this.tasks.some(t => t.isPlaced);
  }

  get isStopping(): boolean {
    return this.tasks.some(t => t.isPlaced && t.isStopping);
  }

  get nextRun(): number {
    return Math.max(...this.tasks.map(t => t.run)) + 1;
  }

  /** Work that a stop would throw away, in core-ms. */
  stopCostCoreMs(nowMs: number): number {
    const {spec} = this.step;
    let costCoreMs = 0;
    for (const task of this.tasks) {
      if (!task.isPlaced || task.runningSinceMs === 0) continue;
      // A stop yields a checkpoint, so only the restart is lost.
      const lostMs = spec.checkpointing
        ? CHECKPOINT_RESTORE_MS
        : nowMs - task.runningSinceMs;
      costCoreMs += lostMs * coresOf(spec.request);
    }
    return costCoreMs;
  }
}

/** Time to restore a checkpoint, in ms. */
const CHECKPOINT_RESTORE_MS = 600; // `restore-ms` of both sites

export class StepRun {
  readonly tasks: TaskRun[] = [];
  units: Unit[] = [];

  constructor(
    readonly occurrence: OccurrenceRun,
    readonly number: number,
    readonly spec: StepSpec,
    records: (block: number) => readonly TaskRecord[] | undefined,
  ) {
    for (let index = 0; index < spec.count; index++) {
      const block = Math.floor(index / BLOCK_TASKS);
      const record = records(block)?.[index % BLOCK_TASKS] ?? UNSTARTED_TASK;
      this.tasks.push(new TaskRun(this, index, record));
    }
  }

  get isDone(): boolean {
    return this.tasks.every(t => t.state === TaskState.DONE);
  }

  /** Makes what is left of the step ready to be placed. */
  open(nowMs: number): void {
    if (this.units.length > 0) return;
    this.units = this.spec.gang
      ? [new Unit(this, this.tasks, nowMs)]
      : this.tasks.map(t => new Unit(this, [t], nowMs));
    for (const unit of this.units)
      for (const task of unit.tasks) task.unit = unit;
  }

  blockOf(task: TaskRun): BlockRef {
    return {
      job: this.occurrence.job.spec.id,
      occurrence: this.occurrence.number,
      step: this.number,
      block: Math.floor(task.index / BLOCK_TASKS),
    };
  }

  recordsOf(block: number): TaskRecord[] {
    return this.tasks
      .slice(block * BLOCK_TASKS, (block + 1) * BLOCK_TASKS)
      .map(t => t.record);
  }
}

export class OccurrenceRun {
  readonly steps: StepRun[];

  constructor(
    readonly job: JobRun,
    readonly number: number,
    /** When it was due, in ms of the clock. */
    readonly dueAtMs: number,
    records: (step: number, block: number) => readonly TaskRecord[] | undefined,
  ) {
    this.steps = job.spec.steps.map(
      (spec, i) => new StepRun(this, i, spec, block => records(i, block)),
    );
  }

  get isDone(): boolean {
    return this.steps.every(s => s.isDone);
  }

  /** Opens each step whose earlier steps are done; returns those opened now. */
  openReadySteps(nowMs: number): StepRun[] {
    const opened: StepRun[] = [];
    for (const step of this.steps) {
      if (step.units.length > 0) continue;
      if (!step.spec.after.every(i => this.steps[i].isDone)) continue;
      step.open(nowMs);
      opened.push(step);
    }
    return opened;
  }
}

export class JobRun {
  readonly occurrences = new Map<number, OccurrenceRun>();
  /** Completed, failed or cancelled: nothing of it is started any more. */
  isEnded = false;
  endedAtMs = 0;

  constructor(
    readonly spec: JobSpec,
    /** When it was handed in, in ms of the clock. */
    readonly acceptedAtMs: number,
  ) {}

  get occurrenceCount(): number {
    return this.spec.schedule?.occurrences ?? 1;
  }

  get isDone(): boolean {
    return (
      this.occurrences.size === this.occurrenceCount &&
      [...this.occurrences.values()].every(o => o.isDone)
    );
  }

  get tasks(): TaskRun[] {
    return [...this.occurrences.values()].flatMap(o =>
      o.steps.flatMap(s => s.tasks),
    );
  }

  /** The queue as operators have it now, or as it was when the job was handed in. */
  currentQueue(queues: ReadonlyMap<string, Queue>): Queue {
    return queues.get(this.spec.queue) ?? this.spec.queueAtHandIn;
  }
}

export function totalRequest(unit: Unit): Resources {
  const {request, count} = unit.step.spec;
  const tasks = unit.isGang ? count : 1;
  return {
    cpu: request.cpu * tasks,
    memoryMb: request.memoryMb * tasks,
    accelerators: request.accelerators * tasks,
  };
}
