/** The workers known to the leader, with the free capacity of each. */
import {getOrAdd} from '../core/fair_queue.js';
import {
  type Resources,
  addResources,
  fits,
  subtractResources,
  countFits,
} from './job.js';

/** State that a worker reports of itself. */
export interface WorkerReport {
  /** Instance id of the worker; a later incarnation may reuse it. */
  readonly id: string;
  /** Start time of this incarnation in ms since the Unix epoch. */
  readonly bornMs: number;
  readonly service: string;
  /** Empty if the worker doesn't say. */
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly draining: boolean;
  /** Minimum time until a draining worker terminates in ms; 0 if it is not draining. */
  readonly drainRemainingMs: number;
}

/** Key of one incarnation of a worker: its agent, its id and its start time. */
export function workerKey(agent: string, id: string, bornMs: number): string {
  return `${agent}|${id}|${bornMs}`;
}

/** Name of the agent in a worker's key. */
export function agentOf(key: string): string {
  return key.slice(0, key.indexOf('|'));
}

/** Instance id of the worker in a worker's key. */
export function workerIdOf(key: string): string {
  return key.slice(key.indexOf('|') + 1, key.lastIndexOf('|'));
}

/** Resources of a worker that are allocated to one run. */
export interface Allocation {
  readonly task: string;
  readonly run: number;
  readonly request: Resources;
}

export class TrackedWorker {
  private readonly allocations = new Map<string, Allocation>();
  free: Resources;
  /** Time before which nothing is placed here, in ms of the monotonic clock. */
  blockedUntilMs = 0;
  /** Whether operators have its data centre evacuated. */
  isEvacuated = false;

  constructor(
    readonly agent: string,
    readonly key: string,
    public report: WorkerReport,
  ) {
    this.free = report.capacity;
  }

  update(report: WorkerReport): void {
    this.report = report;
    this.free = [...this.allocations.values()].reduce(
      (free, o) => subtractResources(free, o.request),
      report.capacity,
    );
  }

  allocate(allocation: Allocation): void {
    const key = `${allocation.task}#${allocation.run}`;
    if (this.allocations.has(key)) return;
    this.allocations.set(key, allocation);
    this.free = subtractResources(this.free, allocation.request);
  }

  /** Whether the runs on the worker need more than it has, since it has shrunk. */
  get isOverfull(): boolean {
    const {cpu, memoryMb, accelerators} = this.free;
    return cpu < 0 || memoryMb < 0 || accelerators < 0;
  }

  /** Releases all allocations but those that `isHeld` names. */
  retain(isHeld: (allocation: Allocation) => boolean): void {
    for (const allocation of [...this.allocations.values()])
      if (!isHeld(allocation)) this.release(allocation.task, allocation.run);
  }

  release(task: string, run: number): void {
    const key = `${task}#${run}`;
    const allocation = this.allocations.get(key);
    if (!allocation) return;
    this.allocations.delete(key);
    this.free = addResources(this.free, allocation.request);
  }

  /** Whether no run has resources of the worker. */
  get isEmpty(): boolean {
    return this.allocations.size === 0;
  }

  acceptsWork(nowMs: number): boolean {
    return (
      !this.report.draining && !this.isEvacuated && nowMs >= this.blockedUntilMs
    );
  }

  hasCapacityFor(request: Resources): boolean {
    return fits(request, this.free);
  }
}

export class WorkerPool {
  readonly workers = new Map<string, TrackedWorker>();

  get(key: string): TrackedWorker | undefined {
    return this.workers.get(key);
  }

  add(worker: TrackedWorker): void {
    this.workers.set(worker.key, worker);
  }

  remove(key: string): void {
    this.workers.delete(key);
  }

  ofAgent(agent: string): TrackedWorker[] {
    return [...this.workers.values()].filter(w => w.agent === agent);
  }

  /** Number of tasks with this request that the empty workers of a service can run. */
  taskCapacity(service: string, request: Resources): number {
    return this.ofService(service).reduce(
      (sum, w) => sum + countFits(request, w.report.capacity),
      0,
    );
  }

  ofService(service: string): TrackedWorker[] {
    return [...this.workers.values()].filter(w => w.report.service === service);
  }
}

/**
 * The incarnation that each agent reported last. One that was followed by another does not
 * come back, so what still arrives about it is late.
 */
export class IncarnationHistory {
  private readonly current = new Map<string, string>();
  private readonly replaced = new Set<string>();

  /** Records the incarnation in a report; returns false if another has followed it. */
  observe(agent: string, key: string): boolean {
    if (this.replaced.has(key)) return false;
    const previous = this.current.get(agent);
    if (previous !== undefined && previous !== key) this.replaced.add(previous);
    this.current.set(agent, key);
    return true;
  }
}

/** Keys of worker incarnations, with those of each agent. */
export class WorkerKeyIndex {
  private readonly keysByAgent = new Map<string, Set<string>>();

  add(key: string): void {
    getOrAdd(this.keysByAgent, agentOf(key), () => new Set<string>()).add(key);
  }

  remove(key: string): void {
    const agent = agentOf(key);
    const keys = this.keysByAgent.get(agent);
    keys?.delete(key);
    if (keys?.size === 0) this.keysByAgent.delete(agent);
  }

  ofAgent(agent: string): ReadonlySet<string> {
    return this.keysByAgent.get(agent) ?? NO_KEYS;
  }

  all(): string[] {
    return [...this.keysByAgent.values()].flatMap(keys => [...keys]);
  }
}

const NO_KEYS: ReadonlySet<string> = new Set();
