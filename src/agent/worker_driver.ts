/** Carries out orders on one incarnation of the worker, and follows what runs there. */
import {type Clock} from '../core/clock.js';
import {momentOf} from '../core/moment.js';
import {
  type Inventory,
  type StartOrder,
  type StopOrder,
} from '../jobs/engine_messages.js';
import {type WorkerReport, workerKey} from '../jobs/worker_pool.js';
import {type PartLog} from '../plugins/event_log.js';
import {type Metrics} from '../plugins/metrics.js';
import {sleep} from '../plugins/sleep.js';
import {
  type RenewReply,
  RejectReason,
  type RunRef,
  type StartReply,
  type TaskWorker,
} from '../ports/task_worker.js';
import {type LeaseKeeper} from './lease_keeper.js';
import {RunTable} from './run_table.js';

/** Longest wait of the worker for an end, in ms; leases are renewed as often. */
const POLL_WAIT_MS = 1000; // a sixth of the shortest lease
/** Time for an answer beyond its wait, in ms. */
const ANSWER_TIMEOUT_MS = 600; // a worker on the same instance answers in a few ms
/** Time after which an unanswered start is no longer tried, in ms. */
const START_GIVE_UP_MS = 2500; // below the time for which a gang's members wait
const RETRY_MS = 100;
/** Silence of the worker at which nothing more is placed there, in ms. */
const UNREACHABLE_MS = 2500; // more than one poll with its time-out

export interface DriverContext {
  readonly worker: TaskWorker;
  readonly clock: Clock;
  readonly log: PartLog;
  readonly metrics: Metrics;
  readonly lease: LeaseKeeper;
  /** Highest epoch that the agent has heard of; 0 before the first. */
  readonly epoch: () => number;
  /** Something changed that the seat holder must know now. */
  readonly onNews: () => void;
  /** Another incarnation answers at the worker's address. */
  readonly onOtherIncarnation: () => void;
}

export class WorkerDriver {
  readonly key: string;
  private readonly table: RunTable;
  private report: WorkerReport;
  private answeredAtMs: number;
  private isClosed = false;
  private isLapseTold = false;
  private hasListed = false;
  /** Calls without an answer since the worker's last one. */
  private unanswered = 0;

  constructor(
    agent: string,
    report: WorkerReport,
    private readonly ctx: DriverContext,
  ) {
    this.report = report;
    this.key = workerKey(agent, report.id, report.bornMs);
    this.table = new RunTable(this.key);
    this.answeredAtMs = ctx.clock.nowMs();
    void this.poll();
  }

  update(report: WorkerReport): void {
    this.report = report;
  }

  get id(): string {
    return this.report.id;
  }

  get bornMs(): number {
    return this.report.bornMs;
  }

  get isReachable(): boolean {
    const silentMs = this.ctx.clock.nowMs() - this.answeredAtMs;
    return this.hasListed && silentMs < UNREACHABLE_MS;
  }

  /** All that is known; undefined before the worker's first lists. */
  inventory(): Inventory | undefined {
    if (!this.hasListed) return undefined;
    return {
      worker: this.report,
      runs: this.table.runs(),
      ends: this.table.ends(),
    };
  }

  takeRefusals(): ReturnType<RunTable['takeRefusals']> {
    return this.table.takeRefusals();
  }

  /** True once after every lease has run out without the worker answering. */
  takeLapse(): boolean {
    const nowMs = this.ctx.clock.nowMs();
    if (this.isReachable || this.isLapseTold || !this.hasListed) return false;
    if (!this.ctx.lease.hasLapsed(nowMs)) return false;
    this.isLapseTold = true;
    return true;
  }

  async start(order: StartOrder): Promise<void> {
    const {task, run} = order;
    const {clock} = this.ctx;
    if (!this.table.begin(task, run, clock.nowMs())) return;
    const giveUpAtMs = clock.nowMs() + START_GIVE_UP_MS;
    let mayHaveStarted = false;
    let reason: string = 'no answer in time';
    while (this.isWanted(order) && clock.nowMs() < giveUpAtMs) {
      const reply = await this.tryStart(order);
      if (reply === 'noLease') {
        reason = 'no contact with the seat holder or the worker, or it leaves';
        break;
      }
      if (reply.type === 'started') return this.confirm(order);
      if (reply.type === 'otherIncarnation') return;
      if (reply.type === 'unanswered') mayHaveStarted = true;
      else if (reply.type === 'rejected') {
        ({reason} = reply);
        if (reason !== RejectReason.LATE) break;
        await this.renew(0);
      } else await sleep(RETRY_MS);
    }
    if (!this.isWanted(order)) return;
    if (!mayHaveStarted) return this.refuse(order, reason);
    // It may still be carried out, so it is stopped before anything else is told.
    await this.stop({...order, type: 'stop'});
  }

