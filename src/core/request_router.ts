/**
 * Routes plain requests to backend servers and decides the outcomes that their callers
 * receive. A non-idempotent request is sent again only after its agent has confirmed that
 * the attempt never started. A request with an idempotency key is bound to one run by a
 * claim row.
 */
import {AgentDirectory, type AgentView} from './agent_directory.js';
import {FairQueue, getOrAdd} from './fair_queue.js';
import {type ProcessRef} from './ids.js';
import {Outcome, type Settlement} from './outcome.js';
import {Random} from './random.js';
import {
  type ClaimReply,
  type ClaimRow,
  ClaimState,
  type RouterEffect,
  type RouterInput,
  type SubmitInput,
} from './request_messages.js';
import {
  type AbandonCause,
  Phase,
  type RequestState,
  newRequestState,
  notRun,
  unknown,
} from './request_state.js';
import {TimerHeap} from './timer_heap.js';
import {RetryBudget} from './token_bucket.js';
import {RefusalReason, RunEnd, AttemptStatus} from './shared_types.js';

const MAX_RESENDS = 8;
/** Initial balance of a service's retry budget, in retries. */
const RETRY_RESERVE = 10;
/** Time after a request's deadline in which its agent may still report its status. */
const DEADLINE_GRACE_MS = 500;
/** Largest tolerated difference between the clocks of two gates. */
const CLOCK_SKEW_MS = 1000;
/** Time after which an attempt that its agent has not received is revoked. */
const UNSEEN_GRACE_MS = 300;
/** Time in which a late answer may still replace an unknown outcome. */
const LATE_ANSWER_WINDOW_MS = 10 * 60_000;
/** Weight of the newest service time in the moving average. */
const SERVICE_TIME_WEIGHT = 0.1;

const TimerKind = {
  DEADLINE: 'deadline',
  GRACE: 'grace',
  UNSEEN: 'unseen',
  FORGET: 'forget',
} as const;
type TimerKind = (typeof TimerKind)[keyof typeof TimerKind];
interface Timer {
  readonly kind: TimerKind;
  readonly req: string;
}

export interface RouterOptions {
  readonly dataCentre: string;
  /** Maximum number of queued requests per service. */
  readonly queuePerService: number;
  /** Retries allowed per first attempt, as a fraction. */
  readonly retryRatio: number;
  readonly seed: number;
}

interface ServiceState {
  readonly queue: FairQueue<RequestState>;
  readonly budget: RetryBudget;
  /** Number of requests in flight, by workspace. */
  readonly inUse: Map<string, number>;
  /** Moving average of the time from dispatch to result. */
  meanServiceMs: number;
}

export class RequestRouter {
  readonly directory: AgentDirectory;
  private readonly requests = new Map<string, RequestState>();
  private readonly byRun = new Map<string, RequestState>();
  private readonly byAgent = new Map<string, Set<RequestState>>();
  /** Unsettled request to which others with the same idempotency key are joined. */
  private readonly primaryByKey = new Map<string, RequestState>();
  private readonly services = new Map<string, ServiceState>();
  private readonly timers = new TimerHeap<Timer>();
  private effects: RouterEffect[] = [];
  private nowMs = 0;

  constructor(private readonly options: RouterOptions) {
    this.directory = new AgentDirectory(
      options.dataCentre,
      new Random(options.seed),
    );
  }

  /** Number of requests that have not been settled. */
  get pendingCount(): number {
    let count = 0;
    for (const state of this.requests.values()) {
      if (state.phase !== Phase.SETTLED) count++;
    }
    return count;
  }

  /** Number of requests that wait for a slot, by service. */
  queueLengths(): {service: string; length: number}[] {
    return [...this.services].map(([service, s]) => ({
      service,
      length: s.queue.size,
    }));
  }

  handle(input: RouterInput, nowMs: number): RouterEffect[] {
    this.nowMs = nowMs;
    this.effects = [];
    this.apply(input);
    return this.effects;
  }

  private apply(input: RouterInput): void {
    switch (input.type) {
      case 'submit':
        return this.onSubmit(input);
      case 'cancel':
        return this.onCancel(input.req);
      case 'agentUp':
        return this.onAgentUp(input);
      case 'agentDown':
        return this.onAgentDown(input.agent);
      case 'announce':
        this.directory.announce(input.agent, input.announcement);
        this.directory.reportLoad(input.agent, input.load);
        return this.dispatchWaiting(input.announcement.service);
      case 'load':
        return this.onLoad(input);
      case 'result':
        return this.onResult(input);
      case 'farewell':
        return this.onFarewell(input.agent);
      case 'refused':
        return this.onRefused(input);
      case 'trace':
        return this.onTrace(input);
      case 'claimReply':
        return this.onClaimReply(input.req, input.reply);
      case 'tick':
        return this.onTick();
    }
  }

