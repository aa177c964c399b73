/**
 * The gate's role as leader: runs the engine, commits its rows and sends its orders.
 * Every commit writes the leader row only if it still has the version of the previous
 * commit. Commits therefore apply in order and at most once, and none after another
 * gate's takeover.
 */
import {type Clock} from '../core/clock.js';
import {
  type ClockReading,
  maxElapsedMs,
  readClocks,
} from '../core/clock_reading.js';
import {type Random} from '../core/random.js';
import {type AddressedOrder} from '../jobs/engine_messages.js';
import {NO_EVACUATIONS} from '../jobs/evacuations.js';
import {type JobIndex} from '../jobs/job_index.js';
import {type JobTables} from '../jobs/job.js';
import {type Batch, type EngineOptions, JobEngine} from '../jobs/job_engine.js';
import {
  type LeaderRow,
  decodeLeaderRow,
  encodeLeaderRow,
  parseRowKey,
  rowKeys,
} from '../jobs/job_rows.js';
import {type PassSize} from '../jobs/planner.js';
import {PlanningSchedule} from '../jobs/planning_schedule.js';
import {type LeaderElection} from '../jobs/leader_election.js';
import {type ComponentLog} from '../plugins/event_log.js';
import {type Metrics} from '../plugins/metrics.js';
import {sleep} from '../plugins/sleep.js';
import {
  type StateStore,
  type StoredRow,
  type TransactionResult,
} from '../ports/state_store.js';

/** Timeout of one commit attempt, in ms. */
const COMMIT_TIMEOUT_MS = 5000;
const COMMIT_RETRY_DELAY_MS = 60;
const TAKEOVER_TIMEOUT_MS = 3000;
/** Duration from which a planning pass is logged, in ms. */
const SLOW_PASS_MS = 100; // two engine ticks
/** Interval between engine ticks, in ms. */
const TICK_INTERVAL_MS = 50;

export interface LeaderRoleContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: ComponentLog;
  readonly metrics: Metrics;
  /** Incarnation of this process. */
  readonly incarnation: string;
  /** Link address of this process for agents. */
  readonly address: () => string;
  readonly engineOptions: EngineOptions;
  /** Maximum time between commits, in ms. An idle leader still commits the leader row. */
  readonly maxCommitIntervalMs: number;
  /** Time without a commit after which another gate may take over, in ms. */
  readonly takeoverMs: number;
}

export interface LeaderRoleHandlers {
  onOrders(epoch: number, orders: readonly AddressedOrder[]): void;
  onLeadershipChange(): void;
}

interface LeadershipTerm {
  readonly epoch: number;
  /** Version of the leader row after the latest commit. */
  version: number;
  /** Number of the latest commit in this term. */
  commit: number;
  /** Monotonic clock and wall clock when the latest commit was sent. */
  committedAt: ClockReading;
  engine: JobEngine | undefined;
}

export class LeaderRole {
  private term: LeadershipTerm | undefined;
  private isTakingOver = false;
  private isCommitting = false;
  private isReleasing = false;
  private isFlushScheduled = false;
  private readonly planningSchedule = new PlanningSchedule();
  private isRemovingRows = false;
  private evacuated = NO_EVACUATIONS;

  constructor(
    private readonly store: StateStore,
    private readonly election: LeaderElection,
    private readonly jobIndex: JobIndex,
    private tables: JobTables,
    private readonly handlers: LeaderRoleHandlers,
    private readonly ctx: LeaderRoleContext,
  ) {}

  /** The engine; undefined unless this process leads and has read all rows. */
  get engine(): JobEngine | undefined {
    return this.term?.engine;
  }

  /** Whether this process holds the leadership, even if it has not read all rows yet. */
  get isElected(): boolean {
    return this.term !== undefined;
  }

  get epoch(): number {
    return this.term?.epoch ?? this.election.epoch;
  }

  /** Whether the latest commit is too recent for any other gate to have taken over. */
  get isLeadershipCertain(): boolean {
    const {term, ctx} = this;
    if (!term) return false;
    const sinceMs = maxElapsedMs(term.committedAt, readClocks(ctx.clock));
    return sinceMs < ctx.takeoverMs;
  }

  setTables(tables: JobTables): void {
    this.tables = tables;
    this.engine?.setTables(tables);
  }

  /** Sets the data centres in which nothing is started. */
  setEvacuations(dataCentres: ReadonlySet<string>): void {
    this.evacuated = dataCentres;
    if (!this.engine) return;
    this.engine.setEvacuations(dataCentres);
    this.scheduleFlush();
  }

  /** Called when the copy of the rows is complete up to `version`. */
  onSynced(version: number): void {
    const {term} = this;
    if (!term || term.engine || version < term.version) return;
    const {clock} = this.ctx;
    const engine = new JobEngine(this.tables, this.ctx.engineOptions);
    engine.setEvacuations(this.evacuated);
    engine.restore(this.jobIndex, clock.nowMs(), clock.wallMs());
    term.engine = engine;
    this.ctx.log.logEvent('leading', {
      epoch: term.epoch,
      waiting: engine.waitingUnitCount,
      placed: engine.placedUnitCount,
    });
    this.handlers.onLeadershipChange();
    this.flushEngine();
  }

