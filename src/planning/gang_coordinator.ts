/**
 * Runs the gangs of one pool on behalf of the pool owner. It reserves the
 * accelerators of all members, starts all members or none, confirms gangs whose
 * members are all reachable, and takes over gangs that an earlier owner started.
 * Agents accept orders only with the highest epoch that they have received, so orders
 * of a former owner have no effect.
 */
import {LEASE_EXPIRY_MARGIN_MS} from '../core/gang_share_manager.js';
import {type ProcessRef} from '../core/ids.js';
import {Outcome, type Settlement} from '../core/outcome.js';
import {TimerHeap} from '../core/timer_heap.js';
import {
  type GangMember,
  type ShareReport,
  ShareState,
} from '../core/shared_types.js';
import {getOrAdd} from '../core/fair_queue.js';
import {type Block, type WorkerInfo, indicesOf} from './buddy_pool.js';
import {
  type CoordinatorEffect,
  type CoordinatorInput,
  type AgentOrder,
  type RowReply,
} from './coordinator_messages.js';
import {
  type Gang,
  GangPhase,
  Started,
  type StartRecord,
  StopReason,
  hasEnded,
  createGang,
} from './gang_spec.js';
import {type JobSpec} from './job.js';
import {
  JobEnd,
  type PlannerEffect,
  type PlannerInput,
  type PlannerStatus,
  type PoolPlanner,
} from './pool_planner.js';

const RESERVE_HOLD_MS = 5000;
const RESERVE_TIMEOUT_MS = 1500;
/** Delay before a gang that was stopped or not reserved is queued again. */
const RETRY_DELAY_MS = 250;
const CONFIRM_INTERVAL_MS = 1000;
/** Time that a member may be unreachable before its gang is stopped. */
const UNREACHABLE_GRACE_MS = 1500;
/** Delay before a failed write of the end of a gang is repeated. */
const END_WRITE_RETRY_MS = 500;
/** Time after a takeover in which the agents of the pool are expected to connect. */
const INVENTORY_WAIT_MS = 10_000;
/** The square of this value is the number of attempt numbers reserved for each epoch. */
const EPOCH_ATTEMPT_BASE = 1000;
/** Added to lease bounds to allow for message delays between processes. */
const LEASE_BOUND_SLACK_MS = 500;

export interface CoordinatorOptions {
  readonly epoch: number;
  readonly taskLeaseMs: number;
  readonly planner: PoolPlanner;
}

interface MemberAgent {
  ref: ProcessRef;
  readonly site: WorkerInfo;
  /** True once the agent has acknowledged this epoch. */
  fenced: boolean;
  connected: boolean;
  downSinceMs: number;
  isInPlanner: boolean;
  /** True while the agent accepts no new gangs. */
  leaving: boolean;
}

export class GangCoordinator {
  private readonly agents = new Map<string, MemberAgent>();
  private readonly gangs = new Map<string, Gang>();
  /** Gang shares that agents reported when they were fenced, by gang and agent. */
  private readonly reportedShares = new Map<string, Map<string, ShareReport>>();
  private readonly retryTimers = new TimerHeap<string>();
  private readonly deadlineTimers = new TimerHeap<string>();
  private effects: CoordinatorEffect[] = [];
  private nowMs = 0;
  private wallMs = 0;
  private startedAtMs: number | undefined;
  private inventoryKnown = false;
  private lastConfirmMs = 0;
  private attempts = 0;
  private readonly planner: PoolPlanner;

  constructor(private readonly options: CoordinatorOptions) {
    this.planner = options.planner;
  }

  get unfinishedGangCount(): number {
    return this.gangs.size;
  }

  plannerStatus(): PlannerStatus {
    return this.planner.status();
  }

  hasGang(gang: string): boolean {
    return this.gangs.has(gang);
  }

  handle(
    input: CoordinatorInput,
    nowMs: number,
    wallMs: number,
  ): CoordinatorEffect[] {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.startedAtMs ??= nowMs;
    this.effects = [];
    this.apply(input);
    return this.effects;
  }

