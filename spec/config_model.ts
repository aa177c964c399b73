/**
 * Model of concurrent edits of a table. A write or its reply may be lost. The table
 * service may have an outage. A gate may restart during the outage and receive the newest
 * version from an agent.
 */
import {type Model, type Step} from './explore.js';

export interface ConfigRules {
  /** The write of an edit is conditional on the version that it is based on. */
  readonly editsAreConditional: boolean;
  /** An edit is accepted only after its commit is confirmed. */
  readonly acceptOnlyCommitted: boolean;
  /** A process adopts only higher versions. */
  readonly adoptOnlyNewer: boolean;
}

export const CONFIG_RULES: ConfigRules = {
  editsAreConditional: true,
  acceptOnlyCommitted: true,
  adoptOnlyNewer: true,
};

interface Operator {
  readonly phase:
    'idle' | 'editing' | 'unconfirmed' | 'accepted' | 'refused' | 'unknown';
  /** Version that the edit is based on. */
  readonly base: number;
}

export interface ConfigState {
  /** Operators whose edits are stored, in order. The length is the table version. */
  readonly stored: readonly number[];
  readonly storeUp: boolean;
  readonly operators: readonly Operator[];
  /** Version in force at two gates and one agent. */
  readonly inForce: readonly number[];
  /** Highest version in force at each since its last restart. */
  readonly highest: readonly number[];
  readonly outages: number;
  readonly lostMessages: number;
  readonly restarts: number;
}

const AGENT_INDEX = 2;
const MAX_VERSION = 3;

export function makeConfigModel(rules: ConfigRules): Model<ConfigState> {
  return {
    name: 'configuration',
    initial: {
      stored: [],
      storeUp: true,
      operators: [
        {phase: 'idle', base: 0},
        {phase: 'idle', base: 0},
        {phase: 'idle', base: 0},
      ],
      inForce: [0, 0, 0],
      highest: [0, 0, 0],
      outages: 0,
      lostMessages: 0,
      restarts: 0,
    },
    steps: state => [
      ...faultSteps(state),
      ...state.operators.flatMap((op, i) => operatorSteps(state, i, rules)),
      ...[0, 1].flatMap(g => followSteps(state, g, rules)),
      ...offerSteps(state, rules),
    ],
    invariants: [
      {
        name: 'an accepted edit is never lost',
        holds: s =>
          s.operators.every(
            (op, i) => op.phase !== 'accepted' || s.stored.includes(i),
          ),
      },
      {
        name: 'a refused edit is not in force',
        holds: s =>
          s.operators.every(
            (op, i) => op.phase !== 'refused' || !s.stored.includes(i),
          ),
      },
      {
        name: 'no version ever decreases',
        holds: s => s.inForce.every((v, i) => v === s.highest[i]),
      },
      {
        name: 'each accepted edit is based on the newest version',
        holds: s =>
          s.operators.every(
            (op, i) => op.phase !== 'accepted' || s.stored[op.base] === i,
          ),
      },
    ],
    goals: [
      {
        name: 'three edits are accepted',
        holds: s => s.operators.every(op => op.phase === 'accepted'),
      },
      {
        name: 'an edit is refused',
        holds: s => s.operators.some(op => op.phase === 'refused'),
      },
      {
        name: 'the newest version is in force everywhere',
        holds: s =>
          s.stored.length === MAX_VERSION &&
          s.inForce.every(v => v === MAX_VERSION),
      },
      {
        name: 'a gate adopts a version during the outage',
        holds: s => !s.storeUp && s.restarts === 1 && s.inForce[0] > 0,
      },
    ],
  };
}

function faultSteps(state: ConfigState): Step<ConfigState>[] {
  const steps: Step<ConfigState>[] = [];
  if (state.storeUp && state.outages < 1)
    steps.push({
      label: 'outage begins',
      next: {...state, storeUp: false, outages: 1},
    });
  if (!state.storeUp)
    steps.push({label: 'outage ends', next: {...state, storeUp: true}});
  if (state.restarts < 1) {
    const resetFirst = (list: readonly number[]) =>
      list.map((v, i) => (i === 0 ? 0 : v));
    steps.push({
      label: 'gate 0 restarts with empty memory',
      next: {
        ...state,
        inForce: resetFirst(state.inForce),
        highest: resetFirst(state.highest),
        restarts: 1,
      },
    });
  }
  return steps;
}

