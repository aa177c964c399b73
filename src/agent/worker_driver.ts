/** Executes orders on one worker incarnation and tracks the runs there. */
import {isDeepStrictEqual} from 'node:util';
import {type Clock} from '../core/clock.js';
import {readClocks} from '../core/clock_reading.js';
import {
  type WorkerInventory,
  type StartOrder,
  type StopOrder,
} from '../jobs/engine_messages.js';
import {type WorkerReport, workerKey} from '../jobs/worker_pool.js';
import {type ComponentLog} from '../plugins/event_log.js';
import {type Metrics} from '../plugins/metrics.js';
import {sleep} from '../plugins/sleep.js';
import {
  type RenewReply,
  RejectReason,
  type RunRef,
  type StartReply,
  type TaskWorker,
} from '../ports/task_worker.js';
import {CrashDetector} from './crash_detector.js';
import {DepartureDetector} from './departure_detector.js';
import {type LeaseRenewer} from './lease_renewer.js';
import {RunTable} from './run_table.js';

/**
 * Time that the worker waits for a run to end before it answers a renewal, in ms. This is
 * also the interval between lease renewals.
 */
const POLL_WAIT_MS = 1000; // one sixth of the shortest lease
/** Timeout of a call, in ms; a renewal adds its wait time. */
const CALL_TIMEOUT_MS = 600; // a worker on the same instance answers in a few ms
/** Time for which a start is retried, in ms. */
const START_RETRY_TIMEOUT_MS = 2500; // shorter than gang members wait for each other
const RETRY_DELAY_MS = 100;
/** Time without an answer after which the worker gets no new runs, in ms. */
const UNREACHABLE_AFTER_MS = 2500; // longer than one poll including its timeout

export interface WorkerDriverContext {
  readonly worker: TaskWorker;
  readonly clock: Clock;
  readonly log: ComponentLog;
  readonly metrics: Metrics;
  readonly lease: LeaseRenewer;
  /** Highest leadership epoch received by the agent; 0 before the first. */
  readonly epoch: () => number;
  /** Called on a change that must be reported to the leader immediately. */
  readonly onStatusChange: () => void;
  /** Called when another incarnation answers at the worker's address. */
  readonly onOtherIncarnation: () => void;
  /** Called when the worker has terminated as it had announced. */
  readonly onDeparture: () => void;
}

export class WorkerDriver {
  readonly key: string;
  private readonly table: RunTable;
  private readonly departure = new DepartureDetector();
  private readonly crash = new CrashDetector();
  private report: WorkerReport;
  private lastAnswerAtMs: number;
  private isClosed = false;
  private isExpiryReported = false;
  private hasRunLists = false;
  /** Number of unanswered renewals since the last answered one. */
  private consecutiveUnansweredCalls = 0;

  constructor(
    agent: string,
    report: WorkerReport,
    private readonly ctx: WorkerDriverContext,
  ) {
    this.report = report;
    this.key = workerKey(agent, report.id, report.bornMs);
    this.table = new RunTable(this.key);
    this.lastAnswerAtMs = ctx.clock.nowMs();
    this.departure.recordHeartbeat(report, this.lastAnswerAtMs);
    void this.poll();
  }

  /** Applies a heartbeat; returns false if it contains nothing new. */
  update(report: WorkerReport): boolean {
    const hasChanged = !isDeepStrictEqual(report, this.report);
    this.departure.recordHeartbeat(report, this.ctx.clock.nowMs());
    if (report.draining && !this.report.draining)
      this.ctx.log.logEvent('workerDrains', {
        worker: this.key,
        remainingMs: report.drainRemainingMs,
        runs: this.table.runs().length,
      });
    this.report = report;
    return hasChanged;
  }

  get id(): string {
    return this.report.id;
  }

  get bornMs(): number {
    return this.report.bornMs;
  }

  get isReachable(): boolean {
    const sinceAnswerMs = this.ctx.clock.nowMs() - this.lastAnswerAtMs;
    return this.hasRunLists && sinceAnswerMs < UNREACHABLE_AFTER_MS;
  }

  /**
   * When the worker crashed, in ms of the monotonic clock; undefined if it is not known to
   * have crashed under its runs. To be asked once another incarnation has taken its place.
   */
  get crashedAtMs(): number | undefined {
    if (this.report.draining || this.isExpiryReported) return undefined;
    return this.crash.crashedAtMs;
  }