  private apply(input: CoordinatorInput): void {
    switch (input.type) {
      case 'configure':
        return this.sendToPlanner({type: 'configure', pool: input.pool});
      case 'agentUp':
        return this.onAgentUp(input.agent, input.site);
      case 'agentDown':
        return this.onAgentDown(input.agent);
      case 'agentServing':
        return this.onAgentServing(input.agent, input.serving);
      case 'fenceAck':
        return this.onFenceAck(input);
      case 'reserveAck':
        return this.onReserveAck(input);
      case 'shareReport':
        return this.onShareReport(input);
      case 'gang':
        return this.onGang(input);
      case 'cancel':
        return this.onCancel(input.gang);
      case 'rowReply':
        return this.onRowReply(input.gang, input.reply);
      case 'tick':
        return this.onTick();
    }
  }

  // Agents.

  private onAgentUp(ref: ProcessRef, workerInfo: WorkerInfo): void {
    const known = this.agents.get(ref.id);
    if (known && known.ref.incarnation !== ref.incarnation)
      this.onAgentRestarted(known);
    const isInPlanner = known?.isInPlanner ?? false;
    this.agents.set(ref.id, {
      ref,
      site: workerInfo,
      fenced: false,
      connected: true,
      downSinceMs: 0,
      isInPlanner,
      leaving: false,
    });
    this.sendOrder(ref, {type: 'fence', epoch: this.options.epoch});
  }

  /** Tasks of the former incarnation ended when it terminated. */
  private onAgentRestarted(agent: MemberAgent): void {
    this.removeWorkerFromPlanner(agent.ref);
    for (const gang of this.gangsWith(agent.ref)) {
      gang.states.set(agent.ref.id, ShareState.STOPPED);
      this.beginStop(gang, StopReason.MEMBER_LOST);
      this.resolveIfStopped(gang);
    }
  }

  private onAgentServing(ref: ProcessRef, serving: boolean): void {
    const agent = this.findAgent(ref);
    if (!agent || agent.leaving === !serving) return;
    agent.leaving = !serving;
    if (serving) return this.admitToPlanner(agent);
    agent.isInPlanner = false;
    this.sendToPlanner({type: 'workerLeaving', worker: ref.id});
  }

  private onAgentDown(ref: ProcessRef): void {
    const agent = this.findAgent(ref);
    if (!agent) return;
    agent.connected = false;
    agent.fenced = false;
    agent.downSinceMs = this.nowMs;
    for (const gang of this.gangsWith(ref)) {
      if (gang.phase === GangPhase.RESERVING)
        this.beginStop(gang, StopReason.PREEMPTED);
      gang.unreachableSinceMs ??= this.nowMs;
    }
  }

  private removeWorkerFromPlanner(ref: ProcessRef): void {
    const agent = this.findAgent(ref);
    if (!agent?.isInPlanner) return;
    agent.isInPlanner = false;
    this.sendToPlanner({type: 'workerDown', worker: ref.id});
  }

  private onFenceAck(
    input: Extract<CoordinatorInput, {type: 'fenceAck'}>,
  ): void {
    if (!input.accepted || input.epoch > this.options.epoch)
      return void this.effects.push({type: 'stepDown'});
    const agent = this.findAgent(input.agent);
    if (!agent || input.epoch !== this.options.epoch) return;
    agent.fenced = true;
    for (const share of input.shares)
      this.recordReportedShare(input.agent.id, share);
    this.admitToPlanner(agent);
    for (const gang of this.gangsWith(input.agent))
      this.updateReachability(gang);
  }

  /**
   * Adds a worker to the planner once every share that an earlier owner left on it
   * is resolved.
   */
  private admitToPlanner(agent: MemberAgent): void {
    if (
      agent.isInPlanner ||
      agent.leaving ||
      !agent.fenced ||
      agent.site.accelerators === 0
    )
      return;
    if (this.hasUnresolvedShares(agent.ref.id)) return;
    agent.isInPlanner = true;
    this.sendToPlanner({type: 'workerUp', site: agent.site});
  }

