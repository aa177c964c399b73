/**
 * Model of reservation, start record, start, lease, loss of a member and takeover by
 * epoch, for one gang of two members. A second gang competes for the same accelerators. A
 * second pool owner succeeds the first, which may continue without knowing it.
 */
import {type Model, type Step} from './explore.js';

export interface GangRules {
  /** Agents refuse orders of an epoch lower than the highest that they have received. */
  readonly agentsObeyHighestEpoch: boolean;
  /** A task stops when its lease is not renewed. */
  readonly leasesExpire: boolean;
  /** A gang that must not run twice starts only after its start record was written. */
  readonly recordBeforeStart: boolean;
  /** The write of the start record is conditional on the epoch. */
  readonly recordIsConditional: boolean;
  /** An answer is accepted only when every member is done. */
  readonly answerOnlyWhenAllDone: boolean;
  /** An agent allocates an accelerator to one gang at a time. */
  readonly allocationIsExclusive: boolean;
  /**
   * A successor that finds a start record reruns the gang only if every member reports
   * that it never started.
   */
  readonly revokeBeforeRerun: boolean;
  /** A member whose task was stopped does not report that it never started. */
  readonly stoppedIsNotRevoked: boolean;
}

export const GANG_RULES: GangRules = {
  agentsObeyHighestEpoch: true,
  leasesExpire: true,
  recordBeforeStart: true,
  recordIsConditional: true,
  answerOnlyWhenAllDone: true,
  allocationIsExclusive: true,
  revokeBeforeRerun: true,
  stoppedIsNotRevoked: true,
};

interface Member {
  readonly incarnation: number;
  readonly epoch: number;
  /** Attempt that is reserved here. 0 means none, also in the attempts below. */
  readonly reserved: number;
  readonly running: number;
  readonly done: number;
  /** Attempt whose task was stopped here. */
  readonly stopped: number;
  /** Attempts up to this one are revoked: they never start here. */
  readonly revokedAttempt: number;
  /** True while the second gang uses the accelerators. */
  readonly usedBySecondGang: boolean;
}

interface Owner {
  readonly phase:
    | 'none'
    | 'idle'
    | 'reserving'
    | 'recording'
    | 'starting'
    | 'running'
    | 'revoking'
    | 'ended';
  readonly attempt: number;
  readonly incarnations: readonly number[];
  readonly acks: readonly boolean[];
}

export interface GangState {
  readonly epoch: number;
  readonly owners: readonly Owner[];
  readonly members: readonly Member[];
  /** Attempt and incarnations of the members in the gang's row. */
  readonly startRecord: {
    readonly attempt: number;
    readonly incarnations: readonly number[];
  } | null;
  /** Attempts in which at least one member started. */
  readonly started: readonly number[];
  readonly outcome: '' | 'done' | 'unknown' | 'not_run';
  /** True when an answer was accepted before all members were done. */
  readonly partialAnswer: boolean;
  readonly sharedAccelerator: boolean;
  /** True once an agent that knows the successor obeyed an order of its predecessor. */
  readonly obeyedFormerOwner: boolean;
  readonly restarts: number;
}

const NO_OWNER: Owner = {
  phase: 'none',
  attempt: 0,
  incarnations: [0, 0],
  acks: [false, false],
};
const FREE_MEMBER: Member = {
  incarnation: 0,
  epoch: 0,
  reserved: 0,
  running: 0,
  done: 0,
  stopped: 0,
  revokedAttempt: 0,
  usedBySecondGang: false,
};
const BOTH: readonly number[] = [0, 1];
const MAX_ATTEMPTS_PER_OWNER = 2;

