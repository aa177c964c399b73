/**
 * Model of one task, a worker that may restart under the same id, and the agent of that
 * worker. Calls name the worker by its id only, so a late call may be carried out by a
 * later incarnation. A second worker never fails; it shows whether the task runs twice.
 * Takeovers and delayed commits are in the run model: here the leader commits at once.
 */
import {type Model, type Step} from './explore.js';

export interface WorkerLifeRules {
  /** The agent's fencing token rises with each incarnation that it finds. */
  readonly tokensRiseByIncarnation: boolean;
  /** The fencing tokens of an agent process exceed those of its predecessors. */
  readonly tokensRiseByAgent: boolean;
  /** A run is lost with its incarnation only once the next one has listed its runs. */
  readonly lossWaitsForList: boolean;
  /** A run that a later incarnation lists as running is adopted. */
  readonly listedRunsAreAdopted: boolean;
  /** An end that a later incarnation lists is the end of the recorded run. */
  readonly listedEndsAreAdopted: boolean;
  /** Ends are acknowledged only if the previous call was answered. */
  readonly ackOnlyVerifiedIncarnation: boolean;
  /** Nothing is acknowledged while a late start may still arrive. */
  readonly acksWaitForLateStarts: boolean;
  /** Nothing is started while a late acknowledgement may still arrive. */
  readonly startsWaitForLateAcks: boolean;
  /** A worker that deregistered counts as ended only once it does not answer. */
  readonly farewellIsNoEnd: boolean;
  /** A worker that deregistered and does not answer may still have the runs in the table. */
  readonly refusalIsNoEnd: boolean;
  /** A repeated order may have been carried out for a previous agent process. */
  readonly repeatedOrderMayHaveStarted: boolean;
  /** An agent that stores the end of a worker stores the ends that it has listed, too. */
  readonly departureKeepsEnds: boolean;
  /** A restarted agent assumes that its predecessor requested a full lease. */
  readonly restartedAgentAssumesFullLease: boolean;
  /** A lease counts as expired only when a late start can no longer prolong it. */
  readonly expiryCoversLateStarts: boolean;
  /** A list ends only runs that were known to be running when it was requested. */
  readonly listEndsOnlyEarlierRuns: boolean;
  /**
   * The end of a run is concluded only from what was requested when none of its starts could
   * still arrive, and only while none can.
   */
  readonly unansweredStartsAreWaitedOut: boolean;
}

export const WORKER_LIFE_RULES: WorkerLifeRules = {
  tokensRiseByIncarnation: true,
  tokensRiseByAgent: true,
  lossWaitsForList: true,
  listedRunsAreAdopted: true,
  listedEndsAreAdopted: true,
  ackOnlyVerifiedIncarnation: true,
  acksWaitForLateStarts: true,
  startsWaitForLateAcks: true,
  farewellIsNoEnd: true,
  refusalIsNoEnd: true,
  departureKeepsEnds: true,
  repeatedOrderMayHaveStarted: true,
  restartedAgentAssumesFullLease: true,
  expiryCoversLateStarts: true,
  listEndsOnlyEarlierRuns: true,
  unansweredStartsAreWaitedOut: true,
};

const Phase = {
  WAITING: 'waiting',
  /** Placed on the worker that may restart. */
  PLACED: 'placed',
  /** Placed on the worker that never fails. */
  ELSEWHERE: 'elsewhere',
  DONE: 'done',
} as const;
type Phase = (typeof Phase)[keyof typeof Phase];

interface RecordState {
  readonly phase: Phase;
  readonly run: number;
  readonly incarnation: number;
  /** True once the start was ordered. Later orders are repetitions. */
  readonly isOrdered: boolean;
  readonly isStopping: boolean;
}

interface EndState {
  readonly number: number;
  readonly run: number;
  readonly isDone: boolean;
}

/** The process that has the worker's id. */
interface ProcessState {
  readonly incarnation: number;
  readonly isUp: boolean;
  /** True while the worker runs on but calls to it get no answer. */
  readonly isSilent: boolean;
  /** True after a farewell whose answer was lost. */
  readonly isLeaving: boolean;
  readonly running: readonly number[];
  /** Starts of runs up to this number are refused. */
  readonly closedRun: number;
  readonly token: number;
  readonly endCount: number;
  readonly ends: readonly EndState[];
  /** True when a late call for an earlier incarnation set the lease. */
  readonly hasForeignLease: boolean;
}

/** A run in the agent's table. */
interface EntryState {
  readonly run: number;
  readonly isRunning: boolean;
  readonly mayHaveStarted: boolean;
  readonly isStopping: boolean;
  readonly isStopAnswered: boolean;
}