  private hasUnresolvedShares(agent: string): boolean {
    for (const [id, reports] of this.reportedShares) {
      const report = reports.get(agent);
      if (!report || hasEnded(report.state)) continue;
      const gang = this.gangs.get(id);
      if (gang ? gang.phase === GangPhase.RECOVERING : !this.isRecoveryOver())
        return true;
    }
    return false;
  }

  private recordReportedShare(agent: string, share: ShareReport): void {
    const gang = this.gangs.get(share.gang);
    getOrAdd(
      this.reportedShares,
      share.gang,
      () => new Map<string, ShareReport>(),
    ).set(agent, share);
    if (!gang) return this.stopOrphanedShare(agent, share);
    if (gang.phase === GangPhase.RECOVERING) return this.tryAdopt(gang);
    if (gang.attempt !== share.attempt)
      return this.stopOrphanedShare(agent, share);
    if (gang.members.length > 0) this.onMemberState(gang, agent, share.state);
  }

  /** Updates a reported share of a recovering gang. */
  private updateReportedShare(
    gang: Gang,
    input: Extract<CoordinatorInput, {type: 'shareReport'}>,
  ): void {
    const reports = this.reportedShares.get(gang.spec.id);
    const known = reports?.get(input.agent.id);
    if (known?.attempt !== input.attempt) return;
    reports!.set(input.agent.id, {...known, state: input.state});
    if (input.answer) gang.answer = input.answer;
    this.tryAdopt(gang);
  }

  /** Once recovery is over, stops a share of a gang that this owner does not run. */
  private stopOrphanedShare(agent: string, share: ShareReport): void {
    if (!this.isRecoveryOver() || hasEnded(share.state)) return;
    const {gang, attempt} = share;
    this.sendOrder(this.agents.get(agent)!.ref, {
      type: 'stop',
      epoch: this.options.epoch,
      gang,
      attempt,
      checkpoint: false,
    });
  }

  private isRecoveryOver(): boolean {
    return this.nowMs - this.startedAtMs! > this.leaseBoundMs();
  }

  /** Longest time that a task can run after the last confirmation of its gang, in ms. */
  private leaseBoundMs(): number {
    return (
      this.options.taskLeaseMs + LEASE_EXPIRY_MARGIN_MS + LEASE_BOUND_SLACK_MS
    );
  }

  private findAgent(ref: ProcessRef): MemberAgent | undefined {
    const agent = this.agents.get(ref.id);
    return agent?.ref.incarnation === ref.incarnation ? agent : undefined;
  }

  private isReachable(member: GangMember): boolean {
    const agent = this.agents.get(member.agent);
    return (
      agent !== undefined &&
      agent.connected &&
      agent.fenced &&
      agent.ref.incarnation === member.incarnation
    );
  }

  private gangsWith(ref: ProcessRef): Gang[] {
    return [...this.gangs.values()].filter(g =>
      g.members.some(
        m => m.agent === ref.id && m.incarnation === ref.incarnation,
      ),
    );
  }

  private updateReachability(gang: Gang): void {
    if (gang.members.every(m => this.isReachable(m)))
      gang.unreachableSinceMs = undefined;
  }

  // Acceptance, cancellation and recovery.

  private onGang(input: Extract<CoordinatorInput, {type: 'gang'}>): void {
    if (this.gangs.has(input.spec.id)) return;
    const gang = createGang(
      input.spec,
      input.rowVersion,
      input.mark,
      input.recovered,
    );
    this.gangs.set(input.spec.id, gang);
    this.deadlineTimers.add(input.spec.deadlineWallMs, input.spec.id);
    if (!input.recovered) return this.enqueue(gang);
    gang.phaseDeadlineMs = this.startedAtMs! + this.leaseBoundMs();
    this.tryAdopt(gang);
  }

  private enqueue(gang: Gang): void {
    gang.phase = GangPhase.QUEUED;
    gang.members = [];
    gang.states.clear();
    gang.failedMembers.clear();
    gang.unreachableSinceMs = undefined;
    this.sendToPlanner({type: 'submit', job: this.jobSpecOf(gang)});
  }

