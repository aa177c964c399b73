/** Stand-in of a worker that runs tasks under leases, with the faults that it can have. */
import {type Clock} from '../src/core/clock.js';
import {
  EndKind,
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

/** What all workers of a test saw, for checks of what must never happen. */
export class RunLedger {
  private readonly live = new Map<string, number>();
  private readonly done = new Set<string>();
  private readonly starts = new Map<string, number>();
  /** Promises that were broken, in words. */
  readonly faults: string[] = [];

  started(task: string): void {
    const running = (this.live.get(task) ?? 0) + 1;
    this.live.set(task, running);
    this.starts.set(task, (this.starts.get(task) ?? 0) + 1);
    if (running > 1) this.faults.push(`${task} ran twice at one time`);
    if (this.done.has(task))
      this.faults.push(`${task} was started after it was done`);
  }

  ended(task: string): void {
    this.live.set(task, (this.live.get(task) ?? 1) - 1);
  }

  acknowledgedDone(task: string): void {
    this.done.add(task);
  }

  startsOf(task: string): number {
    return this.starts.get(task) ?? 0;
  }

  get doneTasks(): ReadonlySet<string> {
    return this.done;
  }

  get liveTasks(): string[] {
    return [...this.live].filter(([, n]) => n > 0).map(([task]) => task);
  }
}

interface Run extends RunRef {
  readonly endsAtMs: number;
}

export interface WorkerFaults {
  /** Calls get no answer and are not carried out. */
  isSilent: boolean;
  /** Starts that get no answer and are carried out this much later, in ms. */
  lateStarts: number;
  lateByMs: number;
  /** Starts that are carried out and not answered. */
  lostAnswers: number;
  /** Everything that starts fails at once. */
  failsAll: boolean;
}

export class StandInWorker extends TaskWorker {
  readonly faults: WorkerFaults = {
    isSilent: false,
    lateStarts: 0,
    lateByMs: 0,
    lostAnswers: 0,
    failsAll: false,
  };
  /** Starts that were carried out. */
  startCount = 0;
  private runs = new Map<string, Run>();
  private ends: EndedRun[] = [];
  private highestRun = new Map<string, number>();
  private nextEnd = 1;
  private fence = 0;
  private leaseUntilMs = 0;
  private timer: NodeJS.Timeout;

  constructor(
    private readonly clock: Clock,
    private readonly ledger: RunLedger,
    public id: string,
    public bornMs: number,
    private readonly runMs: number,
  ) {
    super();
    this.timer = setInterval(() => this.advance(), TICK_MS);
  }

  /** Crashes and comes back as another incarnation, under the same id or a new one. */
  restart(id = this.id): void {
    for (const run of this.runs.values()) this.ledger.ended(run.task);
    this.runs.clear();
    this.ends = [];
    this.highestRun.clear();
    this.nextEnd = 1;
    this.fence = 0;
    this.id = id;
    this.bornMs++;
  }

  get runningTasks(): string[] {
    return [...this.runs.values()].map(r => r.task);
  }

  async start(
    workerId: string,
    req: StartRequest,
    timeoutMs: number,
  ): Promise<StartReply> {
    if (this.faults.isSilent) return this.unanswered(timeoutMs);
    if (this.faults.lateStarts > 0) {
      this.faults.lateStarts--;
      setTimeout(() => this.tryStart(workerId, req), this.faults.lateByMs);
      return this.unanswered(timeoutMs);
    }
    const reply = this.tryStart(workerId, req);
    if (this.faults.lostAnswers === 0) return reply;
    this.faults.lostAnswers--;
    return this.unanswered(timeoutMs);
  }

  async stop(
    workerId: string,
    run: RunRef,
    fencingToken: number,
    timeoutMs: number,
  ): Promise<StopReply> {
    if (this.faults.isSilent) {
      await this.unanswered(timeoutMs);
      return 'unanswered';
    }
    if (workerId !== this.id) return 'otherIncarnation';
    if (fencingToken < this.fence) return 'fenced';
    this.fence = fencingToken;
    const running = this.runs.get(run.task);
    if (running?.run === run.run) this.end(running, EndKind.STOPPED);
    this.raise(run);
    return 'stopped';
  }

  async renew(
    workerId: string,
    req: RenewRequest,
    timeoutMs: number,
  ): Promise<RenewReply> {
    await new Promise(resolve => setImmediate(resolve));
    if (this.faults.isSilent) {
      await this.unanswered(timeoutMs);
      return {type: 'unanswered'};
    }
    if (workerId !== this.id) return {type: 'otherIncarnation'};
    if (req.fencingToken < this.fence) return {type: 'fenced'};
    this.fence = req.fencingToken;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, req.leaseUntilMs ?? 0);
    for (const end of this.ends)
      if (end.number <= req.acknowledgedUpTo && end.kind === EndKind.DONE)
        this.ledger.acknowledgedDone(end.task);
    this.ends = this.ends.filter(e => e.number > req.acknowledgedUpTo);
    if (req.waitMs > 0 && this.ends.length === 0) await this.nextEndWithin(req);
    return {
      type: 'listed',
      clockMs: Math.floor(this.clock.nowMs()),
      bornMs: this.bornMs,
      running: [...this.runs.values()].map(({task, run}) => ({
        task,
        run,
        checkpoint: '',
        percent: 0,
      })),
      ended: [...this.ends],
    };
  }

  async close(): Promise<void> {
    return Promise.resolve();
  }

  /** Ends the stand-in itself. */
  dispose(): void {
    clearInterval(this.timer);
  }

  private tryStart(workerId: string, req: StartRequest): StartReply {
    const clockMs = Math.floor(this.clock.nowMs());
    if (workerId !== this.id) return {type: 'otherIncarnation'};
    const reject = (reason: RejectReason): StartReply => ({
      type: 'rejected',
      reason,
      clockMs,
    });
    if (req.fencingToken < this.fence) return reject(RejectReason.FENCED);
    this.fence = req.fencingToken;
    if (this.runs.get(req.task)?.run === req.run)
      return {type: 'started', clockMs};
    if (req.run <= (this.highestRun.get(req.task) ?? 0))
      return reject(RejectReason.OUTDATED);
    if (req.leaseUntilMs <= clockMs) return reject(RejectReason.LATE);
    this.leaseUntilMs = Math.max(this.leaseUntilMs, req.leaseUntilMs);
    const run = {
      task: req.task,
      run: req.run,
      endsAtMs: clockMs + this.runMs,
    };
    this.runs.set(req.task, run);
    this.startCount++;
    this.ledger.started(req.task);
    if (this.faults.failsAll) this.end(run, EndKind.FAILED);
    return {type: 'started', clockMs};
  }

  private advance(): void {
    const nowMs = this.clock.nowMs();
    for (const run of [...this.runs.values()]) {
      if (nowMs >= this.leaseUntilMs) this.end(run, EndKind.LAPSED);
      else if (nowMs >= run.endsAtMs) this.end(run, EndKind.DONE);
    }
  }

  private end(run: Run, kind: EndKind): void {
    this.runs.delete(run.task);
    this.raise(run);
    this.ledger.ended(run.task);
    this.ends.push({
      number: this.nextEnd++,
      task: run.task,
      run: run.run,
      kind,
      checkpoint: '',
    });
  }

  private raise(run: RunRef): void {
    const highest = this.highestRun.get(run.task) ?? 0;
    this.highestRun.set(run.task, Math.max(highest, run.run));
  }

  private async nextEndWithin(req: RenewRequest): Promise<void> {
    const endsAtMs = this.clock.nowMs() + req.waitMs;
    while (this.ends.length === 0 && this.clock.nowMs() < endsAtMs)
      await new Promise(resolve => setTimeout(resolve, TICK_MS));
  }

  private async unanswered(timeoutMs: number): Promise<StartReply> {
    await new Promise(resolve => setTimeout(resolve, timeoutMs));
    return {type: 'unanswered'};
  }
}

const TICK_MS = 10;
