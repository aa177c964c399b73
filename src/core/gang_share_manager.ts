/**
 * Gang shares of one agent: the allocation table of its worker's accelerators, the fences
 * of pool owners, and the leases of running tasks. The lease of a task is renewed only
 * while the pool owner confirms that the whole gang is reachable.
 */
import {type Answer} from './outcome.js';
import {TimerHeap} from './timer_heap.js';
import {type GangMember, type ShareReport, ShareState} from './shared_types.js';

/** Time for which the record of an ended share is kept. */
const RETENTION_MS = 15 * 60_000;
/** Fraction of a lease after which it is renewed. */
const RENEW_AFTER_FRACTION = 1 / 3;
/** Time after its lease expires in which a worker may still be stopping a task. */
export const LEASE_EXPIRY_MARGIN_MS = 3000;

/** Identifies one attempt to run a gang. */
export interface GangAttempt {
  readonly pool: string;
  readonly epoch: number;
  readonly gang: string;
  readonly attempt: number;
}

/** Part of one gang that this agent runs. */
interface Share {
  readonly pool: string;
  readonly gang: string;
  readonly attempt: number;
  readonly members: GangMember[];
  readonly accelerators: readonly number[];
  state: ShareState;
  /** Time at which a reservation expires. */
  holdUntilMs: number;
  /** The worker's lease is valid at least until this time. */
  leaseUntilMs: number;
  renewedAtMs: number;
  /** True once the worker was ordered to stop the task. */
  stopping: boolean;
  answer?: Answer;
}

export type GangShareInput =
  | {
      readonly type: 'fence';
      readonly gate: string;
      readonly pool: string;
      readonly epoch: number;
    }
  | ({
      readonly type: 'reserve';
      readonly gate: string;
      readonly members: GangMember[];
      readonly holdMs: number;
    } & GangAttempt)
  | ({readonly type: 'start'; readonly gate: string} & GangAttempt)
  | ({
      readonly type: 'stop';
      readonly gate: string;
      readonly checkpoint: boolean;
    } & GangAttempt)
  | {
      readonly type: 'confirm';
      readonly gate: string;
      readonly pool: string;
      readonly epoch: number;
      readonly gangs: readonly string[];
    }
  /** The worker reported the end of a task. */
  | {
      readonly type: 'taskEnded';
      readonly gang: string;
      readonly attempt: number;
      readonly state: ShareState;
      readonly answer?: Answer;
    }
  /** The worker renewed a lease; `requestedAtMs` is the time of the request to renew it. */
  | {
      readonly type: 'renewed';
      readonly gang: string;
      readonly attempt: number;
      readonly requestedAtMs: number;
    }
  | {readonly type: 'drain'}
  | {readonly type: 'tick'};

export type GangShareEffect =
  | {
      readonly type: 'fenceAck';
      readonly gate: string;
      readonly pool: string;
      readonly epoch: number;
      readonly accepted: boolean;
      readonly shares: ShareReport[];
    }
  | ({
      readonly type: 'reserveAck';
      readonly gate: string;
      readonly accepted: boolean;
      readonly reason: string;
    } & GangAttempt)
  | ({
      readonly type: 'shareReport';
      readonly gate: string;
      readonly state: ShareState;
      readonly answer?: Answer;
    } & GangAttempt)
  | {
      readonly type: 'startTask';
      readonly gang: string;
      readonly attempt: number;
      readonly accelerators: readonly number[];
      readonly rank: number;
      readonly size: number;
    }
  | {
      readonly type: 'renewTask';
      readonly gang: string;
      readonly attempt: number;
    }
  | {
      readonly type: 'stopTask';
      readonly gang: string;
      readonly attempt: number;
      readonly checkpoint: boolean;
    };

export interface GangShareOptions {
  readonly agent: string;
  readonly incarnation: string;
  readonly accelerators: number;
  /** Duration of a task's lease at its worker, in ms. */
  readonly taskLeaseMs: number;
}

interface PoolOwner {
  epoch: number;
  gate: string;
}

export class GangShareManager {
  private readonly owners = new Map<string, PoolOwner>();
  private readonly shares = new Map<string, Share>();
  /** Gang to which each accelerator is allocated; free accelerators are missing. */
  private readonly allocations = new Map<number, string>();
  private readonly expiries = new TimerHeap<Share>();
  private draining = false;
  private effects: GangShareEffect[] = [];
  private nowMs = 0;

  constructor(private readonly options: GangShareOptions) {}

  /** Number of accelerators that are allocated to gangs. */
  get heldAccelerators(): number {
    return this.allocations.size;
  }

  /** True while accelerators are allocated, for running or reserved shares. */
  get hasAllocations(): boolean {
    return this.allocations.size > 0;
  }

  handle(input: GangShareInput, nowMs: number): GangShareEffect[] {
    this.nowMs = nowMs;
    this.effects = [];
    this.apply(input);
    return this.effects;
  }