interface AgentState {
  /** Number of this agent process, from 0. */
  readonly process: number;
  /** Incarnation that the agent calls; 0 when there is none. */
  readonly incarnation: number;
  readonly hasList: boolean;
  readonly isVerified: boolean;
  readonly token: number;
  /** True when the agent knows of every lease on the worker. */
  readonly knowsLeases: boolean;
  readonly entries: readonly EntryState[];
  readonly ends: readonly EndState[];
  readonly acknowledged: number;
  readonly hasFarewell: boolean;
  /** Incarnation that the agent reports as lost. */
  readonly lost: number;
  /** Incarnation whose end the agent has stored. */
  readonly departed: number;
}

/** A call without an answer that may still be carried out. */
interface LateCall {
  /** Run to start. 0 for a renewal. */
  readonly run: number;
  readonly acknowledged: number;
  readonly token: number;
  readonly incarnation: number;
}

/** Lists on their way to the agent, and what it knew when it requested them. */
interface LateLists {
  readonly running: readonly number[];
  readonly ends: readonly EndState[];
  readonly known: readonly number[];
  readonly confirmed: readonly number[];
  readonly stopped: readonly number[];
}

export interface WorkerLifeState {
  readonly record: RecordState;
  readonly process: ProcessState;
  readonly agent: AgentState;
  readonly isLinkUp: boolean;
  /** Run on the worker that never fails; 0 when there is none. */
  readonly elsewhere: number;
  readonly lateCalls: readonly LateCall[];
  readonly lateLists: LateLists | null;
  readonly faultsLeft: number;
  readonly runsLeftOnWorker: number;
  readonly hasSucceeded: boolean;
  readonly startedAfterDone: boolean;
  /** True once the worker dropped a successful end that was not recorded. */
  readonly hasLostEnd: boolean;
}

type S = WorkerLifeState;

export interface WorkerLifeLimits {
  /**
   * Crashes, farewells, restarts of the agent, silences, lost links, and answers that are
   * late or lost count as faults.
   */
  readonly faults: number;
  /** Runs after this number are placed on the worker that never fails. */
  readonly runsOnWorker: number;
}

const DEFAULT_LIMITS: WorkerLifeLimits = {faults: 3, runsOnWorker: 1};
const TOKENS_PER_AGENT = 10;

const NEW_PROCESS: ProcessState = {
  incarnation: 1,
  isUp: true,
  isSilent: false,
  isLeaving: false,
  running: [],
  closedRun: 0,
  token: 0,
  endCount: 0,
  ends: [],
  hasForeignLease: false,
};
const NEW_AGENT: AgentState = {
  process: 0,
  incarnation: 0,
  hasList: false,
  isVerified: false,
  token: 0,
  knowsLeases: true,
  entries: [],
  ends: [],
  acknowledged: 0,
  hasFarewell: false,
  lost: 0,
  departed: 0,
};
/** The first incarnation has already ended a run of another task. */
const FIRST_PROCESS: ProcessState = {...NEW_PROCESS, token: 1, endCount: 1};
const FIRST_AGENT: AgentState = {
  ...NEW_AGENT,
  incarnation: 1,
  hasList: true,
  isVerified: true,
  token: 1,
  acknowledged: 1,
};
const NO_RUN: RecordState = {
  phase: Phase.WAITING,
  run: 0,
  incarnation: 0,
  isOrdered: false,
  isStopping: false,
};

export function makeWorkerLifeModel(
  rules: WorkerLifeRules,
  limits: WorkerLifeLimits = DEFAULT_LIMITS,
): Model<S> {
  return {
    name: 'worker life',
    initial: {
      record: NO_RUN,
      process: FIRST_PROCESS,
      agent: FIRST_AGENT,
      isLinkUp: true,
      elsewhere: 0,
      lateCalls: [],
      lateLists: null,
      faultsLeft: limits.faults,
      runsLeftOnWorker: limits.runsOnWorker,
      hasSucceeded: false,
      startedAfterDone: false,
      hasLostEnd: false,
    },
    steps: state =>
      isSettled(state)
        ? completeElsewhereSteps(state)
        : [
            ...leaderSteps(state, rules),
            ...processSteps(state, rules),
            ...agentSteps(state, rules),
            ...state.lateCalls.flatMap(call => lateCallSteps(state, call)),
          ],
    keyOf,
    invariants: [
      {
        name: 'a task never runs twice at the same time',
        holds: s => s.process.running.length + Math.sign(s.elsewhere) <= 1,
      },
      {
        name: 'nothing starts after a recorded successful end',
        holds: s => !s.startedAfterDone,
      },
      {
        name: 'a successful end that was acknowledged is recorded',
        holds: s => !s.hasLostEnd,
      },
      {
        name: 'done is recorded only after a successful end',
        holds: s => s.record.phase !== Phase.DONE || s.hasSucceeded,
      },
    ],
    goals: [
      {
        name: 'a later incarnation runs what its predecessor was ordered to start',
        holds: s =>
          s.process.running.some(
            run => run === s.record.run && isPlacedEarlier(s),
          ),
      },
      {
        name: 'a run that a later incarnation started is done',
        holds: s => s.record.phase === Phase.DONE && s.record.incarnation === 2,
      },
      {
        name: 'a worker works on after its farewell and its run is done',
        holds: s => s.record.phase === Phase.DONE && s.process.isLeaving,
      },
      {
        name: 'a restarted agent reports the end of a run',
        holds: s =>
          s.agent.process === 1 &&
          s.record.phase === Phase.DONE &&
          s.elsewhere === 0,
      },
      {
        name: 'a list that lacks a run in progress is still on its way',
        holds: s =>
          s.lateLists !== null &&
          s.agent.entries.some(
            e => e.isRunning && !s.lateLists!.running.includes(e.run),
          ),
      },
      {
        name: 'the task is done on the other worker after a run',
        holds: s =>
          s.record.phase === Phase.DONE && s.record.run > limits.runsOnWorker,
      },
    ],
    alwaysReachable: [
      {
        name: 'the task can still be done',
        holds: s => s.record.phase === Phase.DONE,
      },
    ],
  };
}

