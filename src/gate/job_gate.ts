/** Gate: answers callers from its copy of the rows, and schedules jobs while it leads. */
import {type Clock} from '../core/clock.js';
import {HybridClock} from '../core/hybrid_clock.js';
import {type Random} from '../core/random.js';
import {type EvacuationNotice} from '../jobs/evacuations.js';
import {JobIndex} from '../jobs/job_index.js';
import {type JobTables} from '../jobs/job.js';
import {
  type EngineOptions,
  type JobEngine,
  LossProof,
} from '../jobs/job_engine.js';
import {
  type GateRow,
  type LeaderRow,
  type RowKind,
  decodeGateRow,
  decodeLeaderRow,
  encodeGateRow,
  leaderAddressOf,
  parseRowKey,
  rowKeys,
} from '../jobs/job_rows.js';
import {LeaderElection} from '../jobs/leader_election.js';
import {StoreContact} from '../jobs/store_contact.js';
import {type EventLog, type ComponentLog} from '../plugins/event_log.js';
import {LoopDelayMonitor} from '../plugins/loop_delay_monitor.js';
import {type Metrics} from '../plugins/metrics.js';
import {sleep} from '../plugins/sleep.js';
import {type StateStore, type StoredRow} from '../ports/state_store.js';
import {
  type AgentMessage,
  type AgentReport,
  type GateAnswer,
} from '../protocol/job_messages.js';
import {AgentServer} from './agent_server.js';
import {GateRegistry} from './gate_registry.js';
import {JobService} from './job_service.js';
import {RowFollower} from './row_follower.js';
import {LEADER_TICK_MS, LeaderRole} from './leader_role.js';

/** Interval at which the gate checks its address row and those of others, in ms. */
const ADDRESS_CHECK_INTERVAL_MS = 5000;
const ADDRESS_WRITE_TIMEOUT_MS = 3000;
/** Age at which the record of a terminated worker is removed, in ms. */
const DEPARTURE_MAX_AGE_MS = 60_000; // far longer than leases and jumps of the wall clock
/** Maximum number of such records that one transaction removes. */
const MAX_REMOVED_DEPARTURES = 50;
/** Commits of an idle leader within the takeover time. */
const COMMITS_PER_TAKEOVER_TIME = 4; // tolerates two lost commits in a row

export interface JobGateOptions {
  readonly name: string;
  readonly incarnation: string;
  /** Processor capacity of the instance, in cores. */
  readonly cores: number;
  readonly linkHost: string;
  /** 0 selects any free port. */
  readonly linkPort: number;
  readonly times: JobTimes;
}

/** Times that must be equal in all processes of a deployment, in ms. */
export interface JobTimes {
  /** Time without a commit after which another gate takes over. */
  readonly takeoverMs: number;
  /** Maximum random addition to `takeoverMs`, so that gates don't all try at once. */
  readonly takeoverSpreadMs: number;
  /** Additional delay of a gate without processor capacity; see `ElectionTimes`. */
  readonly weaknessDelayMs: number;
  /** Time without a received message after which a link is closed. */
  readonly linkTimeoutMs: number;
  /** Time without contact after which all leases that an agent renewed have expired. */
  readonly contactTimeoutMs: number;
  /** Time for which an ended job can be queried. */
  readonly endedJobRetentionMs: number;
}

export interface JobGateContext {
  /** What agents are told of evacuations; undefined if there is nothing to tell. */
  readonly evacuations: () => EvacuationNotice | undefined;
  readonly store: StateStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly logs: EventLog;
  readonly metrics: Metrics;
}

export class JobGate {
  readonly jobService: JobService;
  private readonly jobIndex = new JobIndex();
  private readonly election: LeaderElection;
  private readonly leaderRole: LeaderRole;
  private readonly follower: RowFollower;
  private readonly agents: AgentServer;
  private readonly gates: GateRegistry;
  private readonly storeContact = new StoreContact();
  private readonly log: ComponentLog;
  private ticker: NodeJS.Timeout | undefined;
  private readonly loopDelay: LoopDelayMonitor;
  private addressesCheckedAtMs = -Infinity;
  private linkAddress = '';
  /** Epoch and holder that the linked agents were told last. */
  private announcedLeader = '';
  private isStopping = false;
  private tables: JobTables | undefined;

