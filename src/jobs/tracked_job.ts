/** State of a job in the leader: its occurrences, steps, tasks and their records. */
import {
  type CrashCounts,
  type CrashSuspect,
  type CrashedRun,
  NO_CRASHES,
  mustRunAlone,
} from './crash_suspects.js';
import {
  type JobSpec,
  type Queue,
  type Resources,
  type StepSpec,
  coreEquivalents,
  formatTaskName,
} from './job.js';
import {
  BLOCK_TASKS,
  type BlockRef,
  TaskState,
  type TaskRecord,
  UNSTARTED_TASK,
  hasStartedTask,
} from './job_rows.js';
import {type RunRef} from '../ports/task_worker.js';

/** Why work of a run that did not complete was lost, besides how the run ended. */
export const DiscardCause = {
  PREEMPTED: 'preempted',
  STALLED: 'stalled',
  GANG_BROKEN: 'gangBroken',
  JOB_ENDED: 'jobEnded',
  WORKER_LOST: 'workerLost',
} as const;
export type DiscardCause = (typeof DiscardCause)[keyof typeof DiscardCause];

/** One task: its stored record, and the volatile state of its newest run. */
export class TrackedTask implements CrashSuspect {
  state: TaskState;
  run: number;
  worker: string;
  checkpoint: string;
  /**
   * Number of failed runs when the newest run was placed, and one more if this task has ended
   * that run as failed. `Unit.failures` is the number for all tasks of the unit.
   */
  failures: number;
  crashes: CrashCounts;
  /** Whether a worker is known to have started a run of the task. */
  hasStarted: boolean;
  crashedAfterMs = 0;
  /**
   * When the newest run was placed, in ms of the monotonic clock; -Infinity if an earlier
   * leader placed it.
   */
  placedAtMs = 0;
  /** When the run was first reported running, in ms of the monotonic clock; 0 before. */
  runningSinceMs = 0;
  /** Whether an earlier leader placed the run and no agent has reported it since. */
  isAgeUnknown = false;
  /** Reported progress of the newest run, 0 to 100. */
  percent = 0;
  /** When the status of the run was last reported, in ms of the monotonic clock. */
  statusAtMs = 0;
  /** When `percent` last changed, in ms of the monotonic clock. */
  progressAtMs = 0;
  /** Whether a stop of the newest run was ordered. */
  isStopping = false;
  /** Why it is being stopped. */
  stopCause: DiscardCause | undefined;
  /** Whether the start of the newest run was ordered, so that it may be running. */
  isOrdered = false;
  /** When an order for the newest run was last sent, in ms of the monotonic clock. */
  orderedAtMs = -Infinity;
  unit: Unit | undefined;
  readonly name: string;

  constructor(
    readonly step: TrackedStep,
    readonly index: number,
    record: TaskRecord,
  ) {
    this.state = record.state;
    this.run = record.run;
    this.worker = record.worker;
    this.checkpoint = record.checkpoint;
    this.failures = record.failures;
    this.crashes = record.crashes ?? NO_CRASHES;
    this.hasStarted = hasStartedTask([record]);
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

  get jobId(): string {
    return this.step.occurrence.job.spec.id;
  }

  /** The newest run. */
  get ref(): RunRef {
    return {task: this.name, run: this.run};
  }

  get record(): TaskRecord {
    const {state, run, worker, checkpoint, failures} = this;
    const {crashes, hasStarted} = this;
    return {state, run, worker, checkpoint, failures, crashes, hasStarted};
  }

  /** Returns the task to the waiting state and keeps its run number. */
  clearPlacement(): void {
    this.state = TaskState.WAITING;
    this.worker = '';
    this.runningSinceMs = 0;
    this.isAgeUnknown = false;
    this.percent = 0;
    this.isStopping = false;
    this.stopCause = undefined;
    this.isOrdered = false;
  }

  /** Work that a stop would lose, in core-ms. */
  stopCostCoreMs(nowMs: number, sinceMs = this.runningSinceMs): number {
    if (!this.isPlaced || sinceMs === 0) return 0;
    const {checkpointing, request} = this.step.spec;
    // A stop writes a checkpoint, so only the time to restore it is lost.
    const lostMs = checkpointing ? CHECKPOINT_RESTORE_MS : nowMs - sinceMs;
    return lostMs * coreEquivalents(request);
  }
}

/** Tasks that are placed together: a gang, or a single task. */
export class Unit {
  /** Earliest time for the next placement, in ms of the monotonic clock. */
  notBeforeMs = 0;
  /** Number of times that it was stopped for urgent work. */
  preemptions = 0;
  /** Last logged reason for which urgent work waits. */
  waitReason = '';
  /** Agents on whose workers a run failed, the most recent last. */
  readonly failedAgents: string[] = [];
  /** Agents whose workers crashed under one of its runs. */
  readonly crashedAgents = new Set<string>();

  constructor(
    readonly step: TrackedStep,
    readonly tasks: readonly TrackedTask[],
    /** When the unit first became ready for placement, in ms of the monotonic clock. */
    readonly readyAtMs: number,
  ) {}

  get job(): TrackedJob {
    return this.step.occurrence.job;
  }