  // Submission and choice of an agent.

  private onSubmit(input: SubmitInput): void {
    const state = newRequestState(input, this.nowMs);
    this.requests.set(state.req, state);
    if (state.claim && this.joinPrimary(state)) return;
    this.byRun.set(state.run, state);
    if (state.claim) this.primaryByKey.set(state.claim.key, state);
    this.timers.add(state.deadlineAtMs, {
      kind: TimerKind.DEADLINE,
      req: state.req,
    });
    const service = this.service(state.service);
    service.budget.deposit();
    const shedReason = this.reasonToShed(state, service);
    if (shedReason)
      return this.abandon(state, {reason: shedReason, permanent: false});
    this.assignOrQueue(state);
  }

  /** Joins a request to an unsettled one of this gate with the same key. */
  private joinPrimary(state: RequestState): boolean {
    const primary = this.primaryByKey.get(state.claim!.key);
    if (!primary || primary.phase === Phase.SETTLED) return false;
    if (primary.claim!.hash !== state.claim!.hash) {
      this.settle(state, keyReused());
      return true;
    }
    state.phase = Phase.JOINED;
    state.run = primary.req;
    primary.joined.push(state.req);
    return true;
  }

  /** Returns why a request must be rejected because of overload, if it must. */
  private reasonToShed(
    state: RequestState,
    service: ServiceState,
  ): string | undefined {
    const waiting = service.queue.size;
    if (waiting >= this.options.queuePerService) {
      return `the queue of service "${state.service}" is full with ${waiting} requests; send it again later`;
    }
    const slots = this.directory.slotsOf(state.service);
    if (slots === 0 || waiting === 0) return undefined;
    const waitMs = (waiting * service.meanServiceMs) / slots;
    if (waitMs <= state.deadlineAtMs - this.nowMs) return undefined;
    return `the expected wait of ${Math.round(waitMs)} ms is longer than the deadline; send it again later`;
  }

  /** Assigns a request to an agent with a free slot, or queues it. */
  private assignOrQueue(state: RequestState, excluded?: string): void {
    const service = this.service(state.service);
    if (state.resends > MAX_RESENDS) {
      return this.abandon(state, {
        reason: `${state.resends} backend servers refused it; send it again later`,
        permanent: false,
      });
    }
    const view =
      service.queue.size === 0
        ? this.directory.choose(state.service, this.nowMs, excluded)
        : undefined;
    if (view) return this.assign(state, view);
    state.phase = Phase.QUEUED;
    state.agent = undefined;
    service.queue.push(state);
    this.dispatchWaiting(state.service);
  }

  /** Assigns waiting requests to free slots. */
  private dispatchWaiting(serviceName: string): void {
    const service = this.service(serviceName);
    while (service.queue.size > 0) {
      const view = this.directory.choose(serviceName, this.nowMs);
      if (!view) return;
      const state = service.queue.take(w => service.inUse.get(w) ?? 0);
      this.assign(state!, view);
    }
  }

  private assign(state: RequestState, view: AgentView): void {
    state.attempt++;
    this.attach(state, view.ref);
    this.directory.recordSent(view);
    state.inFlight = true;
    this.countInUse(state, 1);
    if (state.claim)
      return this.writeClaim(state, Phase.CLAIMING, ClaimState.OPEN);
    this.dispatch(state);
  }

  private dispatch(state: RequestState): void {
    state.phase = Phase.DISPATCHED;
    state.sentAtMs = this.nowMs;
    this.effects.push({
      type: 'dispatch',
      agent: state.agent!,
      req: state.req,
      run: state.run,
      attempt: state.attempt,
      remainingMs: Math.max(1, state.deadlineAtMs - this.nowMs),
    });
  }

  // Replies of agents.

  private onResult(input: Extract<RouterInput, {type: 'result'}>): void {
    this.effects.push({type: 'ack', agent: input.agent, run: input.run});
    const state = this.byRun.get(input.run);
    if (state) {
      this.recordRunEnd(state, input.agent, input.end);
      this.endRun(state, input);
    }
    this.onLoad(input);
  }

