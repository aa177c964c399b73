/**
 * Load: urgent work in bursts, beside enough other work to fill all workers. Work that
 * fills the last room is stopped for the next urgent job, placed in the next gap and stopped
 * again. So the room that urgent work is expected to want is kept for it. Only work that is
 * cheap to stop, or that can't wait any longer, is placed there.
 */
import {type Resources} from './job.js';
import {share} from './urgent_demand.js';

/** Largest share of the workers that is kept for urgent work. */
const MAX_SHARE = 0.4;
/**
 * Expected run times that must be left between the end of a job that starts now and its
 * objective, so that it can wait.
 */
const SLACK_RUNS = 1; // declared run times are off by up to half, and workers differ
/** Time after which work is not held back while most workers are idle, in ms. */
const MAX_IDLE_WAIT_MS = 2000;
const MOST_WORKERS_SHARE = 0.5;
/** Interval at which the workers are chosen, in ms; the choice reads all placed work. */
const CHOICE_INTERVAL_MS = 500;

/** A worker as the choice of the headroom sees it. */
export interface HeadroomWorker {
  readonly worker: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Room of runs that are not worth stopping for urgent work. */
  readonly occupied: Resources;
}

/**
 * Chooses the workers that are kept for urgent work: those with most room, on racks
 * with most room, since gangs of urgent work run faster on one rack.
 *
 * @param peakWorkers Room that urgent work may want at once, including what it has.
 * @param before Workers that were kept before. They stay, since other work has been leaving
 *     them, and a worker that has become empty can take a large task.
 */
export function chooseHeadroom(
  workers: readonly HeadroomWorker[],
  peakWorkers: number,
  before: ReadonlySet<string>,
): ReadonlySet<string> {
  const wanted = Math.min(peakWorkers, workers.length * MAX_SHARE);
  const rooms = workers.map(w => ({
    ...w,
    room: Math.max(0, 1 - share(w.occupied, w.capacity)),
  }));
  const rackRoom = new Map<string, number>();
  for (const {rack, room} of rooms)
    rackRoom.set(rack, (rackRoom.get(rack) ?? 0) + room);
  rooms.sort(
    (a, b) =>
      Number(before.has(b.worker)) - Number(before.has(a.worker)) ||
      rackRoom.get(b.rack)! - rackRoom.get(a.rack)! ||
      (a.rack < b.rack ? -1 : Number(a.rack > b.rack)) ||
      b.room - a.room ||
      (a.worker < b.worker ? -1 : 1),
  );
  const kept = new Set<string>();
  let room = 0;
  for (const candidate of rooms) {
    if (room >= wanted) break;
    kept.add(candidate.worker);
    room += candidate.room;
  }
  return kept;
}

/** The workers that are kept for urgent work, by service. */
export class UrgentHeadroom {
  private readonly kept = new Map<string, ReadonlySet<string>>();
  private readonly chosenAtMs = new Map<string, number>();

  /** Number of workers that are kept, over all services. */
  get size(): number {
    return [...this.kept.values()].reduce((sum, kept) => sum + kept.size, 0);
  }

  keptFor(service: string): ReadonlySet<string> {
    return this.kept.get(service) ?? NO_WORKERS;
  }

  /** Whether the workers should be chosen anew; a pass is too short for that. */
  isDue(service: string, nowMs: number): boolean {
    const chosenAtMs = this.chosenAtMs.get(service) ?? -Infinity;
    return nowMs - chosenAtMs >= CHOICE_INTERVAL_MS;
  }

  choose(
    service: string,
    workers: readonly HeadroomWorker[],
    peakWorkers: number,
    nowMs: number,
  ): ReadonlySet<string> {
    this.chosenAtMs.set(service, nowMs);
    const kept = chooseHeadroom(workers, peakWorkers, this.keptFor(service));
    this.kept.set(service, kept);
    return kept;
  }
}

const NO_WORKERS: ReadonlySet<string> = new Set();

export interface WaitingFiller {
  readonly nowMs: number;
  readonly objectiveAtMs: number;
  readonly lateLimitAtMs: number;
  /** Expected time from its start to the end of its job, in ms. */
  readonly pathMs: number;
  readonly readyAtMs: number;
  /** A stop loses no more than the time to restore a checkpoint. */
  readonly isCheapToStop: boolean;
  /** Share of the accelerators of its service that is in use. */
  readonly useShare: number;
}

/** Whether work of lower priority has to stay off the room that is kept for urgent work. */
export function staysOffHeadroom(work: WaitingFiller): boolean {
  const {nowMs, objectiveAtMs, lateLimitAtMs, pathMs} = work;
  if (work.isCheapToStop) return false;
  const isIdle = work.useShare < MOST_WORKERS_SHARE;
  if (isIdle && nowMs - work.readyAtMs > MAX_IDLE_WAIT_MS) return false;
  const endsAtMs = nowMs + pathMs;
  const dueAtMs = endsAtMs <= objectiveAtMs ? objectiveAtMs : lateLimitAtMs;
  return dueAtMs - endsAtMs > SLACK_RUNS * pathMs;
}
