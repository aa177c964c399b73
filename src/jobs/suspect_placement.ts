/**
 * Keeps tasks that may crash their worker apart from other work. Suspects of different
 * jobs don't share a worker, so that the next crash tells which of them caused it, and a
 * task with several crashes gets a worker of its own.
 */
import {getOrAdd} from '../core/fair_queue.js';
import {mustRunAlone} from './crash_suspects.js';
import {type CandidateWorker} from './placement.js';
import {type TrackedJob, type Unit} from './tracked_job.js';
import {type TrackedWorker, type WorkerPool} from './worker_pool.js';

/** Longest wait of a suspect for a worker on which it loses no other work, in ms. */
export const ISOLATION_WAIT_MS = 5000;
/** Penalty of a worker with a suspect, for work that would be lost with it. */
const SUSPECT_PENALTY = 1;

/** Suspects on the workers during one planning pass. */
export class SuspectRuns {
  private readonly jobsByWorker = new Map<string, Set<TrackedJob>>();
  /** Jobs that must not share their worker, by worker. */
  private readonly isolatedJobs = new Map<string, TrackedJob>();

  constructor(placed: Iterable<Unit>) {
    for (const unit of placed) this.add(unit);
  }

  add(unit: Unit): void {
    for (const {isPlaced, worker, crashes} of unit.tasks) {
      if (!isPlaced || crashes.total === 0) continue;
      getOrAdd(this.jobsByWorker, worker, () => new Set()).add(unit.job);
      if (mustRunAlone(crashes)) this.isolatedJobs.set(worker, unit.job);
    }
  }

  get isEmpty(): boolean {
    return this.jobsByWorker.size === 0;
  }

  /** Whether a task that must not share its worker keeps the job off it. */
  isReserved(worker: string, job: TrackedJob): boolean {
    const isolated = this.isolatedJobs.get(worker);
    return isolated !== undefined && isolated !== job;
  }

  /** Whether a suspect of another job runs on the worker. */
  hasOther(worker: string, job: TrackedJob): boolean {
    const jobs = this.jobsByWorker.get(worker);
    return jobs !== undefined && (jobs.size > 1 || !jobs.has(job));
  }
}

/** What the placement of a suspect depends on. */
export interface PassView {
  readonly suspects: SuspectRuns;
  readonly pool: WorkerPool;
  readonly nowMs: number;
  /** Whether the unit that is placed has the highest priority. */
  readonly isUrgent: boolean;
}

export class SuspectPlacement {
  /** When each suspect began to wait for a worker, in ms of the monotonic clock. */
  private readonly waitingSinceMs = new WeakMap<Unit, number>();

  /**
   * Whether the unit still waits for workers that suit a suspect. Urgent work and gangs, which
   * find workers less easily, wait only for workers of their own.
   */
  isIsolated(unit: Unit, {nowMs, isUrgent}: PassView): boolean {
    if (!unit.isSuspect) return false;
    if (!unit.mustRunAlone && (isUrgent || unit.isGang)) return false;
    const sinceMs = this.waitingSinceMs.get(unit) ?? nowMs;
    return nowMs - sinceMs < ISOLATION_WAIT_MS;
  }

  recordWait(unit: Unit, nowMs: number): void {
    if (!this.waitingSinceMs.has(unit)) this.waitingSinceMs.set(unit, nowMs);
  }

  recordPlacement(unit: Unit): void {
    this.waitingSinceMs.delete(unit);
  }

  /** The candidates on which the unit may be placed beside what runs there. */
  candidatesFor(
    unit: Unit,
    candidates: readonly CandidateWorker[],
    view: PassView,
  ): readonly CandidateWorker[] {
    const {suspects, pool} = view;
    if (suspects.isEmpty && !unit.isSuspect) return candidates;
    const open = candidates.filter(
      c => !suspects.isReserved(c.worker, unit.job),
    );
    const isIsolated = this.isIsolated(unit, view);
    return open
      .filter(c => !isIsolated || isApart(c.worker, unit, view))
      .map(c => ({
        ...c,
        penalty:
          c.penalty +
          (suspects.hasOther(c.worker, unit.job) ? SUSPECT_PENALTY : 0) +
          (unit.isSuspect ? usedShare(pool.get(c.worker)!) : 0),
      }));
  }
}

/** Whether the unit would share the worker with nothing that matters. */
function isApart(
  worker: string,
  unit: Unit,
  {suspects, pool}: PassView,
): boolean {
  return unit.mustRunAlone
    ? pool.get(worker)!.isEmpty
    : !suspects.hasOther(worker, unit.job);
}

/** Share of the worker that is in use, so that little is lost with it. */
function usedShare({report, free}: TrackedWorker): number {
  const {capacity} = report;
  return Math.max(
    capacity.cpu > 0 ? 1 - free.cpu / capacity.cpu : 0,
    capacity.accelerators > 0
      ? 1 - free.accelerators / capacity.accelerators
      : 0,
  );
}
