/**
 * Model of claim, dispatch, revocation and takeover of a request with an idempotency key.
 * The same request is sent to both of two gates, which share two agents.
 *
 * A history has up to two of these faults: a gate crashes, an agent restarts with empty
 * memory, the table service has an outage, a write is applied but its reply is lost, a
 * message is delivered twice. Each kind of fault occurs at most once. Messages may also
 * be delayed, reordered or lost at any time.
 */
import {type Model, type Step} from './explore.js';

/** Rules that can be weakened one at a time, to check that the search finds the fault. */
export interface ClaimRules {
  /** A gate reports `unknown`, not `not_run`, when it cannot write the claim. */
  readonly unknownWhenStoreIsDown: boolean;
  /** After a restart of the agent, the request may have run, so `unknown` is reported. */
  readonly restartMeansUnknown: boolean;
  /** Agents remember which attempts were revoked. */
  readonly revocationsAreRemembered: boolean;
  /** A claim is redirected by a write that is conditional on the row's version. */
  readonly redirectIsConditional: boolean;
  /** `not_run` is reported only after the row was closed. */
  readonly closeBeforeNotRun: boolean;
  /** A request sent before the row was closed does not reopen it. */
  readonly closeAppliesToEarlierSends: boolean;
  /** Messages name the agent's incarnation. Other incarnations drop them. */
  readonly messagesNameIncarnation: boolean;
  /** An agent that has run the request does not run it again. */
  readonly agentRunsOnce: boolean;
}

export const CLAIM_RULES: ClaimRules = {
  unknownWhenStoreIsDown: true,
  restartMeansUnknown: true,
  revocationsAreRemembered: true,
  redirectIsConditional: true,
  closeBeforeNotRun: true,
  closeAppliesToEarlierSends: true,
  messagesNameIncarnation: true,
  agentRunsOnce: true,
};

type Outcome = 'done' | 'not_run' | 'unknown';

interface Row {
  readonly state: 'open' | 'closed' | 'ended';
  readonly attempt: number;
  readonly agent: number;
  readonly incarnation: number;
  /** Incremented by each write. */
  readonly version: number;
}

interface Gate {
  readonly phase:
    | 'idle'
    | 'claiming'
    | 'claimed'
    | 'sent'
    | 'following'
    | 'closing'
    | 'reported'
    | 'crashed';
  readonly attempt: number;
  readonly agent: number;
  readonly incarnation: number;
  /** Row version that the next write is conditional on. 0 when no row was read. */
  readonly expectedVersion: number;
  /** True once a gate has reported `not_run` after this gate received the request. */
  readonly sentBeforeNotRun: boolean;
  readonly outcome: Outcome | '';
}

interface Agent {
  readonly incarnation: number;
  readonly ran: boolean;
  readonly revokedAttempt: number;
}

interface Message {
  readonly kind: 'dispatch' | 'revoke' | 'refused' | 'started';
  readonly gate: number;
  readonly agent: number;
  readonly incarnation: number;
  readonly attempt: number;
}

export interface ClaimState {
  readonly row: Row | null;
  readonly storeUp: boolean;
  readonly gates: readonly Gate[];
  readonly agents: readonly Agent[];
  readonly inFlight: readonly Message[];
  readonly gateCrashes: number;
  readonly agentCrashes: number;
  readonly outages: number;
  readonly lostReplies: number;
  readonly duplicates: number;
  /** Attempts in which the request ran. */
  readonly runs: readonly number[];
  /** Highest attempt for which `not_run` was reported. */
  readonly reportedNotRun: number;
  /** True once `not_run` was reported after a run. */
  readonly reportedNotRunAfterRun: boolean;
  /** True once a request sent before a close ran after it. */
  readonly ranAfterClose: boolean;
}

const MAX_ATTEMPT = 2;
const MAX_FAULTS_PER_HISTORY = 2;
const IDLE_GATE: Gate = {
  phase: 'idle',
  attempt: 0,
  agent: 0,
  incarnation: 0,
  expectedVersion: 0,
  sentBeforeNotRun: false,
  outcome: '',
};
const FRESH_AGENT: Agent = {incarnation: 0, ran: false, revokedAttempt: 0};

