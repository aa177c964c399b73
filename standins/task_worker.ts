/** Stand-in of a worker that runs tasks under leases, with fault injection. */
import {type Clock} from '../src/core/clock.js';
import {
  RunEndKind,
  type EndedRun,
  RejectReason,
  type RenewReply,
  type RenewRequest,
  type RunRef,
  type StartReply,
  type StartRequest,
  type StopReply,
  TaskWorker,
} from '../src/ports/task_worker.js';

/** Records the runs of all workers of a test and detects violated invariants. */
export class RunMonitor {
  private readonly runningCounts = new Map<string, number>();
  private readonly acknowledgedTasks = new Set<string>();
  private readonly startCounts = new Map<string, number>();
  /** Descriptions of the detected violations. */
  readonly violations: string[] = [];

  recordStart(task: string): void {
    const running = (this.runningCounts.get(task) ?? 0) + 1;
    this.runningCounts.set(task, running);
    this.startCounts.set(task, (this.startCounts.get(task) ?? 0) + 1);
    if (running > 1) this.violations.push(`${task} has two concurrent runs`);
    if (this.acknowledgedTasks.has(task))
      this.violations.push(
        `${task} was started after its completion was acknowledged`,
      );
  }

  recordEnd(task: string): void {
    this.runningCounts.set(task, (this.runningCounts.get(task) ?? 1) - 1);
  }

  recordAcknowledgedDone(task: string): void {
    this.acknowledgedTasks.add(task);
  }

  startCountOf(task: string): number {
    return this.startCounts.get(task) ?? 0;
  }

  get doneTasks(): ReadonlySet<string> {
    return this.acknowledgedTasks;
  }

  get runningTasks(): string[] {
    return [...this.runningCounts]
      .filter(([, n]) => n > 0)
      .map(([task]) => task);
  }
}

interface Run extends RunRef {
  readonly endsAtMs: number;
}

export interface TaskWorkerFaults {
  /** Calls are not carried out and time out. */
  isUnresponsive: boolean;
  /** The worker has terminated, and calls to it are refused. */
  isTerminated: boolean;
  /** Number of upcoming starts that time out and are carried out after a delay. */
  delayedStarts: number;
  /** Delay of such starts, in ms. */
  startDelayMs: number;
  /** Number of upcoming starts that time out and are left to `executeHeldStarts`. */
  heldStarts: number;
  /** Number of upcoming starts that are carried out but time out for the caller. */
  lostResponses: number;
  /** Starts are rejected for lack of room. */
  hasNoRoom: boolean;
  /** Time that a run takes to end after a stop, in ms. */
  stopMs: number;
  /** Number of renewals after which the worker becomes unresponsive. */
  renewalsUntilUnresponsive: number;
  /** Every run fails immediately after its start. */
  failsAllRuns: boolean;
  /** Tasks that crash the worker as soon as they start. */
  crashingTasks: ReadonlySet<string>;
}

export class StandInTaskWorker extends TaskWorker {
  readonly faults: TaskWorkerFaults = {
    isUnresponsive: false,
    isTerminated: false,
    delayedStarts: 0,
    startDelayMs: 0,
    heldStarts: 0,
    lostResponses: 0,
    hasNoRoom: false,
    stopMs: 0,
    renewalsUntilUnresponsive: Infinity,
    failsAllRuns: false,
    crashingTasks: new Set(),
  };
  /** Number of starts that were carried out. */
  startCount = 0;
  /** Number of renewals that the current incarnation answered. */
  answeredRenewals = 0;
  /** A longer lease is shortened to this, in ms. */
  maxLeaseMs = Infinity;
  /** Whether the worker has crashed and not restarted yet. */
  isDown = false;
  private crashCount = 0;
  private runs = new Map<string, Run>();
  private unacknowledgedEnds: EndedRun[] = [];
  private highestRunByTask = new Map<string, number>();
  private nextEndNumber = 1;
  private acknowledgedUpTo = 0;
  private highestFencingToken = 0;
  private leaseUntilMs = 0;
  /** Calls name the worker by its id, so a later incarnation may execute these. */
  private heldStarts: Array<() => void> = [];
  private restarts = 0;
  private startedAtMs = 0;
  private timer: NodeJS.Timeout;

  constructor(
    private readonly clock: Clock,
    private readonly monitor: RunMonitor,
    public id: string,
    public bornMs: number,
    private readonly runMs: number,
  ) {
    super();
    this.timer = setInterval(() => this.endDueRuns(), TICK_INTERVAL_MS);
  }