  private recordRunEnd(
    state: RequestState,
    agent: ProcessRef,
    end: RunEnd,
  ): void {
    if (state.inFlight && sameProcess(state.agent, agent)) {
      const service = this.service(state.service);
      const tookMs = this.nowMs - state.sentAtMs;
      service.meanServiceMs +=
        SERVICE_TIME_WEIGHT * (tookMs - service.meanServiceMs);
    }
    if (end === RunEnd.BROKEN) this.directory.recordFailure(agent, this.nowMs);
    else this.directory.recordSuccess(agent);
    if (sameProcess(state.agent, agent)) this.releaseSlot(state);
  }

  private endRun(
    state: RequestState,
    input: Extract<RouterInput, {type: 'result'}>,
  ): void {
    if (state.phase === Phase.SETTLED && input.end !== RunEnd.ANSWERED) return;
    switch (input.end) {
      case RunEnd.ANSWERED:
        return this.finish(state, {
          outcome: Outcome.DONE,
          answer: input.answer,
        });
      case RunEnd.CANCELLED:
        return this.finish(state, {
          outcome: Outcome.CANCELLED,
          reason: 'it had started and was stopped',
        });
      case RunEnd.TOO_LARGE:
        return this.finish(state, {
          outcome: Outcome.FAILED,
          reason:
            'it ran, but its answer is larger than limits.answerBytes; raise the limit or ask for less',
        });
      case RunEnd.DROPPED:
        return this.finish(
          state,
          unknown('it ran, but its answer is no longer held'),
        );
      case RunEnd.BROKEN:
        return this.onBroken(state, input.agent);
    }
  }

  private onBroken(state: RequestState, agent: ProcessRef): void {
    if (this.mayRetry(state)) return this.resend(state, agent.id);
    this.finish(
      state,
      unknown(
        'the connection to the backend server broke while the request ran',
      ),
    );
  }

  private mayRetry(state: RequestState): boolean {
    if (!state.idempotent || state.abandonCause) return false;
    if (state.deadlineAtMs <= this.nowMs || state.resends >= MAX_RESENDS)
      return false;
    return this.service(state.service).budget.tryWithdraw();
  }

  private resend(state: RequestState, excluded?: string): void {
    this.releaseSlot(state);
    state.resends++;
    this.assignOrQueue(state, excluded);
  }

  private onRefused(input: Extract<RouterInput, {type: 'refused'}>): void {
    this.directory.reportLoad(input.agent, input.load);
    if (input.reason === RefusalReason.UNREACHABLE) {
      this.directory.recordFailure(input.agent, this.nowMs);
    }
    const state = this.byRun.get(input.run);
    if (state && isAwaiting(state, input.agent, input.attempt)) {
      this.releaseSlot(state);
      this.onNeverStarted(state, input.reason, input.agent);
    }
    this.onLoad(input);
  }

  /**
   * The messages of a link arrive in order. An attempt of which the agent reported
   * nothing before its farewell has not reached it in time.
   */
  private onFarewell(agent: ProcessRef): void {
    this.directory.remove(agent.id);
    for (const state of this.requestsAt(agent.id)) {
      if (state.phase !== Phase.DISPATCHED) continue;
      if (!sameProcess(state.agent, agent)) continue;
      this.releaseSlot(state);
      this.onNeverStarted(state, RefusalReason.LEAVING, agent);
    }
  }

  /** The agent has confirmed that this attempt never started and never will. */
  private onNeverStarted(
    state: RequestState,
    reason: RefusalReason,
    agent: ProcessRef,
  ): void {
    if (reason === RefusalReason.CANCELLED) state.abandonCause ??= cancelled();
    if (reason === RefusalReason.EXPIRED) state.abandonCause ??= expired();
    if (state.abandonCause) return this.abandon(state, state.abandonCause);
    this.resend(state, agent.id);
  }

  private onTrace(input: Extract<RouterInput, {type: 'trace'}>): void {
    const state = this.byRun.get(input.run);
    if (!state || !isAwaiting(state, input.agent, input.attempt)) return;
    switch (input.trace) {
      case AttemptStatus.STARTED:
        return;
      case AttemptStatus.SEALED:
        this.releaseSlot(state);
        return this.onNeverStarted(state, RefusalReason.SEALED, input.agent);
      case AttemptStatus.FORGOTTEN:
        return this.endUnknown(state, 'its agent no longer remembers it');
      case AttemptStatus.UNSEEN:
        return this.onUnseen(state);
    }
  }

