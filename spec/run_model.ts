/**
 * Run records, orders, leases and takeover, for one task of a job, two workers and two
 * holders of the seat. The second holder takes the seat at any moment; the first may go
 * on without knowing. Writes and starts may be carried out late, or never.
 */
import {type Model, type Step} from './explore.js';

export interface RunRules {
  /** A start is ordered only once its record is committed. */
  readonly recordBeforeOrder: boolean;
  /** The store takes writes of the newest holder only. */
  readonly commitsAreFenced: boolean;
  /** A successor takes recorded runs for runs that may go on. */
  readonly recordedRunsAreAdopted: boolean;
  /** An end is acknowledged only once it is committed. */
  readonly acknowledgeAfterCommit: boolean;
  /** Agents refuse orders of an epoch below the highest that they have heard of. */
  readonly agentsObeyHighestEpoch: boolean;
  /** A silent worker's run is given up only once its lease has surely run out. */
  readonly silenceOutlastsLease: boolean;
  /** A holder that can't commit extends no leases. */
  readonly staleHolderExtendsNothing: boolean;
  /** A start without an answer is barred on its worker before it counts as refused. */
  readonly stopBarsLateStart: boolean;
  /** An order that was lost is given again; the run does not count as ended. */
  readonly lostOrderIsNoEnd: boolean;
  /** Orders name the incarnation of the worker that they are meant for. */
  readonly ordersNameIncarnation: boolean;
  /** Each placing has a higher number than all before it. */
  readonly runNumbersGrow: boolean;
  /** The run of a worker that was replaced or given up is placed again. */
  readonly lostRunsAreRepeated: boolean;
}

export const RUN_RULES: RunRules = {
  recordBeforeOrder: true,
  commitsAreFenced: true,
  recordedRunsAreAdopted: true,
  acknowledgeAfterCommit: true,
  agentsObeyHighestEpoch: true,
  silenceOutlastsLease: true,
  staleHolderExtendsNothing: true,
  stopBarsLateStart: true,
  lostOrderIsNoEnd: true,
  ordersNameIncarnation: true,
  runNumbersGrow: true,
  lostRunsAreRepeated: true,
};