  /** Called with epochs observed elsewhere; steps down if one is higher than the term's. */
  onEpoch(epoch: number): void {
    if (this.term && epoch > this.term.epoch)
      this.stepDown(`observed higher epoch ${epoch}`);
  }

  /**
   * Called every `TICK_INTERVAL_MS`.
   *
   * @param readRequestedAtMs When the latest successful read of the rows was requested.
   */
  tick(readRequestedAtMs: number): void {
    const nowMs = this.ctx.clock.nowMs();
    const {engine} = this;
    if (engine) {
      engine.tick(nowMs, this.ctx.clock.wallMs());
      void this.removeExpiredRows(engine);
      this.planIfDue(engine);
      this.flushEngine();
    } else if (
      !this.term &&
      !this.isTakingOver &&
      !this.isReleasing &&
      this.election.shouldTakeOver(nowMs, readRequestedAtMs)
    ) {
      void this.takeOver();
    }
  }

  /**
   * Plans after a change, then sends the ready orders and commits the rows. Changes that
   * arrive in the same turn of the event loop share one pass.
   */
  scheduleFlush(): void {
    this.planningSchedule.request();
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      if (this.engine) this.planIfDue(this.engine);
      this.flushEngine();
    });
  }

  private planIfDue(engine: JobEngine): void {
    const {clock} = this.ctx;
    const startMs = clock.nowMs();
    if (this.planningSchedule.delayMs(startMs) > 0) return;
    const size = engine.plan(startMs);
    const endMs = clock.nowMs();
    this.planningSchedule.recordPass(startMs, endMs);
    if (size.waitingUnits > 0) this.recordPass(endMs - startMs, size);
  }

  private recordPass(ms: number, size: PassSize): void {
    const {metrics, log} = this.ctx;
    metrics.recordDuration('planning_pass', ms);
    metrics.increment('planning_worker_checks', size.workerChecks);
    metrics.increment('planning_victims', size.victims);
    if (ms >= SLOW_PASS_MS)
      log.logEvent('slowPass', {ms: Math.round(ms), ...size});
  }

  /** Sends the engine's ready orders and commits its rows. */
  flushEngine(): void {
    const {term} = this;
    if (!term?.engine) return;
    this.sendOrders(term, term.engine.takeOrders());
    // While leadership is being released, the rest is left to the successor.
    if (this.isCommitting || this.isReleasing) return;
    const nowMs = this.ctx.clock.nowMs();
    const isDue =
      nowMs - term.committedAt.nowMs >= this.ctx.maxCommitIntervalMs;
    const batch = term.engine.takeBatch(isDue);
    if (!batch && !isDue) return;
    const writes = batch ? batch.puts.length + batch.removes.length : 0;
    if (batch && writes === 0 && !isDue) {
      this.releaseOrders(term, batch.orders);
      return;
    }
    void this.commit(term, batch ?? {puts: [], removes: [], orders: []});
  }

  /** Releases leadership, so that another gate can take over without waiting. */
  async releaseLeadership(): Promise<void> {
    this.isReleasing = true;
    const {term} = this;
    if (!term) return;
    while (this.isCommitting) await sleep(COMMIT_RETRY_DELAY_MS);
    if (this.term !== term) return;
    this.term = undefined;
    const row = {...this.makeRow(term.epoch, term.commit + 1), holder: ''};
    const result = await this.writeLeaderRow(row, term.version, {
      puts: [],
      removes: [],
      orders: [],
    });
    this.ctx.log.logEvent('seatLeft', {epoch: term.epoch, result: result.type});
    this.handlers.onLeadershipChange();
  }

  /** Stops immediately and leaves the leader row unchanged. */
  stopWithoutRelease(): void {
    this.isReleasing = true;
    this.term = undefined;
  }

  private async takeOver(): Promise<void> {
    this.isTakingOver = true;
    const {observedRow: current} = this.election;
    const row = this.makeRow(this.election.epoch + 1, 0);
    const version = current?.version ?? 0;
    const empty = {puts: [], removes: [], orders: []};
    const sentAt = readClocks(this.ctx.clock);
    const result = await this.writeLeaderRow(row, version, empty);
    this.isTakingOver = false;
    const takenVersion = committedVersion(result, row);
    this.ctx.log.logEvent('takeover', {
      epoch: row.epoch,
      from: current?.row.holder,
      result: takenVersion === undefined ? result.type : 'committed',
    });
    this.ctx.metrics.increment('takeovers_tried');
    if (takenVersion === undefined || this.isReleasing) return;
    this.term = {
      epoch: row.epoch,
      version: takenVersion,
      commit: 0,
      committedAt: sentAt,
      engine: undefined,
    };
  }

  private async commit(term: LeadershipTerm, batch: Batch): Promise<void> {
    this.isCommitting = true;
    const start = readClocks(this.ctx.clock);
    const row = this.makeRow(term.epoch, term.commit + 1);
    while (this.term === term) {
      const result = await this.writeLeaderRow(row, term.version, batch);
      const version = committedVersion(result, row);
      if (version !== undefined) {
        term.version = version;
        term.commit = row.commit;
        term.committedAt = start;
        break;
      }
      if (result.type === 'conflict') {
        this.stepDown('leader row was written by another gate');
        break;
      }
      await sleep(COMMIT_RETRY_DELAY_MS);
    }
    this.isCommitting = false;
    if (this.term !== term) return;
    this.ctx.metrics.recordDuration(
      'commit',
      this.ctx.clock.nowMs() - start.nowMs,
    );
    this.releaseOrders(term, batch.orders);
    this.flushEngine();
  }

  /** Removes callers' rows that are older than the retention of ended jobs. */
  private async removeExpiredRows(engine: JobEngine): Promise<void> {
    if (this.isRemovingRows) return;
    this.isRemovingRows = true;
    await this.removeExpiredJob(engine);
    await this.removeExpiredCancellations(engine);
    this.isRemovingRows = false;
  }

  /**
   * Removes the job and cancellation rows of an expired job. Only then may the engine
   * remove its run and end records: a job row without an end record would run again.
   */
  private async removeExpiredJob(engine: JobEngine): Promise<void> {
    const [id] = engine.expiredJobs;
    if (id === undefined) return;
    const result = await this.store.transact(
      {
        expect: [],
        put: [],
        remove: [rowKeys.job(id), rowKeys.cancellation(id)],
      },
      COMMIT_TIMEOUT_MS,
    );
    if (result.type === 'committed') engine.removeJobRecords(id);
    this.ctx.log.logEvent('jobForgotten', {job: id, result: result.type});
  }

  /** Removes cancellations whose jobs never came. */
  private async removeExpiredCancellations(engine: JobEngine): Promise<void> {
    const jobs = engine.expiredCancellations(this.ctx.clock.nowMs());
    if (jobs.length === 0) return;
    const result = await this.store.transact(
      {
        // A job that has been stored meanwhile needs its cancellation.
        expect: jobs.map(id => ({key: rowKeys.job(id), version: 0})),
        put: [],
        remove: jobs.map(rowKeys.cancellation),
      },
      COMMIT_TIMEOUT_MS,
    );
    if (result.type === 'committed') engine.forgetCancellations(jobs);
    if (result.type === 'conflict')
      engine.forgetCancellations(storedJobs(result.rows));
    this.ctx.log.logEvent('cancellationsForgotten', {
      count: jobs.length,
      result: result.type,
    });
  }

  private releaseOrders(
    term: LeadershipTerm,
    orders: readonly AddressedOrder[],
  ): void {
    const nowMs = this.ctx.clock.nowMs();
    this.sendOrders(term, term.engine!.confirmCommit(orders, nowMs));
  }

  private sendOrders(
    term: LeadershipTerm,
    orders: readonly AddressedOrder[],
  ): void {
    if (orders.length > 0) this.handlers.onOrders(term.epoch, orders);
  }

  private makeRow(epoch: number, commit: number): LeaderRow {
    const {incarnation, address} = this.ctx;
    return {epoch, holder: incarnation, commit, address: address()};
  }

  private writeLeaderRow(
    row: LeaderRow,
    version: number,
    batch: Batch,
  ): Promise<TransactionResult> {
    const isTakeover = row.commit === 0;
    return this.store.transact(
      {
        expect: [{key: rowKeys.leader, version}],
        put: [
          {key: rowKeys.leader, value: encodeLeaderRow(row)},
          ...batch.puts,
        ],
        remove: batch.removes,
      },
      isTakeover ? TAKEOVER_TIMEOUT_MS : COMMIT_TIMEOUT_MS,
    );
  }

  private stepDown(reason: string): void {
    this.ctx.log.logEvent('steppedDown', {epoch: this.term?.epoch, reason});
    this.ctx.metrics.increment('step_downs');
    this.term = undefined;
    this.handlers.onLeadershipChange();
  }
}

export const LEADER_TICK_MS = TICK_INTERVAL_MS;

/**
 * Version of the commit; undefined unless it is known to be applied. A conflict counts as
 * committed if an earlier attempt wrote the row and only its answer was lost.
 */
function committedVersion(
  result: TransactionResult,
  row: LeaderRow,
): number | undefined {
  if (result.type === 'committed') return result.version;
  if (result.type !== 'conflict') return undefined;
  const stored = result.rows.find(r => r.key === rowKeys.leader);
  return stored && isOwnCommit(stored, row) ? stored.version : undefined;
}

function storedJobs(rows: readonly StoredRow[]): string[] {
  return rows.flatMap(({key, value}) => {
    const kind = parseRowKey(key);
    return value && kind?.kind === 'job' ? [kind.job] : [];
  });
}

function isOwnCommit(stored: StoredRow, row: LeaderRow): boolean {
  if (!stored.value) return false;
  const storedLeader = decodeLeaderRow(stored.value);
  return (
    storedLeader.epoch === row.epoch &&
    storedLeader.holder === row.holder &&
    storedLeader.commit === row.commit
  );
}