export function makeGangModel(rules: GangRules): Model<GangState> {
  return {
    name: 'gang',
    initial: {
      epoch: 1,
      owners: [{...NO_OWNER, phase: 'idle'}, NO_OWNER],
      members: [FREE_MEMBER, FREE_MEMBER],
      startRecord: null,
      started: [],
      outcome: '',
      partialAnswer: false,
      sharedAccelerator: false,
      obeyedFormerOwner: false,
      restarts: 0,
    },
    steps: state => [
      ...takeoverSteps(state),
      ...BOTH.flatMap(o => ownerSteps(state, o, rules)),
      ...BOTH.flatMap(m => memberSteps(state, m, rules)),
    ],
    invariants: [
      {
        name: 'a gang that must not run twice starts in one attempt only',
        holds: s => s.started.length <= 1,
      },
      {
        name: 'not_run implies that no member started',
        holds: s => s.outcome !== 'not_run' || s.started.length === 0,
      },
      {
        name: 'no answer is accepted from a part of a gang',
        holds: s => !s.partialAnswer,
      },
      {
        name: 'an agent that knows the successor obeys no order of its predecessor',
        holds: s => !s.obeyedFormerOwner,
      },
      {
        name: 'no accelerator is allocated to two gangs',
        holds: s => !s.sharedAccelerator,
      },
      {
        name: 'members of one gang never run different attempts',
        holds: s =>
          !(
            s.members[0].running &&
            s.members[1].running &&
            s.members[0].running !== s.members[1].running
          ),
      },
      {
        name: 'a member of an incomplete gang can always stop',
        holds: s =>
          s.members.every(
            (m, i) =>
              m.running === 0 ||
              rules.leasesExpire ||
              s.members[1 - i].running === m.running,
          ),
      },
    ],
    goals: [
      {name: 'the gang is done', holds: s => s.outcome === 'done'},
      {
        name: 'the successor completes the gang',
        holds: s => s.outcome === 'done' && s.owners[1].phase === 'ended',
      },
      {name: 'the gang is not run', holds: s => s.outcome === 'not_run'},
      {
        name: 'the outcome of the gang is unknown',
        holds: s => s.outcome === 'unknown',
      },
      {
        name: 'the second gang gets the accelerators',
        holds: s => s.members.some(m => m.usedBySecondGang),
      },
    ],
  };
}

function withOwner(
  state: GangState,
  o: number,
  change: Partial<Owner>,
): GangState {
  return {
    ...state,
    owners: state.owners.map((owner, i) =>
      i === o ? {...owner, ...change} : owner,
    ),
  };
}

function withMember(
  state: GangState,
  m: number,
  change: Partial<Member>,
): GangState {
  return {
    ...state,
    members: state.members.map((member, i) =>
      i === m ? {...member, ...change} : member,
    ),
  };
}

/** The second owner takes over the pool. The first one may still be alive. */
function takeoverSteps(state: GangState): Step<GangState>[] {
  if (state.epoch === 2 || state.outcome !== '') return [];
  const phase = state.startRecord ? 'revoking' : 'idle';
  const attempt = state.startRecord?.attempt ?? 0;
  const incarnations = state.startRecord?.incarnations ?? [0, 0];
  return [
    {
      label: 'owner 1 takes over the pool at epoch 2',
      next: {
        ...withOwner(state, 1, {
          phase,
          attempt,
          incarnations,
          acks: [false, false],
        }),
        epoch: 2,
      },
    },
  ];
}

function epochOf(o: number): number {
  return o + 1;
}

function ownerSteps(
  state: GangState,
  o: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  if (state.outcome !== '') return [];
  switch (owner.phase) {
    case 'idle':
      return idleSteps(state, o);
    case 'reserving':
      return BOTH.flatMap(m => reserveSteps(state, o, m, rules)).concat(
        reservedSteps(state, o, rules),
      );
    case 'recording':
      return recordSteps(state, o, rules);
    case 'starting':
      return BOTH.flatMap(m => startSteps(state, o, m, rules));
    case 'running':
      return answerSteps(state, o, rules);
    case 'revoking':
      return BOTH.flatMap(m => revokeSteps(state, o, m, rules)).concat(
        revokedSteps(state, o, rules),
      );
    default:
      return [];
  }
}

function idleSteps(state: GangState, o: number): Step<GangState>[] {
  const owner = state.owners[o];
  const steps: Step<GangState>[] = [];
  const attemptsUsed = owner.attempt % 10;
  if (attemptsUsed < MAX_ATTEMPTS_PER_OWNER) {
    const attempt = epochOf(o) * 10 + attemptsUsed + 1;
    const incarnations = state.members.map(m => m.incarnation);
    steps.push({
      label: `owner ${o} reserves attempt ${attempt}`,
      next: withOwner(state, o, {
        phase: 'reserving',
        attempt,
        incarnations,
        acks: [false, false],
      }),
    });
  }
  // The row's write is conditional on the epoch, so only the current owner can end it.
  if (state.epoch === epochOf(o)) {
    steps.push({
      label: `owner ${o} ends the gang as not_run`,
      next: {...withOwner(state, o, {phase: 'ended'}), outcome: 'not_run'},
    });
  }
  return steps;
}

