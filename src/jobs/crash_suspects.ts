/**
 * Decides which runs are suspected of having crashed their worker, and when a task is
 * given up for it. Workers also crash by themselves, so a task is given up only after
 * several crashes in a row, and one of them must have hit no other job.
 */

/** Crashes of workers under a task since it last ran without one. */
export interface CrashCounts {
  readonly total: number;
  /** Those in which no other job ran on the worker. */
  readonly alone: number;
}

export const NO_CRASHES: CrashCounts = {total: 0, alone: 0};

/** Crashes after which a task is given up if it ran alone in one of them. */
const MAX_CRASHES = 3;
/** Crashes after which a task is given up, whatever ran beside it. */
const MAX_SHARED_CRASHES = 4;
/** Crashes after which a task runs where no other job runs. */
const ISOLATED_FROM_CRASHES = 2;
/** Shortest time that a run must live for its task to be cleared, in ms. */
const MIN_PROBATION_MS = 5000; // a crash is noticed up to 3 s after it
/** Multiple of the time to the last crash that a run must live. */
const PROBATION_FACTOR = 2;
/** Crashes within this time of each other may have one cause, in ms. */
const COMMON_CAUSE_WINDOW_MS = 500;
/** Number of workers whose simultaneous crash has a cause outside of their tasks. */
const COMMON_CAUSE_WORKERS = 3;
/** Age up to which a run may have crashed its worker by its start, in ms. */
const FRESH_RUN_MS = 1000;

export function isGivenUp({total, alone}: CrashCounts): boolean {
  return total >= (alone > 0 ? MAX_CRASHES : MAX_SHARED_CRASHES);
}

export function mustRunAlone({total}: CrashCounts): boolean {
  return total >= ISOLATED_FROM_CRASHES;
}

/** A task that may be blamed for a crash. */
export interface CrashSuspect {
  readonly jobId: string;
  crashes: CrashCounts;
  /** Age of its run at the most recent crash, in ms. */
  crashedAfterMs: number;
}

export interface CrashedRun<T extends CrashSuspect> {
  readonly task: T;
  readonly ageMs: number;
}

export interface Crash<T extends CrashSuspect> {
  /** In ms of the monotonic clock. */
  readonly atMs: number;
  readonly runs: readonly CrashedRun<T>[];
}

/** Tasks whose counts a crash changed. */
export interface CrashVerdict<T extends CrashSuspect> {
  readonly blamed: readonly T[];
  /** Tasks that were blamed for an earlier crash that had an outside cause. */
  readonly relieved: readonly T[];
}

/** Whether a run has lived so long that its task is no longer suspected. */
export function isCleared(task: CrashSuspect, ranMs: number): boolean {
  const {crashedAfterMs} = task;
  return ranMs > Math.max(MIN_PROBATION_MS, PROBATION_FACTOR * crashedAfterMs);
}

export class CrashSuspects<T extends CrashSuspect> {
  private recent: Crash<T>[] = [];

  /** Counts a crash against the tasks that may have caused it. */
  recordCrash(crash: Crash<T>): CrashVerdict<T> {
    this.recent = this.recent.filter(
      c => Math.abs(crash.atMs - c.atMs) <= COMMON_CAUSE_WINDOW_MS,
    );
    const workers = this.recent.length + 1;
    const hasCommonCause = workers >= COMMON_CAUSE_WORKERS;
    const relieved =
      workers === COMMON_CAUSE_WORKERS
        ? this.recent.flatMap(withdrawBlame)
        : [];
    this.recent.push(crash);
    const blamed = crash.runs.filter(
      ({ageMs}) => !hasCommonCause || ageMs <= FRESH_RUN_MS,
    );
    const isAlone = new Set(crash.runs.map(r => r.task.jobId)).size === 1;
    for (const {task, ageMs} of blamed) {
      task.crashes = addCrash(task.crashes, isAlone);
      task.crashedAfterMs = ageMs;
    }
    return {blamed: blamed.map(r => r.task), relieved};
  }
}

function addCrash({total, alone}: CrashCounts, isAlone: boolean): CrashCounts {
  return {total: total + 1, alone: alone + (isAlone ? 1 : 0)};
}

/** Withdraws the blame for a crash that turned out to have an outside cause. */
function withdrawBlame<T extends CrashSuspect>({runs}: Crash<T>): T[] {
  const older = runs.filter(r => r.ageMs > FRESH_RUN_MS).map(r => r.task);
  for (const task of older) {
    const total = Math.max(0, task.crashes.total - 1);
    const alone = Math.min(task.crashes.alone, total);
    task.crashes = {total, alone};
  }
  return older;
}