/** Whether nothing can run on the worker any more, so its state is of no importance. */
function isSettled({record, process, agent, lateCalls}: S): boolean {
  if (record.phase !== Phase.ELSEWHERE && record.phase !== Phase.DONE)
    return false;
  return (
    process.running.length === 0 &&
    !process.ends.some(e => e.isDone) &&
    agent.entries.every(e => e.isRunning) &&
    lateCalls.every(c => c.run === 0)
  );
}

function isPlacedEarlier({record, process}: S): boolean {
  return (
    record.phase === Phase.PLACED && record.incarnation < process.incarnation
  );
}

function keyOf(state: S): string {
  const {record: r, process: p, agent: a} = state;
  const bits = (...flags: boolean[]): string =>
    flags.map(f => (f ? '1' : '0')).join('');
  const ends = (list: readonly EndState[]): string =>
    list.map(e => `${e.number}.${e.run}${bits(e.isDone)}`).join();
  const lists = state.lateLists;
  return [
    r.phase[0] + r.run,
    r.incarnation,
    bits(r.isOrdered, r.isStopping),
    p.incarnation,
    bits(p.isUp, p.isSilent, p.isLeaving, p.hasForeignLease),
    p.running,
    p.closedRun,
    p.token,
    p.endCount,
    ends(p.ends),
    a.process,
    a.incarnation,
    bits(a.hasList, a.isVerified, a.knowsLeases, a.hasFarewell),
    a.token,
    a.entries.map(
      e =>
        e.run +
        bits(e.isRunning, e.mayHaveStarted, e.isStopping, e.isStopAnswered),
    ),
    ends(a.ends),
    a.acknowledged,
    a.lost,
    a.departed,
    state.elsewhere,
    state.lateCalls.map(
      c => `${c.run}.${c.acknowledged}.${c.token}.${c.incarnation}`,
    ),
    lists
      ? [
          lists.running.join('+'),
          ends(lists.ends),
          lists.known.join('+'),
          lists.confirmed.join('+'),
          lists.stopped.join('+'),
        ].join('/')
      : '',
    state.faultsLeft,
    state.runsLeftOnWorker,
    bits(
      state.isLinkUp,
      state.hasSucceeded,
      state.startedAfterDone,
      state.hasLostEnd,
    ),
  ].join(' ');
}

function withRecord(state: S, change: Partial<RecordState>): S {
  return {...state, record: {...state.record, ...change}};
}

function withProcess(state: S, change: Partial<ProcessState>): S {
  return {...state, process: {...state.process, ...change}};
}

function withAgent(state: S, change: Partial<AgentState>): S {
  return {...state, agent: {...state.agent, ...change}};
}

function withEntry(state: S, run: number, change: Partial<EntryState>): S {
  const entries = state.agent.entries.map(e =>
    e.run === run ? {...e, ...change} : e,
  );
  return withAgent(state, {entries});
}

function newEntry(run: number): EntryState {
  return {
    run,
    isRunning: false,
    mayHaveStarted: false,
    isStopping: false,
    isStopAnswered: false,
  };
}

function isAnswering({isUp, isSilent}: ProcessState): boolean {
  return isUp && !isSilent;
}

function canFail(state: S): boolean {
  return state.faultsLeft > 0;
}

function afterFault(state: S): S {
  return {...state, faultsLeft: state.faultsLeft - 1};
}