function isRefused(
  state: GangState,
  o: number,
  m: number,
  rules: GangRules,
): boolean {
  return rules.agentsObeyHighestEpoch && state.members[m].epoch > epochOf(o);
}

function acceptOrder(state: GangState, o: number, m: number): GangState {
  if (state.members[m].epoch > epochOf(o)) {
    return {...state, obeyedFormerOwner: true};
  }
  return withMember(state, m, {
    epoch: Math.max(state.members[m].epoch, epochOf(o)),
  });
}

function reserveSteps(
  state: GangState,
  o: number,
  m: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  const member = state.members[m];
  if (owner.acks[m]) return [];
  const isBusy =
    member.reserved > 0 || member.running > 0 || member.usedBySecondGang;
  const refuses =
    isRefused(state, o, m, rules) ||
    member.incarnation !== owner.incarnations[m] ||
    member.revokedAttempt >= owner.attempt ||
    (isBusy && rules.allocationIsExclusive);
  if (refuses)
    return [releaseReservations(state, o, `agent ${m} refuses owner ${o}`)];
  const reserved = withMember(acceptOrder(state, o, m), m, {
    reserved: owner.attempt,
  });
  const isShared = state.sharedAccelerator || isBusy;
  return [
    {
      label: `agent ${m} reserves attempt ${owner.attempt}`,
      next: {
        ...withOwner(reserved, o, {
          acks: owner.acks.map((a, i) => a || i === m),
        }),
        sharedAccelerator: isShared,
      },
    },
  ];
}

/** Releases and revokes all reservations of the attempt when one of them fails. */
function releaseReservations(
  state: GangState,
  o: number,
  label: string,
): Step<GangState> {
  const {attempt} = state.owners[o];
  const members = state.members.map(m =>
    m.reserved === attempt ? {...m, reserved: 0, revokedAttempt: attempt} : m,
  );
  return {
    label,
    next: withOwner({...state, members}, o, {
      phase: 'idle',
      acks: [false, false],
    }),
  };
}

function reservedSteps(
  state: GangState,
  o: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  if (!owner.acks.every(Boolean)) return [];
  const phase = rules.recordBeforeStart ? 'recording' : 'starting';
  return [
    {
      label: `owner ${o} has reserved all members`,
      next: withOwner(state, o, {phase, acks: [false, false]}),
    },
  ];
}

function recordSteps(
  state: GangState,
  o: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  if (rules.recordIsConditional && state.epoch !== epochOf(o))
    return [
      releaseReservations(
        state,
        o,
        `owner ${o} is not allowed to write the start record`,
      ),
    ];
  const startRecord = {
    attempt: owner.attempt,
    incarnations: owner.incarnations,
  };
  return [
    {
      label: `owner ${o} writes the start record of attempt ${owner.attempt}`,
      next: {...withOwner(state, o, {phase: 'starting'}), startRecord},
    },
    releaseReservations(
      state,
      o,
      `owner ${o} times out while writing the start record`,
    ),
  ];
}

function startSteps(
  state: GangState,
  o: number,
  m: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  const member = state.members[m];
  if (owner.acks[m]) return [];
  const acks = owner.acks.map((a, i) => a || i === m);
  const phase = acks.every(Boolean) ? 'running' : 'starting';
  const acked = withOwner(state, o, {acks, phase});
  const cannotStart =
    isRefused(state, o, m, rules) ||
    member.incarnation !== owner.incarnations[m] ||
    member.reserved !== owner.attempt;
  if (cannotStart)
    return [
      {
        label: `agent ${m} does not start attempt ${owner.attempt}`,
        next: acked,
      },
    ];
  const started = state.started.includes(owner.attempt)
    ? state.started
    : [...state.started, owner.attempt];
  const next = withMember(acceptOrder(acked, o, m), m, {
    reserved: 0,
    running: owner.attempt,
  });
  return [
    {
      label: `agent ${m} starts attempt ${owner.attempt}`,
      next: {...next, started},
    },
  ];
}