  private onUnseen(state: RequestState): void {
    state.unseenReplies++;
    this.timers.add(this.nowMs + UNSEEN_GRACE_MS, {
      kind: TimerKind.UNSEEN,
      req: state.req,
    });
  }

  private onLoad(input: {
    readonly agent: ProcessRef;
    readonly load: {busy: number; queued: number};
  }): void {
    this.directory.reportLoad(input.agent, input.load);
    const view = this.directory.find(input.agent);
    if (view) this.dispatchWaiting(view.announcement.service);
  }

  // Connection and loss of agents.

  private onAgentUp(input: Extract<RouterInput, {type: 'agentUp'}>): void {
    this.directory.add(
      input.agent,
      input.place,
      input.accelerators,
      input.announcement,
      input.load,
    );
    for (const state of this.requestsAt(input.agent.id)) {
      if (state.inFlight)
        this.directory.recordSent(this.directory.find(input.agent)!);
      this.queryReconnectedAgent(state);
    }
    this.dispatchWaiting(input.announcement.service);
  }

  /** Queries a reconnected agent for the status of a request. */
  private queryReconnectedAgent(state: RequestState): void {
    if (state.phase === Phase.FOLLOWING) return this.inquire(state);
    if (state.phase !== Phase.DISPATCHED) return;
    const view = this.directory.get(state.agent!.id);
    if (!view || !sameProcess(view.ref, state.agent)) {
      return this.onIncarnationLost(state);
    }
    this.ask(state, state.abandonCause ? 'cancel' : 'seal');
  }

  private onIncarnationLost(state: RequestState): void {
    if (this.mayRetry(state)) return this.resend(state);
    this.endUnknown(state, 'the agent that had it was restarted');
  }

  private onAgentDown(agent: ProcessRef): void {
    if (!this.directory.find(agent)) return;
    this.directory.remove(agent.id);
    for (const state of this.requestsAt(agent.id)) {
      if (state.phase === Phase.DISPATCHED && this.mayRetry(state))
        this.resend(state, agent.id);
    }
  }

  private requestsAt(agentId: string): RequestState[] {
    return [...(this.byAgent.get(agentId) ?? [])];
  }

  // Cancellation and deadlines.

  private onCancel(req: string): void {
    const state = this.primaryOf(req);
    if (!state || state.phase === Phase.SETTLED || state.abandonCause) return;
    state.abandonCause = cancelled();
    switch (state.phase) {
      case Phase.QUEUED:
        return this.abandon(state, state.abandonCause);
      case Phase.DISPATCHED:
      case Phase.FOLLOWING:
        return this.ask(state, 'cancel');
      default:
        return;
    }
  }

  private primaryOf(req: string): RequestState | undefined {
    const state = this.requests.get(req);
    return state?.phase === Phase.JOINED ? this.requests.get(state.run) : state;
  }

  private onTick(): void {
    for (const timer of this.timers.takeDue(this.nowMs)) this.onTimer(timer);
    for (const [name, service] of this.services) {
      if (service.queue.size > 0) this.dispatchWaiting(name);
    }
  }

  private onTimer(timer: Timer): void {
    const state = this.requests.get(timer.req);
    if (!state) return;
    if (timer.kind === TimerKind.FORGET) return this.forget(state);
    if (state.phase === Phase.SETTLED) return;
    if (timer.kind === TimerKind.DEADLINE) return this.onDeadline(state);
    if (timer.kind === TimerKind.UNSEEN)
      return this.onUnseenGraceExpired(state);
    this.onDeadlineGraceExpired(state);
  }

  private onDeadline(state: RequestState): void {
    state.abandonCause ??= expired();
    if (state.phase === Phase.QUEUED)
      return this.abandon(state, state.abandonCause);
    if (state.phase === Phase.DISPATCHED || state.phase === Phase.FOLLOWING)
      this.ask(state, 'seal');
    this.timers.add(this.nowMs + DEADLINE_GRACE_MS, {
      kind: TimerKind.GRACE,
      req: state.req,
    });
  }

  private onDeadlineGraceExpired(state: RequestState): void {
    this.settle(
      state,
      unknown(
        'its deadline passed and it may have run; ask for its result later, or send it again with the same key',
      ),
    );
  }

  private onUnseenGraceExpired(state: RequestState): void {
    if (state.phase !== Phase.FOLLOWING) return;
    this.ask(state, 'seal');
  }

  // Claim rows.