function withOperator(
  state: ConfigState,
  i: number,
  change: Partial<Operator>,
): ConfigState {
  return {
    ...state,
    operators: state.operators.map((op, j) =>
      i === j ? {...op, ...change} : op,
    ),
  };
}

function operatorSteps(
  state: ConfigState,
  i: number,
  rules: ConfigRules,
): Step<ConfigState>[] {
  const op = state.operators[i];
  if (op.phase === 'idle' && state.storeUp) {
    return [
      {
        label: `operator ${i} reads version ${state.stored.length}`,
        next: withOperator(state, i, {
          phase: 'editing',
          base: state.stored.length,
        }),
      },
    ];
  }
  if (op.phase === 'editing') return writeSteps(state, i, rules);
  if (op.phase === 'unconfirmed') return readBackSteps(state, i);
  return [];
}

function writeSteps(
  state: ConfigState,
  i: number,
  rules: ConfigRules,
): Step<ConfigState>[] {
  if (!state.storeUp)
    return [
      {
        label: `operator ${i} cannot write`,
        next: withOperator(state, i, {phase: 'unknown'}),
      },
    ];
  const matches = state.stored.length === state.operators[i].base;
  if (!matches && rules.editsAreConditional) {
    return [
      {
        label: `operator ${i} receives 412`,
        next: withOperator(state, i, {phase: 'refused'}),
      },
    ];
  }
  const base = state.operators[i].base;
  const stored = matches
    ? [...state.stored, i]
    : [...state.stored.slice(0, base), i];
  const steps: Step<ConfigState>[] = [
    {
      label: `operator ${i} writes version ${stored.length}`,
      next: {...withOperator(state, i, {phase: 'accepted'}), stored},
    },
  ];
  if (state.lostMessages >= 1) return steps;
  steps.push({
    label: `operator ${i} writes, but the reply is lost`,
    next: {
      ...withOperator(state, i, {phase: 'unconfirmed'}),
      stored,
      lostMessages: 1,
    },
  });
  const phase = rules.acceptOnlyCommitted ? 'unconfirmed' : 'accepted';
  steps.push({
    label: `the write of operator ${i} is lost`,
    next: {...withOperator(state, i, {phase}), lostMessages: 1},
  });
  return steps;
}

/** Reads the table back to find out whether it contains the operator's edit. */
function readBackSteps(state: ConfigState, i: number): Step<ConfigState>[] {
  if (!state.storeUp) return [];
  if (state.stored.includes(i))
    return [
      {
        label: `operator ${i} finds its edit`,
        next: withOperator(state, i, {phase: 'accepted'}),
      },
    ];
  return [
    {
      label: `operator ${i} does not find its edit and writes again`,
      next: withOperator(state, i, {phase: 'editing'}),
    },
  ];
}

function adoptSteps(
  state: ConfigState,
  i: number,
  version: number,
  rules: ConfigRules,
  label: string,
): Step<ConfigState>[] {
  if (
    version === state.inForce[i] ||
    (rules.adoptOnlyNewer && version < state.inForce[i])
  )
    return [];
  const inForce = state.inForce.map((v, j) => (i === j ? version : v));
  const highest = state.highest.map((v, j) =>
    i === j ? Math.max(v, version) : v,
  );
  return [{label, next: {...state, inForce, highest}}];
}

function followSteps(
  state: ConfigState,
  g: number,
  rules: ConfigRules,
): Step<ConfigState>[] {
  if (!state.storeUp) return [];
  return adoptSteps(
    state,
    g,
    state.stored.length,
    rules,
    `gate ${g} reads version ${state.stored.length}`,
  );
}

/** Gates send their version to the agent, and the agent offers its version to gates. */
function offerSteps(
  state: ConfigState,
  rules: ConfigRules,
): Step<ConfigState>[] {
  return [0, 1].flatMap(g => [
    ...adoptSteps(
      state,
      AGENT_INDEX,
      state.inForce[g],
      rules,
      `gate ${g} sends version ${state.inForce[g]} to the agent`,
    ),
    ...adoptSteps(
      state,
      g,
      state.inForce[AGENT_INDEX],
      rules,
      `the agent offers version ${state.inForce[AGENT_INDEX]} to gate ${g}`,
    ),
  ]);
}