function answerSteps(
  state: GangState,
  o: number,
  rules: GangRules,
): Step<GangState>[] {
  const {attempt, incarnations} = state.owners[o];
  const done = state.members.map(
    (m, i) => m.done === attempt && m.incarnation === incarnations[i],
  );
  const allDone = done.every(Boolean);
  const mayAnswer = rules.answerOnlyWhenAllDone ? allDone : done.some(Boolean);
  const steps: Step<GangState>[] = [];
  if (mayAnswer) {
    steps.push({
      label: `owner ${o} accepts the answer`,
      next: {
        ...withOwner(state, o, {phase: 'ended'}),
        outcome: 'done',
        partialAnswer: !allDone,
      },
    });
  }
  const memberLost = state.members.some(
    (m, i) => m.running !== attempt && !done[i],
  );
  if (memberLost && state.epoch === epochOf(o)) {
    steps.push({
      label: `owner ${o} detects the loss of a member`,
      next: {...withOwner(state, o, {phase: 'ended'}), outcome: 'unknown'},
    });
  }
  return steps;
}

/** Revokes the recorded attempt at a member, or ends the gang if it may have started. */
function revokeSteps(
  state: GangState,
  o: number,
  m: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  if (owner.acks[m]) return [];
  const member = state.members[m];
  const mayHaveStarted =
    member.incarnation !== owner.incarnations[m] ||
    member.running === owner.attempt ||
    member.done === owner.attempt ||
    (member.stopped === owner.attempt && rules.stoppedIsNotRevoked);
  if (mayHaveStarted && rules.revokeBeforeRerun) {
    return [
      {
        label: `agent ${m} may have started the attempt: unknown`,
        next: {
          ...withOwner(acceptOrder(state, o, m), o, {phase: 'ended'}),
          outcome: 'unknown',
        },
      },
    ];
  }
  const revoked = withMember(acceptOrder(state, o, m), m, {
    reserved: 0,
    running: 0,
    revokedAttempt: Math.max(member.revokedAttempt, owner.attempt),
  });
  return [
    {
      label: `agent ${m} revokes attempt ${owner.attempt}`,
      next: withOwner(revoked, o, {
        acks: owner.acks.map((a, i) => a || i === m),
      }),
    },
  ];
}

function revokedSteps(
  state: GangState,
  o: number,
  rules: GangRules,
): Step<GangState>[] {
  if (!state.owners[o].acks.every(Boolean) && rules.revokeBeforeRerun)
    return [];
  return [
    {
      label: `owner ${o} may rerun the gang`,
      next: withOwner(state, o, {
        phase: 'idle',
        attempt: 0,
        acks: [false, false],
      }),
    },
  ];
}

function memberSteps(
  state: GangState,
  m: number,
  rules: GangRules,
): Step<GangState>[] {
  const member = state.members[m];
  const steps: Step<GangState>[] = [];
  if (member.running > 0) {
    steps.push({
      label: `the task at agent ${m} is done`,
      next: withMember(state, m, {running: 0, done: member.running}),
    });
    if (rules.leasesExpire)
      steps.push({
        label: `the lease at agent ${m} expires`,
        next: withMember(state, m, {
          running: 0,
          stopped: member.running,
          revokedAttempt: Math.max(member.revokedAttempt, member.running),
        }),
      });
  }
  if (member.reserved > 0) {
    steps.push({
      label: `the reservation at agent ${m} expires`,
      next: withMember(state, m, {
        reserved: 0,
        revokedAttempt: Math.max(member.revokedAttempt, member.reserved),
      }),
    });
  }
  if (state.restarts < 1) {
    steps.push({
      label: `agent ${m} restarts`,
      next: {
        ...withMember(state, m, {
          ...FREE_MEMBER,
          incarnation: member.incarnation + 1,
        }),
        restarts: 1,
      },
    });
  }
  const isFree =
    member.reserved === 0 && member.running === 0 && !member.usedBySecondGang;
  if (isFree)
    steps.push({
      label: `the second gang occupies agent ${m}`,
      next: withMember(state, m, {usedBySecondGang: true}),
    });
  if (member.usedBySecondGang)
    steps.push({
      label: `the second gang releases agent ${m}`,
      next: withMember(state, m, {usedBySecondGang: false}),
    });
  return steps;
}