  /** Adopts a gang if all its members report the same attempt as running or done. */
  private tryAdopt(gang: Gang): void {
    const reports = this.reportedShares.get(gang.spec.id);
    const [first] = reports?.values() ?? [];
    if (!first || first.members.length === 0) return;
    const states = first.members.map(m => reports!.get(m.agent));
    const intact = states.every(
      s =>
        s &&
        s.attempt === first.attempt &&
        (s.state === ShareState.RUNNING || s.state === ShareState.DONE),
    );
    if (
      !intact ||
      !first.members.every(
        m => this.agents.get(m.agent)?.ref.incarnation === m.incarnation,
      )
    )
      return;
    gang.phase = GangPhase.RUNNING;
    gang.startOrdered = true;
    gang.attempt = first.attempt;
    gang.members = first.members;
    for (const member of first.members)
      gang.states.set(member.agent, reports!.get(member.agent)!.state);
    this.emitEvent(gang, 'taken over while it runs');
    const workers = first.members.map(m => this.agents.get(m.agent)!.site);
    const blocks = first.members.map(blockOf);
    this.sendToPlanner({
      type: 'adopt',
      job: this.jobSpecOf(gang),
      workers,
      blocks,
    });
    for (const member of first.members)
      this.agents.get(member.agent)!.isInPlanner = true;
    gang.started = Started.YES;
    this.onRunningState(gang, ShareState.DONE);
  }

  /**
   * Ends the recovery of a gang that could not be adopted in time. Stops its known
   * members, or queues the gang when none are known.
   */
  private endRecovery(gang: Gang): void {
    const reports = this.reportedShares.get(gang.spec.id);
    const [first] = reports?.values() ?? [];
    const members = first?.members.length
      ? first.members
      : (gang.mark?.members ?? []);
    if (members.length === 0) return this.enqueue(gang);
    gang.members = [...members];
    gang.startOrdered = true;
    gang.attempt = Math.max(gang.attempt, first?.attempt ?? 0);
    for (const [agent, share] of reports ?? [])
      if (share.attempt === gang.attempt) gang.states.set(agent, share.state);
    this.beginStop(gang, StopReason.RECOVERY);
    this.resolveIfStopped(gang);
  }

  private onCancel(id: string): void {
    const gang = this.gangs.get(id);
    if (!gang || gang.cancelReason) return;
    gang.cancelReason = 'it was cancelled';
    if (gang.phase === GangPhase.RECOVERING || gang.phase === GangPhase.ENDING)
      return;
    this.sendToPlanner({type: 'cancel', job: id, reason: gang.cancelReason});
    if (gang.phase === GangPhase.RESERVING || gang.phase === GangPhase.MARKING)
      this.beginStop(gang, StopReason.CANCELLED);
  }

  // The planner.

  private sendToPlanner(input: PlannerInput): void {
    for (const effect of this.planner.handle(input, this.nowMs))
      this.onPlannerEffect(effect);
  }

  private onPlannerEffect(effect: PlannerEffect): void {
    if (effect.type === 'quarantine')
      return (
        this.effects.push({
          type: 'event',
          gang: effect.worker,
          event: 'worker quarantined',
        }),
        undefined
      );
    const gang = this.gangs.get(effect.job);
    if (!gang || gang.phase === GangPhase.ENDING) return;
    switch (effect.type) {
      case 'place':
        return this.reserve(gang, effect.blocks);
      case 'stop':
        return this.beginStop(
          gang,
          gang.cancelReason ? StopReason.CANCELLED : StopReason.PREEMPTED,
          effect.checkpoint,
        );
      case 'reject':
        return this.writeEnd(
          gang,
          settlementOfDequeued(gang, effect.reason, effect.permanent),
        );
      case 'fail':
        return this.finish(gang, {
          outcome: Outcome.FAILED,
          reason: effect.reason,
        });
    }
  }

  // Reservation and start.