function isRecordedOn(state: S, incarnation: number): boolean {
  const {phase, incarnation: recorded} = state.record;
  return phase === Phase.PLACED && recorded === incarnation;
}

/** Ends the recorded run without a result, so that the task is placed again. */
function endRecordedRun(state: S): S {
  return withRecord(state, {
    phase: Phase.WAITING,
    incarnation: 0,
    isOrdered: false,
    isStopping: false,
  });
}

/**
 * Whether the end of the run must not be concluded yet. Starts that were sent to earlier
 * incarnations are fenced by the token of the first list.
 */
function isWithheld(state: S, run: number, rules: WorkerLifeRules): boolean {
  return (
    rules.unansweredStartsAreWaitedOut && hasLateCall(state, c => c.run === run)
  );
}

function leaderSteps(state: S, rules: WorkerLifeRules): Step<S>[] {
  const {record, agent} = state;
  const steps: Step<S>[] = [];
  if (record.phase === Phase.WAITING) steps.push(...placeSteps(state));
  steps.push(...completeElsewhereSteps(state));
  if (!state.isLinkUp) return steps.concat(disconnectedSteps(state, rules));
  if (agent.lost > 0 && isRecordedOn(state, agent.lost))
    steps.push({
      label: `the leader learns that incarnation ${agent.lost} is lost`,
      next: endRecordedRun(state),
    });
  if (agent.hasList) steps.push(...inventorySteps(state, rules));
  return steps;
}

function completeElsewhereSteps(state: S): Step<S>[] {
  const {elsewhere} = state;
  if (elsewhere === 0) return [];
  const done = withRecord(state, {phase: Phase.DONE});
  return [
    {
      label: `run ${elsewhere} is done on the other worker`,
      next: {...done, elsewhere: 0, hasSucceeded: true},
    },
  ];
}

function placeSteps(state: S): Step<S>[] {
  const run = state.record.run + 1;
  const steps: Step<S>[] = [
    {
      label: `the leader places run ${run} on the other worker`,
      next: {
        ...withRecord(state, {phase: Phase.ELSEWHERE, run}),
        elsewhere: run,
      },
    },
  ];
  const {incarnation, hasList} = state.agent;
  const {runsLeftOnWorker, isLinkUp} = state;
  if (runsLeftOnWorker === 0 || !hasList || !isLinkUp) return steps;
  const placed = withRecord(state, {phase: Phase.PLACED, run, incarnation});
  return [
    ...steps,
    {
      label: `the leader places run ${run} on the worker`,
      next: {...placed, runsLeftOnWorker: runsLeftOnWorker - 1},
    },
  ];
}

/** Handles an inventory of the agent, and the orders that follow from it. */
function inventorySteps(state: S, rules: WorkerLifeRules): Step<S>[] {
  const {record, agent} = state;
  if (record.phase === Phase.PLACED && agent.incarnation > record.incarnation)
    return [laterIncarnationStep(state, rules)];
  const end = agent.ends.find(
    e => e.run === record.run && isRecordedOn(state, agent.incarnation),
  );
  if (end) return [recordEndStep(state, end)];
  const steps: Step<S>[] = [];
  if (agent.ends.length > 0)
    steps.push({
      label: 'the leader acknowledges all ends',
      next: withAgent(state, {
        ends: [],
        acknowledged: Math.max(...agent.ends.map(e => e.number)),
      }),
    });
  if (isRecordedOn(state, agent.incarnation))
    steps.push(...orderSteps(state, rules));
  for (const {run, isStopping} of agent.entries)
    if (!isStopping && !(record.phase === Phase.PLACED && run === record.run))
      steps.push({
        label: `the leader stops the unrecorded run ${run}`,
        next: withEntry(state, run, {isStopping: true}),
      });
  return steps;
}

/** Adopts or ends the run of an earlier incarnation when a later one has listed its runs. */
function laterIncarnationStep(state: S, rules: WorkerLifeRules): Step<S> {
  const {record, agent} = state;
  const {incarnation} = agent;
  const isRunning = agent.entries.some(e => e.run === record.run);
  const hasEnded = agent.ends.some(e => e.run === record.run);
  const isAdopted =
    (isRunning && rules.listedRunsAreAdopted) ||
    (hasEnded && rules.listedEndsAreAdopted);
  return isAdopted
    ? {
        label: `the leader finds run ${record.run} on incarnation ${incarnation}`,
        next: withRecord(state, {incarnation}),
      }
    : {
        label: `the leader finds no run on incarnation ${incarnation}`,
        next: endRecordedRun(state),
      };
}

function recordEndStep(state: S, end: EndState): Step<S> {
  return {
    label: `the leader records the end of run ${end.run}`,
    next: recordEnd(state, end),
  };
}

