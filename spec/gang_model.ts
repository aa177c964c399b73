/**
 * Reserve, mark, start, lease, loss of a member and takeover by epoch, for one gang
 * of two members whose accelerators a second gang wants as well. Two owners of the
 * pool follow each other; the first may go on without knowing that it was succeeded.
 */
import {type Model, type Step} from './explore.js';

export interface GangRules {
  /** Agents refuse orders of an epoch below the highest that they have seen. */
  readonly agentsObeyHighestEpoch: boolean;
  /** Tasks end when their lease is not renewed. */
  readonly leasesEnd: boolean;
  /** A gang that must not run twice is started only after its mark was written. */
  readonly markBeforeStart: boolean;
  /** The mark is written on condition of the epoch. */
  readonly markIsGuarded: boolean;
  /** An answer is taken only when every member is done. */
  readonly answerOnlyWhenWhole: boolean;
  /** An agent gives an accelerator to one gang at a time. */
  readonly ledgerIsExclusive: boolean;
  /** A successor that finds a mark runs the gang again only when all members say that they never started. */
  readonly sealBeforeRunningAgain: boolean;
  /** A member whose task was stopped does not say that it never started. */
  readonly stoppedIsNotSealed: boolean;
}

export const GANG_RULES: GangRules = {
  agentsObeyHighestEpoch: true,
  leasesEnd: true,
  markBeforeStart: true,
  markIsGuarded: true,
  answerOnlyWhenWhole: true,
  ledgerIsExclusive: true,
  sealBeforeRunningAgain: true,
  stoppedIsNotSealed: true,
};

interface Member {
  readonly life: number;
  readonly epoch: number;
  /** Attempt of the gang that is reserved or runs here; 0 when none. */
  readonly reserved: number;
  readonly running: number;
  readonly done: number;
  /** Attempt whose task was stopped here. */
  readonly stopped: number;
  /** Attempts up to this one never start here. */
  readonly sealed: number;
  /** True while the second gang holds the accelerators. */
  readonly other: boolean;
}

interface Owner {
  readonly phase:
    | 'none'
    | 'free'
    | 'reserving'
    | 'marking'
    | 'starting'
    | 'running'
    | 'sealing'
    | 'ended';
  readonly attempt: number;
  readonly lives: readonly number[];
  readonly acks: readonly boolean[];
}

export interface GangState {
  readonly epoch: number;
  readonly owners: readonly Owner[];
  readonly members: readonly Member[];
  /** Attempt and member lives in the gang's row. */
  readonly mark: {
    readonly attempt: number;
    readonly lives: readonly number[];
  } | null;
  /** Attempts of which some member started a task. */
  readonly started: readonly number[];
  readonly outcome: '' | 'done' | 'unknown' | 'not_run';
  /** True when an answer was taken while not all members were done. */
  readonly partialAnswer: boolean;
  readonly sharedAccelerator: boolean;
  /** True once an agent that knows the successor took an order of its predecessor. */
  readonly obeyedFormerOwner: boolean;
  readonly crashes: number;
}

const NO_OWNER: Owner = {
  phase: 'none',
  attempt: 0,
  lives: [0, 0],
  acks: [false, false],
};
const FREE: Member = {
  life: 0,
  epoch: 0,
  reserved: 0,
  running: 0,
  done: 0,
  stopped: 0,
  sealed: 0,
  other: false,
};
const BOTH: readonly number[] = [0, 1];
const MAX_ATTEMPTS_PER_OWNER = 2;