  constructor(
    private readonly options: JobGateOptions,
    private readonly ctx: JobGateContext,
  ) {
    const {store, clock, random, metrics} = ctx;
    this.log = ctx.logs.forComponent('gate');
    this.loopDelay = new LoopDelayMonitor(LEADER_TICK_MS, {
      clock,
      metrics,
      log: this.log,
    });
    this.gates = new GateRegistry(options.name);
    this.election = new LeaderElection(
      {
        takeoverMs: options.times.takeoverMs,
        spreadMs: options.times.takeoverSpreadMs,
        weaknessDelayMs: options.times.weaknessDelayMs,
      },
      clock.nowMs(),
      () => random.next(),
    );
    this.leaderRole = this.createLeaderRole();
    this.follower = new RowFollower(
      store,
      {
        onReset: () => this.jobIndex.clear(),
        onRow: row => this.onRow(row),
        onSynced: version => this.leaderRole.onSynced(version),
      },
      {clock, random, log: ctx.logs.forComponent('rows')},
    );
    this.jobService = new JobService(store, this.jobIndex, {
      clock,
      log: ctx.logs.forComponent('jobs'),
      metrics,
      freshAsOfMs: () => this.follower.freshAsOfMs,
      capacities: () => this.jobIndex.capacities,
    });
    this.agents = new AgentServer(
      {host: options.linkHost, port: options.linkPort},
      {
        clock,
        hybridClock: new HybridClock(clock),
        timeoutMs: options.times.linkTimeoutMs,
      },
      ctx.logs.forComponent('agents'),
      message => this.onAgentMessage(message),
    );
  }

  /** Starts the gate; resolves with its link address for agents. */
  async start(): Promise<string> {
    const port = await this.agents.listening();
    this.linkAddress = `${this.options.linkHost}:${port}`;
    void this.follower.run();
    this.ticker = setInterval(() => this.tick(), LEADER_TICK_MS);
    return this.linkAddress;
  }

  /** Sets the operators' tables. The gate does not take leadership before this call. */
  setTables(tables: JobTables): void {
    this.tables = tables;
    this.leaderRole.setTables(tables);
  }

  /** Sets the data centres in which nothing is started, and tells the linked agents. */
  setEvacuations(dataCentres: ReadonlySet<string>): void {
    this.leaderRole.setEvacuations(dataCentres);
    this.agents.broadcast(this.createAnswer(0));
  }

  /** Whether the copy of the rows is recent enough to answer callers. */
  get isReady(): boolean {
    return !this.isStopping && this.jobService.isFresh;
  }

  /** Whether this gate has lost the store, and another one has reached it since. */
  get isStoreReachedByOthers(): boolean {
    const nowMs = this.ctx.clock.nowMs();
    return this.storeContact.isNewerThan(this.storeAgeMs(nowMs), nowMs);
  }

  /** Time since this gate last reached the store, in ms; infinite before the first read. */
  private storeAgeMs(nowMs: number): number {
    return Math.max(0, nowMs - this.follower.freshAsOfMs);
  }

  get isLeader(): boolean {
    return this.leaderRole.engine !== undefined;
  }

  /** Releases leadership. Callers are still answered. */
  async releaseLeadership(): Promise<void> {
    this.isStopping = true;
    await this.leaderRole.releaseLeadership();
  }

  /** Releases leadership and stops the gate. */
  async stop(): Promise<void> {
    await this.releaseLeadership();
    await this.stopWithoutRelease();
  }

  /** Stops the gate without releasing leadership, like a crash. */
  async stopWithoutRelease(): Promise<void> {
    this.isStopping = true;
    this.leaderRole.stopWithoutRelease();
    clearInterval(this.ticker);
    this.follower.stop();
    this.agents.close();
    await this.ctx.store.close();
  }

