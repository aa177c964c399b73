/** Operations that any gate offers to callers: submit, query and cancel jobs. */
import {type Clock} from '../core/clock.js';
import {type JobIndex, type JobEntry} from '../jobs/job_index.js';
import {
  type JobSpec,
  JobState,
  type Resources,
  type StepSpec,
  fits,
} from '../jobs/job.js';
import {
  decodeBlock,
  decodeJobResult,
  encodeCancellation,
  encodeJob,
  hasStartedTask,
  rowKeys,
} from '../jobs/job_rows.js';
import {type ComponentLog} from '../plugins/event_log.js';
import {type Metrics} from '../plugins/metrics.js';
import {type StateStore, type TransactionResult} from '../ports/state_store.js';

/** Maximum age of the row copy for answering callers, in ms. */
const MAX_COPY_AGE_MS = 2000; // callers must see a job within 3 s of its submission
/** Maximum size of a job row, in bytes; the store holds 64 KiB of base64 per row. */
const MAX_JOB_BYTES = 45_000;
const READ_TIMEOUT_MS = 1000;
/** Time after which a rejected caller should retry, in ms. */
export const RETRY_AFTER_MS = 1000; // three retries within the 3 s that callers wait
/** Time for which a submission is retried while the store rejects it, in ms. */
const BUSY_RETRY_TIMEOUT_MS = 200; // one fifth of `RETRY_AFTER_MS`

export type SubmitResult =
  | {readonly type: 'accepted'}
  /** The job was not stored, and this submission will never run it. */
  | {readonly type: 'refused'; readonly reason: string}
  | {readonly type: 'invalid'; readonly reason: string}
  /** The job may have been stored. */
  | {readonly type: 'unknown'; readonly reason: string};

export type JobStateResult =
  | {readonly type: 'found'; readonly state: JobState}
  | {readonly type: 'absent'}
  | {readonly type: 'unavailable'};

export type CancelResult = 'cancelled' | 'absent' | 'unavailable' | 'unknown';

/** Known worker capacities of each service. */
export type Capacities = ReadonlyMap<string, readonly Resources[]>;

export interface JobServiceContext {
  readonly clock: Clock;
  readonly log: ComponentLog;
  readonly metrics: Metrics;
  /** When the latest successful read of the rows was requested, in ms. */
  readonly freshAsOfMs: () => number;
  readonly capacities: () => Capacities;
}

export class JobService {
  constructor(
    private readonly store: StateStore,
    private readonly jobIndex: JobIndex,
    private readonly ctx: JobServiceContext,
  ) {}

  get isFresh(): boolean {
    return this.ctx.clock.nowMs() - this.ctx.freshAsOfMs() < MAX_COPY_AGE_MS;
  }

  async submit(job: JobSpec, timeoutMs: number): Promise<SubmitResult> {
    const startMs = this.ctx.clock.nowMs();
    const result = await this.trySubmit(job, timeoutMs);
    const tookMs = this.ctx.clock.nowMs() - startMs;
    this.ctx.metrics.increment(`submit_${result.type}`);
    this.ctx.metrics.recordDuration('submit', tookMs);
    this.ctx.log.logEvent('submit', {
      job: job.id,
      queue: job.queue,
      workspace: job.workspace,
      result: result.type,
      reason: 'reason' in result ? result.reason : undefined,
      ms: Math.round(tookMs),
    });
    return result;
  }

  /** Returns the state of a job. Reads the store if the copy does not contain the job. */
  async getState(id: string): Promise<JobStateResult> {
    if (!this.isFresh) return {type: 'unavailable'};
    const state = this.jobIndex.stateOf(id);
    if (state) return {type: 'found', state};
    try {
      const stored = await this.readState(id);
      return stored ? {type: 'found', state: stored} : {type: 'absent'};
    } catch (err) {
      this.ctx.log.logFailure('lookFailed', {
        job: id,
        reason: (err as Error).message,
      });
      return {type: 'unavailable'};
    }
  }

  async cancel(id: string, timeoutMs: number): Promise<CancelResult> {
    const result = await this.tryCancel(id, timeoutMs);
    this.ctx.metrics.increment(`cancel_${result}`);
    this.ctx.log.logEvent('cancel', {job: id, result});
    return result;
  }

  countWaiting(queue: string): number {
    return this.jobIndex.countWaiting(queue);
  }