function recordEnd(state: S, {isDone}: EndState): S {
  return isDone
    ? withRecord(state, {phase: Phase.DONE})
    : endRecordedRun(state);
}

function orderSteps(state: S, rules: WorkerLifeRules): Step<S>[] {
  const {record, agent} = state;
  const {run, isOrdered} = record;
  const entry = agent.entries.find(e => e.run === run);
  const steps: Step<S>[] = [];
  // The agent accepts no start while it can't reach the worker.
  if (!entry && !record.isStopping && agent.lost === 0) {
    const mayHaveStarted = isOrdered && rules.repeatedOrderMayHaveStarted;
    const entries = [...agent.entries, {...newEntry(run), mayHaveStarted}];
    steps.push({
      label: `the leader orders the start of run ${run}`,
      next: withRecord(withAgent(state, {entries}), {isOrdered: true}),
    });
  }
  if (!entry?.isStopping && (isOrdered || record.isStopping)) {
    const entries = entry
      ? agent.entries
      : [...agent.entries, {...newEntry(run), mayHaveStarted: true}];
    steps.push({
      label: `the leader orders the stop of run ${run}`,
      next: withRecord(
        withEntry(withAgent(state, {entries}), run, {isStopping: true}),
        {isStopping: true},
      ),
    });
  }
  return steps;
}

/** The link to the agent returns, or the contact timeout passes. */
function disconnectedSteps(state: S, rules: WorkerLifeRules): Step<S>[] {
  const steps: Step<S>[] = [
    {label: 'the link to the agent returns', next: {...state, isLinkUp: true}},
  ];
  if (state.record.phase === Phase.PLACED)
    steps.push({
      label: 'the contact timeout passes',
      next: endRecordedRun(expireLeases(state, rules)),
    });
  return steps;
}

/** Expires the leases that the agents requested. Others may still hold. */
function expireLeases(state: S, rules: WorkerLifeRules): S {
  const {process, lateCalls} = state;
  if (process.hasForeignLease && !rules.expiryCoversLateStarts) return state;
  const waited: S = {
    ...giveUpStarts(state),
    lateCalls: rules.expiryCoversLateStarts
      ? []
      : lateCalls.filter(c => c.incarnation !== process.incarnation),
  };
  const lapsed = process.running.reduce(
    (s, run) => endRun(s, run, false),
    waited,
  );
  const ends = lapsed.process.ends.map(e => ({...e, isDone: false}));
  return withProcess(lapsed, {ends});
}

/** Gives up all starts, since the agent tries them for a shorter time than a lease. */
function giveUpStarts(state: S): S {
  const entries = state.agent.entries
    .filter(e => e.isRunning || e.isStopping || e.mayHaveStarted)
    .map(e => (e.isRunning ? e : {...e, isStopping: true}));
  return withAgent(state, {entries});
}

/** Ends a run on the worker. */
function endRun(state: S, run: number, isDone: boolean): S {
  const {running, closedRun, endCount, ends} = state.process;
  const number = endCount + 1;
  return withProcess(state, {
    running: running.filter(r => r !== run),
    closedRun: Math.max(closedRun, run),
    endCount: number,
    ends: [...ends, {number, run, isDone}],
  });
}

function processSteps(state: S, rules: WorkerLifeRules): Step<S>[] {
  const {process} = state;
  if (!process.isUp) return [restartStep(state)];
  const steps: Step<S>[] = process.running.map(run => ({
    label: `run ${run} is done`,
    next: {...endRun(state, run, true), hasSucceeded: true},
  }));
  if (process.isSilent)
    steps.push({
      label: 'the worker answers again',
      next: withProcess(state, {isSilent: false}),
    });
  if (process.isLeaving)
    steps.push({label: 'the worker ends', next: endProcess(state)});
  if (!canFail(state)) return steps;
  const failed = afterFault(state);
  steps.push({label: 'the worker crashes', next: endProcess(failed)});
  if (!process.isSilent) {
    const silent = withProcess(failed, {isSilent: true});
    steps.push({
      label: 'the worker stops answering',
      next: withAgent(silent, {isVerified: false}),
    });
    if (!process.isLeaving) steps.push(...farewellSteps(failed, rules));
  }
  if (state.isLinkUp)
    steps.push({
      label: 'the link to the agent is lost',
      next: {...failed, isLinkUp: false},
    });
  return steps;
}

/** Ends the process. The agent notices that its pending call is broken. */
function endProcess(state: S): S {
  const ended = withProcess(state, {
    isUp: false,
    isSilent: false,
    running: [],
    ends: [],
  });
  return withAgent(ended, {isVerified: false});
}

/**
 * No call is so late that it is carried out after two restarts, and the agent waits for an
 * answer for a shorter time than a restart takes.
 */
