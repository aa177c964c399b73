/**
 * Holds the seat: runs the engine, commits its rows and gives its orders. Every commit
 * writes the seat's row under the version of the one before, so commits apply in order,
 * at most once, and none after another gate has taken over.
 */
import {type Clock} from '../core/clock.js';
import {type Moment, longestMsBetween, momentOf} from '../core/moment.js';
import {type Random} from '../core/random.js';
import {type AddressedOrder} from '../jobs/engine_messages.js';
import {type JobBook} from '../jobs/job_book.js';
import {type JobTables} from '../jobs/job.js';
import {type Batch, type EngineOptions, JobEngine} from '../jobs/job_engine.js';
import {
  type SeatRow,
  decodeSeat,
  encodeSeat,
  rowKeys,
} from '../jobs/run_record.js';
import {type SeatMachine} from '../jobs/seat_machine.js';
import {type PartLog} from '../plugins/event_log.js';
import {type Metrics} from '../plugins/metrics.js';
import {sleep} from '../plugins/sleep.js';
import {
  type StateStore,
  type StoredRow,
  type TransactionResult,
} from '../ports/state_store.js';

/** Longest time that one attempt to commit may take, in ms. */
const COMMIT_TIMEOUT_MS = 5000;
const COMMIT_RETRY_MS = 60;
const TAKEOVER_TIMEOUT_MS = 3000;
/** Time between two ticks of the engine, in ms. */
const TICK_MS = 50;

export interface SeatHolderContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: PartLog;
  readonly metrics: Metrics;
  /** Incarnation of this process. */
  readonly incarnation: string;
  readonly engineOptions: EngineOptions;
  /** Longest time without a commit, in ms. */
  readonly renewMs: number;
  /** Time without a commit after which another gate may take the seat, in ms. */
  readonly takeoverMs: number;
}

export interface SeatHolderHandlers {
  onOrders(epoch: number, orders: readonly AddressedOrder[]): void;
  onChange(): void;
}

interface Tenure {
  readonly epoch: number;
  version: number;
  commit: number;
  /** When the newest commit was sent, on the steady clock and the wall clock. */
  committedAt: Moment;
  engine: JobEngine | undefined;
}

export class SeatHolder {
  private tenure: Tenure | undefined;
  private isTaking = false;
  private isCommitting = false;
  private isLeaving = false;
  private isForgetting = false;

  constructor(
    private readonly store: StateStore,
    private readonly seat: SeatMachine,
    private readonly book: JobBook,
    private tables: JobTables,
    private readonly handlers: SeatHolderHandlers,
    private readonly ctx: SeatHolderContext,
  ) {}

  /** The engine while this process leads and knows all rows. */
  get engine(): JobEngine | undefined {
    return this.tenure?.engine;
  }

  get epoch(): number {
    return this.tenure?.epoch ?? this.seat.epoch;
  }

  /** No other gate can have taken the seat: the newest commit is too young for that. */
  get isSurelyNewest(): boolean {
    const {tenure, ctx} = this;
    if (!tenure) return false;
    const sinceMs = longestMsBetween(tenure.committedAt, momentOf(ctx.clock));
    return sinceMs < ctx.takeoverMs;
  }

  setTables(tables: JobTables): void {
    this.tables = tables;
    this.engine?.setTables(tables);
  }

  /** The copy of the rows is complete up to a version. */
  onSynced(version: number): void {
    const {tenure} = this;
    if (!tenure || tenure.engine || version < tenure.version) return;
    const {clock} = this.ctx;
    const engine = new JobEngine(this.tables, this.ctx.engineOptions);
    engine.load(this.book, clock.nowMs(), clock.wallMs());
    tenure.engine = engine;
    this.ctx.log.event('leading', {
      epoch: tenure.epoch,
      waiting: engine.waitingUnits,
      placed: engine.placedUnits,
    });
    this.handlers.onChange();
    this.pump();
  }

  /** Another process was heard of with a higher epoch. */
  onEpoch(epoch: number): void {
    if (this.tenure && epoch > this.tenure.epoch)
      this.stepDown(`epoch ${epoch} was heard of`);
  }

  /** Called every `TICK_MS`. `readAtMs`: when the newest reading was asked for. */
  tick(readAtMs: number): void {
    const nowMs = this.ctx.clock.nowMs();
    const {engine} = this;
    if (engine) {
      engine.tick(nowMs, this.ctx.clock.wallMs());
      void this.forgetOutdated(engine);
      this.pump();
    } else if (
      !this.tenure &&
      !this.isTaking &&
      !this.isLeaving &&
      this.seat.shouldTakeOver(nowMs, readAtMs)
    ) {
      void this.takeOver();
    }
  }

  /** Gives out what the engine decided, and commits what it wrote. */
  pump(): void {
    const {tenure} = this;
    if (!tenure?.engine) return;
    this.giveOrders(tenure, tenure.engine.takeOrders());
    if (this.isCommitting) return;
    const batch = tenure.engine.takeBatch();
    const nowMs = this.ctx.clock.nowMs();
    const isDue = nowMs - tenure.committedAt.nowMs >= this.ctx.renewMs;
    if (!batch && !isDue) return;
    const writes = batch ? batch.puts.length + batch.removes.length : 0;
    if (batch && writes === 0 && !isDue) {
      this.release(tenure, batch.orders);
      return;
    }
    void this.commit(tenure, batch ?? {puts: [], removes: [], orders: []});
  }