  /** State of the worker and its runs; undefined before the worker's first lists. */
  inventory(): WorkerInventory | undefined {
    if (!this.hasRunLists) return undefined;
    return {
      worker: this.report,
      runs: this.table.runs(),
      ends: this.table.ends(),
    };
  }

  takeRefusals(): ReturnType<RunTable['takeRefusals']> {
    return this.table.takeRefusals();
  }

  /** Returns true once when all leases have expired while the worker was unreachable. */
  takeLeaseExpiry(): boolean {
    const nowMs = this.ctx.clock.nowMs();
    if (this.isReachable || this.isExpiryReported || !this.hasRunLists)
      return false;
    if (!this.ctx.lease.hasExpired(nowMs)) return false;
    this.isExpiryReported = true;
    return true;
  }

  async start(order: StartOrder): Promise<void> {
    const {task, run} = order;
    const {clock} = this.ctx;
    if (!this.table.addStarting(task, run, clock.nowMs())) return;
    const retryUntilMs = clock.nowMs() + START_RETRY_TIMEOUT_MS;
    let mayHaveStarted = false;
    let reason: string = 'no answer in time';
    while (this.shouldStart(order) && clock.nowMs() < retryUntilMs) {
      const reply = await this.tryStart(order);
      if (reply === 'noLease') {
        reason =
          'no contact with the leader or the worker, or the worker is draining';
        break;
      }
      if (reply.type === 'started') return this.confirm(order);
      if (reply.type === 'otherIncarnation') return;
      if (reply.type === 'unanswered') mayHaveStarted = true;
      else if (reply.type === 'rejected') {
        ({reason} = reply);
        if (reason !== RejectReason.LATE) break;
        await this.renew(0);
      } else await sleep(RETRY_DELAY_MS);
    }
    if (!this.shouldStart(order)) return;
    if (!mayHaveStarted) return this.recordRefusal(order, reason);
    // The start may still be carried out, so the run is stopped before it is reported.
    await this.stop({...order, type: 'stop'});
  }

  async stop(order: StopOrder): Promise<void> {
    const {task, run} = order;
    const {worker, clock} = this.ctx;
    if (!this.table.beginStop(task, run, clock.nowMs())) return;
    while (!this.isClosed && this.table.isTracked(task, run)) {
      const epoch = this.ctx.epoch();
      const reply = await worker.stop(
        this.id,
        {task, run},
        epoch,
        CALL_TIMEOUT_MS,
      );
      this.ctx.log.logEvent('stopSent', {task, run, epoch, result: reply});
      if (reply === 'otherIncarnation') return this.ctx.onOtherIncarnation();
      if (reply === 'stopped') {
        this.table.recordStopAnswer(task, run, clock.nowMs());
        await this.renew(0);
        return;
      }
      await sleep(RETRY_DELAY_MS);
    }
  }

  /** Records that ends up to `upTo` are durable; the worker may discard them. */
  acknowledge(upTo: number): void {
    if (this.table.acknowledge(upTo)) void this.renew(0);
  }

  close(): void {
    this.isClosed = true;
  }

  private shouldStart(run: RunRef): boolean {
    return (
      !this.isClosed &&
      this.table.isTracked(run.task, run.run) &&
      !this.table.isStopping(run.task, run.run)
    );
  }