function restartStep(state: S): Step<S> {
  const {incarnation} = state.process;
  return {
    label: 'the worker restarts under the same id',
    next: {
      ...state,
      process: {...NEW_PROCESS, incarnation: incarnation + 1},
      lateCalls: state.lateCalls.filter(c => c.incarnation === incarnation),
      lateLists: null,
    },
  };
}

/** The worker deregisters at its agent, and ends then or later. */
function farewellSteps(state: S, rules: WorkerLifeRules): Step<S>[] {
  const {agent, process} = state;
  const isKnown = agent.incarnation === process.incarnation;
  const received = isKnown ? withAgent(state, {hasFarewell: true}) : state;
  const next =
    isKnown && !rules.farewellIsNoEnd
      ? recordDeparture(received, rules)
      : received;
  return [
    {label: 'the worker deregisters and ends', next: endProcess(next)},
    {
      label: 'the worker deregisters, but the answer is lost',
      next: withProcess(next, {isLeaving: true}),
    },
  ];
}

/** Whether a worker that deregistered and refuses connections may be dropped. */
function mayConcludeDeparture(state: S, rules: WorkerLifeRules): boolean {
  const {agent, record} = state;
  if (isWithheld(state, record.run, rules)) return false;
  const isEmptied = agent.hasList && agent.entries.length === 0;
  return isEmptied || !rules.refusalIsNoEnd;
}

/** The agent stores the end of its worker, and the leader ends the runs there. */
function recordDeparture(state: S, rules: WorkerLifeRules): S {
  const {record, agent} = state;
  const {incarnation} = agent;
  const departed = {...discardWorker(state), departed: incarnation};
  const next = {...state, agent: departed};
  if (!isRecordedOn(state, incarnation)) return next;
  const end = agent.ends.find(e => e.run === record.run);
  return end && rules.departureKeepsEnds
    ? recordEnd(next, end)
    : endRecordedRun(next);
}

function discardWorker({agent}: S): AgentState {
  const {process, token, lost, departed} = agent;
  return {...NEW_AGENT, process, token, lost, departed};
}

function agentSteps(state: S, rules: WorkerLifeRules): Step<S>[] {
  const {agent, process, lateLists} = state;
  const steps: Step<S>[] = [];
  const answers = isAnswering(process);
  const newest = Math.max(agent.incarnation, agent.departed);
  if (answers && process.incarnation > newest)
    steps.push(findIncarnationStep(state, rules));
  if (canFail(state) && agent.process === 0)
    steps.push(restartAgentStep(state, rules));
  if (agent.incarnation === 0) return steps;
  if (answers) steps.push(...renewSteps(state, rules));
  if (lateLists)
    steps.push({
      label: 'late lists arrive',
      next: applyLists(
        {...state, lateLists: null},
        withoutWithheld(lateLists, state, rules),
        rules,
      ),
    });
  if (agent.hasFarewell && !answers && mayConcludeDeparture(state, rules))
    steps.push({
      label: 'the agent finds that the worker has left',
      next: recordDeparture(state, rules),
    });
  if (agent.hasList && !answers && agent.lost === 0)
    steps.push(leaseExpiryStep(state, rules));
  if (!agent.hasList) return steps;
  return steps.concat(
    agent.entries.flatMap(entry => entrySteps(state, entry, rules)),
  );
}

function findIncarnationStep(state: S, rules: WorkerLifeRules): Step<S> {
  const {agent, process} = state;
  const {incarnation} = process;
  const isFirst = agent.token % TOKENS_PER_AGENT === 0;
  const raised = isFirst || rules.tokensRiseByIncarnation;
  return {
    label: `the agent finds incarnation ${incarnation}`,
    next: {
      ...withAgent(state, {
        ...discardWorker(state),
        incarnation,
        token: agent.token + Number(raised),
        knowsLeases:
          agent.process === 0 || rules.restartedAgentAssumesFullLease,
        lost: rules.lossWaitsForList ? agent.lost : agent.incarnation,
      }),
      lateLists: null,
    },
  };
}

function restartAgentStep(state: S, rules: WorkerLifeRules): Step<S> {
  const process = state.agent.process + 1;
  const token = rules.tokensRiseByAgent ? process * TOKENS_PER_AGENT : 0;
  return {
    label: 'the agent restarts',
    next: {
      ...afterFault(state),
      agent: {...NEW_AGENT, process, token},
      lateLists: null,
    },
  };
}

function leaseExpiryStep(state: S, rules: WorkerLifeRules): Step<S> {
  const {incarnation, knowsLeases} = state.agent;
  const expired = knowsLeases ? expireLeases(state, rules) : state;
  return {
    label: 'the agent finds that all leases have expired',
    next: withAgent(expired, {lost: incarnation}),
  };
}