  /** Simulates a crash and restart as a new incarnation, with the same or a new id. */
  restart(id = this.id, bornMs = this.bornMs + 1): void {
    for (const run of this.runs.values()) this.monitor.recordEnd(run.task);
    this.runs.clear();
    this.unacknowledgedEnds = [];
    this.highestRunByTask.clear();
    this.nextEndNumber = 1;
    this.acknowledgedUpTo = 0;
    this.highestFencingToken = 0;
    this.leaseUntilMs = 0;
    this.answeredRenewals = 0;
    this.startedAtMs = this.clock.nowMs();
    this.restarts++;
    this.faults.isTerminated = false;
    this.id = id;
    this.bornMs = bornMs;
  }

  get hasHeldStarts(): boolean {
    return this.heldStarts.length > 0;
  }

  executeHeldStarts(): void {
    for (const execute of this.heldStarts.splice(0)) execute();
  }

  /** Simulates a crash; the worker restarts under a new id after a while. */
  crash(): void {
    this.restart(`${this.id.split('#')[0]}#${++this.crashCount}`);
    this.isDown = true;
    setTimeout(() => (this.isDown = false), CRASH_DOWN_MS);
  }

  /** Ends all runs as done before their time. */
  finishRuns(): void {
    for (const run of [...this.runs.values()]) this.end(run, RunEndKind.DONE);
  }

  get hasUnacknowledgedEnds(): boolean {
    return this.unacknowledgedEnds.length > 0;
  }

  /** Ends all runs without listing their ends; later calls are refused. */
  terminate(): void {
    this.faults.isTerminated = true;
    for (const run of this.runs.values()) this.monitor.recordEnd(run.task);
    this.runs.clear();
  }

  get runningTasks(): string[] {
    return [...this.runs.values()].map(r => r.task);
  }

  async start(
    workerId: string,
    req: StartRequest,
    timeoutMs: number,
  ): Promise<StartReply> {
    if (this.faults.isTerminated || this.isDown) return {type: 'unreachable'};
    if (this.faults.isUnresponsive) return this.waitForTimeout(timeoutMs);
    if (this.faults.delayedStarts > 0) {
      this.faults.delayedStarts--;
      setTimeout(() => this.tryStart(workerId, req), this.faults.startDelayMs);
      return this.waitForTimeout(timeoutMs);
    }
    if (this.faults.heldStarts > 0) {
      this.faults.heldStarts--;
      this.heldStarts.push(() => this.tryStart(workerId, req));
      return this.waitForTimeout(timeoutMs);
    }
    const reply = this.tryStart(workerId, req);
    if (this.faults.lostResponses === 0) return reply;
    this.faults.lostResponses--;
    return this.waitForTimeout(timeoutMs);
  }

  async stop(
    workerId: string,
    run: RunRef,
    fencingToken: number,
    timeoutMs: number,
  ): Promise<StopReply> {
    if (this.faults.isUnresponsive) {
      await this.waitForTimeout(timeoutMs);
      return 'unanswered';
    }
    if (this.faults.isTerminated || this.isDown) return 'unanswered';
    if (workerId !== this.id) return 'otherIncarnation';
    if (fencingToken < this.highestFencingToken) return 'fenced';
    this.highestFencingToken = fencingToken;
    const running = this.runs.get(run.task);
    if (running?.run === run.run) this.stopRun(running);
    this.raiseHighestRun(run);
    return 'stopped';
  }

  async renew(
    workerId: string,
    req: RenewRequest,
    timeoutMs: number,
  ): Promise<RenewReply> {
    if (this.faults.renewalsUntilUnresponsive-- <= 0)
      this.faults.isUnresponsive = true;
    await new Promise(resolve => setImmediate(resolve));
    if (this.faults.isTerminated || this.isDown) return {type: 'refused'};
    if (this.faults.isUnresponsive) {
      await this.waitForTimeout(timeoutMs);
      return {type: 'unanswered'};
    }
    if (workerId !== this.id) return {type: 'otherIncarnation'};
    if (req.fencingToken < this.highestFencingToken) return {type: 'fenced'};
    this.highestFencingToken = req.fencingToken;
    this.extendLease(req.leaseUntilMs ?? 0);
    this.acknowledge(req.acknowledgedUpTo);
    const {restarts} = this;
    if (req.waitMs > 0 && this.unacknowledgedEnds.length === 0)
      await this.waitForEnd(req);
    // A crash breaks the connections of calls in progress.
    if (restarts !== this.restarts || this.faults.isTerminated)
      return {type: 'unanswered'};
    this.answeredRenewals++;
    return {
      type: 'listed',
      clockMs: this.readClock(),
      bornMs: this.bornMs,
      running: [...this.runs.values()].map(({task, run}) => ({
        task,
        run,
        checkpoint: '',
        percent: 0,
      })),
      ended: [...this.unacknowledgedEnds],
      hasMoreEnds: false,
    };
  }

