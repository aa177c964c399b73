/** The workers that the seat holder knows, with the room that is left on each. */
import {
  type Resources,
  addResources,
  fits,
  subtractResources,
  timesFits,
} from './job.js';

/** What a worker says of itself. */
export interface WorkerReport {
  /** Instance id of the worker; may be used again by a later incarnation. */
  readonly id: string;
  /** Start of this incarnation in ms since the Unix epoch. */
  readonly bornMs: number;
  readonly service: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly draining: boolean;
  /** Least time until a draining worker leaves; 0 when it is not draining. */
  readonly drainRemainingMs: number;
}

/** Key of one incarnation of a worker: its agent, its id and its birth. */
export function workerKey(agent: string, id: string, bornMs: number): string {
  return `${agent}|${id}|${bornMs}`;
}

/** Name of the agent in a worker's key. */
export function agentOf(key: string): string {
  return key.slice(0, key.indexOf('|'));
}

/** Start of the incarnation in a worker's key, in ms since the Unix epoch. */
export function bornOf(key: string): number {
  return Number(key.slice(key.lastIndexOf('|') + 1));
}

/** One run that takes room on a worker. */
export interface Occupant {
  readonly task: string;
  readonly run: number;
  readonly request: Resources;
}

export class WorkerView {
  private readonly occupants = new Map<string, Occupant>();
  free: Resources;
  /** Nothing is placed here before this time, in ms of the clock. */
  blockedUntilMs = 0;

  constructor(
    readonly agent: string,
    readonly key: string,
    public report: WorkerReport,
  ) {
    this.free = report.capacity;
  }

  update(report: WorkerReport): void {
    this.report = report;
    this.free = [...this.occupants.values()].reduce(
      (room, o) => subtractResources(room, o.request),
      report.capacity,
    );
  }

  occupy(occupant: Occupant): void {
    const key = `${occupant.task}#${occupant.run}`;
    if (this.occupants.has(key)) return;
    this.occupants.set(key, occupant);
    this.free = subtractResources(this.free, occupant.request);
  }

  release(task: string, run: number): void {
    const key = `${task}#${run}`;
    const occupant = this.occupants.get(key);
    if (!occupant) return;
    this.occupants.delete(key);
    this.free = addResources(this.free, occupant.request);
  }

  accepts(nowMs: number): boolean {
    return !this.report.draining && nowMs >= this.blockedUntilMs;
  }

  hasRoomFor(request: Resources): boolean {
    return fits(request, this.free);
  }
}

export class WorkerPool {
  readonly workers = new Map<string, WorkerView>();

  get(key: string): WorkerView | undefined {
    return this.workers.get(key);
  }

  add(worker: WorkerView): void {
    this.workers.set(worker.key, worker);
  }

  remove(key: string): void {
    this.workers.delete(key);
  }

  ofAgent(agent: string): WorkerView[] {
    return [...this.workers.values()].filter(w => w.agent === agent);
  }

  /** Tasks of a size that the workers of a service hold when nothing else runs. */
  roomFor(service: string, request: Resources): number {
    return this.ofService(service).reduce(
      (sum, w) => sum + timesFits(request, w.report.capacity),
      0,
    );
  }

  ofService(service: string): WorkerView[] {
    return [...this.workers.values()].filter(w => w.report.service === service);
  }
}