export function makeGangModel(rules: GangRules): Model<GangState> {
  return {
    name: 'gang',
    initial: {
      epoch: 1,
      owners: [{...NO_OWNER, phase: 'free'}, NO_OWNER],
      members: [FREE, FREE],
      mark: null,
      started: [],
      outcome: '',
      partialAnswer: false,
      sharedAccelerator: false,
      obeyedFormerOwner: false,
      crashes: 0,
    },
    steps: state => [
      ...takeover(state),
      ...BOTH.flatMap(o => ownerSteps(state, o, rules)),
      ...BOTH.flatMap(m => memberSteps(state, m, rules)),
    ],
    invariants: [
      {
        name: 'a gang that must not run twice starts under one attempt only',
        holds: s => s.started.length <= 1,
      },
      {
        name: 'not_run implies that no member started',
        holds: s => s.outcome !== 'not_run' || s.started.length === 0,
      },
      {
        name: 'no answer is taken from a part of a gang',
        holds: s => !s.partialAnswer,
      },
      {
        name: 'an agent that knows the successor takes no order of its predecessor',
        holds: s => !s.obeyedFormerOwner,
      },
      {
        name: 'no accelerator is in two gangs',
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
        name: 'a member whose gang is not whole can always stop',
        holds: s =>
          s.members.every(
            (m, i) =>
              m.running === 0 ||
              rules.leasesEnd ||
              s.members[1 - i].running === m.running,
          ),
      },
    ],
    goals: [
      {name: 'the gang is done', holds: s => s.outcome === 'done'},
      {
        name: 'the successor runs it',
        holds: s => s.outcome === 'done' && s.owners[1].phase === 'ended',
      },
      {name: 'the gang is not run', holds: s => s.outcome === 'not_run'},
      {name: 'the gang ends unknown', holds: s => s.outcome === 'unknown'},
      {
        name: 'the second gang gets the accelerators',
        holds: s => s.members.some(m => m.other),
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

/** The second owner takes the pool; the first may or may not be gone. */
function takeover(state: GangState): Step<GangState>[] {
  if (state.epoch === 2 || state.outcome !== '') return [];
  const phase = state.mark ? 'sealing' : 'free';
  const attempt = state.mark?.attempt ?? 0;
  const lives = state.mark?.lives ?? [0, 0];
  return [
    {
      label: 'owner 1 takes the pool at epoch 2',
      next: {
        ...withOwner(state, 1, {phase, attempt, lives, acks: [false, false]}),
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
    case 'free':
      return freeSteps(state, o);
    case 'reserving':
      return BOTH.flatMap(m => reserveAt(state, o, m, rules)).concat(
        afterReserved(state, o, rules),
      );
    case 'marking':
      return markSteps(state, o, rules);
    case 'starting':
      return BOTH.flatMap(m => startAt(state, o, m, rules));
    case 'running':
      return answerSteps(state, o, rules);
    case 'sealing':
      return BOTH.flatMap(m => sealAt(state, o, m, rules)).concat(
        afterSealed(state, o, rules),
      );
    default:
      return [];
  }
}

function freeSteps(state: GangState, o: number): Step<GangState>[] {
  const owner = state.owners[o];
  const steps: Step<GangState>[] = [];
  const used = owner.attempt % 10;
  if (used < MAX_ATTEMPTS_PER_OWNER) {
    const attempt = epochOf(o) * 10 + used + 1;
    const lives = state.members.map(m => m.life);
    steps.push({
      label: `owner ${o} reserves attempt ${attempt}`,
      next: withOwner(state, o, {
        phase: 'reserving',
        attempt,
        lives,
        acks: [false, false],
      }),
    });
  }
  // The row is written on condition of the epoch, so only the present owner can end it.
  if (state.epoch === epochOf(o)) {
    steps.push({
      label: `owner ${o} ends it as not run`,
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

function admit(state: GangState, o: number, m: number): GangState {
  if (state.members[m].epoch > epochOf(o)) {
    return {...state, obeyedFormerOwner: true};
  }
  return withMember(state, m, {
    epoch: Math.max(state.members[m].epoch, epochOf(o)),
  });
}

function reserveAt(
  state: GangState,
  o: number,
  m: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  const member = state.members[m];
  if (owner.acks[m]) return [];
  const busy = member.reserved > 0 || member.running > 0 || member.other;
  const refused =
    isRefused(state, o, m, rules) ||
    member.life !== owner.lives[m] ||
    member.sealed >= owner.attempt ||
    (busy && rules.ledgerIsExclusive);
  if (refused) return [giveBack(state, o, `agent ${m} refuses owner ${o}`)];
  const taken = withMember(admit(state, o, m), m, {reserved: owner.attempt});
  const shared = state.sharedAccelerator || busy;
  return [
    {
      label: `agent ${m} reserves attempt ${owner.attempt}`,
      next: {
        ...withOwner(taken, o, {acks: owner.acks.map((a, i) => a || i === m)}),
        sharedAccelerator: shared,
      },
    },
  ];
}

/** All or give back at once: what was reserved is released, and never starts. */
function giveBack(state: GangState, o: number, label: string): Step<GangState> {
  const {attempt} = state.owners[o];
  const members = state.members.map(m =>
    m.reserved === attempt ? {...m, reserved: 0, sealed: attempt} : m,
  );
  return {
    label,
    next: withOwner({...state, members}, o, {
      phase: 'free',
      acks: [false, false],
    }),
  };
}

function afterReserved(
  state: GangState,
  o: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  if (!owner.acks.every(Boolean)) return [];
  const phase = rules.markBeforeStart ? 'marking' : 'starting';
  return [
    {
      label: `owner ${o} has all members`,
      next: withOwner(state, o, {phase, acks: [false, false]}),
    },
  ];
}

function markSteps(
  state: GangState,
  o: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  if (rules.markIsGuarded && state.epoch !== epochOf(o))
    return [giveBack(state, o, `owner ${o} may not write its mark`)];
  const mark = {attempt: owner.attempt, lives: owner.lives};
  return [
    {
      label: `owner ${o} writes the mark of attempt ${owner.attempt}`,
      next: {...withOwner(state, o, {phase: 'starting'}), mark},
    },
    giveBack(state, o, `owner ${o} waits too long for its mark`),
  ];
}

function startAt(
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
  const moved = withOwner(state, o, {acks, phase});
  const lost =
    isRefused(state, o, m, rules) ||
    member.life !== owner.lives[m] ||
    member.reserved !== owner.attempt;
  if (lost)
    return [
      {
        label: `agent ${m} does not start attempt ${owner.attempt}`,
        next: moved,
      },
    ];
  const started = state.started.includes(owner.attempt)
    ? state.started
    : [...state.started, owner.attempt];
  const next = withMember(admit(moved, o, m), m, {
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
  const {attempt, lives} = state.owners[o];
  const done = state.members.map(
    (m, i) => m.done === attempt && m.life === lives[i],
  );
  const whole = done.every(Boolean);
  const enough = rules.answerOnlyWhenWhole ? whole : done.some(Boolean);
  const steps: Step<GangState>[] = [];
  if (enough) {
    steps.push({
      label: `owner ${o} takes the answer`,
      next: {
        ...withOwner(state, o, {phase: 'ended'}),
        outcome: 'done',
        partialAnswer: !whole,
      },
    });
  }
  const lost = state.members.some((m, i) => m.running !== attempt && !done[i]);
  if (lost && state.epoch === epochOf(o)) {
    steps.push({
      label: `owner ${o} sees that a member is lost`,
      next: {...withOwner(state, o, {phase: 'ended'}), outcome: 'unknown'},
    });
  }
  return steps;
}

/** The successor asks the members that the mark names whether they started. */
function sealAt(
  state: GangState,
  o: number,
  m: number,
  rules: GangRules,
): Step<GangState>[] {
  const owner = state.owners[o];
  if (owner.acks[m]) return [];
  const member = state.members[m];
  const mayHaveStarted =
    member.life !== owner.lives[m] ||
    member.running === owner.attempt ||
    member.done === owner.attempt ||
    (member.stopped === owner.attempt && rules.stoppedIsNotSealed);
  if (mayHaveStarted && rules.sealBeforeRunningAgain) {
    return [
      {
        label: `agent ${m} may have started: unknown`,
        next: {
          ...withOwner(admit(state, o, m), o, {phase: 'ended'}),
          outcome: 'unknown',
        },
      },
    ];
  }
  const sealed = withMember(admit(state, o, m), m, {
    reserved: 0,
    running: 0,
    sealed: Math.max(member.sealed, owner.attempt),
  });
  return [
    {
      label: `agent ${m} seals attempt ${owner.attempt}`,
      next: withOwner(sealed, o, {
        acks: owner.acks.map((a, i) => a || i === m),
      }),
    },
  ];
}

function afterSealed(
  state: GangState,
  o: number,
  rules: GangRules,
): Step<GangState>[] {
  if (!state.owners[o].acks.every(Boolean) && rules.sealBeforeRunningAgain)
    return [];
  return [
    {
      label: `owner ${o} may run it again`,
      next: withOwner(state, o, {
        phase: 'free',
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
    if (rules.leasesEnd)
      steps.push({
        label: `the lease at agent ${m} lapses`,
        next: withMember(state, m, {
          running: 0,
          stopped: member.running,
          sealed: Math.max(member.sealed, member.running),
        }),
      });
  }
  if (member.reserved > 0) {
    steps.push({
      label: `the reservation at agent ${m} lapses`,
      next: withMember(state, m, {
        reserved: 0,
        sealed: Math.max(member.sealed, member.reserved),
      }),
    });
  }
  if (state.crashes < 1) {
    steps.push({
      label: `agent ${m} restarts`,
      next: {
        ...withMember(state, m, {...FREE, life: member.life + 1}),
        crashes: 1,
      },
    });
  }
  const free = member.reserved === 0 && member.running === 0 && !member.other;
  if (free)
    steps.push({
      label: `the second gang takes agent ${m}`,
      next: withMember(state, m, {other: true}),
    });
  if (member.other)
    steps.push({
      label: `the second gang leaves agent ${m}`,
      next: withMember(state, m, {other: false}),
    });
  return steps;
}