  private apply(input: GangShareInput): void {
    switch (input.type) {
      case 'fence':
        return this.onFence(input);
      case 'reserve':
        return this.onReserve(input);
      case 'start':
        return this.onStart(input);
      case 'stop':
        return this.onStop(input);
      case 'confirm':
        return this.onConfirm(input);
      case 'taskEnded':
        return this.onTaskEnded(input);
      case 'renewed':
        return this.onRenewed(input);
      case 'drain':
        this.draining = true;
        return;
      case 'tick':
        return this.onTick();
    }
  }

  // Fences.

  private onFence(input: Extract<GangShareInput, {type: 'fence'}>): void {
    const accepted = this.acceptOwner(input.gate, input.pool, input.epoch);
    const epoch = this.owners.get(input.pool)!.epoch;
    const poolShares = [...this.shares.values()].filter(
      s => s.pool === input.pool,
    );
    const shares = poolShares.map(({gang, attempt, state, members}) => ({
      gang,
      attempt,
      state,
      members,
    }));
    this.effects.push({
      type: 'fenceAck',
      gate: input.gate,
      pool: input.pool,
      epoch,
      accepted,
      shares,
    });
    if (!accepted) return;
    for (const share of poolShares)
      if (share.state === ShareState.DONE) this.report(share);
  }

  /** Records the owner of a pool; returns false if a newer one is known. */
  private acceptOwner(gate: string, pool: string, epoch: number): boolean {
    const owner = this.owners.get(pool);
    if (owner && owner.epoch > epoch) return false;
    this.owners.set(pool, {epoch, gate});
    return true;
  }

  // Reservations.

  private onReserve(input: Extract<GangShareInput, {type: 'reserve'}>): void {
    const reason = this.reasonToRefuse(input);
    if (reason === undefined) this.reserve(input);
    const {gate, pool, gang, attempt} = input;
    const epoch = this.owners.get(pool)!.epoch;
    this.effects.push({
      type: 'reserveAck',
      gate,
      pool,
      epoch,
      gang,
      attempt,
      accepted: reason === undefined,
      reason: reason ?? 'reserved',
    });
  }

  private reasonToRefuse(
    input: Extract<GangShareInput, {type: 'reserve'}>,
  ): string | undefined {
    if (!this.acceptOwner(input.gate, input.pool, input.epoch))
      return 'a newer owner of the pool is known';
    if (this.draining) return 'the agent is stopping';
    const own = this.ownMember(input.members);
    if (!own) return 'the agent was restarted';
    const known = this.shares.get(input.gang);
    if (known && known.attempt >= input.attempt)
      return `attempt ${known.attempt} is ${known.state}`;
    if (known && !hasEnded(known))
      return `attempt ${known.attempt} is ${known.state}`;
    if (own.accelerators.some(i => i >= this.options.accelerators))
      return 'no such accelerator';
    if (own.accelerators.some(i => this.allocations.has(i)))
      return 'an accelerator is in use';
    return undefined;
  }

  private reserve(input: Extract<GangShareInput, {type: 'reserve'}>): void {
    const {accelerators} = this.ownMember(input.members)!;
    const share: Share = {
      pool: input.pool,
      gang: input.gang,
      attempt: input.attempt,
      members: input.members,
      accelerators,
      state: ShareState.RESERVED,
      holdUntilMs: this.nowMs + input.holdMs,
      leaseUntilMs: 0,
      renewedAtMs: 0,
      stopping: false,
    };
    this.shares.set(input.gang, share);
    for (const i of accelerators) this.allocations.set(i, input.gang);
  }

  private ownMember(members: readonly GangMember[]): GangMember | undefined {
    return members.find(
      m =>
        m.agent === this.options.agent &&
        m.incarnation === this.options.incarnation,
    );
  }

  // Tasks.

  private onStart(input: Extract<GangShareInput, {type: 'start'}>): void {
    if (!this.acceptOwner(input.gate, input.pool, input.epoch))
      return this.reportSuperseded(input);
    const share = this.shares.get(input.gang);
    if (!share || share.attempt !== input.attempt)
      return this.recordRevoked(input);
    if (share.state !== ShareState.RESERVED) return this.report(share);
    share.state = ShareState.RUNNING;
    share.leaseUntilMs = this.nowMs + this.options.taskLeaseMs;
    share.renewedAtMs = this.nowMs;
    const rank = share.members.findIndex(m => m.agent === this.options.agent);
    const {gang, attempt, accelerators, members} = share;
    this.effects.push({
      type: 'startTask',
      gang,
      attempt,
      accelerators,
      rank,
      size: members.length,
    });
    this.report(share);
  }

  private onStop(input: Extract<GangShareInput, {type: 'stop'}>): void {
    if (!this.acceptOwner(input.gate, input.pool, input.epoch))
      return this.reportSuperseded(input);
    const share = this.shares.get(input.gang);
    if (!share || share.attempt < input.attempt)
      return this.recordRevoked(input);
    if (share.state === ShareState.RESERVED)
      this.endShare(share, ShareState.SEALED);
    else if (share.state === ShareState.RUNNING)
      this.stopTask(share, input.checkpoint);
    else this.report(share);
  }

