/** Executes orders on one worker incarnation and tracks the runs there. */
import {isDeepStrictEqual} from 'node:util';
import {type Clock} from '../core/clock.js';
import {type ClockReading, readClocks} from '../core/clock_reading.js';
import {
  type EndReport,
  type WorkerInventory,
  type StartOrder,
  type StopOrder,
} from '../jobs/engine_messages.js';
import {EvacuationBar, type EvacuationKnowledge} from '../jobs/evacuations.js';
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
import {type FencingTokens} from './fencing_tokens.js';
import {type LeaseRenewer} from './lease_renewer.js';
import {type RunConclusion, RunProof} from './run_conclusion.js';
import {RunTable} from './run_table.js';
import {hasShrunkSince} from './start_admission.js';

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
/** Time for which a run has to have ended before its end is certainly listed, in ms. */
const LISTING_TIME_MS = 300; // an agent tick, and two calls to a busy worker
/** Interval of the checks whether all runs of a worker are over, in ms. */
const EMPTIED_CHECK_INTERVAL_MS = 20;
/** Time without an answer after which the worker gets no new runs, in ms. */
const UNREACHABLE_AFTER_MS = 2500; // longer than one poll including its timeout

/** Why a start is not sent to the worker. */
const UNSENT_REASONS = {
  noLease:
    'no contact with the leader or the worker, or the worker is draining',
  outdated: 'no contact with the leader for too long since the order',
  workerShrunk: 'the worker has shrunk since the start was ordered',
  [EvacuationBar.EVACUATED]: 'the data centre is evacuated',
  [EvacuationBar.UNKNOWN]:
    'no gate has said lately which data centres are evacuated',
} as const;
type UnsentStart = keyof typeof UNSENT_REASONS;

/** State of a worker as one process knows it, for the log. */
export interface WorkerFacts {
  /** Number of runs that have not been proven to be over. */
  readonly runs: number;
  /** Whether the worker has sent its lists. */
  readonly hadLists: boolean;
  /** Time since the worker's last answer to a renewal. */
  readonly sinceAnswerMs: number;
  /** Time for which this process has known the incarnation. */
  readonly trackedMs: number;
  /** Latest lease end that this process requested; absent if there is none. */
  readonly leaseEndMs?: number;
  /** Estimate of the worker's clock, without its rate error. */
  readonly workerClockMs?: number;
  readonly draining: boolean;
  /** Time since the earliest end that a draining worker announced. */
  readonly drainOverdueMs?: number;
  /** Time for which connections have been refused. */
  readonly refusedMs?: number;
}

export interface WorkerDriverContext {
  readonly worker: TaskWorker;
  readonly clock: Clock;
  readonly log: ComponentLog;
  readonly metrics: Metrics;
  readonly lease: LeaseRenewer;
  readonly tokens: FencingTokens;
  readonly evacuations: EvacuationKnowledge;
  /** Longest time that a run takes to end after a stop, in ms. */
  readonly stopMs: number;
  /** Highest leadership epoch received by the agent; 0 before the first. */
  readonly epoch: () => number;
  /** Called on a change that must be reported to the leader immediately. */
  readonly onStatusChange: () => void;
  /** Called when another incarnation answers at the worker's address. */
  readonly onOtherIncarnation: (hasSameId: boolean) => void;
  /** Called when the worker has left as it had announced, and none of its runs can continue. */
  readonly onDeparture: () => void;
}

export class WorkerDriver {
  readonly key: string;
  private readonly table: RunTable;
  private readonly departure = new DepartureDetector();
  private readonly crash = new CrashDetector();
  private report: WorkerReport;
  private lastAnswerAtMs: number;
  private readonly trackedSinceMs: number;
  /** Latest lease end that this process requested, on the worker's clock. */
  private requestedLeaseEndMs: number | undefined;
  private workerClock: {clockMs: number; receivedAtMs: number} | undefined;
  private isClosed = false;
  private isExpiryReported = false;
  private isUnprovenEndLogged = false;
  private hasRunLists = false;
  /** Number of unanswered renewals since the last answered one. */
  private consecutiveUnansweredCalls = 0;
  /** When the first of them failed, in ms of the monotonic clock. */
  private silentSinceMs = 0;