  private reserve(gang: Gang, blocks: readonly Block[]): void {
    gang.members = this.membersOf(blocks);
    gang.states.clear();
    gang.failedMembers.clear();
    gang.unreachableSinceMs = undefined;
    gang.startOrdered = false;
    gang.attempt = this.nextAttempt();
    gang.phase = GangPhase.RESERVING;
    gang.phaseDeadlineMs = this.nowMs + RESERVE_TIMEOUT_MS;
    gang.stopReason = undefined;
    if (!gang.members.every(m => this.isReachable(m)))
      return this.beginStop(gang, StopReason.PREEMPTED);
    const {epoch} = this.options;
    for (const member of gang.members) {
      this.sendOrderToMember(member, {
        type: 'reserve',
        epoch,
        gang: gang.spec.id,
        attempt: gang.attempt,
        members: gang.members,
        holdMs: RESERVE_HOLD_MS,
      });
    }
  }

  private nextAttempt(): number {
    return (
      this.options.epoch * EPOCH_ATTEMPT_BASE * EPOCH_ATTEMPT_BASE +
      ++this.attempts
    );
  }

  private membersOf(blocks: readonly Block[]): GangMember[] {
    const masks = new Map<string, number>();
    for (const {worker, mask} of blocks)
      masks.set(worker, (masks.get(worker) ?? 0) | mask);
    return [...masks]
      .sort(([a], [b]) => a.localeCompare(b))
      .map(([agent, mask]) => ({
        agent,
        incarnation: this.agents.get(agent)?.ref.incarnation ?? 'none',
        accelerators: indicesOf(mask),
      }));
  }

  private onReserveAck(
    input: Extract<CoordinatorInput, {type: 'reserveAck'}>,
  ): void {
    if (input.epoch > this.options.epoch)
      return void this.effects.push({type: 'stepDown'});
    const gang = this.gangs.get(input.gang);
    if (gang?.phase !== GangPhase.RESERVING || gang.attempt !== input.attempt)
      return;
    if (!input.accepted) {
      this.emitEvent(gang, `${input.agent.id} refused: ${input.reason}`);
      gang.states.set(input.agent.id, ShareState.SEALED);
      return this.beginStop(gang, StopReason.PREEMPTED);
    }
    gang.states.set(input.agent.id, ShareState.RESERVED);
    const all = gang.members.every(
      m => gang.states.get(m.agent) === ShareState.RESERVED,
    );
    if (all) this.onAllReserved(gang);
  }

  private onAllReserved(gang: Gang): void {
    if (gang.spec.idempotent) return this.startAll(gang);
    gang.phase = GangPhase.MARKING;
    gang.phaseDeadlineMs = this.nowMs + RESERVE_HOLD_MS;
    const startRecord: StartRecord = {
      epoch: this.options.epoch,
      attempt: gang.attempt,
      members: gang.members,
    };
    gang.mark = startRecord;
    this.effects.push({
      type: 'writeMark',
      gang: gang.spec.id,
      rowVersion: gang.rowVersion,
      mark: startRecord,
    });
  }

  private startAll(gang: Gang): void {
    gang.phase = GangPhase.RUNNING;
    gang.started = Started.YES;
    gang.startOrdered = true;
    this.emitEvent(
      gang,
      `starts on ${gang.members.map(m => m.agent).join(', ')}`,
    );
    for (const member of gang.members) {
      this.sendOrderToMember(member, {
        type: 'start',
        epoch: this.options.epoch,
        gang: gang.spec.id,
        attempt: gang.attempt,
      });
    }
  }

  private onRowReply(id: string, reply: RowReply): void {
    const gang = this.gangs.get(id);
    if (!gang) return;
    if (reply.type === 'conflict')
      return void this.effects.push({type: 'stepDown'});
    if (reply.type === 'ended')
      return this.onEndedByEarlierOwner(gang, reply.settlement);
    if (reply.type === 'committed') gang.rowVersion = reply.version;
    if (gang.phase === GangPhase.MARKING) return this.onMarkReply(gang, reply);
    if (gang.phase !== GangPhase.ENDING) return;
    if (reply.type === 'committed') return this.settle(gang, gang.settlement!);
    gang.phaseDeadlineMs = this.nowMs + END_WRITE_RETRY_MS;
  }

  /** Settles a gang whose end an earlier owner has already recorded. */
  private onEndedByEarlierOwner(gang: Gang, settlement: Settlement): void {
    this.beginStop(gang, StopReason.CANCELLED);
    this.settle(gang, settlement);
    this.removeGangFromPlanner(gang);
  }