/** Acknowledgement that the agent's next call contains. */
function acknowledgementOf(state: S, rules: WorkerLifeRules): number {
  const {agent} = state;
  const mustVerify = rules.ackOnlyVerifiedIncarnation && !agent.isVerified;
  const mustWait =
    rules.acksWaitForLateStarts && hasLateCall(state, c => c.run > 0);
  return mustVerify || mustWait ? 0 : agent.acknowledged;
}

/** Whether such a call to the agent's present incarnation may still arrive. */
function hasLateCall(
  {lateCalls, agent}: S,
  isMatch: (call: LateCall) => boolean,
): boolean {
  return lateCalls.some(c => c.incarnation === agent.incarnation && isMatch(c));
}

function renewSteps(state: S, rules: WorkerLifeRules): Step<S>[] {
  const {agent, process} = state;
  const acknowledged = acknowledgementOf(state, rules);
  if (agent.token < process.token)
    return [
      {
        label: 'the worker refuses the call of the agent as fenced',
        next: withAgent(state, {token: process.token}),
      },
    ];
  const renewed = acknowledge(state, agent.token, acknowledged);
  if (process.incarnation !== agent.incarnation) {
    const lost = rules.lossWaitsForList ? agent.lost : agent.incarnation;
    const label = 'the agent learns that another incarnation answers';
    const discarded = {...discardWorker(renewed), lost};
    return [{label, next: {...renewed, agent: discarded, lateLists: null}}];
  }
  const lists = listsOf(renewed, rules);
  const listed = withAgent(renewed, {
    isVerified: true,
    knowsLeases: agent.knowsLeases || (agent.hasList && state.isLinkUp),
  });
  const steps = [
    {
      label: 'the worker lists its runs',
      next: applyLists(listed, lists, rules),
    },
  ];
  if (!canFail(state)) return steps;
  const hasUnconfirmed = agent.entries.some(e => !e.isRunning);
  if (state.lateLists === null && hasUnconfirmed)
    steps.push({
      label: 'the worker lists its runs, but the answer is late',
      next: {...afterFault(renewed), lateLists: lists},
    });
  if (acknowledged > 0)
    steps.push({
      label: 'a renewal is late',
      next: makeLate(state, {run: 0, acknowledged}),
    });
  return steps;
}

/** Carries out a renewal on the worker. */
function acknowledge(state: S, token: number, upTo: number): S {
  const {ends} = state.process;
  const dropsEnd = ends.some(e => e.number <= upTo && e.isDone);
  const next = withProcess(state, {
    token,
    ends: ends.filter(e => e.number > upTo),
  });
  return dropsEnd && state.record.phase !== Phase.DONE
    ? {...next, hasLostEnd: true}
    : next;
}

function makeLate(state: S, call: Pick<LateCall, 'run' | 'acknowledged'>): S {
  const {token, incarnation} = state.agent;
  const late = {...call, token, incarnation};
  const next = withAgent(afterFault(state), {isVerified: false});
  return {...next, lateCalls: [...state.lateCalls, late]};
}

/** Carries out a late call, or loses it. */
function lateCallSteps(state: S, call: LateCall): Step<S>[] {
  const {run, token, acknowledged, incarnation} = call;
  const rest = {
    ...state,
    lateCalls: state.lateCalls.filter(c => c !== call),
  };
  const {process} = state;
  const name = run > 0 ? `start of run ${run}` : 'renewal';
  const steps: Step<S>[] = [{label: `a late ${name} is lost`, next: rest}];
  if (!process.isUp || token < process.token) return steps;
  const isForeign = incarnation !== process.incarnation;
  const done =
    run > 0
      ? startRun(rest, run, token)
      : acknowledge(rest, token, acknowledged);
  const hasForeignLease = process.hasForeignLease || isForeign;
  steps.push({
    label: `a late ${name} is carried out`,
    next: withProcess(done, {hasForeignLease}),
  });
  return steps;
}

function canStart({process}: S, run: number): boolean {
  return run > process.closedRun && !process.running.includes(run);
}

function startRun(state: S, run: number, token: number): S {
  const known = withProcess(state, {token});
  if (!canStart(state, run)) return known;
  const started = withProcess(known, {
    running: [...state.process.running, run],
  });
  return state.record.phase === Phase.DONE
    ? {...started, startedAfterDone: true}
    : started;
}

/** The worker's lists, as far as ends may be concluded from them when they are requested. */
function listsOf(state: S, rules: WorkerLifeRules): LateLists {
  const {agent, process} = state;
  const runsOf = (entries: readonly EntryState[]): number[] =>
    entries.map(e => e.run);
  return withoutWithheld(
    {
      running: process.running,
      ends: process.ends,
      known: runsOf(agent.entries),
      confirmed: runsOf(agent.entries.filter(e => e.isRunning)),
      stopped: runsOf(agent.entries.filter(e => e.isStopAnswered)),
    },
    state,
    rules,
  );
}

