/**
 * Racing edits of a table, lost answers, an outage, and a gate that starts with the
 * table service down and learns the newest version from an agent.
 */
import {type Model, type Step} from './explore.js';

export interface ConfigRules {
  /** Edits are written on condition of the version that they were made on. */
  readonly editsAreConditional: boolean;
  /** An edit is accepted only once it is known to be committed. */
  readonly acceptOnlyCommitted: boolean;
  /** A process only ever moves to a higher version. */
  readonly onlyNewer: boolean;
}

export const CONFIG_RULES: ConfigRules = {
  editsAreConditional: true,
  acceptOnlyCommitted: true,
  onlyNewer: true,
};

interface Operator {
  readonly phase:
    'idle' | 'editing' | 'unsure' | 'accepted' | 'refused' | 'unknown';
  /** Version that the edit was made on. */
  readonly base: number;
}

export interface ConfigState {
  /** Edits in the table service, in order; the version is the length. */
  readonly stored: readonly number[];
  readonly up: boolean;
  readonly operators: readonly Operator[];
  /** Version in force at two gates and one agent. */
  readonly held: readonly number[];
  /** Highest version that each has ever held in this life. */
  readonly highest: readonly number[];
  readonly outages: number;
  readonly losses: number;
  readonly restarts: number;
}

const AGENT = 2;
const MAX_VERSION = 3;

export function makeConfigModel(rules: ConfigRules): Model<ConfigState> {
  return {
    name: 'configuration',
    initial: {
      stored: [],
      up: true,
      operators: [
        {phase: 'idle', base: 0},
        {phase: 'idle', base: 0},
        {phase: 'idle', base: 0},
      ],
      held: [0, 0, 0],
      highest: [0, 0, 0],
      outages: 0,
      losses: 0,
      restarts: 0,
    },
    steps: state => [
      ...faults(state),
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
        name: 'no version ever goes down',
        holds: s => s.held.every((v, i) => v === s.highest[i]),
      },
      {
        name: 'each edit is made on the newest version',
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
          s.held.every(v => v === MAX_VERSION),
      },
      {
        name: 'a gate learns a version while the service is down',
        holds: s => !s.up && s.restarts === 1 && s.held[0] > 0,
      },
    ],
  };
}

function faults(state: ConfigState): Step<ConfigState>[] {
  const steps: Step<ConfigState>[] = [];
  if (state.up && state.outages < 1)
    steps.push({
      label: 'outage begins',
      next: {...state, up: false, outages: 1},
    });
  if (!state.up) steps.push({label: 'outage ends', next: {...state, up: true}});
  if (state.restarts < 1) {
    const zero = (list: readonly number[]) =>
      list.map((v, i) => (i === 0 ? 0 : v));
    steps.push({
      label: 'gate 0 restarts with empty memory',
      next: {
        ...state,
        held: zero(state.held),
        highest: zero(state.highest),
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
  if (op.phase === 'idle' && state.up) {
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
  if (op.phase === 'unsure') return resolveSteps(state, i);
  return [];
}

function writeSteps(
  state: ConfigState,
  i: number,
  rules: ConfigRules,
): Step<ConfigState>[] {
  if (!state.up)
    return [
      {
        label: `operator ${i} can't write`,
        next: withOperator(state, i, {phase: 'unknown'}),
      },
    ];
  const matches = state.stored.length === state.operators[i].base;
  if (!matches && rules.editsAreConditional) {
    return [
      {
        label: `operator ${i} is told 412`,
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
  if (state.losses >= 1) return steps;
  steps.push({
    label: `operator ${i} writes, the answer is lost`,
    next: {...withOperator(state, i, {phase: 'unsure'}), stored, losses: 1},
  });
  const phase = rules.acceptOnlyCommitted ? 'unsure' : 'accepted';
  steps.push({
    label: `operator ${i}'s write is lost on its way`,
    next: {...withOperator(state, i, {phase}), losses: 1},
  });
  return steps;
}

/** The gate reads back whether the edit with its id is there. */
function resolveSteps(state: ConfigState, i: number): Step<ConfigState>[] {
  if (!state.up) return [];
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

function adopt(
  state: ConfigState,
  i: number,
  version: number,
  rules: ConfigRules,
  label: string,
): Step<ConfigState>[] {
  if (version === state.held[i] || (rules.onlyNewer && version < state.held[i]))
    return [];
  const held = state.held.map((v, j) => (i === j ? version : v));
  const highest = state.highest.map((v, j) =>
    i === j ? Math.max(v, version) : v,
  );
  return [{label, next: {...state, held, highest}}];
}

function followSteps(
  state: ConfigState,
  g: number,
  rules: ConfigRules,
): Step<ConfigState>[] {
  if (!state.up) return [];
  return adopt(
    state,
    g,
    state.stored.length,
    rules,
    `gate ${g} reads version ${state.stored.length}`,
  );
}

/** Gates push to the agent; the agent offers what it holds to gates. */
function offerSteps(
  state: ConfigState,
  rules: ConfigRules,
): Step<ConfigState>[] {
  return [0, 1].flatMap(g => [
    ...adopt(
      state,
      AGENT,
      state.held[g],
      rules,
      `gate ${g} sends version ${state.held[g]} to the agent`,
    ),
    ...adopt(
      state,
      g,
      state.held[AGENT],
      rules,
      `the agent offers version ${state.held[AGENT]} to gate ${g}`,
    ),
  ]);
}