  /** Gives the seat up, so that another gate takes it at once. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    const {tenure} = this;
    if (!tenure) return;
    while (this.isCommitting) await sleep(COMMIT_RETRY_MS);
    if (this.tenure !== tenure) return;
    this.tenure = undefined;
    const row = {epoch: tenure.epoch, holder: '', commit: tenure.commit + 1};
    const result = await this.writeSeat(row, tenure.version, {
      puts: [],
      removes: [],
      orders: [],
    });
    this.ctx.log.event('seatLeft', {epoch: tenure.epoch, result: result.type});
    this.handlers.onChange();
  }

  /** Ends at once; the row of the seat stays as it is. */
  abandon(): void {
    this.isLeaving = true;
    this.tenure = undefined;
  }

  private async takeOver(): Promise<void> {
    this.isTaking = true;
    const {current} = this.seat;
    const row: SeatRow = {
      epoch: this.seat.epoch + 1,
      holder: this.ctx.incarnation,
      commit: 0,
    };
    const version = current?.version ?? 0;
    const empty = {puts: [], removes: [], orders: []};
    const sentAt = momentOf(this.ctx.clock);
    const result = await this.writeSeat(row, version, empty);
    this.isTaking = false;
    const taken = committedVersion(result, row);
    this.ctx.log.event('takeover', {
      epoch: row.epoch,
      from: current?.row.holder,
      result: taken === undefined ? result.type : 'committed',
    });
    this.ctx.metrics.count('takeovers_tried');
    if (taken === undefined || this.isLeaving) return;
    this.tenure = {
      epoch: row.epoch,
      version: taken,
      commit: 0,
      committedAt: sentAt,
      engine: undefined,
    };
  }

  private async commit(tenure: Tenure, batch: Batch): Promise<void> {
    this.isCommitting = true;
    const start = momentOf(this.ctx.clock);
    const row: SeatRow = {
      epoch: tenure.epoch,
      holder: this.ctx.incarnation,
      commit: tenure.commit + 1,
    };
    while (this.tenure === tenure) {
      const result = await this.writeSeat(row, tenure.version, batch);
      const version = committedVersion(result, row);
      if (version !== undefined) {
        tenure.version = version;
        tenure.commit = row.commit;
        tenure.committedAt = start;
        break;
      }
      if (result.type === 'conflict') {
        this.stepDown('the row of the seat was written by another gate');
        break;
      }
      await sleep(COMMIT_RETRY_MS);
    }
    this.isCommitting = false;
    if (this.tenure !== tenure) return;
    this.ctx.metrics.observe('commit', this.ctx.clock.nowMs() - start.nowMs);
    this.release(tenure, batch.orders);
    this.pump();
  }

  /**
   * Removes what the callers of old jobs wrote, and only then lets their records go: a
   * job without its end would run again.
   */
  private async forgetOutdated(engine: JobEngine): Promise<void> {
    const [id] = engine.outdatedJobs;
    if (id === undefined || this.isForgetting) return;
    this.isForgetting = true;
    const result = await this.store.transact(
      {
        expect: [],
        put: [],
        remove: [rowKeys.job(id), rowKeys.cancellation(id)],
      },
      COMMIT_TIMEOUT_MS,
    );
    this.isForgetting = false;
    if (result.type === 'committed') engine.forgetJob(id);
    this.ctx.log.event('jobForgotten', {job: id, result: result.type});
  }

  private release(tenure: Tenure, orders: readonly AddressedOrder[]): void {
    const nowMs = this.ctx.clock.nowMs();
    this.giveOrders(tenure, tenure.engine!.release(orders, nowMs));
  }

  private giveOrders(tenure: Tenure, orders: readonly AddressedOrder[]): void {
    if (orders.length > 0) this.handlers.onOrders(tenure.epoch, orders);
  }

  private writeSeat(
    row: SeatRow,
    version: number,
    batch: Batch,
  ): Promise<TransactionResult> {
    const isTakeover = row.commit === 0;
    return this.store.transact(
      {
        expect: [{key: rowKeys.seat, version}],
        put: [{key: rowKeys.seat, value: encodeSeat(row)}, ...batch.puts],
        remove: batch.removes,
      },
      isTakeover ? TAKEOVER_TIMEOUT_MS : COMMIT_TIMEOUT_MS,
    );
  }

  private stepDown(reason: string): void {
    this.ctx.log.event('steppedDown', {epoch: this.tenure?.epoch, reason});
    this.ctx.metrics.count('step_downs');
    this.tenure = undefined;
    this.handlers.onChange();
  }
}

export const SEAT_TICK_MS = TICK_MS;

/** Version of the commit; also when only the answer to an earlier attempt was lost. */
function committedVersion(
  result: TransactionResult,
  row: SeatRow,
): number | undefined {
  if (result.type === 'committed') return result.version;
  if (result.type !== 'conflict') return undefined;
  const now = result.rows.find(r => r.key === rowKeys.seat);
  return now && isOurs(now, row) ? now.version : undefined;
}

function isOurs(now: StoredRow, row: SeatRow): boolean {
  if (!now.value) return false;
  const seat = decodeSeat(now.value);
  return (
    seat.epoch === row.epoch &&
    seat.holder === row.holder &&
    seat.commit === row.commit
  );
}
