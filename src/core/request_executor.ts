/**
 * Runs plain requests at the backend server of an agent. It enforces the slot limit and
 * never starts a run twice. It keeps a record of each refused attempt, so that gates can
 * rely on its reply that an attempt never started.
 */
import {parseRequestId} from './ids.js';
import {type Answer} from './outcome.js';
import {SlotRefill} from './slot_refill.js';
import {TimerHeap} from './timer_heap.js';
import {
  type Announcement,
  BackendState,
  type Load,
  RefusalReason,
  RunEnd,
  AttemptStatus,
} from './shared_types.js';

/** Time for which the record of an ended or revoked run is kept. */
export const RETENTION_MS = 15 * 60_000;
/**
 * Age of a request id above which a missing record does not prove that the request
 * never started.
 */
const FORGOTTEN_AGE_MS = 10 * 60_000;
/** A run without an answer is aborted this long after its deadline. */
const HANG_GRACE_MS = 30_000;
/** Missed announcements after which the backend server counts as absent. */
const MISSED_ANNOUNCEMENTS = 3;

const RecordState = {
  QUEUED: 'queued',
  STARTED: 'started',
  ENDED: 'ended',
  SEALED: 'sealed',
} as const;
type RecordState = (typeof RecordState)[keyof typeof RecordState];

interface RunRecord {
  readonly run: string;
  state: RecordState;
  /** Highest attempt received. */
  attempt: number;
  /** Attempts up to this number are revoked: they never start. */
  revokedAttempt: number;
  deadlineAtMs: number;
  /** The record is kept at least until this time. */
  keepUntilMs: number;
  /** Gates that await the result. */
  readonly gates: Set<string>;
  end?: RunEnd;
  answer?: Answer;
}

export type ExecutorInput =
  | {
      readonly type: 'dispatch';
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
      readonly service: string;
      readonly remainingMs: number;
    }
  | {
      readonly type: 'seal' | 'inquire' | 'cancel';
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
    }
  | {readonly type: 'ack'; readonly gate: string; readonly run: string}
  | {readonly type: 'gateUp'; readonly gate: string}
  | {readonly type: 'announce'; readonly announcement: Announcement}
  /** A call to the backend server ended; `unreachable` means that nothing was sent. */
  | {
      readonly type: 'ended';
      readonly run: string;
      readonly end: RunEnd | 'unreachable';
      readonly answer?: Answer;
    }
  | {readonly type: 'tick'};

export type ExecutorEffect =
  /** Send the request to the backend server. */
  | {readonly type: 'call'; readonly run: string; readonly remainingMs: number}
  /** Abort a running call. */
  | {readonly type: 'abort'; readonly run: string}
  /** The request body is no longer needed. */
  | {readonly type: 'dropBody'; readonly run: string}
  | {
      readonly type: 'refused';
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
      readonly reason: RefusalReason;
    }
  | {
      readonly type: 'trace';
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
      readonly trace: AttemptStatus;
    }
  | {
      readonly type: 'result';
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
      readonly end: RunEnd;
      readonly answer?: Answer;
    }
  /** The announcement changed: report it to all gates. */
  | {readonly type: 'announce'; readonly announcement: Announcement};

export interface ExecutorOptions {
  /** Time between two announcements of the backend server, in ms. */
  readonly announcementMs: number;
  /** Maximum number of records; further requests are refused. */
  readonly maxRecords: number;
  /** Maximum bytes of stored answers; further requests are refused. */
  readonly maxAnswerBytes: number;
}

export class RequestExecutor {
  private readonly records = new Map<string, RunRecord>();
  private readonly queue: RunRecord[] = [];
  private readonly deadlines = new TimerHeap<string>();
  private readonly expiries = new TimerHeap<string>();
  private readonly refill = new SlotRefill();
  private announcement: Announcement = {
    service: '',
    slots: 0,
    state: BackendState.ABSENT,
  };
  private announcedAtMs = 0;
  /** Slots that run a request or are kept empty after a cancellation. */
  private busy = 0;
  private answerBytes = 0;
  private draining = false;
  private effects: ExecutorEffect[] = [];
  private nowMs = 0;
  private wallMs = 0;

  constructor(private readonly options: ExecutorOptions) {}

  get load(): Load {
    return {busy: this.busy, queued: this.queue.length};
  }