export function makeClaimModel(rules: ClaimRules): Model<ClaimState> {
  return {
    name: 'claim',
    initial: {
      row: null,
      storeUp: true,
      gates: [IDLE_GATE, IDLE_GATE],
      agents: [FRESH_AGENT, FRESH_AGENT],
      inFlight: [],
      gateCrashes: 0,
      agentCrashes: 0,
      outages: 0,
      lostReplies: 0,
      duplicates: 0,
      runs: [],
      reportedNotRun: 0,
      reportedNotRunAfterRun: false,
      ranAfterClose: false,
    },
    steps: state =>
      [
        ...faultSteps(state),
        ...[0, 1].flatMap(g => gateSteps(state, g, rules)),
        ...state.inFlight.flatMap(m => deliver(state, m, rules)),
      ].map(({label, next}) => ({
        label,
        next: dropIneffectiveMessages(next, rules),
      })),
    invariants: [
      {name: 'the request runs at most once', holds: s => s.runs.length <= 1},
      {
        name: 'a request sent before not_run was reported does not run after it',
        holds: s => !s.ranAfterClose,
      },
      {
        name: 'not_run is never reported after a run',
        holds: s => !s.reportedNotRunAfterRun,
      },
      {
        name: 'not_run implies that no attempt up to it ran',
        holds: s => s.runs.every(attempt => attempt > s.reportedNotRun),
      },
    ],
    goals: [
      {
        name: 'a caller receives done',
        holds: s => s.gates.some(g => g.outcome === 'done'),
      },
      {
        name: 'a caller receives not_run',
        holds: s => s.gates.some(g => g.outcome === 'not_run'),
      },
      {
        name: 'a caller receives unknown',
        holds: s => s.gates.some(g => g.outcome === 'unknown'),
      },
      {
        name: 'the request runs in a later attempt',
        holds: s => s.runs.some(a => a > 1),
      },
      {
        name: 'both callers receive done',
        holds: s => s.gates.every(g => g.outcome === 'done'),
      },
    ],
  };
}

/** Drops messages without effect, so that states that differ only in these are equal. */
function dropIneffectiveMessages(
  state: ClaimState,
  rules: ClaimRules,
): ClaimState {
  const inFlight = state.inFlight.filter(message => {
    if (message.kind === 'refused' || message.kind === 'started') {
      return isAwaited(state, message);
    }
    if (!rules.messagesNameIncarnation) return true;
    return message.incarnation === state.agents[message.agent].incarnation;
  });
  return inFlight.length === state.inFlight.length
    ? state
    : {...state, inFlight};
}

function isAwaited(state: ClaimState, message: Message): boolean {
  const gate = state.gates[message.gate];
  const isWaiting = gate.phase === 'sent' || gate.phase === 'following';
  return (
    isWaiting &&
    gate.attempt === message.attempt &&
    gate.agent === message.agent
  );
}

function replaceAt<T>(
  list: readonly T[],
  index: number,
  change: Partial<T>,
): T[] {
  return list.map((item, i) => (i === index ? {...item, ...change} : item));
}

function withGate(
  state: ClaimState,
  g: number,
  change: Partial<Gate>,
): ClaimState {
  return {...state, gates: replaceAt(state.gates, g, change)};
}

function send(state: ClaimState, message: Message): ClaimState {
  if (state.inFlight.some(m => compareMessages(m, message) === 0)) return state;
  return {
    ...state,
    inFlight: [...state.inFlight, message].sort(compareMessages),
  };
}

/** Sorts messages, so that states that differ only in their order are equal. */
function compareMessages(a: Message, b: Message): number {
  return (
    Number(a.kind > b.kind) - Number(a.kind < b.kind) ||
    a.gate - b.gate ||
    a.agent - b.agent ||
    a.incarnation - b.incarnation ||
    a.attempt - b.attempt
  );
}

function withoutMessage(state: ClaimState, message: Message): ClaimState {
  return {...state, inFlight: state.inFlight.filter(m => m !== message)};
}

/** True when a fault of a kind that has occurred `count` times may occur again. */
function mayInjectFault(state: ClaimState, count: number): boolean {
  const {gateCrashes, agentCrashes, outages, lostReplies, duplicates} = state;
  const sum = gateCrashes + agentCrashes + outages + lostReplies + duplicates;
  return count < 1 && sum < MAX_FAULTS_PER_HISTORY;
}

