/** Runs on an agent's worker, known from the agent's calls and the worker's lists. */
import {
  type EndReport,
  type StartRefusal,
  type RunStatus,
} from '../jobs/engine_messages.js';
import {
  type EndedRun,
  type RunRef,
  type RunningTask,
} from '../ports/task_worker.js';
import {type RunConclusion, RunProof} from './run_conclusion.js';

const RunPhase = {
  /** The start was ordered, but the worker has not confirmed it. */
  STARTING: 'starting',
  RUNNING: 'running',
} as const;
type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

interface RunEntry extends RunRef {
  phase: RunPhase;
  /**
   * When the run was known to be on the worker, in ms of the monotonic clock. A list that
   * was requested later must contain it; if the run is missing, it no longer exists.
   */
  confirmedAtMs: number;
  /**
   * When the worker answered a stop. If a list requested later lacks the run, the run has
   * terminated.
   */
  stopAnsweredAtMs: number | undefined;
  isStopping: boolean;
  checkpoint: string;
  percent: number;
}

export interface WorkerRunLists {
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedRun[];
  /** Whether further ends are not listed, so that a missing run may have ended. */
  readonly hasMoreEnds: boolean;
}

/** When a call to the worker was made and answered, in ms of the monotonic clock. */
export interface CallTimes {
  readonly requestedAtMs: number;
  readonly receivedAtMs: number;
}

function keyOf(task: string, run: number): string {
  return `${task}#${run}`;
}

/** Number of tasks whose refused runs are remembered; orders are repeated for seconds. */
const MAX_REFUSED_TASKS = 10_000;

export class RunTable {
  private readonly entries = new Map<string, RunEntry>();
  private readonly ended = new Map<number, EndReport>();
  private newestEndNumber = 0;
  private acknowledged = 0;
  private refusals: StartRefusal[] = [];
  /** Newest refused run of each task. */
  private readonly refusedRuns = new Map<string, number>();
  private conclusions: RunConclusion[] = [];
  /** When the newest list was requested, in ms of the monotonic clock. */
  private newestRequestMs = -Infinity;

  constructor(private readonly workerKey: string) {}

  get acknowledgedUpTo(): number {
    return this.acknowledged;
  }

  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /**
   * Adds a run that is about to be started; returns false if it is already known. A run
   * that was refused is refused again, since the leader may have placed its task anew.
   */
  addStarting(task: string, run: number, nowMs: number): boolean {
    const key = keyOf(task, run);
    if (this.entries.has(key) || this.findEnd(task, run)) return false;
    if (run <= (this.refusedRuns.get(task) ?? 0)) {
      this.recordRefusal(task, run, 'refused before');
      return false;
    }
    this.entries.set(key, newEntry(task, run, RunPhase.STARTING, nowMs));
    return true;
  }

  confirm(task: string, run: number, nowMs: number): void {
    const entry = this.entries.get(keyOf(task, run));
    if (!entry) return;
    entry.phase = RunPhase.RUNNING;
    entry.confirmedAtMs = nowMs;
  }

  /** Removes a run that never started, or no longer exists, and queues its refusal. */
  recordRefusal(task: string, run: number, reason: string): void {
    this.entries.delete(keyOf(task, run));
    this.refusals.push({worker: this.workerKey, task, run, reason});
    const refusedRun = this.refusedRuns.get(task) ?? 0;
    this.refusedRuns.set(task, Math.max(refusedRun, run));
    if (this.refusedRuns.size > MAX_REFUSED_TASKS) {
      const [oldest] = this.refusedRuns.keys();
      this.refusedRuns.delete(oldest);
    }
  }

  /** Records that a run is being stopped; returns false if it has ended or already is. */
  beginStop(task: string, run: number, nowMs: number): boolean {
    const key = keyOf(task, run);
    if (this.findEnd(task, run)) return false;
    const entry =
      this.entries.get(key) ?? newEntry(task, run, RunPhase.STARTING, nowMs);
    this.entries.set(key, entry);
    if (entry.isStopping) return false;
    entry.isStopping = true;
    return true;
  }

  isStopping(task: string, run: number): boolean {
    return this.entries.get(keyOf(task, run))?.isStopping ?? false;
  }

  /** Whether the run has neither ended nor been refused. */
  isTracked(task: string, run: number): boolean {
    return this.entries.has(keyOf(task, run));
  }

  recordStopAnswer(task: string, run: number, nowMs: number): void {
    const entry = this.entries.get(keyOf(task, run));
    if (entry) entry.stopAnsweredAtMs = nowMs;
  }

  /** Discards ends up to `upTo`, which are durable; returns false if already done. */
  acknowledge(upTo: number): boolean {
    if (upTo <= this.acknowledged) return false;
    this.acknowledged = upTo;
    for (const number of this.ended.keys())
      if (number <= upTo) this.ended.delete(number);
    return true;
  }