  private writeClaim(
    state: RequestState,
    phase: Phase,
    claimState: ClaimState,
    settlement?: Settlement,
  ): void {
    state.phase = phase;
    this.effects.push({
      type: 'claim',
      req: state.req,
      write: {
        key: state.claim!.key,
        expectVersion: state.claimVersion,
        row: claimRow(state, claimState, settlement),
      },
    });
  }

  private onClaimReply(req: string, reply: ClaimReply): void {
    const state = this.requests.get(req);
    if (!state || state.phase === Phase.SETTLED) return;
    if (reply.type === 'unavailable') return this.onClaimUnavailable(state);
    if (reply.type === 'conflict') return this.onClaimConflict(state, reply);
    state.claimVersion = reply.version;
    switch (state.phase) {
      case Phase.CLAIMING:
        return this.onClaimed(state);
      case Phase.CLOSING:
        return this.settle(
          state,
          notRun(state.abandonCause!.reason, state.abandonCause!.permanent),
        );
      case Phase.ENDING:
        return this.settle(
          state,
          unknown('the agent that had it was restarted'),
        );
      default:
        return;
    }
  }

  private onClaimed(state: RequestState): void {
    if (state.abandonCause) {
      this.releaseSlot(state);
      return this.abandon(state, state.abandonCause);
    }
    if (this.directory.find(state.agent!)) return this.dispatch(state);
    this.resend(state);
  }

  private onClaimUnavailable(state: RequestState): void {
    this.releaseSlot(state);
    this.settle(
      state,
      unknown(
        'the table service is unavailable, so it was not sent; send it again with the same key',
      ),
    );
  }

  /** A request with the same key, here or at another gate, has written the claim row. */
  private onClaimConflict(
    state: RequestState,
    reply: Extract<ClaimReply, {type: 'conflict'}>,
  ): void {
    const {row} = reply;
    this.releaseSlot(state);
    state.claimVersion = reply.version;
    if (!row) return this.retryOrAbandon(state);
    if (row.hash !== state.claim!.hash) return this.settle(state, keyReused());
    switch (row.state) {
      case ClaimState.ENDED:
        return this.settle(state, row.settlement!);
      case ClaimState.CLOSED:
        state.attempt = row.attempt;
        return this.onClosedRow(state, reply.closedAgoMs ?? 0);
      case ClaimState.OPEN:
        return this.follow(state, row);
    }
  }

  /**
   * The gate that closed the row has reported `not_run` to its caller. A request that was
   * accepted before that must not run either: the caller may have sent the work again
   * under another key, and it would run twice.
   */
  private onClosedRow(state: RequestState, closedAgoMs: number): void {
    const ageMs = this.nowMs - state.acceptedAtMs;
    if (closedAgoMs > ageMs + CLOCK_SKEW_MS) return this.retryOrAbandon(state);
    this.settle(
      state,
      notRun('another send with the same key ended not run; send it again'),
    );
  }

  /**
   * No attempt is running: starts the next one, or closes the claim row when the request
   * is to be abandoned.
   */
  private retryOrAbandon(state: RequestState): void {
    if (state.abandonCause) return this.abandon(state, state.abandonCause);
    state.resends++;
    this.assignOrQueue(state);
  }

  private adoptRun(state: RequestState, row: ClaimRow): void {
    if (this.byRun.get(state.run) === state) this.byRun.delete(state.run);
    state.run = row.run;
    state.attempt = row.attempt;
    this.byRun.set(state.run, state);
  }

  private follow(state: RequestState, row: ClaimRow): void {
    this.adoptRun(state, row);
    state.phase = Phase.FOLLOWING;
    this.attach(state, row.agent!);
    this.inquire(state);
  }

  private inquire(state: RequestState): void {
    const view = this.directory.get(state.agent!.id);
    if (view && !sameProcess(view.ref, state.agent))
      return this.onIncarnationLost(state);
    this.ask(state, state.abandonCause ? 'seal' : 'inquire');
  }

  private endUnknown(state: RequestState, reason: string): void {
    this.releaseSlot(state);
    if (!state.claim) return this.settle(state, unknown(reason));
    this.writeClaim(state, Phase.ENDING, ClaimState.ENDED, unknown(reason));
  }

  /** Settles a request that never started, as not run. */
  private abandon(state: RequestState, cause: AbandonCause): void {
    state.abandonCause = cause;
    this.service(state.service).queue.remove(state);
    if (!state.claim)
      return this.settle(state, notRun(cause.reason, cause.permanent));
    this.writeClaim(state, Phase.CLOSING, ClaimState.CLOSED);
  }