  /** Removes a gang from the planner without queueing it again. */
  private removeGangFromPlanner(gang: Gang): void {
    const job = gang.spec.id;
    this.sendToPlanner({type: 'cancel', job, reason: 'it has ended'});
    this.sendToPlanner({
      type: 'ended',
      job,
      end: JobEnd.STOPPED,
      failedWorkers: [],
      retry: false,
    });
  }

  private onMarkReply(gang: Gang, reply: RowReply): void {
    if (reply.type === 'committed') return this.startAll(gang);
    this.beginStop(gang, StopReason.PREEMPTED);
  }

  // Reports from members.

  private onShareReport(
    input: Extract<CoordinatorInput, {type: 'shareReport'}>,
  ): void {
    const gang = this.gangs.get(input.gang);
    if (gang?.phase === GangPhase.RECOVERING) {
      return this.updateReportedShare(gang, input);
    }
    if (!gang || gang.attempt !== input.attempt) return;
    const member = gang.members.find(
      m =>
        m.agent === input.agent.id && m.incarnation === input.agent.incarnation,
    );
    if (!member) return;
    if (input.answer) gang.answer = input.answer;
    this.onMemberState(gang, input.agent.id, input.state);
  }

  private onMemberState(gang: Gang, agent: string, state: ShareState): void {
    if (hasEnded(gang.states.get(agent)) && !hasEnded(state)) return;
    gang.states.set(agent, state);
    if (state === ShareState.FAILED) gang.failedMembers.add(agent);
    if (gang.phase === GangPhase.RUNNING) this.onRunningState(gang, state);
    else if (gang.phase === GangPhase.STOPPING) this.resolveIfStopped(gang);
    else if (
      hasEnded(state) &&
      (gang.phase === GangPhase.RESERVING || gang.phase === GangPhase.MARKING)
    )
      this.beginStop(gang, StopReason.PREEMPTED);
  }

  private onRunningState(gang: Gang, state: ShareState): void {
    if (state === ShareState.FAILED)
      return this.beginStop(gang, StopReason.MEMBER_FAILED);
    if (state === ShareState.STOPPED || state === ShareState.SEALED)
      return this.beginStop(gang, StopReason.MEMBER_LOST);
    const done = gang.members.every(
      m => gang.states.get(m.agent) === ShareState.DONE,
    );
    if (!done || !gang.answer) return;
    this.reportEndToPlanner(gang, JobEnd.DONE, false);
    this.finish(gang, {outcome: Outcome.DONE, answer: gang.answer});
  }

  // Stops.

  private beginStop(gang: Gang, reason: StopReason, checkpoint = false): void {
    if (gang.phase === GangPhase.STOPPING) {
      if (reason === StopReason.CANCELLED) gang.stopReason = reason;
      return;
    }
    if (
      gang.phase === GangPhase.ENDING ||
      gang.phase === GangPhase.ENDED ||
      gang.phase === GangPhase.QUEUED
    )
      return;
    gang.phase = GangPhase.STOPPING;
    gang.stopReason = reason;
    gang.phaseDeadlineMs = this.nowMs + this.leaseBoundMs();
    this.emitEvent(gang, `stops: ${reason}`);
    const {epoch} = this.options;
    for (const member of gang.members) {
      if (hasEnded(gang.states.get(member.agent))) continue;
      this.sendOrderToMember(member, {
        type: 'stop',
        epoch,
        gang: gang.spec.id,
        attempt: gang.attempt,
        checkpoint,
      });
    }
    this.resolveIfStopped(gang);
  }

  private resolveIfStopped(gang: Gang): void {
    if (gang.phase !== GangPhase.STOPPING) return;
    const allEnded = gang.members.every(m =>
      hasEnded(gang.states.get(m.agent)),
    );
    if (allEnded || this.nowMs > gang.phaseDeadlineMs)
      this.resolveStopped(gang);
  }

