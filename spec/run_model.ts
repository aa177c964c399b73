/**
 * Model of run records, orders, leases and takeover for one task of a job, two workers
 * and two or three leaders. The next leader may take over at any time, and those before it
 * may continue without knowing it. Writes and starts may be delayed or lost.
 */
import {type Model, type Step} from './explore.js';

export interface RunRules {
  /** A start is ordered only after its record was committed. */
  readonly recordBeforeOrder: boolean;
  /** The table service accepts writes of the newest leader only. */
  readonly commitsAreFenced: boolean;
  /** A successor adopts recorded runs, since they may still be running. */
  readonly recordedRunsAreAdopted: boolean;
  /** A run end is acknowledged only after it was committed. */
  readonly acknowledgeAfterCommit: boolean;
  /** Agents refuse orders of an epoch lower than the highest that they have received. */
  readonly agentsObeyHighestEpoch: boolean;
  /** A run on an unresponsive worker is abandoned only after its lease has expired. */
  readonly contactTimeoutExceedsLease: boolean;
  /** A leader that cannot commit extends no leases. */
  readonly staleLeaderExtendsNoLease: boolean;
  /** An unanswered start is revoked on its worker before it counts as refused. */
  readonly stopRevokesLateStart: boolean;
  /** A lost order is sent again. The run does not count as ended. */
  readonly lostOrderIsRepeated: boolean;
  /**
   * Orders name the incarnation of their worker. On the platform they name only its id;
   * the worker life model does without this rule.
   */
  readonly ordersNameIncarnation: boolean;
  /** Each placement has a higher run number than all placements before it. */
  readonly runNumbersIncrease: boolean;
  /** A run is placed again when its worker restarted or was declared lost. */
  readonly lostRunsAreRepeated: boolean;
}

export const RUN_RULES: RunRules = {
  recordBeforeOrder: true,
  commitsAreFenced: true,
  recordedRunsAreAdopted: true,
  acknowledgeAfterCommit: true,
  agentsObeyHighestEpoch: true,
  contactTimeoutExceedsLease: true,
  staleLeaderExtendsNoLease: true,
  stopRevokesLateStart: true,
  lostOrderIsRepeated: true,
  ordersNameIncarnation: true,
  runNumbersIncrease: true,
  lostRunsAreRepeated: true,
};