function withoutWithheld(
  lists: LateLists,
  state: S,
  rules: WorkerLifeRules,
): LateLists {
  const mayEnd = (run: number): boolean => !isWithheld(state, run, rules);
  return {
    running: lists.running,
    ends: lists.ends.filter(e => mayEnd(e.run)),
    known: lists.known.filter(mayEnd),
    confirmed: lists.confirmed.filter(mayEnd),
    stopped: lists.stopped.filter(mayEnd),
  };
}

/** Applies the worker's lists, and refuses the runs that they show to be gone. */
function applyLists(state: S, lists: LateLists, rules: WorkerLifeRules): S {
  const {agent} = state;
  const newEnds = lists.ends.filter(
    e =>
      e.number > agent.acknowledged &&
      !agent.ends.some(known => known.number === e.number),
  );
  const ends = [...agent.ends, ...newEnds];
  const hasEnd = (run: number): boolean => ends.some(e => e.run === run);
  const entries = agent.entries
    .filter(e => !newEnds.some(end => end.run === e.run))
    .map(e => (lists.running.includes(e.run) ? {...e, isRunning: true} : e));
  for (const run of lists.running)
    if (!entries.some(e => e.run === run) && !hasEnd(run))
      entries.push({...newEntry(run), isRunning: true});
  const isGone = (entry: EntryState): boolean =>
    !lists.running.includes(entry.run) &&
    (lists.stopped.includes(entry.run) || isMissing(entry, lists, rules));
  const listed = withAgent(state, {ends, entries, hasList: true, lost: 0});
  return entries.filter(isGone).reduce((s, {run}) => refuse(s, run), listed);
}

function isMissing(
  {run, isRunning}: EntryState,
  lists: LateLists,
  rules: WorkerLifeRules,
): boolean {
  const earlier = rules.listEndsOnlyEarlierRuns ? lists.confirmed : lists.known;
  return isRunning && earlier.includes(run);
}

/** Removes a run from the table, and tells the leader that it is not on the worker. */
function refuse(state: S, run: number): S {
  const {agent, record, isLinkUp} = state;
  const next = withAgent(state, {
    entries: agent.entries.filter(e => e.run !== run),
  });
  const isRecorded =
    record.run === run && isRecordedOn(state, agent.incarnation);
  return isRecorded && isLinkUp ? endRecordedRun(next) : next;
}

function entrySteps(
  state: S,
  entry: EntryState,
  rules: WorkerLifeRules,
): Step<S>[] {
  if (entry.isStopping)
    return entry.isStopAnswered ? [] : stopSteps(state, entry.run);
  return entry.isRunning ? [] : startSteps(state, entry, rules);
}

function startSteps(
  state: S,
  {run, mayHaveStarted}: EntryState,
  rules: WorkerLifeRules,
): Step<S>[] {
  const {process, agent} = state;
  const steps: Step<S>[] = [
    {
      label: `the agent gives up the start of run ${run}`,
      next: mayHaveStarted
        ? withEntry(state, run, {isStopping: true})
        : refuse(state, run),
    },
  ];
  const mustWait =
    rules.startsWaitForLateAcks && hasLateCall(state, c => c.run === 0);
  if (!state.isLinkUp || !isAnswering(process) || mustWait) return steps;
  const unanswered = withEntry(state, run, {mayHaveStarted: true});
  if (canFail(state))
    steps.push({
      label: `the start of run ${run} is late`,
      next: makeLate(unanswered, {run, acknowledged: 0}),
    });
  if (agent.token < process.token || !canStart(state, run)) return steps;
  const started = startRun(state, run, agent.token);
  steps.push({
    label: `the worker starts run ${run}`,
    next: withEntry(started, run, {isRunning: true}),
  });
  if (canFail(state))
    steps.push({
      label: `the worker starts run ${run}, but the answer is lost`,
      next: withAgent(
        afterFault(withEntry(started, run, {mayHaveStarted: true})),
        {isVerified: false},
      ),
    });
  return steps;
}

function stopSteps(state: S, run: number): Step<S>[] {
  const {process, agent} = state;
  if (!isAnswering(process) || agent.token < process.token) return [];
  const closed = process.running.includes(run)
    ? endRun(state, run, false)
    : withProcess(state, {closedRun: Math.max(process.closedRun, run)});
  return [
    {
      label: `the worker stops run ${run}`,
      next: withEntry(withProcess(closed, {token: agent.token}), run, {
        isStopAnswered: true,
      }),
    },
  ];
}
