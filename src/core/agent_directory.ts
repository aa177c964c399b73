/**
 * Agents that are connected to a gate, with their load. Chooses the agent for each
 * request and ejects backend servers that fail repeatedly.
 */
import {type ProcessRef} from './ids.js';
import {Random} from './random.js';
import {
  type Announcement,
  BackendState,
  type Load,
  type Location,
} from './shared_types.js';

/** Consecutive failures after which a backend server is ejected. */
const EJECT_AFTER_FAILURES = 5;
/** Duration of the first ejection, in ms; doubles with each consecutive ejection. */
const EJECT_BASE_MS = 5_000;
const EJECT_CAP_MS = 60_000;
/** Largest fraction of a service's backend servers that may be ejected at once. */
const EJECT_MAX_FRACTION = 0.5;
/** Random candidates of which the less loaded one is chosen. */
const RANDOM_CHOICES = 2;

/** What a gate knows about one agent. */
export interface AgentView {
  readonly ref: ProcessRef;
  readonly place: Location;
  readonly accelerators: number;
  announcement: Announcement;
  /** Requests of this gate that are in flight at the agent. */
  outstanding: number;
  /**
   * Busy and queued requests in the agent's last report, corrected by the requests that
   * this gate has sent and seen end since.
   */
  reportedLoad: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
}

export class AgentDirectory {
  private readonly views = new Map<string, AgentView>();
  private readonly byService = new Map<string, AgentView[]>();

  constructor(
    private readonly dataCentre: string,
    private readonly random: Random,
  ) {}

  /** Adds an agent, or replaces its previous incarnation. */
  add(
    ref: ProcessRef,
    place: Location,
    accelerators: number,
    announcement: Announcement,
    load: Load,
  ): void {
    this.remove(ref.id);
    const view: AgentView = {
      ref,
      place,
      accelerators,
      announcement,
      outstanding: 0,
      reportedLoad: load.busy + load.queued,
      consecutiveFailures: 0,
      ejections: 0,
      ejectedUntilMs: 0,
    };
    this.views.set(ref.id, view);
    this.index(view);
  }

  remove(id: string): void {
    const view = this.views.get(id);
    if (!view) return;
    this.views.delete(id);
    this.unindex(view);
  }

  get(id: string): AgentView | undefined {
    return this.views.get(id);
  }

  /** Returns the view of an agent if exactly this incarnation is connected. */
  find(ref: ProcessRef): AgentView | undefined {
    const view = this.views.get(ref.id);
    return view?.ref.incarnation === ref.incarnation ? view : undefined;
  }

  all(): Iterable<AgentView> {
    return this.views.values();
  }

  announce(ref: ProcessRef, announcement: Announcement): void {
    const view = this.find(ref);
    if (!view) return;
    this.unindex(view);
    view.announcement = announcement;
    this.index(view);
  }

  reportLoad(ref: ProcessRef, load: Load): void {
    const view = this.find(ref);
    if (view) view.reportedLoad = load.busy + load.queued;
  }

  /** Total slots of the serving backend servers of a service. */
  slotsOf(service: string): number {
    return this.serving(service).reduce(
      (sum, v) => sum + v.announcement.slots,
      0,
    );
  }

  /**
   * Chooses a backend server with a free slot: the less loaded of two random
   * candidates. Servers of the gate's own data centre take precedence.
   */
  choose(
    service: string,
    nowMs: number,
    excluded?: string,
  ): AgentView | undefined {
    const usable = this.serving(service).filter(
      v => v.ejectedUntilMs <= nowMs && v.ref.id !== excluded && hasFreeSlot(v),
    );
    const local = usable.filter(v => v.place.dataCentre === this.dataCentre);
    return this.pickLessLoaded(local) ?? this.pickLessLoaded(usable);
  }

  /** Counts a request sent to an agent. */
  recordSent(view: AgentView): void {
    view.outstanding++;
    view.reportedLoad++;
  }

  /** Counts a request that is no longer in flight at an agent. */
  recordEnded(ref: ProcessRef): void {
    const view = this.find(ref);
    if (!view) return;
    view.outstanding = Math.max(0, view.outstanding - 1);
    view.reportedLoad = Math.max(0, view.reportedLoad - 1);
  }

  recordSuccess(ref: ProcessRef): void {
    const view = this.find(ref);
    if (!view) return;
    view.consecutiveFailures = 0;
    view.ejections = 0;
  }

  /** Counts a failure; ejects the backend server after several consecutive ones. */
  recordFailure(ref: ProcessRef, nowMs: number): void {
    const view = this.find(ref);
    if (!view) return;
    view.consecutiveFailures++;
    if (view.consecutiveFailures < EJECT_AFTER_FAILURES) return;
    if (!this.mayEject(view.announcement.service, nowMs)) return;
    view.ejectedUntilMs =
      nowMs + Math.min(EJECT_CAP_MS, EJECT_BASE_MS * 2 ** view.ejections);
    view.ejections++;
    view.consecutiveFailures = 0;
  }

  private mayEject(service: string, nowMs: number): boolean {
    const serving = this.serving(service);
    const ejected = serving.filter(v => v.ejectedUntilMs > nowMs).length;
    return ejected + 1 <= serving.length * EJECT_MAX_FRACTION;
  }

  private pickLessLoaded(views: readonly AgentView[]): AgentView | undefined {
    if (views.length === 0) return undefined;
    let best = this.random.pick(views);
    for (let i = 1; i < RANDOM_CHOICES; i++) {
      const other = this.random.pick(views);
      if (loadOf(other) < loadOf(best)) best = other;
    }
    return best;
  }

  private serving(service: string): readonly AgentView[] {
    const views = this.byService.get(service) ?? [];
    return views.filter(v => v.announcement.state === BackendState.SERVING);
  }

  private index(view: AgentView): void {
    const {service} = view.announcement;
    const list = this.byService.get(service);
    if (list) list.push(view);
    else this.byService.set(service, [view]);
  }

  private unindex(view: AgentView): void {
    const list = this.byService.get(view.announcement.service);
    const at = list?.indexOf(view) ?? -1;
    if (at >= 0) list!.splice(at, 1);
  }
}

function loadOf(view: AgentView): number {
  return (
    Math.max(view.outstanding, view.reportedLoad) /
    Math.max(1, view.announcement.slots)
  );
}

function hasFreeSlot(view: AgentView): boolean {
  return (
    Math.max(view.outstanding, view.reportedLoad) < view.announcement.slots
  );
}