  get currentAnnouncement(): Announcement {
    return this.announcement;
  }

  get recordCount(): number {
    return this.records.size;
  }

  /** True when no request is running or queued. */
  get isIdle(): boolean {
    return this.busy === 0 && this.queue.length === 0;
  }

  /** Refuses queued and new requests from now on; running requests finish. */
  drain(nowMs: number): ExecutorEffect[] {
    this.begin(nowMs, this.wallMs);
    this.draining = true;
    this.announce({...this.announcement, state: BackendState.LEAVING});
    return this.effects;
  }

  handle(
    input: ExecutorInput,
    nowMs: number,
    wallMs: number,
  ): ExecutorEffect[] {
    this.begin(nowMs, wallMs);
    this.apply(input);
    return this.effects;
  }

  private begin(nowMs: number, wallMs: number): void {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.effects = [];
  }

  private apply(input: ExecutorInput): void {
    switch (input.type) {
      case 'dispatch':
        return this.onDispatch(input);
      case 'seal':
        return this.onSeal(input);
      case 'inquire':
        return this.onInquire(input);
      case 'cancel':
        return this.onCancel(input);
      case 'ack':
        return this.onAck(input);
      case 'gateUp':
        return this.onGateUp(input.gate);
      case 'announce':
        return this.onAnnounce(input.announcement);
      case 'ended':
        return this.onEnded(input);
      case 'tick':
        return this.onTick();
    }
  }

  private onDispatch(input: Extract<ExecutorInput, {type: 'dispatch'}>): void {
    const known = this.records.get(input.run);
    if (known && known.state !== RecordState.SEALED)
      return this.joinExistingRun(known, input);
    if (known && input.attempt <= known.revokedAttempt)
      return this.refuse(input, RefusalReason.SEALED);
    const reason = this.reasonToRefuse(input);
    if (reason) return this.revokeAndRefuse(input, reason);
    const record = this.getOrAddRecord(input.run, input.attempt);
    record.state = RecordState.QUEUED;
    record.gates.add(input.gate);
    record.deadlineAtMs = this.nowMs + input.remainingMs;
    this.deadlines.add(record.deadlineAtMs, record.run);
    this.queue.push(record);
    this.startNext();
  }

  /** Adds a gate to a run that is already known, instead of starting it again. */
  private joinExistingRun(
    record: RunRecord,
    input: {readonly gate: string; readonly attempt: number},
  ): void {
    record.gates.add(input.gate);
    record.attempt = Math.max(record.attempt, input.attempt);
    if (record.state !== RecordState.ENDED) return;
    this.effects.push({type: 'dropBody', run: record.run});
    this.sendResult(record, input.gate);
  }

  private reasonToRefuse(
    input: Extract<ExecutorInput, {type: 'dispatch'}>,
  ): RefusalReason | undefined {
    if (this.draining || this.announcement.state !== BackendState.SERVING)
      return RefusalReason.LEAVING;
    if (input.service !== this.announcement.service)
      return RefusalReason.WRONG_SERVICE;
    if (input.remainingMs <= 0) return RefusalReason.EXPIRED;
    if (this.records.size >= this.options.maxRecords) return RefusalReason.FULL;
    if (this.answerBytes >= this.options.maxAnswerBytes)
      return RefusalReason.FULL;
    const waitingAllowed = Math.ceil(this.announcement.slots / 2);
    if (
      this.busy + this.queue.length >=
      this.announcement.slots + waitingAllowed
    )
      return RefusalReason.FULL;
    return undefined;
  }

  private startNext(): void {
    while (this.queue.length > 0 && this.busy < this.announcement.slots) {
      const record = this.queue.shift()!;
      record.state = RecordState.STARTED;
      this.busy++;
      this.effects.push({
        type: 'call',
        run: record.run,
        remainingMs: Math.max(1, record.deadlineAtMs - this.nowMs),
      });
    }
  }

  private onEnded(input: Extract<ExecutorInput, {type: 'ended'}>): void {
    const record = this.records.get(input.run);
    if (record?.state !== RecordState.STARTED) return;
    if (input.end === RunEnd.CANCELLED) this.refill.hold(this.nowMs);
    else this.busy--;
    this.effects.push({type: 'dropBody', run: record.run});
    if (input.end === 'unreachable')
      this.revokeRecord(record, RefusalReason.UNREACHABLE);
    else this.endRecord(record, input.end, input.answer);
    this.startNext();
  }

