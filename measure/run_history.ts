/**
 * Reconstructs from log lines when each run of a task existed. Finds runs that were
 * started while an earlier run of the same task was not proven to be over.
 */

/**
 * Clocks of processes differ, and lines are written in groups; in ms. Runs that overlap
 * for a shorter time are not reported.
 */
const CLOCK_TOLERANCE_MS = 100;

/** Proofs that a worker gave itself, or that follow from its own clock. */
const WORKER_PROOFS: ReadonlySet<string> = new Set([
  'endListed',
  'notListed',
  'stopAnswered',
  'startRejected',
  'startWithdrawn',
  'otherIncarnation',
  'leasesExpired',
]);

interface LogLine {
  readonly atMs: number;
  readonly process: string;
  readonly event: string;
  readonly task?: string;
  readonly run?: number;
  readonly worker?: string;
  readonly result?: string;
  readonly proof?: string;
  readonly reason?: string;
  readonly replaces?: string;
}

export interface Conclusion {
  readonly atMs: number;
  readonly process: string;
  readonly proof: string;
  readonly isWorkerProof: boolean;
  /** Further fields of the log line. */
  readonly detail: string;
}

export interface RunInterval {
  readonly task: string;
  readonly run: number;
  /** Process of the agent that started the run. */
  readonly agent: string;
  readonly worker: string;
  readonly startedAtMs: number;
  /** Whether the worker answered the start. */
  isConfirmed: boolean;
  readonly conclusions: Conclusion[];
  /** When the leader was told of the run although it had recorded its end. */
  reappearedAtMs: number | undefined;
}

export interface Overlap {
  readonly earlier: RunInterval;
  readonly later: RunInterval;
}

/** When the run was proven to be over by its worker; undefined if it was not. */
export function provenAtMs(interval: RunInterval): number | undefined {
  return interval.conclusions.find(c => c.isWorkerProof)?.atMs;
}