  /** Ends or requeues a gang, now that none of its members is running. */
  private resolveStopped(gang: Gang): void {
    const allSealed = gang.members.every(
      m => gang.states.get(m.agent) === ShareState.SEALED,
    );
    const neverStarted = allSealed || !gang.startOrdered;
    if (neverStarted && !gang.spec.idempotent) gang.started = Started.NO;
    if (gang.stopReason === StopReason.MEMBER_FAILED) {
      return this.reportEndToPlanner(gang, JobEnd.FAILED, gang.spec.idempotent);
    }
    if (gang.cancelReason) return this.endCancelled(gang);
    if (gang.spec.idempotent || neverStarted) return this.requeue(gang);
    this.writeEnd(gang, {
      outcome: Outcome.UNKNOWN,
      reason: 'it was stopped while it may have run; it is not run again',
    });
    this.removeGangFromPlanner(gang);
  }

  private requeue(gang: Gang): void {
    const wasPlanned = gang.stopReason !== StopReason.RECOVERY;
    gang.phase = GangPhase.QUEUED;
    if (!wasPlanned) return this.enqueue(gang);
    this.retryTimers.add(this.nowMs + RETRY_DELAY_MS, gang.spec.id);
  }

  private endCancelled(gang: Gang): void {
    this.writeEnd(gang, settlementOfDequeued(gang, gang.cancelReason!, false));
    this.removeGangFromPlanner(gang);
  }

  /**
   * Reports the end of an attempt to the planner, which then may queue the gang again
   * or fail it.
   */
  private reportEndToPlanner(gang: Gang, end: JobEnd, retry: boolean): void {
    if (end !== JobEnd.DONE) gang.phase = GangPhase.QUEUED;
    this.sendToPlanner({
      type: 'ended',
      job: gang.spec.id,
      end,
      failedWorkers: [...gang.failedMembers],
      retry,
    });
  }

  // Ends.

  /** Settles a gang at once and records its end on a best-effort basis. */
  private finish(gang: Gang, settlement: Settlement): void {
    if (gang.phase === GangPhase.ENDED) return;
    this.effects.push({
      type: 'recordEnd',
      gang: gang.spec.id,
      rowVersion: gang.rowVersion,
      settlement,
    });
    this.settle(gang, settlement);
  }

  /**
   * Writes the end of a gang and settles it only after the write is committed, since
   * callers rely on that end.
   */
  private writeEnd(gang: Gang, settlement: Settlement): void {
    gang.phase = GangPhase.ENDING;
    gang.settlement = settlement;
    gang.phaseDeadlineMs = Infinity;
    this.effects.push({
      type: 'writeEnd',
      gang: gang.spec.id,
      rowVersion: gang.rowVersion,
      settlement,
    });
  }

  private settle(gang: Gang, settlement: Settlement): void {
    gang.phase = GangPhase.ENDED;
    this.gangs.delete(gang.spec.id);
    this.reportedShares.delete(gang.spec.id);
    this.emitEvent(gang, `ended ${settlement.outcome}`);
    this.effects.push({type: 'settle', gang: gang.spec.id, settlement});
  }

  // Time.

  private onTick(): void {
    this.removeUnreachableWorkers();
    for (const agent of this.agents.values()) this.admitToPlanner(agent);
    for (const gang of [...this.gangs.values()]) this.checkPhaseTimeout(gang);
    for (const id of this.retryTimers.takeDue(this.nowMs)) this.onRetryDue(id);
    for (const id of this.deadlineTimers.takeDue(this.wallMs))
      this.onDeadline(id);
    this.confirm();
    this.sendToPlanner({type: 'tick'});
    if (
      !this.inventoryKnown &&
      this.nowMs - this.startedAtMs! > INVENTORY_WAIT_MS
    ) {
      this.inventoryKnown = true;
      this.sendToPlanner({type: 'inventoryKnown'});
    }
  }

  private removeUnreachableWorkers(): void {
    for (const agent of this.agents.values()) {
      if (
        !agent.connected &&
        this.nowMs - agent.downSinceMs > UNREACHABLE_GRACE_MS
      )
        this.removeWorkerFromPlanner(agent.ref);
    }
  }