  constructor(
    agent: string,
    report: WorkerReport,
    private readonly ctx: WorkerDriverContext,
  ) {
    this.report = report;
    this.key = workerKey(agent, report.id, report.bornMs);
    this.table = new RunTable(this.key);
    this.trackedSinceMs = ctx.clock.nowMs();
    this.lastAnswerAtMs = this.trackedSinceMs;
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

  recordDeregistration(): void {
    this.departure.recordDeregistration(this.ctx.clock.nowMs());
    this.stopRunsIfDue();
  }

  /**
   * Stops the runs shortly before the worker may leave, so that their ends and checkpoints
   * are listed while it still answers. Otherwise their tasks would wait for the leases.
   */
  stopRunsIfDue(): void {
    const {clock, stopMs, log} = this.ctx;
    const {leavesFromMs} = this.departure;
    if (leavesFromMs === undefined) return;
    if (clock.nowMs() < leavesFromMs - stopMs - LISTING_TIME_MS) return;
    const runs = this.table.unstoppedRuns();
    if (runs.length === 0) return;
    log.logEvent('leavingRunsStopped', {worker: this.key, ...this.facts()});
    for (const {task, run} of runs)
      void this.stop({type: 'stop', worker: this.key, task, run});
  }

  /**
   * Waits until all runs are proven to be over, but no longer than `timeoutMs` nor than the
   * worker answers. Resolves with whether they are.
   */
  async waitUntilEmptied(timeoutMs: number): Promise<boolean> {
    const {clock} = this.ctx;
    const untilMs = clock.nowMs() + timeoutMs;
    while (
      !this.isEmptied &&
      !this.isClosed &&
      !this.departure.isRefusing &&
      clock.nowMs() < untilMs
    )
      await sleep(EMPTIED_CHECK_INTERVAL_MS);
    return this.isEmptied;
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

  /** Whether the worker has answered since all of its leases last expired. */
  get mayHaveRuns(): boolean {
    return this.hasRunLists && !this.isExpiryReported;
  }

  /**
   * When the worker crashed, in ms of the monotonic clock; undefined if it is not known to
   * have crashed under its runs. To be asked once another incarnation has taken its place.
   */
  get crashedAtMs(): number | undefined {
    if (this.isLeaving || this.isExpiryReported) return undefined;
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

  /** Ends that the worker listed and that no leader has acknowledged. */
  get unacknowledgedEnds(): readonly EndReport[] {
    return this.table.ends();
  }

  takeRefusals(): ReturnType<RunTable['takeRefusals']> {
    return this.table.takeRefusals();
  }

  /** What this process knows of the worker's state, for the log. */
  facts(): WorkerFacts {
    const nowMs = this.ctx.clock.nowMs();
    const {workerClock, requestedLeaseEndMs, report, departure} = this;
    const workerClockMs =
      workerClock &&
      Math.round(workerClock.clockMs + nowMs - workerClock.receivedAtMs);
    return {
      runs: this.table.runs().length,
      hadLists: this.hasRunLists,
      sinceAnswerMs: Math.round(nowMs - this.lastAnswerAtMs),
      trackedMs: Math.round(nowMs - this.trackedSinceMs),
      leaseEndMs: requestedLeaseEndMs,
      workerClockMs,
      draining: report.draining,
      ...departure.facts(nowMs),
    };
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
    // An earlier process may have started it; the leader repeats the order.
    if (!this.hasRunLists) {
      this.ctx.log.logEvent('orderBeforeLists', {task, run, worker: this.key});
      return;
    }
    if (!this.table.addStarting(task, run, clock.nowMs())) return;
    const {latestContact} = this.ctx.lease;
    const retryUntilMs = clock.nowMs() + START_RETRY_TIMEOUT_MS;
    let unansweredAttempts = 0;
    let reason: string = 'no answer in time';
    while (this.shouldStart(order) && clock.nowMs() < retryUntilMs) {
      const {token} = this;
      const reply = await this.tryStart(order, token, latestContact);
      if (typeof reply === 'string') {
        reason = UNSENT_REASONS[reply];
        if (reply !== EvacuationBar.UNKNOWN) break;
        await sleep(RETRY_DELAY_MS);
        continue;
      }
      if (reply.type === 'started') return this.confirm(order);
      if (reply.type === 'otherIncarnation') return;
      if (reply.type === 'unanswered') unansweredAttempts++;
      else if (reply.type === 'rejected') {
        ({reason} = reply);
        const isTokenOutdated =
          reason === RejectReason.FENCED && token < this.token;
        if (reason !== RejectReason.LATE && !isTokenOutdated) break;
        await this.renew(0);
      } else await sleep(RETRY_DELAY_MS);
    }
    if (!this.shouldStart(order)) return;
    // An earlier process of this agent may have sent a repeated order.
    const mayHaveStarted = order.isRepeated || unansweredAttempts > 0;
    if (!mayHaveStarted) return this.recordRefusal(order, reason);
    this.ctx.log.logEvent('startUnresolved', {
      task,
      run,
      worker: this.key,
      reason,
      unansweredAttempts,
      isRepeated: order.isRepeated,
    });
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
        this.token,
        CALL_TIMEOUT_MS,
      );
      this.ctx.log.logEvent('stopSent', {task, run, epoch, result: reply});
      if (reply === 'otherIncarnation') {
        this.logOtherIncarnation('stop');
        return this.ctx.onOtherIncarnation(false);
      }
      if (reply === 'stopped') {
        this.table.recordStopAnswer(task, run, clock.nowMs());
        await this.renew(0);
        return;
      }
      await sleep(RETRY_DELAY_MS);
    }
  }

  /**
   * Gives up the starts that the worker has not confirmed. To be called when the runs on it
   * were reported as over, since their tasks are placed elsewhere then.
   */
  withdrawStarts(): void {
    for (const run of this.table.startingRuns())
      this.concludeWithdrawn(run, 'the worker was lost before its start');
  }

  /** Refuses a start that was ordered before the leader knew that the worker was lost. */
  refuseOutdated({task, run}: StartOrder): void {
    // The leader repeats the order if it still applies.
    if (!this.hasRunLists) return;
    if (!this.table.addStarting(task, run, this.ctx.clock.nowMs())) return;
    this.concludeWithdrawn({task, run}, 'ordered before the worker was lost');
    this.ctx.onStatusChange();
  }

  /** Asks the worker whether it is still this incarnation. */
  async verifyIncarnation(): Promise<void> {
    await this.renew(0);
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

  private async tryStart(
    order: StartOrder,
    fencingToken: number,
    contactAtReceipt: ClockReading | undefined,
  ): Promise<StartReply | UnsentStart> {
    const {worker, clock, lease, evacuations, log, metrics} = this.ctx;
    const startMs = clock.nowMs();
    if (this.isLeaving || !this.isReachable) return 'noLease';
    if (!lease.mayCarryOut(contactAtReceipt, readClocks(clock)))
      return 'outdated';
    if (hasShrunkSince(order, this.report)) return 'workerShrunk';
    const {dataCentre} = this.report;
    const bar = evacuations.barFor(dataCentre, readClocks(clock));
    if (bar) {
      metrics.increment(`starts_barred_${bar}`);
      return bar;
    }
    // A start must not reach a later incarnation before the agent knows of that one.
    if (this.isSilent) return {type: 'unreachable'};
    const leaseUntilMs = lease.nextLeaseUntilMs(readClocks(clock));
    if (leaseUntilMs === undefined) return 'noLease';
    this.recordLeaseRequest(leaseUntilMs);
    const epoch = this.ctx.epoch();
    const {task, run, payload, checkpoint} = order;
    const reply = await worker.start(
      this.id,
      {task, run, payload, checkpoint, leaseUntilMs, fencingToken},
      CALL_TIMEOUT_MS,
    );
    const nowMs = clock.nowMs();
    if ('clockMs' in reply && reply.clockMs !== undefined)
      lease.recordClock(reply.clockMs, startMs, nowMs);
    if (reply.type === 'otherIncarnation') {
      this.logOtherIncarnation('start');
      this.ctx.onOtherIncarnation(false);
    }
    metrics.recordDuration('start_call', nowMs - startMs);
    log.logEvent('startSent', {
      task,
      run,
      worker: this.key,
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
    const {task, run} = order;
    this.logConclusion({
      task,
      run,
      proof: RunProof.START_REJECTED,
      // Attempts of an earlier process are not known.
      facts: {reason, trackedMs: this.facts().trackedMs},
    });
    this.table.recordRefusal(order.task, order.run, reason);
    this.ctx.onStatusChange();
  }

  private concludeWithdrawn({task, run}: RunRef, reason: string): void {
    this.logConclusion({
      task,
      run,
      proof: RunProof.START_WITHDRAWN,
      facts: {reason},
    });
    this.table.recordRefusal(task, run, reason);
  }

  private async poll(): Promise<void> {
    while (!this.isClosed) {
      if (this.ctx.epoch() === 0) {
        await sleep(RETRY_DELAY_MS);
        continue;
      }
      const mayWait = this.hasRunLists && !this.isSilent;
      const isListed = await this.renew(mayWait ? POLL_WAIT_MS : 0);
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
    const fencingToken = this.token;
    const timeoutMs = waitMs + CALL_TIMEOUT_MS;
    const leaseUntilMs = this.extendsLease
      ? lease.nextLeaseUntilMs(readClocks(clock))
      : undefined;
    this.recordLeaseRequest(leaseUntilMs);
    const reply = await worker.renew(
      this.id,
      {
        fencingToken,
        // Numbers of ends start anew in each incarnation, so one that may have been
        // replaced gets no acknowledgement.
        acknowledgedUpTo: this.isSilent ? 0 : this.table.acknowledgedUpTo,
        leaseUntilMs,
        waitMs,
      },
      timeoutMs,
    );
    const answeredAtMs = clock.nowMs();
    if (reply.type !== 'listed' || reply.bornMs === this.bornMs)
      this.crash.recordRenewal(reply, {requestedAtMs, answeredAtMs, timeoutMs});
    this.recordRenewal(reply, requestedAtMs);
    if (reply.type === 'fenced') this.recordFenced(fencingToken);
    return !this.isClosed && this.applyReply(reply, requestedAtMs);
  }

  /** Makes the token higher unless that has happened since it was used. */
  private recordFenced(token: number): void {
    const {log, tokens, epoch} = this.ctx;
    log.logFailure('renewalFenced', {epoch: epoch(), token});
    if (token === this.token) tokens.recordRejected();
  }

  private recordRenewal({type}: RenewReply, requestedAtMs: number): void {
    const {log, clock, onDeparture, tokens} = this.ctx;
    const nowMs = clock.nowMs();
    const silentCalls = this.consecutiveUnansweredCalls;
    const isSilent =
      type === 'unanswered' || type === 'unreachable' || type === 'refused';
    // Only the lists tell who answers, and those requested earlier only who answered then.
    const isVerified = type === 'listed' && requestedAtMs >= this.silentSinceMs;
    if (!isSilent && !isVerified) return;
    this.consecutiveUnansweredCalls = isSilent ? silentCalls + 1 : 0;
    if (isSilent && silentCalls === 0) {
      this.silentSinceMs = nowMs;
      tokens.raise();
      log.logEvent('workerUnresponsive', {worker: this.key, reason: type});
    }
    if (!isSilent && silentCalls > 0)
      log.logEvent('workerResponsive', {worker: this.key, silentCalls});
    this.departure.recordCall(type === 'refused', nowMs);
    if (this.isClosed || !this.departure.hasLeft(nowMs)) return;
    if (this.isEmptied || this.isExpiryReported) onDeparture();
    else this.logUnprovenEnd();
  }

  /** Whether the worker has announced its end, so that it gets no new runs. */
  private get isLeaving(): boolean {
    return this.report.draining || this.departure.isDeregistered;
  }

  /** Whether each run on the leaving worker has been proven to be over. */
  private get isEmptied(): boolean {
    return this.isLeaving && this.hasRunLists && this.table.isEmpty;
  }

  /** Logs once that a worker seems to have left, but its runs may continue. */
  private logUnprovenEnd(): void {
    if (this.isUnprovenEndLogged) return;
    this.isUnprovenEndLogged = true;
    this.ctx.log.logEvent('leasesAwaited', {worker: this.key, ...this.facts()});
  }

  /**
   * Whether a renewal may extend the lease. An unanswered renewal may still be carried
   * out, so no extension is requested while the worker does not answer. Otherwise the
   * agent could never determine when all leases have expired.
   */
  private get extendsLease(): boolean {
    return !this.table.isEmpty && !this.isSilent;
  }

  private get token(): number {
    return this.ctx.tokens.at(this.ctx.epoch());
  }

  /** Whether the newest renewal was not answered, so the worker may have been replaced. */
  private get isSilent(): boolean {
    return this.consecutiveUnansweredCalls > 0;
  }

  private applyReply(reply: RenewReply, requestedAtMs: number): boolean {
    const {clock, lease} = this.ctx;
    if (reply.type === 'otherIncarnation') {
      this.logOtherIncarnation('renew');
      this.ctx.onOtherIncarnation(false);
      return false;
    }
    if (reply.type !== 'listed') return false;
    if (reply.bornMs !== this.report.bornMs) {
      this.logOtherIncarnation('renew', reply.bornMs);
      this.ctx.onOtherIncarnation(true);
      return false;
    }
    const nowMs = clock.nowMs();
    const isFirst = !this.hasRunLists;
    this.lastAnswerAtMs = nowMs;
    this.hasRunLists = true;
    this.isExpiryReported = false;
    lease.recordClock(reply.clockMs, requestedAtMs, nowMs);
    this.workerClock = {clockMs: reply.clockMs, receivedAtMs: nowMs};
    for (const end of reply.ended)
      if (end.number > this.table.acknowledgedUpTo)
        this.ctx.metrics.increment(`run_${end.kind}`);
    const call = {requestedAtMs, receivedAtMs: nowMs};
    const hasChanged = this.table.applyLists(reply, call);
    for (const conclusion of this.table.takeConclusions())
      this.logConclusion(conclusion, Math.round(nowMs - requestedAtMs));
    if (hasChanged || isFirst) this.ctx.onStatusChange();
    return true;
  }

  private recordLeaseRequest(untilMs: number | undefined): void {
    if (untilMs === undefined) return;
    this.requestedLeaseEndMs = Math.max(this.requestedLeaseEndMs ?? 0, untilMs);
  }

  private logConclusion(
    {task, run, proof, facts}: RunConclusion,
    listAgeMs?: number,
  ): void {
    this.ctx.metrics.increment(`runs_concluded_${proof}`);
    this.ctx.log.logEvent('runConcluded', {
      task,
      run,
      worker: this.key,
      proof,
      listAgeMs,
      ...facts,
    });
  }

  /** Logs that another incarnation answered; only lists contain its start time. */
  private logOtherIncarnation(call: string, answeredBornMs?: number): void {
    this.ctx.log.logEvent('otherIncarnationAnswered', {
      worker: this.key,
      call,
      knownBornMs: this.report.bornMs,
      answeredBornMs,
    });
  }
}