export const Phase = {
  WAITING: 'waiting',
  PLACED: 'placed',
  DONE: 'done',
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

/** State of the task in its record. */
export interface RecordState {
  readonly phase: Phase;
  readonly run: number;
  /** Worker of a placed run, and its incarnation. */
  readonly worker: number;
  readonly incarnation: number;
}

export interface LeaderState {
  readonly leads: boolean;
  readonly localRecord: RecordState;
  /** True when no change of `localRecord` waits for its commit. */
  readonly isCommitted: boolean;
  /** Write on its way to the table service. */
  readonly write: RecordState | null;
}

/** Leaders that a worker's agent reaches. */
export const Reach = {
  ALL: 'all',
  FIRST: 'first',
  FIRST_TWO: 'two',
  NONE: 'none',
} as const;
type Reach = (typeof Reach)[keyof typeof Reach];

const REACHED_LEADERS: Readonly<Record<Reach, number>> = {
  [Reach.ALL]: Infinity,
  [Reach.FIRST]: 1,
  [Reach.FIRST_TWO]: 2,
  [Reach.NONE]: 0,
};

export interface EndState {
  readonly run: number;
  readonly isDone: boolean;
  /** True when the task was started again after this end. */
  readonly isRerun: boolean;
}

export interface WorkerState {
  readonly incarnation: number;
  /** Number of the current run. 0 when there is none. */
  readonly running: number;
  /** Starts of runs up to this number are refused. */
  readonly revokedRun: number;
  /** Highest epoch that the agent has received. */
  readonly epoch: number;
  /** Newest run end that is not acknowledged. */
  readonly end: EndState | null;
  readonly reach: Reach;
  /** True once the contact timeout has passed without contact to the newest leader. */
  readonly isUnresponsive: boolean;
}

export interface StartState {
  readonly epoch: number;
  readonly run: number;
  readonly worker: number;
  readonly incarnation: number;
}

export interface RunModelState {
  /** Epoch in the leader row. */
  readonly leaderEpoch: number;
  readonly row: RecordState;
  readonly leaders: readonly LeaderState[];
  readonly workers: readonly WorkerState[];
  /** Start orders on their way to the agents. */
  readonly starts: readonly StartState[];
  readonly faults: number;
  /** True once a run ended successfully. */
  readonly hasSucceeded: boolean;
  /** True once a start followed an acknowledged successful end. */
  readonly startedAfterDone: boolean;
  readonly acknowledgedDone: boolean;
}

export interface RunLimits {
  /** Number of leaders, each of which may take over from the one before it. */
  readonly leaders: number;
  /** At most `MAX_FAULTS_PER_HISTORY`. */
  readonly faults: number;
}

const DEFAULT_LIMITS: RunLimits = {leaders: 2, faults: 2};

/**
 * Stops, worker restarts and losses of contact count as faults. A takeover and delayed
 * or lost writes and orders do not.
 */
const MAX_FAULTS_PER_HISTORY = 2;
const NO_WORKER = -1;
const BOTH: readonly number[] = [0, 1];

const WAITING_RECORD: RecordState = {
  phase: Phase.WAITING,
  run: 0,
  worker: NO_WORKER,
  incarnation: 0,
};
const NEW_WORKER: WorkerState = {
  incarnation: 0,
  running: 0,
  revokedRun: 0,
  epoch: 0,
  end: null,
  reach: Reach.ALL,
  isUnresponsive: false,
};
const NOT_LEADING: LeaderState = {
  leads: false,
  localRecord: WAITING_RECORD,
  isCommitted: true,
  write: null,
};

export function makeRunModel(
  rules: RunRules,
  limits: RunLimits = DEFAULT_LIMITS,
): Model<RunModelState> {
  const successors = Array.from(
    {length: limits.leaders - 1},
    () => NOT_LEADING,
  );
  return {
    name: 'run',
    initial: {
      leaderEpoch: 1,
      row: WAITING_RECORD,
      leaders: [{...NOT_LEADING, leads: true}, ...successors],
      workers: [NEW_WORKER, NEW_WORKER],
      starts: [],
      faults: MAX_FAULTS_PER_HISTORY - limits.faults,
      hasSucceeded: false,
      startedAfterDone: false,
      acknowledgedDone: false,
    },
    steps: state => [
      ...takeoverSteps(state, rules),
      ...state.leaders.flatMap((leader, leaderIndex) =>
        leaderSteps(state, leaderIndex, rules),
      ),
      ...state.starts.flatMap(start => deliverStart(state, start, rules)),
      ...BOTH.flatMap(w => workerSteps(state, w, rules)),
    ],
    // The workers are symmetric, so states that differ only in their order are equal.
    keyOf: state => {
      const key = keyWithWorkers(state, [0, 1]);
      const swapped = keyWithWorkers(state, [1, 0]);
      return key < swapped ? key : swapped;
    },
    invariants: [
      {
        name: 'a task never runs twice at the same time',
        holds: s => !s.workers.every(w => w.running > 0),
      },
      {
        name: 'nothing starts after an acknowledged successful end',
        holds: s => !s.startedAfterDone,
      },
      {
        name: 'each run in progress is recorded',
        holds: s => s.workers.every(w => w.running <= s.row.run),
      },
      {
        name: 'done is recorded only after a successful end',
        holds: s => s.row.phase !== Phase.DONE || s.hasSucceeded,
      },
    ],
    goals: [
      {name: 'the task is done', holds: s => s.row.phase === Phase.DONE},
      {
        name: 'the last leader completes the task although each fault ended a run',
        holds: s =>
          s.row.phase === Phase.DONE &&
          s.leaderEpoch === limits.leaders &&
          s.row.run > limits.faults,
      },
      {
        name: 'a successful end is acknowledged',
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

/** Returns a short key of the state, with the workers in the given order. */
function keyWithWorkers(
  state: RunModelState,
  workerOrder: readonly number[],
): string {
  const record = (r: RecordState | null): string =>
    r
      ? `${r.phase[0]}${r.run}@${workerOrder[r.worker] ?? ''}.${r.incarnation}`
      : '-';
  const leaders = state.leaders.map(
    leader =>
      `${Number(leader.leads)}${record(leader.localRecord)}${Number(leader.isCommitted)}${record(leader.write)}`,
  );
  const workers = workerOrder.map(w => {
    const {
      incarnation,
      running,
      revokedRun,
      epoch,
      end,
      reach,
      isUnresponsive,
    } = state.workers[w];
    const ended = end
      ? `${end.run}${Number(end.isDone)}${Number(end.isRerun)}`
      : '-';
    return `${incarnation},${running},${revokedRun},${epoch},${ended}${reach[0]}${Number(isUnresponsive)}`;
  });
  const starts = state.starts
    .map(s => `${s.epoch},${s.run},${workerOrder[s.worker]},${s.incarnation}`)
    .sort();
  const {
    leaderEpoch,
    faults,
    hasSucceeded,
    startedAfterDone,
    acknowledgedDone,
  } = state;
  const flags = [hasSucceeded, startedAfterDone, acknowledgedDone].map(Number);
  return [
    leaderEpoch,
    record(state.row),
    ...leaders,
    ...workers,
    starts,
    faults,
    flags,
  ].join(' ');
}

function epochOf(leader: number): number {
  return leader + 1;
}

function withLeader(
  state: RunModelState,
  leaderIndex: number,
  change: Partial<LeaderState>,
): RunModelState {
  return {
    ...state,
    leaders: state.leaders.map((leader, i) =>
      i === leaderIndex ? {...leader, ...change} : leader,
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

/** Changes the leader's local record. A commit has to follow. */
function updateRecord(
  state: RunModelState,
  leaderIndex: number,
  change: Partial<RecordState>,
): RunModelState {
  const localRecord = {...state.leaders[leaderIndex].localRecord, ...change};
  return withLeader(state, leaderIndex, {localRecord, isCommitted: false});
}

function returnToWaiting(
  state: RunModelState,
  leaderIndex: number,
): RunModelState {
  return updateRecord(state, leaderIndex, {
    phase: Phase.WAITING,
    worker: NO_WORKER,
    incarnation: 0,
  });
}

function takeoverSteps(
  state: RunModelState,
  rules: RunRules,
): Step<RunModelState>[] {
  const {leaderEpoch} = state;
  if (leaderEpoch === state.leaders.length) return [];
  const adopted =
    rules.recordedRunsAreAdopted || state.row.phase !== Phase.PLACED
      ? state.row
      : {...state.row, phase: Phase.WAITING, worker: NO_WORKER, incarnation: 0};
  const next = withLeader(state, leaderEpoch, {
    leads: true,
    localRecord: adopted,
  });
  return [
    {
      label: `leader ${leaderEpoch} takes over`,
      next: {...next, leaderEpoch: leaderEpoch + 1},
    },
  ];
}

function leaderSteps(
  state: RunModelState,
  leaderIndex: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const leader = state.leaders[leaderIndex];
  const steps = commitSteps(state, leaderIndex, rules);
  if (!leader.leads) return steps;
  if (leader.write === null) {
    if (leader.localRecord.phase === Phase.WAITING)
      steps.push(...placeSteps(state, leaderIndex, rules));
    if (leader.localRecord.phase === Phase.PLACED)
      steps.push(...placedSteps(state, leaderIndex, rules));
  }
  return steps.concat(
    BOTH.flatMap(w => acknowledgeSteps(state, leaderIndex, w, rules)),
  );
}

function commitSteps(
  state: RunModelState,
  leaderIndex: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const {leads, localRecord, isCommitted, write} = state.leaders[leaderIndex];
  if (write === null) {
    if (!leads || isCommitted) return [];
    // The last leader has no successor, so delays of its writes need not be explored.
    if (leaderIndex === state.leaders.length - 1)
      return [
        {
          label: `leader ${leaderIndex} commits`,
          next: commit(state, leaderIndex, localRecord),
        },
      ];
    const next = withLeader(state, leaderIndex, {write: localRecord});
    return [{label: `leader ${leaderIndex} writes`, next}];
  }
  if (state.leaderEpoch !== epochOf(leaderIndex) && rules.commitsAreFenced) {
    const next = withLeader(state, leaderIndex, {write: null, leads: false});
    return [{label: `the write of leader ${leaderIndex} is refused`, next}];
  }
  const next = commit(state, leaderIndex, write);
  return [{label: `the write of leader ${leaderIndex} is committed`, next}];
}

function commit(
  state: RunModelState,
  leaderIndex: number,
  record: RecordState,
): RunModelState {
  const committed = {
    ...withLeader(state, leaderIndex, {write: null, isCommitted: true}),
    row: record,
  };
  const isPlaced = record.phase === Phase.PLACED;
  return state.leaders[leaderIndex].leads && isPlaced
    ? orderStart(committed, leaderIndex)
    : committed;
}

/** Orders the start of the run that is placed in the leader's local record. */
function orderStart(state: RunModelState, leaderIndex: number): RunModelState {
  const {run, worker, incarnation} = state.leaders[leaderIndex].localRecord;
  if (!reaches(state, leaderIndex, worker)) return state;
  const start = {epoch: epochOf(leaderIndex), run, worker, incarnation};
  if (state.starts.some(s => isSameStart(s, start))) return state;
  return {...state, starts: [...state.starts, start].sort(compareStarts)};
}

function isSameStart(a: StartState, b: StartState): boolean {
  return compareStarts(a, b) === 0;
}

function compareStarts(a: StartState, b: StartState): number {
  return (
    a.epoch - b.epoch ||
    a.run - b.run ||
    a.worker - b.worker ||
    a.incarnation - b.incarnation
  );
}

function placeSteps(
  state: RunModelState,
  leaderIndex: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const {localRecord} = state.leaders[leaderIndex];
  return BOTH.filter(w => reaches(state, leaderIndex, w)).map(w => {
    const placed = updateRecord(state, leaderIndex, {
      phase: Phase.PLACED,
      run: rules.runNumbersIncrease ? localRecord.run + 1 : 1,
      worker: w,
      incarnation: state.workers[w].incarnation,
    });
    return {
      label: `leader ${leaderIndex} places the task on worker ${w}`,
      next: rules.recordBeforeOrder ? placed : orderStart(placed, leaderIndex),
    };
  });
}

function reaches(
  state: RunModelState,
  leaderIndex: number,
  w: number,
): boolean {
  const {reach, epoch} = state.workers[w];
  if (epoch > epochOf(leaderIndex)) return false;
  return leaderIndex < REACHED_LEADERS[reach];
}

/** Handles reports about the placed run, and the loss of contact with its worker. */
function placedSteps(
  state: RunModelState,
  leaderIndex: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const {localRecord, isCommitted} = state.leaders[leaderIndex];
  const w = localRecord.worker;
  const worker = state.workers[w];
  if (!reaches(state, leaderIndex, w)) {
    const hasSuccessor = state.leaderEpoch > epochOf(leaderIndex);
    if (!worker.isUnresponsive && !hasSuccessor) return [];
    return placeAgainSteps(
      state,
      leaderIndex,
      rules,
      `leader ${leaderIndex} declares worker ${w} lost`,
    );
  }
  if (worker.incarnation > localRecord.incarnation)
    return placeAgainSteps(
      state,
      leaderIndex,
      rules,
      `leader ${leaderIndex} detects that worker ${w} restarted`,
    );
  if (!isCommitted) return [];
  const {run} = localRecord;
  if (worker.end?.run === run)
    return endReportSteps(state, leaderIndex, worker.end);
  const steps = stopSteps(state, leaderIndex, rules);
  if (worker.running === run) return steps;
  const isRevoked = worker.revokedRun >= run;
  const repeated = isRevoked
    ? returnToWaiting(state, leaderIndex)
    : orderStart(state, leaderIndex);
  const next = rules.lostOrderIsRepeated
    ? repeated
    : returnToWaiting(state, leaderIndex);
  if (next !== state)
    steps.push({
      label: `leader ${leaderIndex} finds no run on worker ${w}`,
      next,
    });
  return steps;
}

function placeAgainSteps(
  state: RunModelState,
  leaderIndex: number,
  rules: RunRules,
  label: string,
): Step<RunModelState>[] {
  return rules.lostRunsAreRepeated
    ? [{label, next: returnToWaiting(state, leaderIndex)}]
    : [];
}

function endReportSteps(
  state: RunModelState,
  leaderIndex: number,
  end: EndState,
): Step<RunModelState>[] {
  const next = end.isDone
    ? updateRecord(state, leaderIndex, {
        phase: Phase.DONE,
        worker: NO_WORKER,
        incarnation: 0,
      })
    : returnToWaiting(state, leaderIndex);
  return [
    {label: `leader ${leaderIndex} receives the end of run ${end.run}`, next},
  ];
}

/** Stops the run in favour of another job, or because its start was not answered. */
function stopSteps(
  state: RunModelState,
  leaderIndex: number,
  rules: RunRules,
): Step<RunModelState>[] {
  if (state.faults >= MAX_FAULTS_PER_HISTORY) return [];
  const {run, worker: w} = state.leaders[leaderIndex].localRecord;
  const worker = state.workers[w];
  const afterFault = {...state, faults: state.faults + 1};
  const label = `leader ${leaderIndex} stops run ${run} on worker ${w}`;
  if (worker.running === run) {
    const end = {run, isDone: false, isRerun: false};
    return [{label, next: withWorker(afterFault, w, {running: 0, end})}];
  }
  const revokedRun = rules.stopRevokesLateStart
    ? Math.max(worker.revokedRun, run)
    : worker.revokedRun;
  const next = returnToWaiting(
    withWorker(afterFault, w, {revokedRun}),
    leaderIndex,
  );
  return [{label, next}];
}

function acknowledgeSteps(
  state: RunModelState,
  leaderIndex: number,
  w: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const {localRecord, isCommitted, write} = state.leaders[leaderIndex];
  const {end} = state.workers[w];
  const acceptsEpoch =
    !rules.agentsObeyHighestEpoch ||
    state.workers[w].epoch <= epochOf(leaderIndex);
  const isReached = leaderIndex < REACHED_LEADERS[state.workers[w].reach];
  if (!end || !acceptsEpoch || !isReached) return [];
  const isDurable = isCommitted && write === null;
  if (rules.acknowledgeAfterCommit && !isDurable) return [];
  const isPlacedThere =
    localRecord.phase === Phase.PLACED &&
    localRecord.worker === w &&
    localRecord.run === end.run;
  if (isPlacedThere) return [];
  const acknowledged = withWorker(state, w, {
    end: null,
    epoch: Math.max(state.workers[w].epoch, epochOf(leaderIndex)),
  });
  const next = {
    ...acknowledged,
    acknowledgedDone: state.acknowledgedDone || end.isDone,
    startedAfterDone: state.startedAfterDone || (end.isDone && end.isRerun),
  };
  return [
    {label: `leader ${leaderIndex} acknowledges the end on worker ${w}`, next},
  ];
}

/** Carries out, refuses or loses a start order. */
function deliverStart(
  state: RunModelState,
  start: StartState,
  rules: RunRules,
): Step<RunModelState>[] {
  const {epoch, run, worker: w, incarnation} = start;
  const lost: RunModelState = {
    ...state,
    starts: state.starts.filter(s => s !== start),
  };
  const steps = [{label: `a start of run ${run} is lost`, next: lost}];
  const worker = state.workers[w];
  const isAddressee =
    worker.incarnation === incarnation || !rules.ordersNameIncarnation;
  const isFenced = rules.agentsObeyHighestEpoch && worker.epoch > epoch;
  const hasLease = !worker.isUnresponsive || !rules.staleLeaderExtendsNoLease;
  const isFree = worker.running === 0 && worker.revokedRun < run;
  if (!isAddressee || isFenced || !hasLease || !isFree) return steps;
  const started = withWorker(lost, w, {
    running: run,
    revokedRun: run,
    epoch: Math.max(worker.epoch, epoch),
  });
  steps.push({
    label: `worker ${w} starts run ${run}`,
    next: {
      ...started,
      startedAfterDone: state.startedAfterDone || state.acknowledgedDone,
      workers: started.workers.map(other =>
        other.end ? {...other, end: {...other.end, isRerun: true}} : other,
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
  if (worker.running > 0) steps.push(...completionSteps(state, w));
  if (worker.reach !== Reach.ALL)
    steps.push(...disconnectedSteps(state, w, rules));
  if (state.faults >= MAX_FAULTS_PER_HISTORY) return steps;
  const afterFault = {...state, faults: state.faults + 1};
  steps.push({
    label: `worker ${w} restarts`,
    next: withWorker(afterFault, w, {
      incarnation: worker.incarnation + 1,
      running: 0,
      revokedRun: 0,
      end: null,
    }),
  });
  if (worker.reach === Reach.ALL)
    for (const reach of limitedReaches(state))
      steps.push({
        label: `worker ${w} loses contact (leaders it still reaches: ${reach})`,
        next: withWorker(afterFault, w, {reach}),
      });
  return steps;
}

function limitedReaches({leaders}: RunModelState): Reach[] {
  return leaders.length > 2
    ? [Reach.FIRST, Reach.FIRST_TWO, Reach.NONE]
    : [Reach.FIRST, Reach.NONE];
}

function completionSteps(
  state: RunModelState,
  w: number,
): Step<RunModelState>[] {
  const {running: run} = state.workers[w];
  const end = {run, isDone: true, isRerun: false};
  const next = withWorker(state, w, {running: 0, end});
  return [
    {
      label: `run ${run} on worker ${w} is done`,
      next: {...next, hasSucceeded: true},
    },
  ];
}

/** The leases of a disconnected worker expire, or it regains contact. */
function disconnectedSteps(
  state: RunModelState,
  w: number,
  rules: RunRules,
): Step<RunModelState>[] {
  const worker = state.workers[w];
  const steps = [
    {
      // Only the newest leader extends leases again, and the agent receives its epoch.
      label: `worker ${w} regains contact`,
      next: withWorker(state, w, {
        reach: Reach.ALL,
        isUnresponsive: false,
        epoch: Math.max(worker.epoch, state.leaderEpoch),
      }),
    },
  ];
  const reached = REACHED_LEADERS[worker.reach];
  const isInContact = state.leaderEpoch <= reached;
  if (worker.isUnresponsive || isInContact) return steps;
  const areLeasesExtended =
    state.leaders.slice(0, reached).some(leader => leader.leads) &&
    !rules.staleLeaderExtendsNoLease;
  const next =
    rules.contactTimeoutExceedsLease && !areLeasesExtended
      ? expireLeases(state, w)
      : state;
  steps.push({
    label: `the contact time-out of worker ${w} passes`,
    next: withWorker(next, w, {isUnresponsive: true}),
  });
  return steps;
}

/** Expires all leases on the worker, including those of start orders on their way. */
function expireLeases(state: RunModelState, w: number): RunModelState {
  const {running, end} = state.workers[w];
  const expiredRun = running > 0 ? running : (end?.run ?? 0);
  const ended = withWorker(state, w, {
    running: 0,
    end:
      expiredRun > 0 ? {run: expiredRun, isDone: false, isRerun: false} : null,
  });
  return {...ended, starts: state.starts.filter(s => s.worker !== w)};
}