export const Phase = {
  WAITING: 'waiting',
  PLACED: 'placed',
  DONE: 'done',
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

/** What a record tells of the task. */
export interface RecordState {
  readonly phase: Phase;
  readonly run: number;
  /** Worker of a placed run, and its incarnation. */
  readonly worker: number;
  readonly born: number;
}

export interface HolderState {
  readonly leads: boolean;
  readonly belief: RecordState;
  /** The belief is committed. */
  readonly isCommitted: boolean;
  /** Write on its way to the store. */
  readonly write: RecordState | null;
}

/** Holders that a worker's agent reaches. */
export const Reach = {
  ALL: 'all',
  FIRST: 'first',
  NONE: 'none',
} as const;
type Reach = (typeof Reach)[keyof typeof Reach];

export interface EndState {
  readonly run: number;
  readonly isDone: boolean;
  /** The task was started again after this end. */
  readonly isRepeated: boolean;
}

export interface WorkerState {
  readonly born: number;
  /** Number of the run that goes on; 0 when none does. */
  readonly running: number;
  /** Starts up to this number are refused. */
  readonly barred: number;
  /** Highest epoch that the agent has heard of. */
  readonly epoch: number;
  /** Newest end that is not acknowledged. */
  readonly end: EndState | null;
  readonly reach: Reach;
  /** The silence bound has passed since the agent last reached the newest holder. */
  readonly isSilent: boolean;
}

export interface StartState {
  readonly epoch: number;
  readonly run: number;
  readonly worker: number;
  readonly born: number;
}

export interface RunModelState {
  /** Epoch in the seat's row. */
  readonly seat: number;
  readonly row: RecordState;
  readonly holders: readonly HolderState[];
  readonly workers: readonly WorkerState[];
  /** Starts on their way. */
  readonly starts: readonly StartState[];
  readonly faults: number;
  /** Some run ended well. */
  readonly wasDone: boolean;
  /** An acknowledged good end was followed by a start. */
  readonly startedAfterDone: boolean;
  readonly acknowledgedDone: boolean;
}

/** Faults in one history, the takeover aside. */
const MAX_FAULTS = 2;
const LAST_HOLDER = 1;
const NO_WORKER = -1;
const BOTH: readonly number[] = [0, 1];

const WAITING: RecordState = {
  phase: Phase.WAITING,
  run: 0,
  worker: NO_WORKER,
  born: 0,
};
const NEW_WORKER: WorkerState = {
  born: 0,
  running: 0,
  barred: 0,
  epoch: 0,
  end: null,
  reach: Reach.ALL,
  isSilent: false,
};
const NO_HOLDER: HolderState = {
  leads: false,
  belief: WAITING,
  isCommitted: true,
  write: null,
};

export function makeRunModel(rules: RunRules): Model<RunModelState> {
  return {
    name: 'run',
    initial: {
      seat: 1,
      row: WAITING,
      holders: [{...NO_HOLDER, leads: true}, NO_HOLDER],
      workers: [NEW_WORKER, NEW_WORKER],
      starts: [],
      faults: 0,
      wasDone: false,
      startedAfterDone: false,
      acknowledgedDone: false,
    },
    steps: state => [
      ...takeover(state, rules),
      ...BOTH.flatMap(h => holderSteps(state, h, rules)),
      ...state.starts.flatMap(start => deliver(state, start, rules)),
      ...BOTH.flatMap(w => workerSteps(state, w, rules)),
    ],
    // The workers are alike, so states that differ only in their names are one.
    keyOf: state => {
      const key = keyWithWorkers(state, [0, 1]);
      const swapped = keyWithWorkers(state, [1, 0]);
      return key < swapped ? key : swapped;
    },
    invariants: [
      {
        name: 'a task never runs twice at one time',
        holds: s => !s.workers.every(w => w.running > 0),
      },
      {
        name: 'nothing starts after an acknowledged good end',
        holds: s => !s.startedAfterDone,
      },
      {
        name: 'whatever runs is in the records',
        holds: s => s.workers.every(w => w.running <= s.row.run),
      },
      {
        name: 'done is recorded only after a good end',
        holds: s => s.row.phase !== Phase.DONE || s.wasDone,
      },
    ],
    goals: [
      {name: 'the task is done', holds: s => s.row.phase === Phase.DONE},
      {
        name: 'it is done by the successor after a third run',
        holds: s =>
          s.row.phase === Phase.DONE && s.seat === 2 && s.row.run >= 3,
      },
      {
        name: 'a good end is acknowledged',
        holds: s => s.acknowledgedDone,
      },
    ],
    alwaysReachable: [
      {
        name: 'the task can still be done',
        holds: s => s.row.phase === Phase.DONE,
      },
    ],
  };
}

/** A short text of the state, with the workers in an order. */
function keyWithWorkers(
  state: RunModelState,
  order: readonly number[],
): string {
  const record = (r: RecordState | null): string =>
    r ? `${r.phase[0]}${r.run}@${order[r.worker] ?? ''}.${r.born}` : '-';
  const holders = state.holders.map(
    h =>
      `${Number(h.leads)}${record(h.belief)}${Number(h.isCommitted)}${record(h.write)}`,
  );
  const workers = order.map(w => {
    const {born, running, barred, epoch, end, reach, isSilent} =
      state.workers[w];
    const ended = end
      ? `${end.run}${Number(end.isDone)}${Number(end.isRepeated)}`
      : '-';
    return `${born},${running},${barred},${epoch},${ended}${reach[0]}${Number(isSilent)}`;
  });
  const starts = state.starts
    .map(s => `${s.epoch},${s.run},${order[s.worker]},${s.born}`)
    .sort();
  const {seat, faults, wasDone, startedAfterDone, acknowledgedDone} = state;
  const flags = [wasDone, startedAfterDone, acknowledgedDone].map(Number);
  return [
    seat,
    record(state.row),
    ...holders,
    ...workers,
    starts,
    faults,
    flags,
  ].join(' ');
}

function epochOf(holder: number): number {
  return holder + 1;
}

function withHolder(
  state: RunModelState,
  h: number,
  change: Partial<HolderState>,
): RunModelState {
  return {
    ...state,
    holders: state.holders.map((holder, i) =>
      i === h ? {...holder, ...change} : holder,
    ),
  };
}

function withWorker(
  state: RunModelState,
  w: number,
  change: Partial<WorkerState>,
): RunModelState {
  return {
    ...state,
    workers: state.workers.map((worker, i) =>
      i === w ? {...worker, ...change} : worker,
    ),
  };
}

/** Changes what a holder believes; a commit has to follow. */
function believe(
  state: RunModelState,
  h: number,
  change: Partial<RecordState>,
): RunModelState {
  const belief = {...state.holders[h].belief, ...change};
  return withHolder(state, h, {belief, isCommitted: false});
}

function unplace(state: RunModelState, h: number): RunModelState {
  return believe(state, h, {
    phase: Phase.WAITING,
    worker: NO_WORKER,
    born: 0,
  });
}

function takeover(
  state: RunModelState,
  rules: RunRules,
): Step<RunModelState>[] {
  if (state.seat === 2) return [];
  const adopted =
    rules.recordedRunsAreAdopted || state.row.phase !== Phase.PLACED
      ? state.row
      : {...state.row, phase: Phase.WAITING, worker: NO_WORKER, born: 0};
  const next = withHolder(state, 1, {leads: true, belief: adopted});
  return [{label: 'holder 1 takes the seat', next: {...next, seat: 2}}];
}

function holderSteps(
  state: RunModelState,
  h: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const holder = state.holders[h];
  const steps = commitSteps(state, h, rules);
  if (!holder.leads) return steps;
  if (holder.write === null) {
    if (holder.belief.phase === Phase.WAITING)
      steps.push(...placeSteps(state, h, rules));
    if (holder.belief.phase === Phase.PLACED)
      steps.push(...placedSteps(state, h, rules));
  }
  return steps.concat(BOTH.flatMap(w => acknowledgeSteps(state, h, w, rules)));
}

function commitSteps(
  state: RunModelState,
  h: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const {leads, belief, isCommitted, write} = state.holders[h];
  if (write === null) {
    if (!leads || isCommitted) return [];
    // Nobody succeeds the last holder, so its writes need not be late.
    if (h === LAST_HOLDER)
      return [{label: `holder ${h} commits`, next: commit(state, h, belief)}];
    const next = withHolder(state, h, {write: belief});
    return [{label: `holder ${h} writes`, next}];
  }
  if (state.seat !== epochOf(h) && rules.commitsAreFenced) {
    const next = withHolder(state, h, {write: null, leads: false});
    return [{label: `the write of holder ${h} is refused`, next}];
  }
  const next = commit(state, h, write);
  return [{label: `the write of holder ${h} is committed`, next}];
}

function commit(
  state: RunModelState,
  h: number,
  record: RecordState,
): RunModelState {
  const taken = {
    ...withHolder(state, h, {write: null, isCommitted: true}),
    row: record,
  };
  const isPlaced = record.phase === Phase.PLACED;
  return state.holders[h].leads && isPlaced ? order(taken, h) : taken;
}

/** Gives the order to start the run that the holder believes to be placed. */
function order(state: RunModelState, h: number): RunModelState {
  const {run, worker, born} = state.holders[h].belief;
  if (!reaches(state, h, worker)) return state;
  const start = {epoch: epochOf(h), run, worker, born};
  if (state.starts.some(s => isSame(s, start))) return state;
  return {...state, starts: [...state.starts, start].sort(compareStarts)};
}

function isSame(a: StartState, b: StartState): boolean {
  return compareStarts(a, b) === 0;
}

function compareStarts(a: StartState, b: StartState): number {
  return (
    a.epoch - b.epoch || a.run - b.run || a.worker - b.worker || a.born - b.born
  );
}

function placeSteps(
  state: RunModelState,
  h: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const {belief} = state.holders[h];
  return BOTH.filter(w => reaches(state, h, w)).map(w => {
    const placed = believe(state, h, {
      phase: Phase.PLACED,
      run: rules.runNumbersGrow ? belief.run + 1 : 1,
      worker: w,
      born: state.workers[w].born,
    });
    return {
      label: `holder ${h} places the task on worker ${w}`,
      next: rules.recordBeforeOrder ? placed : order(placed, h),
    };
  });
}

function reaches(state: RunModelState, h: number, w: number): boolean {
  const {reach, epoch} = state.workers[w];
  if (epoch > epochOf(h)) return false;
  return reach === Reach.ALL || (reach === Reach.FIRST && h === 0);
}

/** News of the placed run, or the lack of it. */
function placedSteps(
  state: RunModelState,
  h: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const {belief, isCommitted} = state.holders[h];
  const w = belief.worker;
  const worker = state.workers[w];
  if (!reaches(state, h, w)) {
    const hasSuccessor = state.seat > epochOf(h);
    if (!worker.isSilent && !hasSuccessor) return [];
    return repeatLost(state, h, rules, `holder ${h} gives worker ${w} up`);
  }
  if (worker.born > belief.born)
    return repeatLost(
      state,
      h,
      rules,
      `holder ${h} hears of a new worker ${w}`,
    );
  if (!isCommitted) return [];
  const {run} = belief;
  if (worker.end?.run === run) return hearEnd(state, h, worker.end);
  const steps = stopSteps(state, h, rules);
  if (worker.running === run) return steps;
  const isBarred = worker.barred >= run;
  const again = isBarred ? unplace(state, h) : order(state, h);
  const next = rules.lostOrderIsNoEnd ? again : unplace(state, h);
  if (next !== state)
    steps.push({label: `holder ${h} misses the run on worker ${w}`, next});
  return steps;
}

function repeatLost(
  state: RunModelState,
  h: number,
  rules: RunRules,
  label: string,
): Step<RunModelState>[] {
  return rules.lostRunsAreRepeated ? [{label, next: unplace(state, h)}] : [];
}

function hearEnd(
  state: RunModelState,
  h: number,
  end: EndState,
): Step<RunModelState>[] {
  const next = end.isDone
    ? believe(state, h, {phase: Phase.DONE, worker: NO_WORKER, born: 0})
    : unplace(state, h);
  return [{label: `holder ${h} hears that run ${end.run} ended`, next}];
}

/** A stop, for another job or for want of an answer to the start. */
function stopSteps(
  state: RunModelState,
  h: number,
  rules: RunRules,
): Step<RunModelState>[] {
  if (state.faults >= MAX_FAULTS) return [];
  const {run, worker: w} = state.holders[h].belief;
  const worker = state.workers[w];
  const paid = {...state, faults: state.faults + 1};
  const label = `holder ${h} stops run ${run} on worker ${w}`;
  if (worker.running === run) {
    const end = {run, isDone: false, isRepeated: false};
    return [{label, next: withWorker(paid, w, {running: 0, end})}];
  }
  const barred = rules.stopBarsLateStart
    ? Math.max(worker.barred, run)
    : worker.barred;
  const next = unplace(withWorker(paid, w, {barred}), h);
  return [{label, next}];
}

function acknowledgeSteps(
  state: RunModelState,
  h: number,
  w: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const {belief, isCommitted, write} = state.holders[h];
  const {end} = state.workers[w];
  const obeys =
    !rules.agentsObeyHighestEpoch || state.workers[w].epoch <= epochOf(h);
  if (!end || !obeys || state.workers[w].reach === Reach.NONE) return [];
  if (state.workers[w].reach === Reach.FIRST && h !== 0) return [];
  const isDurable = isCommitted && write === null;
  if (rules.acknowledgeAfterCommit && !isDurable) return [];
  const isPlacedThere =
    belief.phase === Phase.PLACED &&
    belief.worker === w &&
    belief.run === end.run;
  if (isPlacedThere) return [];
  const heard = withWorker(state, w, {
    end: null,
    epoch: Math.max(state.workers[w].epoch, epochOf(h)),
  });
  const next = {
    ...heard,
    acknowledgedDone: state.acknowledgedDone || end.isDone,
    startedAfterDone: state.startedAfterDone || (end.isDone && end.isRepeated),
  };
  return [{label: `holder ${h} acknowledges the end on worker ${w}`, next}];
}

/** A start is carried out, refused, or lost. */
function deliver(
  state: RunModelState,
  start: StartState,
  rules: RunRules,
): Step<RunModelState>[] {
  const {epoch, run, worker: w, born} = start;
  const lost: RunModelState = {
    ...state,
    starts: state.starts.filter(s => s !== start),
  };
  const steps = [{label: `a start of run ${run} is lost`, next: lost}];
  const worker = state.workers[w];
  const isMeant = worker.born === born || !rules.ordersNameIncarnation;
  const isFenced = rules.agentsObeyHighestEpoch && worker.epoch > epoch;
  const hasLease = !worker.isSilent || !rules.staleHolderExtendsNothing;
  const isFree = worker.running === 0 && worker.barred < run;
  if (!isMeant || isFenced || !hasLease || !isFree) return steps;
  const started = withWorker(lost, w, {
    running: run,
    barred: run,
    epoch: Math.max(worker.epoch, epoch),
  });
  steps.push({
    label: `worker ${w} starts run ${run}`,
    next: {
      ...started,
      startedAfterDone: state.startedAfterDone || state.acknowledgedDone,
      workers: started.workers.map(other =>
        other.end ? {...other, end: {...other.end, isRepeated: true}} : other,
      ),
    },
  });
  return steps;
}

function workerSteps(
  state: RunModelState,
  w: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const worker = state.workers[w];
  const steps: Step<RunModelState>[] = [];
  if (worker.running > 0) steps.push(...endSteps(state, w));
  if (worker.reach !== Reach.ALL) steps.push(...cutSteps(state, w, rules));
  if (state.faults >= MAX_FAULTS) return steps;
  const paid = {...state, faults: state.faults + 1};
  steps.push({
    label: `worker ${w} restarts`,
    next: withWorker(paid, w, {
      born: worker.born + 1,
      running: 0,
      barred: 0,
      end: null,
    }),
  });
  if (worker.reach === Reach.ALL)
    for (const reach of [Reach.FIRST, Reach.NONE])
      steps.push({
        label: `worker ${w} reaches ${reach}`,
        next: withWorker(paid, w, {reach}),
      });
  return steps;
}

function endSteps(state: RunModelState, w: number): Step<RunModelState>[] {
  const {running: run} = state.workers[w];
  const end = {run, isDone: true, isRepeated: false};
  const next = withWorker(state, w, {running: 0, end});
  return [
    {
      label: `run ${run} on worker ${w} is done`,
      next: {...next, wasDone: true},
    },
  ];
}

/** A worker that is cut off lapses, falls silent, and is reached again. */
function cutSteps(
  state: RunModelState,
  w: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const worker = state.workers[w];
  const steps = [
    {
      // Leases are extended again only by the newest holder, whose epoch is heard then.
      label: `worker ${w} is reached again`,
      next: withWorker(state, w, {
        reach: Reach.ALL,
        isSilent: false,
        epoch: Math.max(worker.epoch, state.seat),
      }),
    },
  ];
  const isHeard = worker.reach === Reach.FIRST && state.seat === 1;
  if (worker.isSilent || isHeard) return steps;
  const isExtended =
    worker.reach === Reach.FIRST &&
    state.holders[0].leads &&
    !rules.staleHolderExtendsNothing;
  const next =
    rules.silenceOutlastsLease && !isExtended ? lapse(state, w) : state;
  steps.push({
    label: `the silence bound of worker ${w} passes`,
    next: withWorker(next, w, {isSilent: true}),
  });
  return steps;
}

/** All leases on the worker have run out: those of starts under way as well. */
function lapse(state: RunModelState, w: number): RunModelState {
  const {running, end} = state.workers[w];
  const lapsed = running > 0 ? running : (end?.run ?? 0);
  const ended = withWorker(state, w, {
    running: 0,
    end: lapsed > 0 ? {run: lapsed, isDone: false, isRepeated: false} : null,
  });
  return {...ended, starts: state.starts.filter(s => s.worker !== w)};
}