  /** Applies the worker's lists; returns true if a change must be reported. */
  applyLists(lists: WorkerRunLists, call: CallTimes): boolean {
    const {requestedAtMs, receivedAtMs} = call;
    const hasEnds = this.applyEnded(lists.ended);
    const listed = new Set<string>();
    let hasNew = false;
    for (const run of lists.running) {
      const key = keyOf(run.task, run.run);
      listed.add(key);
      if (this.findEnd(run.task, run.run)) continue;
      hasNew = this.applyRunning(key, run, receivedAtMs) || hasNew;
    }
    const hasRemoved =
      !lists.hasMoreEnds && this.removeUnlisted(listed, requestedAtMs);
    this.newestRequestMs = Math.max(this.newestRequestMs, requestedAtMs);
    return hasEnds || hasNew || hasRemoved;
  }

  runs(): RunStatus[] {
    return [...this.entries.values()].map(e => ({
      task: e.task,
      run: e.run,
      isRunning: e.phase === RunPhase.RUNNING,
      checkpoint: e.checkpoint,
      percent: e.percent,
    }));
  }

  /** Runs that are not being stopped. */
  unstoppedRuns(): RunEntry[] {
    return [...this.entries.values()].filter(e => !e.isStopping);
  }

  /** Runs that the worker has not confirmed and that are not being stopped. */
  startingRuns(): RunRef[] {
    return this.unstoppedRuns().filter(e => e.phase === RunPhase.STARTING);
  }

  /** Unacknowledged ends, in order of their numbers. */
  ends(): EndReport[] {
    return [...this.ended.values()].sort((a, b) => a.number - b.number);
  }

  takeRefusals(): StartRefusal[] {
    const {refusals} = this;
    this.refusals = [];
    return refusals;
  }

  /** Returns the runs that the worker's lists showed to be over, and clears their list. */
  takeConclusions(): RunConclusion[] {
    const {conclusions} = this;
    this.conclusions = [];
    return conclusions;
  }

  private applyEnded(ended: readonly EndedRun[]): boolean {
    let hasNew = false;
    for (const end of ended) {
      if (end.number <= this.acknowledged || this.ended.has(end.number))
        continue;
      // Lists can arrive out of order. An end after a gap is applied from a later list.
      if (end.number > this.newestEndNumber + 1 && this.newestEndNumber > 0)
        continue;
      this.newestEndNumber = Math.max(this.newestEndNumber, end.number);
      this.ended.set(end.number, end);
      this.entries.delete(keyOf(end.task, end.run));
      this.conclusions.push({
        task: end.task,
        run: end.run,
        proof: RunProof.END_LISTED,
        facts: {reason: end.kind, number: end.number},
      });
      hasNew = true;
    }
    return hasNew;
  }

  private applyRunning(
    key: string,
    run: RunningTask,
    receivedAtMs: number,
  ): boolean {
    const known = this.entries.get(key);
    const entry =
      known ?? newEntry(run.task, run.run, RunPhase.STARTING, receivedAtMs);
    this.entries.set(key, entry);
    const hasChanged = entry.phase !== RunPhase.RUNNING;
    if (hasChanged) {
      entry.phase = RunPhase.RUNNING;
      // The worker may have started the run at any time before it answered.
      entry.confirmedAtMs = receivedAtMs;
    }
    entry.checkpoint = run.checkpoint || entry.checkpoint;
    entry.percent = run.percent;
    return hasChanged;
  }

  /** Removes runs that are missing from a list that should contain them. */
  private removeUnlisted(
    listed: ReadonlySet<string>,
    requestedAtMs: number,
  ): boolean {
    let hasRemoved = false;
    for (const [key, entry] of this.entries) {
      if (listed.has(key)) continue;
      const isStopped =
        entry.stopAnsweredAtMs !== undefined &&
        requestedAtMs > entry.stopAnsweredAtMs;
      const isMissing =
        entry.phase === RunPhase.RUNNING && requestedAtMs > entry.confirmedAtMs;
      if (!isStopped && !isMissing) continue;
      this.recordUnlisted(entry, isStopped, requestedAtMs);
      this.recordRefusal(
        entry.task,
        entry.run,
        isStopped ? 'stopped before it started' : 'not on the worker any more',
      );
      hasRemoved = true;
    }
    return hasRemoved;
  }

  private recordUnlisted(
    entry: RunEntry,
    isStopped: boolean,
    requestedAtMs: number,
  ): void {
    const {task, run, confirmedAtMs, stopAnsweredAtMs} = entry;
    const provenFromMs = isStopped ? stopAnsweredAtMs! : confirmedAtMs;
    this.conclusions.push({
      task,
      run,
      proof: isStopped ? RunProof.STOP_ANSWERED : RunProof.NOT_LISTED,
      facts: {
        wasRunning: entry.phase === RunPhase.RUNNING,
        requestedAfterMs: Math.round(requestedAtMs - provenFromMs),
        // Greater than 0 if a list that was requested later has overtaken this one.
        overtakenByMs: Math.round(
          Math.max(0, this.newestRequestMs - requestedAtMs),
        ),
      },
    });
  }

  private findEnd(task: string, run: number): boolean {
    for (const end of this.ended.values())
      if (end.task === task && end.run === run) return true;
    return false;
  }
}

function newEntry(
  task: string,
  run: number,
  phase: RunPhase,
  nowMs: number,
): RunEntry {
  return {
    task,
    run,
    phase,
    confirmedAtMs: nowMs,
    stopAnsweredAtMs: undefined,
    isStopping: false,
    checkpoint: '',
    percent: 0,
  };
}