  private async tryStart(order: StartOrder): Promise<StartReply | 'noLease'> {
    const {worker, clock, lease, log, metrics} = this.ctx;
    const startMs = clock.nowMs();
    if (this.report.draining || !this.isReachable) return 'noLease';
    const leaseUntilMs = lease.nextLeaseUntilMs(readClocks(this.ctx.clock));
    if (leaseUntilMs === undefined) return 'noLease';
    const epoch = this.ctx.epoch();
    const {task, run, payload, checkpoint} = order;
    const reply = await worker.start(
      this.id,
      {task, run, payload, checkpoint, leaseUntilMs, fencingToken: epoch},
      CALL_TIMEOUT_MS,
    );
    const nowMs = clock.nowMs();
    if ('clockMs' in reply && reply.clockMs !== undefined)
      lease.recordClock(reply.clockMs, startMs, nowMs);
    if (reply.type === 'otherIncarnation') this.ctx.onOtherIncarnation();
    metrics.recordDuration('start_call', nowMs - startMs);
    log.logEvent('startSent', {
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
    this.ctx.onStatusChange();
  }

  private recordRefusal(order: StartOrder, reason: string): void {
    this.table.recordRefusal(order.task, order.run, reason);
    this.ctx.onStatusChange();
  }

  private async poll(): Promise<void> {
    while (!this.isClosed) {
      if (this.ctx.epoch() === 0) {
        await sleep(RETRY_DELAY_MS);
        continue;
      }
      const isListed = await this.renew(this.hasRunLists ? POLL_WAIT_MS : 0);
      // The worker answers at once while it holds unacknowledged ends, so pause here.
      if (!isListed || this.table.ends().length > 0)
        await sleep(RETRY_DELAY_MS);
    }
  }

  /**
   * Renews the lease, acknowledges ends and applies the worker's lists. Returns true if
   * the lists were received.
   */
  private async renew(waitMs: number): Promise<boolean> {
    const {worker, clock, lease} = this.ctx;
    const requestedAtMs = clock.nowMs();
    const timeoutMs = waitMs + CALL_TIMEOUT_MS;
    const reply = await worker.renew(
      this.id,
      {
        fencingToken: this.ctx.epoch(),
        acknowledgedUpTo: this.table.acknowledgedUpTo,
        leaseUntilMs: this.extendsLease
          ? lease.nextLeaseUntilMs(readClocks(this.ctx.clock))
          : undefined,
        waitMs,
      },
      timeoutMs,
    );
    const answeredAtMs = clock.nowMs();
    if (reply.type !== 'listed' || reply.bornMs === this.bornMs)
      this.crash.recordRenewal(reply, {requestedAtMs, answeredAtMs, timeoutMs});
    this.recordRenewal(reply);
    return !this.isClosed && this.applyReply(reply, requestedAtMs);
  }

  private recordRenewal({type}: RenewReply): void {
    const {log, clock, onDeparture} = this.ctx;
    const nowMs = clock.nowMs();
    const silentCalls = this.consecutiveUnansweredCalls;
    const isSilent =
      type === 'unanswered' || type === 'unreachable' || type === 'refused';
    this.consecutiveUnansweredCalls = isSilent ? silentCalls + 1 : 0;
    if (isSilent && silentCalls === 0)
      log.logEvent('workerUnresponsive', {worker: this.key, reason: type});
    if (!isSilent && silentCalls > 0)
      log.logEvent('workerResponsive', {worker: this.key, silentCalls});
    this.departure.recordCall(type === 'refused', nowMs);
    if (!this.isClosed && this.departure.hasLeft(nowMs)) onDeparture();
  }

  /**
   * Whether a renewal may extend the lease. An unanswered renewal may still be carried
   * out, so no extension is requested while the worker does not answer. Otherwise the
   * agent could never determine when all leases have expired.
   */
  private get extendsLease(): boolean {
    return !this.table.isEmpty && this.consecutiveUnansweredCalls === 0;
  }

  private applyReply(reply: RenewReply, requestedAtMs: number): boolean {
    const {clock, lease, log} = this.ctx;
    if (reply.type === 'otherIncarnation') {
      this.ctx.onOtherIncarnation();
      return false;
    }
    if (reply.type !== 'listed') {
      if (reply.type === 'fenced')
        log.logFailure('renewalFenced', {epoch: this.ctx.epoch()});
      return false;
    }
    if (reply.bornMs !== this.report.bornMs) {
      this.ctx.onOtherIncarnation();
      return false;
    }
    const nowMs = clock.nowMs();
    const isFirst = !this.hasRunLists;
    this.lastAnswerAtMs = nowMs;
    this.hasRunLists = true;
    this.isExpiryReported = false;
    lease.recordClock(reply.clockMs, requestedAtMs, nowMs);
    for (const end of reply.ended)
      if (end.number > this.table.acknowledgedUpTo)
        this.ctx.metrics.increment(`run_${end.kind}`);
    if (this.table.applyLists(reply, requestedAtMs) || isFirst)
      this.ctx.onStatusChange();
    return true;
  }
}
