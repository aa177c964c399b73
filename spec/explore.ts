/**
 * Exhaustive breadth-first exploration of a model. This search takes seconds for the
 * larger models, for which xstate/graph takes minutes. The configuration model is
 * explored with both, and their state counts must agree.
 */

/** A transition that is enabled in a state. */
export interface Step<S> {
  readonly label: string;
  readonly next: S;
}

/** A predicate over states. */
export interface Predicate<S> {
  readonly name: string;
  holds(state: S): boolean;
}

/** A model: its initial state, its transitions and the properties to check. */
export interface Model<S> {
  readonly name: string;
  readonly initial: S;
  steps(state: S): Step<S>[];
  /** Returns the same key for equivalent states. Defaults to the JSON of the state. */
  keyOf?(state: S): string;
  /** Must hold in every state. */
  readonly invariants: readonly Predicate<S>[];
  /** Each must hold in at least one state, so that a model without behaviour fails. */
  readonly goals: readonly Predicate<S>[];
  /** Each must hold in a state that is reachable from every state. */
  readonly alwaysReachable?: readonly Predicate<S>[];
}

/** Shortest trace to a state that violates an invariant. */
export interface Violation {
  readonly invariant: string;
  readonly trace: readonly string[];
}

export interface Exploration {
  readonly states: number;
  readonly depth: number;
  readonly violation?: Violation;
  /** Names of the goals that hold in no explored state. */
  readonly unreached: readonly string[];
}

interface Visit {
  readonly parent: number;
  readonly label: string;
  readonly depth: number;
}

/** Steps between visited states. Recorded only for models with `alwaysReachable`. */
class StepGraph {
  private readonly from: number[] = [];
  private readonly to: number[] = [];

  add(from: number, to: number): void {
    this.from.push(from);
    this.to.push(to);
  }

  /** Returns the first state that reaches none of the targets, or -1. */
  firstDeadEnd(states: number, targets: readonly number[]): number {
    const reachesTarget = new Uint8Array(states);
    for (const target of targets) reachesTarget[target] = 1;
    // Most steps lead to states with higher numbers, so few backward passes are needed.
    for (let changed = true; changed;) {
      changed = false;
      for (let i = this.from.length - 1; i >= 0; i--) {
        if (reachesTarget[this.from[i]] || !reachesTarget[this.to[i]]) continue;
        reachesTarget[this.from[i]] = 1;
        changed = true;
      }
    }
    return reachesTarget.indexOf(0);
  }
}

/** Explores all states, or stops at the first one that violates an invariant. */
export function explore<S>(model: Model<S>): Exploration {
  const keyOf = (state: S): string =>
    model.keyOf?.(state) ?? JSON.stringify(state);
  const seen = new Map<string, number>([[keyOf(model.initial), 0]]);
  const visits: Visit[] = [{parent: -1, label: 'start', depth: 0}];
  let frontier: {state: S; visit: number}[] = [
    {state: model.initial, visit: 0},
  ];
  const unreached = new Set(model.goals);
  const reachable = model.alwaysReachable ?? [];
  const targets = reachable.map((): number[] => []);
  const graph = new StepGraph();
  while (frontier.length > 0) {
    const next: typeof frontier = [];
    for (const {state, visit} of frontier) {
      const violated = model.invariants.find(i => !i.holds(state));
      if (violated) {
        const trace = labelsTo(visits, visit);
        return {
          ...summarise(seen.size, visits, unreached),
          violation: {invariant: violated.name, trace},
        };
      }
      for (const goal of unreached)
        if (goal.holds(state)) unreached.delete(goal);
      reachable.forEach((r, i) => {
        if (r.holds(state)) targets[i].push(visit);
      });
      for (const step of model.steps(state)) {
        const key = keyOf(step.next);
        const known = seen.get(key);
        if (reachable.length > 0) graph.add(visit, known ?? visits.length);
        if (known !== undefined) continue;
        seen.set(key, visits.length);
        next.push({state: step.next, visit: visits.length});
        visits.push({
          parent: visit,
          label: step.label,
          depth: visits[visit].depth + 1,
        });
      }
    }
    frontier = next;
  }
  const result = summarise(seen.size, visits, unreached);
  for (const [i, {name}] of reachable.entries()) {
    const deadEnd = graph.firstDeadEnd(visits.length, targets[i]);
    if (deadEnd < 0) continue;
    const trace = labelsTo(visits, deadEnd);
    return {...result, violation: {invariant: name, trace}};
  }
  return result;
}

function summarise<S>(
  states: number,
  visits: readonly Visit[],
  unreached: ReadonlySet<Predicate<S>>,
): Exploration {
  return {
    states,
    depth: visits.at(-1)!.depth,
    unreached: [...unreached].map(g => g.name),
  };
}

function labelsTo(visits: readonly Visit[], visit: number): string[] {
  const trace: string[] = [];
  for (let current = visit; current > 0; current = visits[current].parent)
    trace.unshift(visits[current].label);
  return trace;
}