  // Settlement.

  private finish(state: RequestState, settlement: Settlement): void {
    this.releaseSlot(state);
    if (state.claim) this.recordEnd(state, settlement);
    this.settle(state, settlement);
  }

  private recordEnd(state: RequestState, settlement: Settlement): void {
    const row = claimRow(state, ClaimState.ENDED, settlement);
    this.effects.push({
      type: 'recordEnd',
      write: {key: state.claim!.key, expectVersion: state.claimVersion, row},
    });
  }

  private settle(state: RequestState, settlement: Settlement): void {
    this.releaseSlot(state);
    this.service(state.service).queue.remove(state);
    this.detach(state);
    state.phase = Phase.SETTLED;
    this.effects.push({type: 'settle', req: state.req, settlement});
    for (const req of state.joined.splice(0)) {
      const joined = this.requests.get(req);
      if (joined) this.settle(joined, settlement);
    }
    if (state.claim && this.primaryByKey.get(state.claim.key) === state)
      this.primaryByKey.delete(state.claim.key);
    if (settlement.outcome !== Outcome.UNKNOWN) return this.forget(state);
    this.timers.add(this.nowMs + LATE_ANSWER_WINDOW_MS, {
      kind: TimerKind.FORGET,
      req: state.req,
    });
  }

  private forget(state: RequestState): void {
    this.requests.delete(state.req);
    if (this.byRun.get(state.run) === state) this.byRun.delete(state.run);
  }

  // Bookkeeping.

  private ask(state: RequestState, ask: 'seal' | 'inquire' | 'cancel'): void {
    if (!state.agent || !this.directory.find(state.agent)) return;
    this.effects.push({
      type: 'ask',
      ask,
      agent: state.agent,
      run: state.run,
      attempt: state.attempt,
    });
  }

  private attach(state: RequestState, agent: ProcessRef): void {
    this.detach(state);
    state.agent = agent;
    getOrAdd(this.byAgent, agent.id, () => new Set<RequestState>()).add(state);
  }

  private detach(state: RequestState): void {
    if (!state.agent) return;
    const set = this.byAgent.get(state.agent.id);
    set?.delete(state);
    if (set?.size === 0) this.byAgent.delete(state.agent.id);
  }

  private releaseSlot(state: RequestState): void {
    if (!state.inFlight) return;
    state.inFlight = false;
    this.directory.recordEnded(state.agent!);
    this.countInUse(state, -1);
  }

  private countInUse(state: RequestState, change: number): void {
    const {inUse} = this.service(state.service);
    const count = (inUse.get(state.workspace) ?? 0) + change;
    if (count > 0) inUse.set(state.workspace, count);
    else inUse.delete(state.workspace);
  }

  private service(name: string): ServiceState {
    return getOrAdd(this.services, name, () => ({
      queue: new FairQueue<RequestState>(),
      budget: new RetryBudget(this.options.retryRatio, RETRY_RESERVE),
      inUse: new Map<string, number>(),
      meanServiceMs: 0,
    }));
  }
}

function claimRow(
  state: RequestState,
  claimState: ClaimState,
  settlement?: Settlement,
): ClaimRow {
  return {
    state: claimState,
    hash: state.claim!.hash,
    run: state.run,
    attempt: state.attempt,
    agent: state.agent,
    settlement,
  };
}

/** True while the request awaits the result of exactly this attempt at this agent. */
function isAwaiting(
  state: RequestState,
  agent: ProcessRef,
  attempt: number,
): boolean {
  if (state.phase !== Phase.DISPATCHED && state.phase !== Phase.FOLLOWING)
    return false;
  return state.attempt === attempt && sameProcess(state.agent, agent);
}

function sameProcess(
  a: ProcessRef | undefined,
  b: ProcessRef | undefined,
): boolean {
  return (
    a !== undefined &&
    b !== undefined &&
    a.id === b.id &&
    a.incarnation === b.incarnation
  );
}

function cancelled(): AbandonCause {
  return {reason: 'it was cancelled before it started', permanent: false};
}

function expired(): AbandonCause {
  return {
    reason:
      'its deadline passed before it started; send it again with a longer deadline',
    permanent: false,
  };
}

function keyReused(): Settlement {
  return notRun(
    'the idempotency key was used before with another payload; use a new key',
    true,
  );
}