function faultSteps(state: ClaimState): Step<ClaimState>[] {
  const steps: Step<ClaimState>[] = [];
  if (state.storeUp && mayInjectFault(state, state.outages))
    steps.push({
      label: 'outage begins',
      next: {...state, storeUp: false, outages: 1},
    });
  if (!state.storeUp)
    steps.push({label: 'outage ends', next: {...state, storeUp: true}});
  state.gates.forEach((gate, g) => {
    if (
      !mayInjectFault(state, state.gateCrashes) ||
      gate.phase === 'idle' ||
      gate.phase === 'reported' ||
      gate.phase === 'crashed'
    )
      return;
    steps.push({
      label: `gate ${g} crashes`,
      next: {
        ...withGate(state, g, {...IDLE_GATE, phase: 'crashed'}),
        gateCrashes: 1,
      },
    });
  });
  state.agents.forEach((agent, a) => {
    if (!mayInjectFault(state, state.agentCrashes)) return;
    const agents = replaceAt(state.agents, a, {
      incarnation: agent.incarnation + 1,
      ran: false,
      revokedAttempt: 0,
    });
    // The restart closes the connection, and its undelivered messages are lost.
    const inFlight = state.inFlight.filter(m => m.agent !== a);
    steps.push({
      label: `agent ${a} restarts`,
      next: {...state, agents, inFlight, agentCrashes: 1},
    });
  });
  return steps;
}

function gateSteps(
  state: ClaimState,
  g: number,
  rules: ClaimRules,
): Step<ClaimState>[] {
  const gate = state.gates[g];
  switch (gate.phase) {
    case 'idle':
      return firstSendSteps(state, g);
    case 'claiming':
      return claimSteps(state, g, rules);
    case 'claimed':
      return [
        {
          label: `gate ${g} dispatches attempt ${gate.attempt} to agent ${gate.agent}`,
          next: send(withGate(state, g, {phase: 'sent'}), {
            kind: 'dispatch',
            gate: g,
            agent: gate.agent,
            incarnation: gate.incarnation,
            attempt: gate.attempt,
          }),
        },
      ];
    case 'sent':
    case 'following':
      return waitingSteps(state, g, rules);
    case 'closing':
      return closeSteps(state, g, rules);
    default:
      return [];
  }
}

/** Gates and agents are symmetric, so gate 0 sends first, and to agent 0. */
function firstSendSteps(state: ClaimState, g: number): Step<ClaimState>[] {
  if (g > 0 && state.gates[0].phase === 'idle') return [];
  const agents = g === 0 ? [0] : [0, 1];
  return agents.map(a =>
    chooseAgent(
      state,
      g,
      a,
      `the caller sends to gate ${g}, which chooses agent ${a}`,
    ),
  );
}

function chooseAgent(
  state: ClaimState,
  g: number,
  a: number,
  label: string,
): Step<ClaimState> {
  const gate = state.gates[g];
  const next = withGate(state, g, {
    phase: 'claiming',
    attempt: gate.attempt + 1,
    agent: a,
    incarnation: state.agents[a].incarnation,
  });
  return {label, next};
}

/** Writes the claim row, conditional on the version that the gate read last. */
function claimSteps(
  state: ClaimState,
  g: number,
  rules: ClaimRules,
): Step<ClaimState>[] {
  const gate = state.gates[g];
  if (!state.storeUp) {
    const outcome: Outcome = rules.unknownWhenStoreIsDown
      ? 'unknown'
      : 'not_run';
    return [
      reportOutcome(state, g, outcome, `gate ${g} cannot write its claim`),
    ];
  }
  const version = state.row?.version ?? 0;
  const versionMatches = version === gate.expectedVersion;
  const row: Row = {
    state: 'open',
    attempt: gate.attempt,
    agent: gate.agent,
    incarnation: gate.incarnation,
    version: version + 1,
  };
  if (!versionMatches && rules.redirectIsConditional)
    return [readOtherClaim(state, g, rules)];
  if (state.row?.state === 'ended') return [readOtherClaim(state, g, rules)];
  const claimed = {
    ...withGate(state, g, {phase: 'claimed', expectedVersion: row.version}),
    row,
  };
  const steps: Step<ClaimState>[] = [
    {
      label: `gate ${g} writes the claim of attempt ${gate.attempt} at agent ${gate.agent}`,
      next: claimed,
    },
  ];
  if (mayInjectFault(state, state.lostReplies)) {
    const replyLost = reportOutcome(
      {...state, row, lostReplies: 1},
      g,
      'unknown',
      `gate ${g} writes its claim, but the reply is lost`,
    );
    steps.push(replyLost);
  }
  return steps;
}