  /** Since when it has been waiting, in ms of the monotonic clock. */
  get waitsSinceMs(): number {
    return Math.max(this.readyAtMs, this.notBeforeMs);
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

  /** Whether one of its tasks may have crashed its worker. */
  get isSuspect(): boolean {
    return this.tasks.some(t => t.crashes.total > 0);
  }

  get mustRunAlone(): boolean {
    return this.tasks.some(t => mustRunAlone(t.crashes));
  }

  /** Number of failed runs. */
  get failures(): number {
    return Math.max(...this.tasks.map(t => t.failures));
  }

  /**
   * Whether the failure of the task's newest run has been counted, for another member that
   * ended the same run as failed. The records show that to a later leader too.
   */
  isFailureCounted({run, failures}: TrackedTask): boolean {
    const isCountedFor = (t: TrackedTask): boolean =>
      !t.isPlaced && t.run === run && t.failures > failures;
    // A leader of an earlier version counted a failure in the records of all members at once.
    return failures >= run || this.tasks.some(isCountedFor);
  }

  /** Records that a member ended its newest run as failed; a run counts as one failure. */
  recordFailure(task: TrackedTask): void {
    const {failures} = this;
    task.failures = this.isFailureCounted(task) ? failures : failures + 1;
  }

  get nextRun(): number {
    return Math.max(...this.tasks.map(t => t.run)) + 1;
  }

  /**
   * Work that a stop would lose, in core-ms. Members of a gang run together, so the oldest
   * tells the age of those that no agent has reported to this leader yet.
   */
  stopCostCoreMs(nowMs: number): number {
    const known = this.tasks.filter(t => t.isPlaced && t.runningSinceMs !== 0);
    if (known.length === 0) return 0;
    const sinceMs = Math.min(...known.map(t => t.runningSinceMs));
    return this.tasks.reduce(
      (sum, t) => sum + t.stopCostCoreMs(nowMs, sinceMs),
      0,
    );
  }

  /** Whether an earlier leader placed the unit and no agent has reported it since. */
  get isAgeUnknown(): boolean {
    const placed = this.tasks.filter(t => t.isPlaced);
    return placed.length > 0 && placed.every(t => t.isAgeUnknown);
  }
}

/** Time to restore a checkpoint, in ms. */
const CHECKPOINT_RESTORE_MS = 600; // equals `restore-ms` of both sites

export class TrackedStep {
  readonly tasks: TrackedTask[] = [];
  units: Unit[] = [];

  constructor(
    readonly occurrence: TrackedOccurrence,
    readonly number: number,
    readonly spec: StepSpec,
    records: (block: number) => readonly TaskRecord[] | undefined,
  ) {
    for (let index = 0; index < spec.count; index++) {
      const block = Math.floor(index / BLOCK_TASKS);
      const record = records(block)?.[index % BLOCK_TASKS] ?? UNSTARTED_TASK;
      this.tasks.push(new TrackedTask(this, index, record));
    }
  }

  get isDone(): boolean {
    return this.tasks.every(t => t.state === TaskState.DONE);
  }

  /** Creates the units of the step, so that they can be placed. */
  createUnits(nowMs: number): void {
    if (this.units.length > 0) return;
    this.units = this.spec.gang
      ? [new Unit(this, this.tasks, nowMs)]
      : this.tasks.map(t => new Unit(this, [t], nowMs));
    for (const unit of this.units)
      for (const task of unit.tasks) task.unit = unit;
  }

  blockOf(task: TrackedTask): BlockRef {
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

export class TrackedOccurrence {
  readonly steps: TrackedStep[];

  constructor(
    readonly job: TrackedJob,
    readonly number: number,
    /** When it was due, in ms of the monotonic clock. */
    readonly dueAtMs: number,
    records: (step: number, block: number) => readonly TaskRecord[] | undefined,
  ) {
    this.steps = job.spec.steps.map(
      (spec, i) => new TrackedStep(this, i, spec, block => records(i, block)),
    );
  }

  get isDone(): boolean {
    return this.steps.every(s => s.isDone);
  }

  /** Opens each step whose predecessors are done; returns the newly opened steps. */
  openReadySteps(nowMs: number): TrackedStep[] {
    const opened: TrackedStep[] = [];
    for (const step of this.steps) {
      if (step.units.length > 0) continue;
      if (!step.spec.after.every(i => this.steps[i].isDone)) continue;
      step.createUnits(nowMs);
      opened.push(step);
    }
    return opened;
  }
}

export class TrackedJob {
  readonly occurrences = new Map<number, TrackedOccurrence>();
  /** Whether it is completed, failed or cancelled, so that no more tasks start. */
  isEnded = false;
  endedAtMs = 0;
  /** Whether a run of one of its tasks is known to have started. */
  hasStarted = false;

  constructor(
    readonly spec: JobSpec,
    /** When it was submitted, in ms of the monotonic clock. */
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

  get tasks(): TrackedTask[] {
    return [...this.occurrences.values()].flatMap(o =>
      o.steps.flatMap(s => s.tasks),
    );
  }

  /** The queue's current settings, or those at submission if it has been removed. */
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

/** Time for which a placed task has been running, in ms; 0 before it starts. */
export function ranMs(task: TrackedTask, nowMs: number): number {
  return task.runningSinceMs === 0 ? 0 : nowMs - task.runningSinceMs;
}

/** Runs that may have been at work on their worker when it crashed, with their ages. */
export function runsAtCrash(
  placed: Iterable<TrackedTask>,
  atMs: number,
): CrashedRun<TrackedTask>[] {
  const runs: CrashedRun<TrackedTask>[] = [];
  for (const task of placed) {
    if (!task.isOrdered || task.placedAtMs > atMs) continue;
    runs.push({task, ageMs: Math.max(0, ranMs(task, atMs))});
  }
  return runs;
}
