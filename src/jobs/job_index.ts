/**
 * In-memory copy of all job rows, updated in the order of the store. It answers callers'
 * queries and is the state from which a new leader starts.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {type StoredRow} from '../ports/state_store.js';
import {type JobSpec, JobState, type Resources} from './job.js';
import {
  type DepartureRow,
  type JobResult,
  type RowKind,
  type TaskRecord,
  blockKey,
  decodeBlock,
  decodeCapacities,
  decodeDeparture,
  decodeJobResult,
  decodeJob,
  hasStartedTask,
} from './job_rows.js';

/** Rows of one job, decoded. */
export class JobEntry {
  spec: JobSpec | undefined;
  cancelledAtVersion: number | undefined;
  result: JobResult | undefined;
  resultVersion = 0;
  /** Task records by block key, `occurrence.step.block`. */
  readonly blocks = new Map<string, TaskRecord[]>();

  /** If a job was both cancelled and ended, the row with the lower version wins. */
  get isCancelled(): boolean {
    if (this.cancelledAtVersion === undefined) return false;
    return !this.result || this.cancelledAtVersion < this.resultVersion;
  }

  get hasStarted(): boolean {
    return [...this.blocks.values()].some(hasStartedTask);
  }

  get state(): JobState {
    if (this.isCancelled) return JobState.CANCELLED;
    if (this.result) return this.result;
    return this.hasStarted ? JobState.RUNNING : JobState.PENDING;
  }
}

export class JobIndex {
  readonly jobs = new Map<string, JobEntry>();
  /** Largest worker capacities of each service, as the leader stored them. */
  readonly capacities = new Map<string, readonly Resources[]>();
  /** Terminated workers by their keys, as their agents stored them. */
  readonly departures = new Map<string, DepartureRow>();

  /** State of a job; undefined when there is none. */
  stateOf(id: string): JobState | undefined {
    const entry = this.jobs.get(id);
    return entry?.spec && entry.state;
  }

  /** Number of jobs of a queue of which no task has been started. */
  countWaiting(queue: string): number {
    let waiting = 0;
    for (const entry of this.jobs.values()) {
      if (entry.spec?.queue === queue && entry.state === JobState.PENDING)
        waiting++;
    }
    return waiting;
  }

  /** Applies one row; ignores leader and gate rows. Throws on undecodable bytes. */
  apply(kind: RowKind, row: StoredRow): void {
    if (kind.kind === 'seat' || kind.kind === 'gate') return;
    if (kind.kind === 'capacities') {
      if (row.value)
        this.capacities.set(kind.service, decodeCapacities(row.value));
      return;
    }
    if (kind.kind === 'departure') {
      if (row.value)
        this.departures.set(kind.worker, decodeDeparture(row.value));
      else this.departures.delete(kind.worker);
      return;
    }
    const id = kind.kind === 'run' ? kind.ref.job : kind.job;
    if (row.value === undefined) {
      const isOfUnknownJob = !this.jobs.get(id)?.spec;
      if (kind.kind === 'job' || (kind.kind === 'cancel' && isOfUnknownJob))
        this.jobs.delete(id);
      return;
    }
    const entry = getOrAdd(this.jobs, id, () => new JobEntry());
    if (kind.kind === 'job') entry.spec = decodeJob(row.value);
    else if (kind.kind === 'cancel') entry.cancelledAtVersion ??= row.version;
    else if (kind.kind === 'fate') {
      entry.result = decodeJobResult(row.value);
      entry.resultVersion = row.version;
    } else entry.blocks.set(blockKey(kind.ref), decodeBlock(row.value));
  }

  clear(): void {
    this.jobs.clear();
    this.capacities.clear();
    this.departures.clear();
  }
}