  private stopTask(share: Share, checkpoint: boolean): void {
    share.stopping = true;
    this.effects.push({
      type: 'stopTask',
      gang: share.gang,
      attempt: share.attempt,
      checkpoint,
    });
  }

  /** Records that this attempt did not start here and never will. */
  private recordRevoked(input: GangAttempt & {readonly gate: string}): void {
    const {pool, gang, attempt} = input;
    const share: Share = {
      pool,
      gang,
      attempt,
      members: [],
      accelerators: [],
      state: ShareState.SEALED,
      holdUntilMs: 0,
      leaseUntilMs: 0,
      renewedAtMs: 0,
      stopping: false,
    };
    const known = this.shares.get(gang);
    if (!known || hasEnded(known)) this.shares.set(gang, share);
    this.expiries.add(this.nowMs + RETENTION_MS, share);
    this.report(share);
  }

  private onConfirm(input: Extract<GangShareInput, {type: 'confirm'}>): void {
    if (!this.acceptOwner(input.gate, input.pool, input.epoch)) return;
    for (const gang of input.gangs) {
      const share = this.shares.get(gang);
      if (share?.state === ShareState.RUNNING) this.renewLease(share);
    }
  }

  private renewLease(share: Share): void {
    if (share.stopping) return;
    if (this.nowMs > share.leaseUntilMs) return this.expireLease(share);
    if (
      this.nowMs - share.renewedAtMs <
      this.options.taskLeaseMs * RENEW_AFTER_FRACTION
    )
      return;
    share.renewedAtMs = this.nowMs;
    this.effects.push({
      type: 'renewTask',
      gang: share.gang,
      attempt: share.attempt,
    });
  }

  private onRenewed(input: Extract<GangShareInput, {type: 'renewed'}>): void {
    const share = this.findRunning(input);
    if (share)
      share.leaseUntilMs = Math.max(
        share.leaseUntilMs,
        input.requestedAtMs + this.options.taskLeaseMs,
      );
  }

  private onTaskEnded(
    input: Extract<GangShareInput, {type: 'taskEnded'}>,
  ): void {
    const share = this.findRunning(input);
    if (!share) return;
    share.answer = input.answer;
    this.endShare(share, input.state);
  }

  private findRunning(input: {
    readonly gang: string;
    readonly attempt: number;
  }): Share | undefined {
    const share = this.shares.get(input.gang);
    if (share?.attempt !== input.attempt || share.state !== ShareState.RUNNING)
      return undefined;
    return share;
  }

  // Time.

  private onTick(): void {
    for (const share of [...this.shares.values()]) {
      if (share.state === ShareState.RESERVED && this.nowMs > share.holdUntilMs)
        this.endShare(share, ShareState.SEALED);
      if (share.state === ShareState.RUNNING && this.nowMs > share.leaseUntilMs)
        this.expireLease(share);
    }
    for (const share of this.expiries.takeDue(this.nowMs)) {
      if (this.shares.get(share.gang) === share) this.shares.delete(share.gang);
    }
  }

  /**
   * The lease has expired, so the worker stops the task by itself; it is ordered to stop
   * as well. After the margin the share counts as stopped.
   */
  private expireLease(share: Share): void {
    if (!share.stopping) this.stopTask(share, false);
    if (this.nowMs <= share.leaseUntilMs + LEASE_EXPIRY_MARGIN_MS) return;
    this.endShare(share, ShareState.STOPPED);
  }

  private endShare(share: Share, state: ShareState): void {
    share.state = state;
    for (const i of share.accelerators)
      if (this.allocations.get(i) === share.gang) this.allocations.delete(i);
    this.expiries.add(this.nowMs + RETENTION_MS, share);
    this.report(share);
  }

  private report(share: Share): void {
    const owner = this.owners.get(share.pool);
    if (!owner) return;
    const {pool, gang, attempt, state, answer} = share;
    const isFirst = share.members[0]?.agent === this.options.agent;
    this.effects.push({
      type: 'shareReport',
      gate: owner.gate,
      pool,
      epoch: owner.epoch,
      gang,
      attempt,
      state,
      answer: isFirst ? answer : undefined,
    });
  }

  /** Informs a former pool owner that a newer one is known. */
  private reportSuperseded(input: GangAttempt & {readonly gate: string}): void {
    const {epoch} = this.owners.get(input.pool)!;
    this.effects.push({
      type: 'fenceAck',
      gate: input.gate,
      pool: input.pool,
      epoch,
      accepted: false,
      shares: [],
    });
  }
}

function hasEnded(share: Share): boolean {
  return (
    share.state !== ShareState.RESERVED && share.state !== ShareState.RUNNING
  );
}
