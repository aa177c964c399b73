/** What an agent knows of the runs on its worker, from its own calls and the worker's lists. */
import {
  type EndNews,
  type Refusal,
  type RunNews,
} from '../jobs/engine_messages.js';
import {type EndedRun, type RunningTask} from '../ports/task_worker.js';

const RunPhase = {
  /** Ordered; the worker has not confirmed it. */
  STARTING: 'starting',
  RUNNING: 'running',
} as const;
type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

interface Entry {
  readonly task: string;
  readonly run: number;
  phase: RunPhase;
  /** A list that was asked for later than this must show the run. */
  confirmedAtMs: number;
  /** When the worker answered a stop; a later list without the run means that it is gone. */
  stopAnsweredAtMs: number | undefined;
  isStopping: boolean;
  checkpoint: string;
  percent: number;
}

export interface WorkerLists {
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedRun[];
}

function keyOf(task: string, run: number): string {
  return `${task}#${run}`;
}

export class RunTable {
  private readonly entries = new Map<string, Entry>();
  private readonly ended = new Map<number, EndNews>();
  private newestEnd = 0;
  private acknowledged = 0;
  private refusals: Refusal[] = [];

  constructor(private readonly worker: string) {}

  get acknowledgedUpTo(): number {
    return this.acknowledged;
  }

  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Notes a run that is about to be started; false when it is known already. */
  begin(task: string, run: number, nowMs: number): boolean {
    const key = keyOf(task, run);
    if (this.entries.has(key) || this.findEnd(task, run)) return false;
    this.entries.set(key, newEntry(task, run, RunPhase.STARTING, nowMs));
    return true;
  }

  confirm(task: string, run: number, nowMs: number): void {
    const entry = this.entries.get(keyOf(task, run));
    if (!entry) return;
    entry.phase = RunPhase.RUNNING;
    entry.confirmedAtMs = nowMs;
  }

  /** The run never started and never will. */
  refuse(task: string, run: number, reason: string): void {
    this.entries.delete(keyOf(task, run));
    this.refusals.push({worker: this.worker, task, run, reason});
  }

  /** Notes that a run is to be stopped; false when it is being stopped already. */
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

  /** The run is neither listed as ended nor given up. */
  isOpen(task: string, run: number): boolean {
    return this.entries.has(keyOf(task, run));
  }

  stopAnswered(task: string, run: number, nowMs: number): void {
    const entry = this.entries.get(keyOf(task, run));
    if (entry) entry.stopAnsweredAtMs = nowMs;
  }

  /** Ends up to a number are durable elsewhere. */
  acknowledge(upTo: number): boolean {
    if (upTo <= this.acknowledged) return false;
    this.acknowledged = upTo;
    for (const number of this.ended.keys())
      if (number <= upTo) this.ended.delete(number);
    return true;
  }

  /** Takes in the worker's lists; true when something changed that others must know. */
  applyLists(lists: WorkerLists, askedAtMs: number): boolean {
    const hasEnds = this.applyEnded(lists.ended);
    const listed = new Set<string>();
    let hasNew = false;
    for (const run of lists.running) {
      const key = keyOf(run.task, run.run);
      listed.add(key);
      if (this.findEnd(run.task, run.run)) continue;
      hasNew = this.applyRunning(key, run, askedAtMs) || hasNew;
    }
    const hasGone = this.dropAbsent(listed, askedAtMs);
    return hasEnds || hasNew || hasGone;
  }

  runs(): RunNews[] {
    return [...this.entries.values()].map(e => ({
      task: e.task,
      run: e.run,
      isRunning: e.phase === RunPhase.RUNNING,
      checkpoint: e.checkpoint,
      percent: e.percent,
    }));
  }

  /** Ends that are not acknowledged, in order. */
  ends(): EndNews[] {
    return [...this.ended.values()].sort((a, b) => a.number - b.number);
  }

  takeRefusals(): Refusal[] {
    const {refusals} = this;
    this.refusals = [];
    return refusals;
  }

  private applyEnded(ended: readonly EndedRun[]): boolean {
    let hasNew = false;
    for (const end of ended) {
      if (end.number <= this.acknowledged || this.ended.has(end.number))
        continue;
      // A late list may end before numbers that are known; a gap is filled by the next one.
      if (end.number > this.newestEnd + 1 && this.newestEnd > 0) continue;
      this.newestEnd = Math.max(this.newestEnd, end.number);
      this.ended.set(end.number, end);
      this.entries.delete(keyOf(end.task, end.run));
      hasNew = true;
    }
    return hasNew;
  }

  private applyRunning(
    key: string,
    run: RunningTask,
    askedAtMs: number,
  ): boolean {
    const known = this.entries.get(key);
    const entry =
      known ?? newEntry(run.task, run.run, RunPhase.RUNNING, askedAtMs);
    this.entries.set(key, entry);
    const isNews = !known || entry.phase !== RunPhase.RUNNING;
    entry.phase = RunPhase.RUNNING;
    entry.checkpoint = run.checkpoint || entry.checkpoint;
    entry.percent = run.percent;
    return isNews;
  }

  /** Drops runs that a list should show and does not. */
  private dropAbsent(listed: ReadonlySet<string>, askedAtMs: number): boolean {
    let hasGone = false;
    for (const [key, entry] of this.entries) {
      if (listed.has(key)) continue;
      const isStopped =
        entry.stopAnsweredAtMs !== undefined &&
        askedAtMs > entry.stopAnsweredAtMs;
      const isVanished =
        entry.phase === RunPhase.RUNNING && askedAtMs > entry.confirmedAtMs;
      if (!isStopped && !isVanished) continue;
      this.refuse(
        entry.task,
        entry.run,
        isStopped ? 'stopped before it started' : 'not on the worker any more',
      );
      hasGone = true;
    }
    return hasGone;
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
): Entry {
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
