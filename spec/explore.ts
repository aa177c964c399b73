/**
 * Exhaustive breadth-first exploration of a model. A plain search is used for the
 * larger models, since xstate/graph needs minutes where this needs seconds; the
 * configuration model is explored by both, and the counts must agree.
 */

/** One step that is possible in a state. */
export interface Step<S> {
  readonly label: string;
  readonly next: S;
}

/** A predicate over states. */
export interface Predicate<S> {
  readonly name: string;
  holds(state: S): boolean;
}

/** A small specification. */
export interface Model<S> {
  readonly name: string;
  readonly initial: S;
  steps(state: S): Step<S>[];
  /** Equal for states that need not be told apart; JSON when absent. */
  keyOf?(state: S): string;
  /** Must hold in every state. */
  readonly invariants: readonly Predicate<S>[];
  /** Each must hold in some state, so that an empty model can't pass. */
  readonly goals: readonly Predicate<S>[];
  /** From every state, some later state must hold each of these. */
  readonly alwaysReachable?: readonly Predicate<S>[];
}

/** Shortest way to a state that breaks an invariant. */
export interface Violation {
  readonly invariant: string;
  readonly trace: readonly string[];
}

export interface Exploration {
  readonly states: number;
  readonly depth: number;
  readonly violation?: Violation;
  /** Goals that no state reached. */
  readonly unreached: readonly string[];
}

interface Visit {
  readonly parent: number;
  readonly label: string;
  readonly depth: number;
}

/** Steps between visited states, kept for models that ask what stays reachable. */
class StepGraph {
  private readonly from: number[] = [];
  private readonly to: number[] = [];

  add(from: number, to: number): void {
    this.from.push(from);
    this.to.push(to);
  }

  /** First state from which none of the targets can be reached; -1 when there is none. */
  firstDeadEnd(states: number, targets: readonly number[]): number {
    const leads = new Uint8Array(states);
    for (const target of targets) leads[target] = 1;
    // Most steps lead to later states, so a few passes from the back are enough.
    for (let changed = true; changed;) {
      changed = false;
      for (let i = this.from.length - 1; i >= 0; i--) {
        if (leads[this.from[i]] || !leads[this.to[i]]) continue;
        leads[this.from[i]] = 1;
        changed = true;
      }
    }
    return leads.indexOf(0);
  }
}

/** Explores all states, or stops at the first one that breaks an invariant. */
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
      const broken = model.invariants.find(i => !i.holds(state));
      if (broken) {
        const trace = traceTo(visits, visit);
        return {
          ...summary(seen.size, visits, unreached),
          violation: {invariant: broken.name, trace},
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
  const done = summary(seen.size, visits, unreached);
  for (const [i, {name}] of reachable.entries()) {
    const deadEnd = graph.firstDeadEnd(visits.length, targets[i]);
    if (deadEnd < 0) continue;
    const trace = traceTo(visits, deadEnd);
    return {...done, violation: {invariant: name, trace}};
  }
  return done;
}

function summary<S>(
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

function traceTo(visits: readonly Visit[], visit: number): string[] {
  const trace: string[] = [];
  for (let at = visit; at > 0; at = visits[at].parent)
    trace.unshift(visits[at].label);
  return trace;
}
