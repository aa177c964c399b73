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
  /** Must hold in every state. */
  readonly invariants: readonly Predicate<S>[];
  /** Each must hold in some state, so that an empty model can't pass. */
  readonly goals: readonly Predicate<S>[];
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

/** Explores all states, or stops at the first one that breaks an invariant. */
export function explore<S>(model: Model<S>): Exploration {
  const seen = new Set<string>([JSON.stringify(model.initial)]);
  const visits: Visit[] = [{parent: -1, label: 'start', depth: 0}];
  let frontier: {state: S; visit: number}[] = [
    {state: model.initial, visit: 0},
  ];
  const unreached = new Set(model.goals);
  while (frontier.length > 0) {
    const next: typeof frontier = [];
    for (const {state, visit} of frontier) {
      const broken = model.invariants.find(i => !i.holds(state));
      if (broken)
        return {
          ...summary(seen, visits, unreached),
          violation: {invariant: broken.name, trace: traceTo(visits, visit)},
        };
      for (const goal of unreached)
        if (goal.holds(state)) unreached.delete(goal);
      for (const step of model.steps(state)) {
        const key = JSON.stringify(step.next);
        if (seen.has(key)) continue;
        seen.add(key);
        visits.push({
          parent: visit,
          label: step.label,
          depth: visits[visit].depth + 1,
        });
        next.push({state: step.next, visit: visits.length - 1});
      }
    }
    frontier = next;
  }
  return summary(seen, visits, unreached);
}

function summary<S>(
  seen: ReadonlySet<string>,
  visits: readonly Visit[],
  unreached: ReadonlySet<Predicate<S>>,
): Exploration {
  return {
    states: seen.size,
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