  private endRecord(record: RunRecord, end: RunEnd, answer?: Answer): void {
    record.state = RecordState.ENDED;
    record.end = end;
    record.answer = answer;
    this.answerBytes += answer?.body.length ?? 0;
    this.retain(record);
    for (const gate of record.gates) this.sendResult(record, gate);
  }

  private sendResult(record: RunRecord, gate: string): void {
    const dropped = record.end === RunEnd.ANSWERED && !record.answer;
    this.effects.push({
      type: 'result',
      gate,
      run: record.run,
      attempt: record.attempt,
      end: dropped ? RunEnd.DROPPED : record.end!,
      answer: record.answer,
    });
  }

  private onSeal(input: {
    readonly gate: string;
    readonly run: string;
    readonly attempt: number;
  }): void {
    const record = this.records.get(input.run);
    if (!record && this.isForgotten(input.run))
      return this.sendAttemptStatus(input, AttemptStatus.FORGOTTEN);
    if (
      record &&
      record.state !== RecordState.SEALED &&
      record.state !== RecordState.QUEUED
    ) {
      return this.reportStarted(record, input);
    }
    if (record?.state === RecordState.QUEUED) this.removeFromQueue(record);
    this.recordRevocation(input.run, input.attempt);
    this.sendAttemptStatus(input, AttemptStatus.SEALED);
  }

  private onInquire(input: {
    readonly gate: string;
    readonly run: string;
    readonly attempt: number;
  }): void {
    const record = this.records.get(input.run);
    if (!record)
      return this.sendAttemptStatus(
        input,
        this.isForgotten(input.run)
          ? AttemptStatus.FORGOTTEN
          : AttemptStatus.UNSEEN,
      );
    if (record.state !== RecordState.SEALED)
      return this.reportStarted(record, input);
    this.sendAttemptStatus(
      input,
      input.attempt <= record.revokedAttempt
        ? AttemptStatus.SEALED
        : AttemptStatus.UNSEEN,
    );
  }

  private onCancel(input: {
    readonly gate: string;
    readonly run: string;
    readonly attempt: number;
  }): void {
    const record = this.records.get(input.run);
    if (!record && this.isForgotten(input.run))
      return this.sendAttemptStatus(input, AttemptStatus.FORGOTTEN);
    if (record?.state === RecordState.STARTED) {
      record.gates.add(input.gate);
      this.effects.push({type: 'abort', run: record.run});
      return;
    }
    if (record?.state === RecordState.ENDED)
      return this.reportStarted(record, input);
    if (record?.state === RecordState.QUEUED) this.removeFromQueue(record);
    this.revokeAndRefuse(input, RefusalReason.CANCELLED);
  }

  private reportStarted(
    record: RunRecord,
    input: {
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
    },
  ): void {
    this.sendAttemptStatus(input, AttemptStatus.STARTED);
    this.joinExistingRun(record, input);
  }

  private onAck(input: {readonly gate: string; readonly run: string}): void {
    const record = this.records.get(input.run);
    record?.gates.delete(input.gate);
    if (record?.answer && this.answerBytes > this.options.maxAnswerBytes / 2)
      this.dropAnswer(record);
  }

  /** Sends a reconnected gate the results that it has not acknowledged. */
  private onGateUp(gate: string): void {
    for (const record of this.records.values()) {
      if (record.state === RecordState.ENDED && record.gates.has(gate))
        this.sendResult(record, gate);
    }
  }

  // Announcements.

  private onAnnounce(announcement: Announcement): void {
    this.announcedAtMs = this.nowMs;
    const state = this.draining ? BackendState.LEAVING : announcement.state;
    this.announce({...announcement, state});
  }

  private announce(next: Announcement): void {
    const before = this.announcement;
    this.announcement = next;
    if (next.state !== BackendState.SERVING) this.refuseWaiting();
    const same =
      before.state === next.state &&
      before.slots === next.slots &&
      before.service === next.service;
    if (!same) this.effects.push({type: 'announce', announcement: next});
    this.startNext();
  }

  private refuseWaiting(): void {
    for (const record of this.queue.splice(0))
      this.revokeRecord(record, RefusalReason.LEAVING);
  }

  // Time.