  private async trySubmit(
    job: JobSpec,
    timeoutMs: number,
  ): Promise<SubmitResult> {
    if (this.jobIndex.stateOf(job.id)) return {type: 'accepted'};
    const invalidReason = this.findInvalidReason(job);
    if (invalidReason) return {type: 'invalid', reason: invalidReason};
    const value = encodeJob(job);
    if (value.length > MAX_JOB_BYTES)
      return {
        type: 'invalid',
        reason: `the job takes ${value.length} bytes, expected at most ${MAX_JOB_BYTES}; split it into several jobs`,
      };
    const key = rowKeys.job(job.id);
    const result = await this.store.transact(
      {expect: [{key, version: 0}], put: [{key, value}], remove: []},
      timeoutMs,
      BUSY_RETRY_TIMEOUT_MS,
    );
    if (result.type === 'refused')
      return {type: 'refused', reason: result.reason};
    if (result.type === 'unknown')
      return {type: 'unknown', reason: result.reason};
    // A conflict means that the job is already stored: submissions are idempotent.
    return {type: 'accepted'};
  }

  /** Reason why no known worker can ever run the job; undefined if there is none. */
  private findInvalidReason(job: JobSpec): string | undefined {
    const capacities = this.ctx.capacities().get(job.queueAtHandIn.service);
    if (!capacities || capacities.length === 0) return undefined;
    const stepIndex = job.steps.findIndex(s => !fitsAny(s, capacities));
    if (stepIndex < 0) return undefined;
    return `a task of step ${stepIndex} is larger than each worker of ${job.queueAtHandIn.service}; ask for less cpu, memory or accelerators`;
  }

  private async readState(id: string): Promise<JobState | undefined> {
    const [jobs, cancels, results, blocks] = await Promise.all([
      this.store.read(rowKeys.job(id), READ_TIMEOUT_MS),
      this.store.read(rowKeys.cancellation(id), READ_TIMEOUT_MS),
      this.store.read(rowKeys.jobResult(id), READ_TIMEOUT_MS),
      this.store.read(`run/${id}.`, READ_TIMEOUT_MS),
    ]);
    if (!jobs.rows[0]?.value) return undefined;
    const [cancel] = cancels.rows;
    const [result] = results.rows;
    if (cancel?.value && !(result?.value && result.version < cancel.version))
      return JobState.CANCELLED;
    if (result?.value) return decodeJobResult(result.value);
    const hasStarted = blocks.rows.some(
      ({value}) => value && hasStartedTask(decodeBlock(value)),
    );
    return hasStarted ? JobState.RUNNING : JobState.PENDING;
  }

  private tryCancel(id: string, timeoutMs: number): Promise<CancelResult> {
    const entry: JobEntry | undefined = this.jobIndex.jobs.get(id);
    if (!entry?.spec) return this.cancelUnknown(id, timeoutMs);
    if (entry.cancelledAtVersion !== undefined || entry.result)
      return Promise.resolve('cancelled');
    return this.cancelStored(id, timeoutMs);
  }

  /**
   * Cancels a job that the copy of the rows does not contain. The cancellation is stored even
   * if the store has no such job: a submission that is still under way, at any gate, may store
   * the job later, and it must not run then.
   */
  private async cancelUnknown(
    id: string,
    timeoutMs: number,
  ): Promise<CancelResult> {
    const startMs = this.ctx.clock.nowMs();
    const jobKey = rowKeys.job(id);
    const key = rowKeys.cancellation(id);
    const result = await this.store.transact(
      {
        expect: [jobKey, key].map(k => ({key: k, version: 0})),
        put: [{key, value: encodeCancellation()}],
        remove: [],
      },
      timeoutMs,
    );
    if (result.type === 'committed') return 'absent';
    if (result.type !== 'conflict') return toCancelResult(result);
    const stored = new Set(result.rows.filter(r => r.value).map(r => r.key));
    if (stored.has(key)) return stored.has(jobKey) ? 'cancelled' : 'absent';
    const leftMs = timeoutMs - (this.ctx.clock.nowMs() - startMs);
    return this.cancelStored(id, leftMs);
  }

  private async cancelStored(
    id: string,
    timeoutMs: number,
  ): Promise<CancelResult> {
    const key = rowKeys.cancellation(id);
    const result = await this.store.transact(
      {
        expect: [{key, version: 0}],
        put: [{key, value: encodeCancellation()}],
        remove: [],
      },
      timeoutMs,
    );
    return toCancelResult(result);
  }
}

/** A conflict means that the cancellation is already stored. */
function toCancelResult({type}: TransactionResult): CancelResult {
  if (type === 'refused') return 'unavailable';
  return type === 'unknown' ? 'unknown' : 'cancelled';
}

function fitsAny(step: StepSpec, capacities: readonly Resources[]): boolean {
  return capacities.some(c => fits(step.request, c));
}