/**
 * Parses a line of a log. The line may follow a time in s and the name of an instance;
 * that time then replaces the time on the process's own clock.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const match = /^\s*(?:(-?\d+(?:\.\d+)?)\s+\S+\s+)?(\{.*\})\s*$/.exec(text);
  if (!match) return undefined;
  try {
    const line = JSON.parse(match[2]) as LogLine;
    if (typeof line.event !== 'string') return undefined;
    return match[1] === undefined
      ? line
      : {...line, atMs: Number(match[1]) * 1000};
  } catch {
    return undefined;
  }
}

export class RunHistory {
  readonly intervals: RunInterval[] = [];
  private readonly workerByAgent = new Map<string, string>();

  /** Builds the history of lines from any number of processes. */
  static fromLines(texts: readonly string[]): {
    readonly history: RunHistory;
    readonly unreadableLines: number;
  } {
    const lines = texts.map(parseLogLine);
    const known = lines.filter(l => l !== undefined);
    const history = new RunHistory();
    for (const line of known.sort((a, b) => a.atMs - b.atMs)) history.add(line);
    return {history, unreadableLines: lines.length - known.length};
  }

  /** Runs that were started before an earlier one was proven to be over. */
  overlaps(): Overlap[] {
    return this.tasks().flatMap(task => {
      const runs = this.intervalsOf(task);
      return runs.flatMap((later, i) =>
        runs
          .slice(0, i)
          .filter(earlier => isUnprovenAt(earlier, later.startedAtMs))
          .map(earlier => ({earlier, later})),
      );
    });
  }

  tasks(): string[] {
    return [...new Set(this.intervals.map(i => i.task))];
  }

  intervalsOf(task: string): RunInterval[] {
    return this.intervals.filter(i => i.task === task);
  }

  private add(line: LogLine): void {
    switch (line.event) {
      case 'workerFound':
        return this.addWorker(line);
      case 'startSent':
        return this.addStart(line);
      case 'runConcluded':
        return this.conclude(line, line.proof ?? 'unknown', isRunOf(line));
      case 'runEnded':
        return this.conclude(line, 'endListed', isRunOf(line));
      case 'runLost':
        return this.conclude(line, line.proof ?? 'lost', isRunOf(line));
      case 'startRefused':
        return this.conclude(line, 'startRefused', isRunOf(line));
      case 'runsConcluded':
        return this.conclude(line, line.proof ?? 'unknown', isOnWorker(line));
      case 'strayRun':
        return this.addReappearance(line);
    }
  }

  /** A heartbeat of another incarnation proves that the earlier one has ended. */
  private addWorker(line: LogLine): void {
    const earlier = this.workerByAgent.get(line.process);
    const worker = line.worker ?? '';
    this.workerByAgent.set(line.process, worker);
    if (earlier !== undefined && earlier !== worker)
      this.conclude(
        line,
        'otherIncarnation',
        i => i.agent === line.process && i.worker !== worker,
      );
  }

  private addStart(line: LogLine): void {
    const {process, task, run, result} = line;
    if (task === undefined || run === undefined) return;
    if (result !== 'started' && result !== 'unanswered') return;
    const worker = line.worker ?? this.workerByAgent.get(process) ?? '';
    const isConfirmed = result === 'started';
    const known = this.intervals.find(
      i => i.task === task && i.run === run && i.worker === worker,
    );
    if (known) {
      known.isConfirmed ||= isConfirmed;
      return;
    }
    this.intervals.push({
      task,
      run,
      agent: process,
      worker,
      startedAtMs: line.atMs,
      isConfirmed,
      conclusions: [],
      reappearedAtMs: undefined,
    });
  }

  private conclude(
    line: LogLine,
    proof: string,
    isMeant: (interval: RunInterval) => boolean,
  ): void {
    const conclusion: Conclusion = {
      atMs: line.atMs,
      process: line.process,
      proof,
      isWorkerProof: WORKER_PROOFS.has(proof),
      detail: describeFacts(line),
    };
    for (const interval of this.intervals)
      if (isMeant(interval) && provenAtMs(interval) === undefined)
        interval.conclusions.push(conclusion);
  }

  private addReappearance(line: LogLine): void {
    for (const interval of this.intervals.filter(isRunOf(line)))
      if (interval.conclusions.length > 0)
        interval.reappearedAtMs ??= line.atMs;
  }
}

function isUnprovenAt(interval: RunInterval, atMs: number): boolean {
  const provenMs = provenAtMs(interval);
  return provenMs === undefined || provenMs > atMs + CLOCK_TOLERANCE_MS;
}

function isRunOf(line: LogLine): (interval: RunInterval) => boolean {
  return ({task, run, worker}) =>
    task === line.task &&
    run === line.run &&
    (line.worker === undefined || worker === '' || worker === line.worker);
}

function isOnWorker(line: LogLine): (interval: RunInterval) => boolean {
  return interval => interval.worker === line.worker;
}

const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'atMs',
  'level',
  'process',
  'part',
  'event',
  'task',
  'run',
  'worker',
  'proof',
]);

function describeFacts(line: LogLine): string {
  return Object.entries(line)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name} ${value}`)
    .join(', ');
}

/** Describes a run and each conclusion about its end, one line each. */
export function describeInterval(interval: RunInterval): string {
  const {run, agent, worker, startedAtMs, isConfirmed} = interval;
  const at = (ms: number) => `+${Math.round(ms - startedAtMs)} ms`;
  const lines = [
    `  run ${run} on ${worker || agent}: ${isConfirmed ? 'started' : 'start unanswered'} at ${Math.round(startedAtMs)}`,
    ...interval.conclusions.map(
      c =>
        `    ${at(c.atMs)} ${c.isWorkerProof ? 'proven' : 'assumed'}: ${c.proof} (${c.process}; ${c.detail})`,
    ),
  ];
  if (interval.conclusions.length === 0) lines.push('    no end was logged');
  if (interval.reappearedAtMs !== undefined)
    lines.push(`    ${at(interval.reappearedAtMs)} listed again (strayRun)`);
  return lines.join('\n');
}