  private createLeaderRole(): LeaderRole {
    const {store, clock, random, logs, metrics} = this.ctx;
    const engineLog = logs.forComponent('engine');
    const engineOptions: EngineOptions = {
      contactTimeoutMs: this.options.times.contactTimeoutMs,
      endedJobRetentionMs: this.options.times.endedJobRetentionMs,
      onEvent: ({event, ...fields}) => {
        metrics.increment(`engine_${event}`);
        if (event === 'placed')
          metrics.recordDuration('placing', fields.ms ?? 0);
        if (event === 'headroom')
          metrics.setGauge('headroom_workers', fields.workers ?? 0);
        if (event === 'preempted' && fields.times! > 1)
          metrics.increment('preempted_again');
        if (event === 'runLost' && fields.proof)
          metrics.increment(`runs_concluded_${fields.proof}`);
        engineLog.logEvent(event, fields);
      },
      onDiscarded: (cause, lostCoreMs) =>
        metrics.increment(`discarded_core_ms_${cause}`, lostCoreMs),
    };
    return new LeaderRole(
      store,
      this.election,
      this.jobIndex,
      {version: 0, queues: new Map(), workspaces: new Map()},
      {
        onOrders: (epoch, orders) => this.agents.sendOrders(epoch, orders),
        onLeadershipChange: () => this.onLeadershipChange(),
      },
      {
        clock,
        random,
        log: logs.forComponent('seat'),
        metrics,
        incarnation: this.options.incarnation,
        address: () => this.linkAddress,
        engineOptions,
        maxCommitIntervalMs:
          this.options.times.takeoverMs / COMMITS_PER_TAKEOVER_TIME,
        takeoverMs: this.options.times.takeoverMs,
      },
    );
  }

  private tick(): void {
    this.loopDelay.recordTick();
    this.agents.closeTimedOutLinks();
    if (this.follower.syncedVersion < 0) return;
    if (this.tables) this.leaderRole.tick(this.follower.freshAsOfMs);
    const nowMs = this.ctx.clock.nowMs();
    if (
      nowMs - this.addressesCheckedAtMs >= ADDRESS_CHECK_INTERVAL_MS &&
      !this.isStopping
    )
      void this.writeAddress(nowMs);
  }

  private onLeadershipChange(): void {
    this.follower.isLowLatency = this.isLeader;
    this.agents.broadcast(this.createAnswer(0));
  }

  private onRow(row: StoredRow): void {
    const kind = parseRowKey(row.key);
    if (!kind) {
      this.log.logFailure('rowUnknown', {key: row.key});
      return;
    }
    try {
      this.applyRow(kind, row);
    } catch (err) {
      this.log.logFailure('rowUnreadable', {
        key: row.key,
        version: row.version,
        reason: (err as Error).message,
      });
    }
  }

  private applyRow(kind: RowKind, row: StoredRow): void {
    const nowMs = this.ctx.clock.nowMs();
    if (kind.kind === 'seat') {
      if (!row.value) return;
      const leaderRow = decodeLeaderRow(row.value);
      this.election.observe({row: leaderRow, version: row.version}, nowMs);
      this.leaderRole.onEpoch(leaderRow.epoch);
      this.announceLeader(leaderRow);
      return;
    }
    if (kind.kind === 'gate') {
      if (row.value) this.applyGateRow(kind.name, decodeGateRow(row.value));
      else this.gates.delete(kind.name);
      this.election.setRelativeCapacity(
        this.gates.relativeCapacity(this.options.cores),
      );
      this.agents.setGates(this.gates.addresses);
      return;
    }
    this.jobIndex.apply(kind, row);
    if (row.value) this.forwardToEngine(kind, nowMs);
  }

  /** Tells the linked agents which gate leads, whenever that changes. */
  private announceLeader({epoch, holder}: LeaderRow): void {
    const announced = `${epoch} ${holder}`;
    if (announced === this.announcedLeader) return;
    this.announcedLeader = announced;
    this.agents.broadcast(this.createAnswer(0));
  }

  private applyGateRow(name: string, row: GateRow): void {
    this.gates.set(name, row);
    const isOwnRow = row.incarnation === this.options.incarnation;
    // Only one process can listen at an address, so the row's process has terminated.
    if (isOwnRow || row.address !== this.linkAddress) return;
    this.election.recordTerminated(row.incarnation);
    this.log.logEvent('earlierGateGone', {incarnation: row.incarnation});
  }

  private forwardToEngine(kind: RowKind, nowMs: number): void {
    const {engine} = this.leaderRole;
    if (!engine) return;
    if (kind.kind === 'job') {
      const spec = this.jobIndex.jobs.get(kind.job)?.spec;
      if (spec) engine.addJob(spec, nowMs, this.ctx.clock.wallMs());
      if (this.jobIndex.jobs.get(kind.job)?.isCancelled)
        engine.cancelJob(kind.job, nowMs);
    } else if (kind.kind === 'cancel') engine.cancelJob(kind.job, nowMs);
    else if (kind.kind === 'departure') {
      const departure = this.jobIndex.departures.get(kind.worker);
      if (departure) engine.recordDeparture(kind.worker, departure.ends, nowMs);
    } else return;
    this.leaderRole.scheduleFlush();
  }