  async close(): Promise<void> {
    return Promise.resolve();
  }

  /** Stops the timer of the stand-in. */
  dispose(): void {
    clearInterval(this.timer);
  }

  private tryStart(workerId: string, req: StartRequest): StartReply {
    const clockMs = this.readClock();
    if (workerId !== this.id) return {type: 'otherIncarnation'};
    const reject = (reason: RejectReason): StartReply => ({
      type: 'rejected',
      reason,
      clockMs,
    });
    if (req.fencingToken < this.highestFencingToken)
      return reject(RejectReason.FENCED);
    this.highestFencingToken = req.fencingToken;
    if (this.runs.get(req.task)?.run === req.run)
      return {type: 'started', clockMs};
    if (req.run <= (this.highestRunByTask.get(req.task) ?? 0))
      return reject(RejectReason.OUTDATED);
    if (req.leaseUntilMs <= clockMs) return reject(RejectReason.LATE);
    this.extendLease(req.leaseUntilMs);
    if (this.faults.hasNoRoom) return reject(RejectReason.NO_ROOM);
    const run = {
      task: req.task,
      run: req.run,
      endsAtMs: clockMs + this.runMs,
    };
    this.runs.set(req.task, run);
    this.startCount++;
    this.monitor.recordStart(req.task);
    if (this.faults.failsAllRuns) this.end(run, RunEndKind.FAILED);
    if (this.faults.crashingTasks.has(req.task))
      setTimeout(() => this.crashUnder(run), TICK_INTERVAL_MS);
    return {type: 'started', clockMs};
  }

  /** Time of the worker's own clock, which starts anew with each incarnation. */
  private readClock(): number {
    return Math.floor(this.clock.nowMs() - this.startedAtMs);
  }

  private extendLease(untilMs: number): void {
    const longestMs = this.readClock() + this.maxLeaseMs;
    this.leaseUntilMs = Math.max(
      this.leaseUntilMs,
      Math.min(untilMs, longestMs),
    );
  }

  /** Ends up to `upTo` are never listed again, even if they are still to come. */
  private acknowledge(upTo: number): void {
    this.acknowledgedUpTo = Math.max(this.acknowledgedUpTo, upTo);
    for (const {number, kind, task} of this.unacknowledgedEnds)
      if (number <= this.acknowledgedUpTo && kind === RunEndKind.DONE)
        this.monitor.recordAcknowledgedDone(task);
    this.unacknowledgedEnds = this.unacknowledgedEnds.filter(
      e => e.number > this.acknowledgedUpTo,
    );
  }

  private crashUnder(run: Run): void {
    if (this.runs.get(run.task) === run) this.crash();
  }

  private endDueRuns(): void {
    const nowMs = this.readClock();
    for (const run of [...this.runs.values()]) {
      if (nowMs >= this.leaseUntilMs) this.end(run, RunEndKind.LAPSED);
      else if (nowMs >= run.endsAtMs) this.end(run, RunEndKind.DONE);
    }
  }

  private stopRun(run: Run): void {
    const {stopMs} = this.faults;
    if (stopMs === 0) return this.end(run, RunEndKind.STOPPED);
    setTimeout(() => {
      if (this.runs.get(run.task) === run) this.end(run, RunEndKind.STOPPED);
    }, stopMs);
  }

  private end(run: Run, kind: RunEndKind): void {
    this.runs.delete(run.task);
    this.raiseHighestRun(run);
    this.monitor.recordEnd(run.task);
    this.unacknowledgedEnds.push({
      number: this.nextEndNumber++,
      task: run.task,
      run: run.run,
      kind,
      checkpoint: '',
    });
    this.acknowledge(this.acknowledgedUpTo);
  }

  private raiseHighestRun(run: RunRef): void {
    const highest = this.highestRunByTask.get(run.task) ?? 0;
    this.highestRunByTask.set(run.task, Math.max(highest, run.run));
  }

  private async waitForEnd(req: RenewRequest): Promise<void> {
    const deadlineMs = this.clock.nowMs() + req.waitMs;
    const {restarts} = this;
    while (
      restarts === this.restarts &&
      !this.faults.isTerminated &&
      this.unacknowledgedEnds.length === 0 &&
      this.clock.nowMs() < deadlineMs
    )
      await new Promise(resolve => setTimeout(resolve, TICK_INTERVAL_MS));
  }

  private async waitForTimeout(timeoutMs: number): Promise<StartReply> {
    await new Promise(resolve => setTimeout(resolve, timeoutMs));
    return {type: 'unanswered'};
  }
}

/** Interval of the checks for due runs and expired leases, in ms. */
const TICK_INTERVAL_MS = 10;
/** Time from a crash to the restart, in ms. */
const CRASH_DOWN_MS = 300;