  private checkPhaseTimeout(gang: Gang): void {
    const timedOut = this.nowMs > gang.phaseDeadlineMs;
    switch (gang.phase) {
      case GangPhase.RECOVERING:
        if (timedOut) this.endRecovery(gang);
        return;
      case GangPhase.RESERVING:
      case GangPhase.MARKING:
        if (timedOut) this.beginStop(gang, StopReason.PREEMPTED);
        return;
      case GangPhase.RUNNING:
        if (
          gang.unreachableSinceMs !== undefined &&
          this.nowMs - gang.unreachableSinceMs > UNREACHABLE_GRACE_MS
        )
          this.beginStop(gang, StopReason.MEMBER_LOST);
        return;
      case GangPhase.STOPPING:
        return this.resolveIfStopped(gang);
      case GangPhase.ENDING:
        if (timedOut) this.writeEnd(gang, gang.settlement!);
        return;
      default:
        return;
    }
  }

  private onRetryDue(id: string): void {
    const gang = this.gangs.get(id);
    if (gang?.phase !== GangPhase.QUEUED) return;
    if (gang.cancelReason) return this.endCancelled(gang);
    this.reportEndToPlanner(gang, JobEnd.STOPPED, true);
  }

  private onDeadline(id: string): void {
    const gang = this.gangs.get(id);
    if (gang?.phase !== GangPhase.QUEUED) return;
    gang.cancelReason ??= 'its deadline passed before it started';
    this.sendToPlanner({type: 'cancel', job: id, reason: gang.cancelReason});
  }

  /**
   * Sends each agent the list of its gangs whose members are all reachable. The
   * agent renews the task leases of these gangs only.
   */
  private confirm(): void {
    if (this.nowMs - this.lastConfirmMs < CONFIRM_INTERVAL_MS) return;
    this.lastConfirmMs = this.nowMs;
    const byAgent = new Map<string, string[]>();
    for (const gang of this.gangs.values()) {
      if (
        gang.phase !== GangPhase.RUNNING ||
        gang.unreachableSinceMs !== undefined
      )
        continue;
      for (const {agent} of gang.members)
        getOrAdd(byAgent, agent, () => [] as string[]).push(gang.spec.id);
    }
    for (const [id, gangs] of byAgent) {
      this.sendOrder(this.agents.get(id)!.ref, {
        type: 'confirm',
        epoch: this.options.epoch,
        gangs,
      });
    }
  }

  private sendOrderToMember(member: GangMember, order: AgentOrder): void {
    this.sendOrder({id: member.agent, incarnation: member.incarnation}, order);
  }

  private sendOrder(agent: ProcessRef, order: AgentOrder): void {
    this.effects.push({type: 'order', agent, order});
  }

  private jobSpecOf(gang: Gang): JobSpec {
    const {id, workspace, kind, shape, preemptible} = gang.spec;
    const {checkpointable, acceptedWallMs} = gang.spec;
    const ageMs = Math.max(0, this.wallMs - acceptedWallMs);
    return {
      id,
      workspace,
      kind,
      shape,
      class: gang.spec.class,
      preemptible,
      checkpointable,
      acceptedMs: this.nowMs - ageMs,
    };
  }

  private emitEvent(gang: Gang, event: string): void {
    this.effects.push({type: 'event', gang: gang.spec.id, event});
  }
}

/**
 * Returns the settlement of a gang that was rejected or cancelled. The outcome is
 * NOT_RUN only if the gang certainly never started.
 */
function settlementOfDequeued(
  gang: Gang,
  reason: string,
  permanent: boolean,
): Settlement {
  switch (gang.started) {
    case Started.NO:
      return {outcome: Outcome.NOT_RUN, reason, permanent};
    case Started.YES:
      return {
        outcome: Outcome.CANCELLED,
        reason: `it had started and was stopped; then ${reason}`,
      };
    case Started.MAYBE:
      return {
        outcome: Outcome.UNKNOWN,
        reason: `${reason}, but an earlier owner of the pool may have started it`,
      };
  }
}

function blockOf(member: GangMember): Block {
  return {
    worker: member.agent,
    mask: member.accelerators.reduce((mask, i) => mask | (1 << i), 0),
  };
}