  private onAgentMessage(message: AgentMessage): GateAnswer {
    this.ctx.metrics.increment(`agent_${message.type}s`);
    this.leaderRole.onEpoch(message.epoch);
    const {engine} = this.leaderRole;
    this.storeContact.record(message.storeAgeMs, this.ctx.clock.nowMs());
    // The answer may extend leases, so each answered message counts as contact.
    engine?.recordContact(message.agent, this.ctx.clock.nowMs());
    if (engine && message.type === 'report') this.applyReport(engine, message);
    return this.createAnswer(message.sentAtMs);
  }

  private applyReport(engine: JobEngine, report: AgentReport): void {
    const nowMs = this.ctx.clock.nowMs();
    const {inventory, agent, refusals, lost, hasNoRuns, crash} = report;
    for (const refusal of refusals) engine.recordRefusal(refusal, nowMs);
    // Known ends come first, since what follows takes the other runs there for lost.
    if (lost?.ends) engine.recordEnds(agent, lost.worker, lost.ends, nowMs);
    // A crash comes before the loss, which ends the runs on the worker without blame.
    if (crash) engine.recordCrash(agent, crash, inventory, nowMs);
    if (lost)
      engine.markWorkerLost(
        lost.worker,
        lost.reason,
        nowMs,
        LossProof.AGENT_REPORT,
      );
    if (hasNoRuns) engine.markAllWorkersLost(agent, nowMs);
    if (inventory) engine.recordInventory(agent, inventory, nowMs);
    else engine.recordUnreachable(agent, nowMs);
    this.leaderRole.scheduleFlush();
  }

  private createAnswer(sentAtMs: number): GateAnswer {
    const storeAgeMs = this.storeAgeMs(this.ctx.clock.nowMs());
    return {
      type: 'answer',
      sentAtMs,
      epoch: this.leaderRole.epoch,
      leads: this.isLeader,
      extendsLeases: this.isLeader && this.leaderRole.isLeadershipCertain,
      leaderAddress: this.leaderAddress,
      evacuations: this.ctx.evacuations(),
      storeAgeMs: Number.isFinite(storeAgeMs) ? storeAgeMs : undefined,
    };
  }

  private get leaderAddress(): string | undefined {
    if (this.leaderRole.isElected) return this.linkAddress;
    const {observedRow} = this.election;
    return observedRow && leaderAddressOf(observedRow.row);
  }

  /** Rows about workers that terminated so long ago that no run is recorded there. */
  private expiredDepartures(wallMs: number): string[] {
    return [...this.jobIndex.departures]
      .filter(
        ([, {writtenWallMs}]) => wallMs - writtenWallMs > DEPARTURE_MAX_AGE_MS,
      )
      .slice(0, MAX_REMOVED_DEPARTURES)
      .map(([worker]) => rowKeys.departure(worker));
  }

  /** Writes the gate's address row and removes rows of terminated gates and workers. */
  private async writeAddress(nowMs: number): Promise<void> {
    this.addressesCheckedAtMs = nowMs;
    const {name, incarnation, cores} = this.options;
    const wallMs = this.ctx.clock.wallMs();
    const row = {
      address: this.linkAddress,
      incarnation,
      writtenWallMs: wallMs,
      cores,
    };
    const expired = this.gates.expiredNames(wallMs).map(rowKeys.gate);
    if (this.isLeader) expired.push(...this.expiredDepartures(wallMs));
    if (this.gates.isStored(row) && expired.length === 0) return;
    const result = await this.ctx.store.transact(
      {
        expect: [],
        put: [{key: rowKeys.gate(name), value: encodeGateRow(row)}],
        remove: expired,
      },
      ADDRESS_WRITE_TIMEOUT_MS,
    );
    if (result.type !== 'committed')
      this.log.logFailure('addressNotWritten', {result: result.type});
  }

  /** Waits until all rows have been read once. */
  async waitUntilSynced(): Promise<void> {
    while (this.follower.syncedVersion < 0) await sleep(LEADER_TICK_MS);
  }
}