/** Follows or reopens the claim that another gate wrote, or reports its outcome. */
function readOtherClaim(
  state: ClaimState,
  g: number,
  rules: ClaimRules,
): Step<ClaimState> {
  const row = state.row!;
  if (row.state === 'ended')
    return reportOutcome(
      state,
      g,
      'unknown',
      `gate ${g} reads that the claim ended`,
    );
  if (
    row.state === 'closed' &&
    state.gates[g].sentBeforeNotRun &&
    rules.closeAppliesToEarlierSends
  ) {
    return reportOutcome(
      state,
      g,
      'not_run',
      `gate ${g} finds its claim closed`,
    );
  }
  if (row.state === 'closed' && row.attempt >= MAX_ATTEMPT) {
    return reportOutcome(state, g, 'unknown', `gate ${g} has no attempt left`);
  }
  if (row.state === 'closed') {
    const next = withGate(state, g, {
      phase: 'claiming',
      attempt: row.attempt + 1,
      expectedVersion: row.version,
    });
    return {label: `gate ${g} reads a closed claim`, next};
  }
  const next = withGate(state, g, {
    phase: 'following',
    attempt: row.attempt,
    agent: row.agent,
    incarnation: row.incarnation,
    expectedVersion: row.version,
  });
  return {label: `gate ${g} follows attempt ${row.attempt}`, next};
}

function waitingSteps(
  state: ClaimState,
  g: number,
  rules: ClaimRules,
): Step<ClaimState>[] {
  const gate = state.gates[g];
  const agent = state.agents[gate.agent];
  if (agent.incarnation !== gate.incarnation)
    return [agentRestartedStep(state, g, rules)];
  const revocation: Message = {
    kind: 'revoke',
    gate: g,
    agent: gate.agent,
    incarnation: gate.incarnation,
    attempt: gate.attempt,
  };
  return [
    {
      label: `gate ${g} asks agent ${gate.agent} to revoke attempt ${gate.attempt}`,
      next: send(state, revocation),
    },
    reportOutcome(state, g, 'unknown', `the deadline passes at gate ${g}`),
  ];
}

function agentRestartedStep(
  state: ClaimState,
  g: number,
  rules: ClaimRules,
): Step<ClaimState> {
  const gate = state.gates[g];
  if (!rules.restartMeansUnknown) return retryOrClose(state, g, gate.agent)[0];
  if (!state.storeUp)
    return reportOutcome(
      state,
      g,
      'unknown',
      `gate ${g} detects that agent ${gate.agent} restarted`,
    );
  const matches =
    state.row?.version === gate.expectedVersion && state.row.state === 'open';
  const row: Row | null = matches
    ? {...state.row!, state: 'ended', version: state.row!.version + 1}
    : state.row;
  return reportOutcome(
    {...state, row},
    g,
    'unknown',
    `gate ${g} ends the claim because agent ${gate.agent} restarted`,
  );
}

/** The attempt never started, so the claim is redirected to the other agent or closed. */
function retryOrClose(
  state: ClaimState,
  g: number,
  from: number,
): Step<ClaimState>[] {
  const gate = state.gates[g];
  const steps: Step<ClaimState>[] = [
    {
      label: `gate ${g} stops retrying`,
      next: withGate(state, g, {phase: 'closing'}),
    },
  ];
  if (gate.attempt < MAX_ATTEMPT)
    steps.unshift(
      chooseAgent(
        state,
        g,
        1 - from,
        `gate ${g} redirects the claim to agent ${1 - from}`,
      ),
    );
  return steps;
}

function closeSteps(
  state: ClaimState,
  g: number,
  rules: ClaimRules,
): Step<ClaimState>[] {
  const gate = state.gates[g];
  if (!rules.closeBeforeNotRun)
    return [
      reportOutcome(
        state,
        g,
        'not_run',
        `gate ${g} reports not_run without closing`,
      ),
    ];
  if (!state.storeUp)
    return [
      reportOutcome(state, g, 'unknown', `gate ${g} cannot close the claim`),
    ];
  const matches =
    state.row?.version === gate.expectedVersion && state.row.state === 'open';
  if (!matches) return [readOtherClaim(state, g, rules)];
  const closed = {
    ...state,
    row: {
      ...state.row!,
      state: 'closed' as const,
      version: state.row!.version + 1,
    },
  };
  return [reportOutcome(closed, g, 'not_run', `gate ${g} closes the claim`)];
}

