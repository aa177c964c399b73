/** Explores every model as specified and with each rule weakened in turn. */
import {fromTransition} from 'xstate';
import {getAdjacencyMap} from 'xstate/graph';
import {CLAIM_RULES, type ClaimRules, makeClaimModel} from './claim_model.js';
import {
  CONFIG_RULES,
  type ConfigRules,
  type ConfigState,
  makeConfigModel,
} from './config_model.js';
import {type Model, explore} from './explore.js';
import {GANG_RULES, type GangRules, makeGangModel} from './gang_model.js';
import {RUN_RULES, type RunRules, makeRunModel} from './run_model.js';
import {
  WORKER_LIFE_RULES,
  type WorkerLifeRules,
  makeWorkerLifeModel,
} from './worker_life_model.js';

/** Result for one model, as specified or with one rule weakened. */
export interface ModelReport {
  readonly model: string;
  /** Name of the weakened rule. Undefined for the model as specified. */
  readonly weakened?: string;
  readonly states: number;
  readonly depth: number;
  readonly passed: boolean;
  readonly detail: string;
}

/** Checks all models. Each weakened rule must lead to a violation. */
export function checkModels(): ModelReport[] {
  return [
    ...checkWithWeakenedRules(CLAIM_RULES, (rules: ClaimRules) =>
      makeClaimModel(rules),
    ),
    ...checkWithWeakenedRules(GANG_RULES, (rules: GangRules) =>
      makeGangModel(rules),
    ),
    ...checkWithWeakenedRules(RUN_RULES, (rules: RunRules) =>
      makeRunModel(rules),
    ),
    ...checkWithWeakenedRules(WORKER_LIFE_RULES, (rules: WorkerLifeRules) =>
      makeWorkerLifeModel(rules),
    ),
    ...checkWithWeakenedRules(CONFIG_RULES, (rules: ConfigRules) =>
      makeConfigModel(rules),
    ),
    checkAgainstXstate(),
  ];
}

/** Explores larger state spaces than `checkModels`, with all rules only. */
export function checkLargeModels(): ModelReport[] {
  const run = makeRunModel(RUN_RULES, {leaders: 3, faults: 1});
  const fourFaults = makeWorkerLifeModel(WORKER_LIFE_RULES, {
    faults: 4,
    runsOnWorker: 1,
  });
  const twoRuns = makeWorkerLifeModel(WORKER_LIFE_RULES, {
    faults: 3,
    runsOnWorker: 2,
  });
  return [
    checkSpecified({...run, name: 'run, 3 leaders, 1 fault'}),
    checkSpecified({...fourFaults, name: 'worker life, 4 faults'}),
    checkSpecified({...twoRuns, name: 'worker life, 2 runs'}),
  ];
}

function checkWithWeakenedRules<R extends object, S>(
  rules: R,
  makeModel: (rules: R) => Model<S>,
): ModelReport[] {
  const weakened = Object.keys(rules).map(rule =>
    checkWeakened(makeModel({...rules, [rule]: false}), rule),
  );
  return [checkSpecified(makeModel(rules)), ...weakened];
}

function checkSpecified<S>(model: Model<S>): ModelReport {
  const {states, depth, violation, unreached} = explore(model);
  const detail = violation
    ? `violates "${violation.invariant}": ${violation.trace.join('; ')}`
    : unreached.length > 0
      ? `goals not reached: ${unreached.join('; ')}`
      : `${model.invariants.length} invariants hold, ${model.goals.length} goals reached`;
  return {
    model: model.name,
    states,
    depth,
    passed: !violation && unreached.length === 0,
    detail,
  };
}

function checkWeakened<S>(model: Model<S>, rule: string): ModelReport {
  const {states, depth, violation} = explore(model);
  const detail = violation
    ? `caught: "${violation.invariant}" after ${violation.trace.length} steps: ${violation.trace.join('; ')}`
    : 'not caught';
  return {
    model: model.name,
    weakened: rule,
    states,
    depth,
    passed: violation !== undefined,
    detail,
  };
}

/** Compares the state count of the configuration model with that of xstate/graph. */
function checkAgainstXstate(): ModelReport {
  const model = makeConfigModel(CONFIG_RULES);
  const explored = explore(model);
  const logic = fromTransition(
    (state: ConfigState, event: {type: string}) =>
      model.steps(state).find(step => step.label === event.type)?.next ?? state,
    model.initial,
  );
  const map = getAdjacencyMap(logic, {
    events: state =>
      model.steps(state.context).map(step => ({type: step.label})),
    serializeState: state => JSON.stringify(state.context),
    limit: Infinity,
  });
  const states = Object.keys(map).length;
  return {
    model: 'configuration by xstate/graph',
    states,
    depth: explored.depth,
    passed: states === explored.states,
    detail: `breadth-first search found ${explored.states} states`,
  };
}