  async stop(order: StopOrder): Promise<void> {
    const {task, run} = order;
    const {worker, clock} = this.ctx;
    if (!this.table.beginStop(task, run, clock.nowMs())) return;
    while (!this.isClosed && this.table.isOpen(task, run)) {
      const epoch = this.ctx.epoch();
      const reply = await worker.stop(
        this.id,
        {task, run},
        epoch,
        ANSWER_TIMEOUT_MS,
      );
      this.ctx.log.event('stopSent', {task, run, epoch, result: reply});
      if (reply === 'otherIncarnation') return this.ctx.onOtherIncarnation();
      if (reply === 'stopped') {
        this.table.stopAnswered(task, run, clock.nowMs());
        await this.renew(0);
        return;
      }
      await sleep(RETRY_MS);
    }
  }

  /** Ends up to a number are durable: the worker may forget them. */
  acknowledge(upTo: number): void {
    if (this.table.acknowledge(upTo)) void this.renew(0);
  }

  close(): void {
    this.isClosed = true;
  }

  private isWanted(run: RunRef): boolean {
    return (
      !this.isClosed &&
      this.table.isOpen(run.task, run.run) &&
      !this.table.isStopping(run.task, run.run)
    );
  }

  private async tryStart(order: StartOrder): Promise<StartReply | 'noLease'> {
    const {worker, clock, lease, log, metrics} = this.ctx;
    const startMs = clock.nowMs();
    if (this.report.draining || !this.isReachable) return 'noLease';
    const leaseUntilMs = lease.nextLeaseUntilMs(momentOf(this.ctx.clock));
    if (leaseUntilMs === undefined) return 'noLease';
    const epoch = this.ctx.epoch();
    const {task, run, payload, checkpoint} = order;
    const reply = await worker.start(
      this.id,
      {task, run, payload, checkpoint, leaseUntilMs, fencingToken: epoch},
      ANSWER_TIMEOUT_MS,
    );
    const nowMs = clock.nowMs();
    if ('clockMs' in reply && reply.clockMs !== undefined)
      lease.recordClock(reply.clockMs, startMs, nowMs);
    if (reply.type === 'otherIncarnation') this.ctx.onOtherIncarnation();
    metrics.observe('start_call', nowMs - startMs);
    log.event('startSent', {
      task,
      run,
      epoch,
      result: reply.type,
      reason: 'reason' in reply ? reply.reason : undefined,
      ms: Math.round(nowMs - startMs),
    });
    return reply;
  }

  private confirm(order: StartOrder): void {
    this.table.confirm(order.task, order.run, this.ctx.clock.nowMs());
    this.ctx.onNews();
  }

  private refuse(order: StartOrder, reason: string): void {
    this.table.refuse(order.task, order.run, reason);
    this.ctx.onNews();
  }

  private async poll(): Promise<void> {
    while (!this.isClosed) {
      if (this.ctx.epoch() === 0) {
        await sleep(RETRY_MS);
        continue;
      }
      const isListed = await this.renew(this.hasListed ? POLL_WAIT_MS : 0);
      // With ends that are not durable yet, the worker answers without waiting.
      if (!isListed || this.table.ends().length > 0) await sleep(RETRY_MS);
    }
  }

  /** Renews the lease, acknowledges ends and takes in the lists; true when it was answered. */
  private async renew(waitMs: number): Promise<boolean> {
    const {worker, clock, lease} = this.ctx;
    const askedAtMs = clock.nowMs();
    const reply = await worker.renew(
      this.id,
      {
        fencingToken: this.ctx.epoch(),
        acknowledgedUpTo: this.table.acknowledgedUpTo,
        leaseUntilMs: this.extendsLease
          ? lease.nextLeaseUntilMs(momentOf(this.ctx.clock))
          : undefined,
        waitMs,
      },
      waitMs + ANSWER_TIMEOUT_MS,
    );
    if (reply.type === 'unanswered' || reply.type === 'unreachable')
      this.unanswered++;
    else this.unanswered = 0;
    return !this.isClosed && this.applyReply(reply, askedAtMs);
  }

  /**
   * A call without an answer may still be carried out, so a worker that does not answer
   * is asked for no longer lease: else it could never be told when all have run out.
   */
  private get extendsLease(): boolean {
    return !this.table.isEmpty && this.unanswered === 0;
  }

  private applyReply(reply: RenewReply, askedAtMs: number): boolean {
    const {clock, lease, log} = this.ctx;
    if (reply.type === 'otherIncarnation') {
      this.ctx.onOtherIncarnation();
      return false;
    }
    if (reply.type !== 'listed') {
      if (reply.type === 'fenced')
        log.fault('renewalFenced', {epoch: this.ctx.epoch()});
      return false;
    }
    if (reply.bornMs !== this.report.bornMs) {
      this.ctx.onOtherIncarnation();
      return false;
    }
    const nowMs = clock.nowMs();
    const isFirst = !this.hasListed;
    this.answeredAtMs = nowMs;
    this.hasListed = true;
    this.isLapseTold = false;
    lease.recordClock(reply.clockMs, askedAtMs, nowMs);
    for (const end of reply.ended)
      if (end.number > this.table.acknowledgedUpTo)
        this.ctx.metrics.count(`run_${end.kind}`);
    if (this.table.applyLists(reply, askedAtMs) || isFirst) this.ctx.onNews();
    return true;
  }
}