function reportOutcome(
  state: ClaimState,
  g: number,
  outcome: Outcome,
  cause: string,
): Step<ClaimState> {
  const gate = state.gates[g];
  const reported = withGate(state, g, {phase: 'reported', outcome});
  const gates =
    outcome === 'not_run'
      ? reported.gates.map(recordSentBeforeNotRun)
      : reported.gates;
  const reportedNotRun =
    outcome === 'not_run'
      ? Math.max(state.reportedNotRun, gate.attempt)
      : state.reportedNotRun;
  const reportedNotRunAfterRun =
    state.reportedNotRunAfterRun ||
    (outcome === 'not_run' && state.runs.length > 0);
  return {
    label: `${cause}: ${outcome}`,
    next: {...reported, gates, reportedNotRun, reportedNotRunAfterRun},
  };
}

function recordSentBeforeNotRun(gate: Gate): Gate {
  return gate.phase === 'idle' ? gate : {...gate, sentBeforeNotRun: true};
}

function deliver(
  state: ClaimState,
  message: Message,
  rules: ClaimRules,
): Step<ClaimState>[] {
  const rest = withoutMessage(state, message);
  const isForFormerIncarnation =
    message.incarnation !== state.agents[message.agent].incarnation;
  if (isForFormerIncarnation && rules.messagesNameIncarnation) {
    return [
      {label: 'a message to a former incarnation is dropped', next: rest},
    ];
  }
  if (message.kind === 'dispatch') {
    const steps = deliverDispatch(rest, message, rules);
    if (!mayInjectFault(state, state.duplicates)) return steps;
    const duplicated = deliverDispatch(
      {...state, duplicates: 1},
      message,
      rules,
    );
    return [...steps, ...duplicated];
  }
  if (message.kind === 'revoke')
    return [deliverRevocation(rest, message, rules)];
  return deliverReply(rest, message);
}

function deliverDispatch(
  state: ClaimState,
  message: Message,
  rules: ClaimRules,
): Step<ClaimState>[] {
  const agent = state.agents[message.agent];
  const refused = revokeAt(state, message, rules);
  if (agent.revokedAttempt >= message.attempt)
    return [
      {
        label: `agent ${message.agent} refuses attempt ${message.attempt}: revoked`,
        next: refused,
      },
    ];
  const started = send(state, {...message, kind: 'started'});
  if (agent.ran && rules.agentRunsOnce)
    return [
      {
        label: `agent ${message.agent} has already run the request`,
        next: started,
      },
    ];
  const agents = replaceAt(state.agents, message.agent, {ran: true});
  return [
    {
      label: `agent ${message.agent} runs attempt ${message.attempt}`,
      next: {
        ...started,
        agents,
        runs: [...state.runs, message.attempt],
        ranAfterClose:
          state.ranAfterClose || state.gates[message.gate].sentBeforeNotRun,
      },
    },
    {
      label: `agent ${message.agent} refuses attempt ${message.attempt}: no free capacity`,
      next: refused,
    },
  ];
}

function deliverRevocation(
  state: ClaimState,
  message: Message,
  rules: ClaimRules,
): Step<ClaimState> {
  const agent = state.agents[message.agent];
  if (agent.ran)
    return {
      label: `agent ${message.agent} reports that the request started`,
      next: send(state, {...message, kind: 'started'}),
    };
  return {
    label: `agent ${message.agent} revokes attempt ${message.attempt}`,
    next: revokeAt(state, message, rules),
  };
}

function revokeAt(
  state: ClaimState,
  message: Message,
  rules: ClaimRules,
): ClaimState {
  const agent = state.agents[message.agent];
  const revokedAttempt = rules.revocationsAreRemembered
    ? Math.max(agent.revokedAttempt, message.attempt)
    : agent.revokedAttempt;
  const revoked = {
    ...state,
    agents: replaceAt(state.agents, message.agent, {revokedAttempt}),
  };
  return send(revoked, {...message, kind: 'refused'});
}

function deliverReply(state: ClaimState, message: Message): Step<ClaimState>[] {
  if (message.kind === 'started')
    return [
      reportOutcome(
        state,
        message.gate,
        'done',
        `gate ${message.gate} receives the answer`,
      ),
    ];
  return retryOrClose(state, message.gate, message.agent);
}