  private onTick(): void {
    this.busy -= this.refill.release(this.nowMs);
    this.startNext();
    const sinceAnnouncementMs = this.nowMs - this.announcedAtMs;
    const isPresent = this.announcement.state !== BackendState.ABSENT;
    if (
      isPresent &&
      sinceAnnouncementMs > MISSED_ANNOUNCEMENTS * this.options.announcementMs
    ) {
      this.announce({...this.announcement, state: BackendState.ABSENT});
    }
    for (const run of this.deadlines.takeDue(this.nowMs)) this.onDeadline(run);
    for (const run of this.expiries.takeDue(this.nowMs)) this.expire(run);
  }

  private onDeadline(run: string): void {
    const record = this.records.get(run);
    if (!record) return;
    if (record.state === RecordState.QUEUED) {
      this.removeFromQueue(record);
      this.revokeRecord(record, RefusalReason.EXPIRED);
    } else if (record.state === RecordState.STARTED) {
      this.onOverdue(record);
    }
  }

  /** Aborts a run that is past its deadline, once the grace period has passed. */
  private onOverdue(record: RunRecord): void {
    const abortAtMs = record.deadlineAtMs + HANG_GRACE_MS;
    if (this.nowMs < abortAtMs) this.deadlines.add(abortAtMs, record.run);
    else this.effects.push({type: 'abort', run: record.run});
  }

  private expire(run: string): void {
    const record = this.records.get(run);
    if (!record) return;
    if (
      record.state === RecordState.STARTED ||
      record.state === RecordState.QUEUED
    )
      return;
    if (record.keepUntilMs > this.nowMs) return;
    this.dropAnswer(record);
    this.records.delete(run);
  }

  private retain(record: RunRecord): void {
    record.keepUntilMs = this.nowMs + RETENTION_MS;
    this.expiries.add(record.keepUntilMs, record.run);
  }

  // Records.

  private revokeAndRefuse(
    input: {
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
    },
    reason: RefusalReason,
  ): void {
    this.recordRevocation(input.run, input.attempt);
    this.refuse(input, reason);
  }

  private refuse(
    input: {
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
    },
    reason: RefusalReason,
  ): void {
    this.effects.push({type: 'dropBody', run: input.run});
    this.effects.push({
      type: 'refused',
      gate: input.gate,
      run: input.run,
      attempt: input.attempt,
      reason,
    });
  }

  /** Revokes a queued or unsent run and sends a refusal to all gates that await it. */
  private revokeRecord(record: RunRecord, reason: RefusalReason): void {
    const {attempt, run} = record;
    const gates = [...record.gates];
    this.recordRevocation(run, attempt);
    for (const gate of gates) this.refuse({gate, run, attempt}, reason);
  }

  /** Records that no attempt up to this one will start. */
  private recordRevocation(run: string, attempt: number): void {
    const record = this.getOrAddRecord(run, attempt);
    record.state = RecordState.SEALED;
    record.revokedAttempt = Math.max(record.revokedAttempt, attempt);
    record.gates.clear();
    this.retain(record);
  }

  private getOrAddRecord(run: string, attempt: number): RunRecord {
    const known = this.records.get(run);
    if (known) {
      known.attempt = Math.max(known.attempt, attempt);
      return known;
    }
    const record: RunRecord = {
      run,
      state: RecordState.SEALED,
      attempt,
      revokedAttempt: 0,
      deadlineAtMs: 0,
      keepUntilMs: 0,
      gates: new Set(),
    };
    this.records.set(run, record);
    return record;
  }

  private removeFromQueue(record: RunRecord): void {
    const at = this.queue.indexOf(record);
    if (at >= 0) this.queue.splice(at, 1);
  }

  private dropAnswer(record: RunRecord): void {
    this.answerBytes -= record.answer?.body.length ?? 0;
    record.answer = undefined;
  }

  private sendAttemptStatus(
    input: {
      readonly gate: string;
      readonly run: string;
      readonly attempt: number;
    },
    trace: AttemptStatus,
  ): void {
    this.effects.push({
      type: 'trace',
      gate: input.gate,
      run: input.run,
      attempt: input.attempt,
      trace,
    });
  }

  /** True when a record of the run may be deleted already, or its id is malformed. */
  private isForgotten(run: string): boolean {
    const parts = parseRequestId(run);
    return !parts || this.wallMs - parts.acceptedWallMs > FORGOTTEN_AGE_MS;
  }
}
