/** Agent: renews the leases of its worker's runs, reports them and executes orders. */
import {type Clock} from '../core/clock.js';
import {readClocks, type ClockReading} from '../core/clock_reading.js';
import {HybridClock} from '../core/hybrid_clock.js';
import {
  type LeaderRow,
  encodeDeparture,
  leaderAddressOf,
  rowKeys,
} from '../jobs/job_rows.js';
import {
  type AcknowledgeOrder,
  type StartOrder,
  type WorkerCrash,
} from '../jobs/engine_messages.js';
import {EvacuationKnowledge, maxNoticeAgeMs} from '../jobs/evacuations.js';
import {StoreContact} from '../jobs/store_contact.js';
import {type WorkerReport, workerKey} from '../jobs/worker_pool.js';
import {type ComponentLog, type EventLog} from '../plugins/event_log.js';
import {LoopDelayMonitor} from '../plugins/loop_delay_monitor.js';
import {type Metrics} from '../plugins/metrics.js';
import {type StateStore} from '../ports/state_store.js';
import {type TaskWorker} from '../ports/task_worker.js';
import {
  type GateAnswer,
  type GateJobMessage,
  type GateOrders,
} from '../protocol/job_messages.js';
import {type GateDialer} from './gate_dialer.js';
import {FencingTokens} from './fencing_tokens.js';
import {GateDirectory} from './gate_directory.js';
import {GateLinks} from './gate_links.js';
import {LostWorkerReport} from './lost_worker_report.js';
import {LeaderSearch} from './leader_search.js';
import {
  LeaderContact,
  LeaseRenewer,
  type LeaseTimes,
  silenceTimeoutMs,
} from './lease_renewer.js';
import {ReportSchedule} from './report_schedule.js';
import {RunProof} from './run_conclusion.js';
import {StartBarrier} from './start_barrier.js';
import {WorkerDriver} from './worker_driver.js';

/** Maximum interval between reports to the leader, in ms. */
const REPORT_INTERVAL_MS = 500;
/** Interval between messages on a link to another gate, in ms. */
const PROBE_INTERVAL_MS = 650; // three within the link timeout
const TICK_INTERVAL_MS = 100;
const DEPARTURE_WRITE_TIMEOUT_MS = 3000;
/** Time for which the answer to a deregistration is held back, in ms. */
const DEREGISTRATION_TIMEOUT_MS = 800; // a worker waits 1 s for an answer

/** A crash of the worker's earlier incarnation, which its agent lived through. */
interface PredecessorCrash {
  readonly worker: string;
  readonly atMs: number;
  readonly hasSameId: boolean;
}

export interface JobAgentOptions {
  readonly name: string;
  readonly seedGates: readonly string[];
  readonly lease: LeaseTimes;
  /** Longest time that a run takes to end after a stop, in ms. */
  readonly stopMs: number;
  /**
   * Longest time from the request to evacuate a data centre to the last start there, in ms;
   * undefined where none is agreed.
   */
  readonly evacuationMs?: number;
  /** Time without a received message after which a link is closed, in ms. */
  readonly linkTimeoutMs: number;
  /** Number of links that the agent keeps beside the one to the leader. */
  readonly standbyLinks: number;
}

export interface JobAgentContext {
  readonly store: StateStore;
  readonly dialer: GateDialer;
  readonly worker: TaskWorker;
  readonly clock: Clock;
  readonly logs: EventLog;
  readonly metrics: Metrics;
}

export class JobAgent {
  private readonly directory: GateDirectory;
  private readonly links: GateLinks;
  private readonly contact = new LeaderContact();
  private readonly tokens: FencingTokens;
  private readonly evacuations: EvacuationKnowledge;
  private readonly storeContact = new StoreContact();
  private readonly leaderSearch: LeaderSearch;
  private readonly log: ComponentLog;
  private readonly loopDelay: LoopDelayMonitor;
  /** Clock readings at the sending of recent reports, by `sentAtMs`. */
  private readonly reportSendTimes = new Map<number, ClockReading>();
  private driver: WorkerDriver | undefined;
  private readonly lostWorker = new LostWorkerReport();
  private readonly startBarrier = new StartBarrier();
  /** Newest heartbeat of an incarnation other than the driver's. */
  private otherIncarnation: WorkerReport | undefined;
  /** The crash that ended the predecessor of the worker, if one did. */
  private crash: PredecessorCrash | undefined;
  /** Key of the worker that terminated last; late heartbeats of it are ignored. */
  private departedWorker: string | undefined;
  /** Key of the worker whose departure was stored last. */
  private storedDeparture: string | undefined;
  /** Key of the incarnation whose late heartbeat was logged last. */
  private otherHeartbeatLogged: string | undefined;
  /** When a worker was last reachable; first the start of the process. */
  private reachableAtMs: number;
  private epoch = 0;
  /** Link address of the gate that answered as leader; undefined if there is none. */
  private leaderAddress: string | undefined;
  private readonly reportSchedule = new ReportSchedule(REPORT_INTERVAL_MS);
  private readonly probeSchedule = new ReportSchedule(PROBE_INTERVAL_MS);
  private isReportPending = false;
  private lastSentAtMs = 0;
  private ticker: NodeJS.Timeout | undefined;

  constructor(
    private readonly options: JobAgentOptions,
    private readonly ctx: JobAgentContext,
  ) {
    const {clock, logs} = ctx;
    this.log = logs.forComponent('agent');
    this.loopDelay = new LoopDelayMonitor(TICK_INTERVAL_MS, {
      clock,
      metrics: ctx.metrics,
      log: this.log,
    });
    this.tokens = new FencingTokens(clock);
    this.evacuations = new EvacuationKnowledge(
      options.evacuationMs && maxNoticeAgeMs(options.evacuationMs),
    );
    this.reachableAtMs = clock.nowMs();
    this.directory = new GateDirectory(
      options.name,
      options.seedGates,
      options.standbyLinks,
    );
    this.leaderSearch = new LeaderSearch(
      ctx.store,
      {
        onGates: addresses => this.directory.addAddresses(addresses),
        onLeader: row => this.onLeaderRow(row),
      },
      {clock, log: this.log},
    );
    this.links = new GateLinks(
      this.directory,
      {
        clock,
        dialer: ctx.dialer,
        link: {
          clock,
          hybridClock: new HybridClock(clock),
          timeoutMs: options.linkTimeoutMs,
        },
        log: logs.forComponent('links'),
      },
      {
        onOpen: address => this.onLinkOpen(address),
        onMessage: (address, message) => this.onMessage(address, message),
        onClosed: address => this.onLinkClosed(address),
      },
    );
  }

  start(): void {
    this.links.update();
    this.ticker = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  /** Records a heartbeat of the worker. */
  recordHeartbeat(report: WorkerReport): void {
    const {driver} = this;
    const key = workerKey(this.options.name, report.id, report.bornMs);
    if (key === this.departedWorker) {
      this.logOtherHeartbeat(key);
      return;
    }
    if (driver && key !== driver.key) {
      this.recordOtherIncarnation(driver, report);
      return;
    }
    if (!driver) this.startDriver(report);
    // A heartbeat without a change is covered by the periodic reports.
    else if (!driver.update(report)) return;
    this.scheduleReport();
  }

  /**
   * Records a heartbeat of another incarnation, a late one of an earlier or the first of a
   * later. Start times do not tell which, since the wall clock may jump, but the worker does.
   */
  private recordOtherIncarnation(
    driver: WorkerDriver,
    report: WorkerReport,
  ): void {
    const {otherIncarnation: known} = this;
    const isRepeated =
      known?.id === report.id && known.bornMs === report.bornMs;
    this.otherIncarnation = report;
    if (isRepeated) return;
    this.logOtherHeartbeat(
      workerKey(this.options.name, report.id, report.bornMs),
    );
    void driver.verifyIncarnation();
  }

  /**
   * Records that the worker deregistered, and stops its runs. It terminates when it is
   * answered, so resolves when nothing more can be learned from it.
   *
   * @param bornMs Start time of the incarnation that deregistered, if it is known.
   */
  async recordDeregistration(workerId: string, bornMs?: number): Promise<void> {
    const {driver} = this;
    this.log.logEvent('workerDeregistered', {
      id: workerId,
      bornMs,
      known: driver?.key,
      ...driver?.facts(),
    });
    const isCurrent =
      driver?.id === workerId && (bornMs ?? driver.bornMs) === driver.bornMs;
    if (!isCurrent) return;
    driver.recordDeregistration();
    const isEmptied = await this.settleRuns(driver);
    this.log.logEvent('deregistrationAnswered', {
      worker: driver.key,
      isEmptied,
    });
  }

  /**
   * Waits until the worker has no runs, and stores its departure: later neither the worker
   * nor this process may be there to report the ends. Resolves with whether it has none.
   */
  private async settleRuns(driver: WorkerDriver): Promise<boolean> {
    const {clock} = this.ctx;
    const untilMs = clock.nowMs() + DEREGISTRATION_TIMEOUT_MS;
    const isEmptied = await driver.waitUntilEmptied(DEREGISTRATION_TIMEOUT_MS);
    const leftMs = untilMs - clock.nowMs();
    const isStored = this.storedDeparture === driver.key;
    if (isEmptied && !isStored && leftMs > 0)
      await this.storeDeparture(driver, leftMs);
    return isEmptied;
  }

  /** Stops the agent but not the worker's runs; the next agent process adopts them. */
  async stop(): Promise<void> {
    clearInterval(this.ticker);
    this.driver?.close();
    this.links.close();
    await this.ctx.worker.close();
    await this.ctx.store.close();
  }

  private startDriver(report: WorkerReport): void {
    const replaced = this.driver;
    replaced?.close();
    this.tokens.raise();
    const {worker, clock, logs, metrics} = this.ctx;
    const driver: WorkerDriver = new WorkerDriver(this.options.name, report, {
      worker,
      clock,
      metrics,
      log: logs.forComponent('worker'),
      lease: new LeaseRenewer(this.options.lease, this.contact),
      tokens: this.tokens,
      evacuations: this.evacuations,
      stopMs: this.options.stopMs,
      epoch: () => this.epoch,
      onStatusChange: () => this.scheduleReport(),
      onOtherIncarnation: hasSameId =>
        this.onOtherIncarnation(driver, hasSameId),
      onDeparture: () =>
        this.recordDeparture(driver, 'it announced its end and has no runs'),
    });
    this.driver = driver;
    this.log.logEvent('workerFound', {
      worker: driver.key,
      epoch: this.epoch,
      replaces: replaced?.key,
      runsReplaced: replaced?.facts().runs,
    });
  }

  /**
   * Drops the terminated incarnation; the next one will send a heartbeat. One with the same
   * id may have carried out orders to the earlier one, so the leader learns from its
   * inventory which runs are over.
   */
  private onOtherIncarnation(driver: WorkerDriver, hasSameId: boolean): void {
    if (this.driver !== driver) return;
    this.log.logEvent('workerReplaced', {worker: driver.key, hasSameId});
    this.recordReplacement(driver, hasSameId);
    if (hasSameId) {
      driver.close();
      this.driver = undefined;
    } else {
      this.logConclusions(driver, RunProof.OTHER_INCARNATION);
      this.discardDriver(driver, 'another incarnation answered');
    }
    const {otherIncarnation: next} = this;
    this.otherIncarnation = undefined;
    if (next) this.recordHeartbeat(next);
  }

  /** Logs that all runs of a worker are taken to be over. */
  private logConclusions(driver: WorkerDriver, proof: RunProof): void {
    const facts = driver.facts();
    this.ctx.metrics.increment(`runs_concluded_${proof}`, facts.runs);
    this.log.logEvent('runsConcluded', {worker: driver.key, proof, ...facts});
  }

  private logOtherHeartbeat(key: string): void {
    if (this.otherHeartbeatLogged === key) return;
    this.otherHeartbeatLogged = key;
    this.log.logEvent('heartbeatOfOtherIncarnation', {
      worker: key,
      known: this.driver?.key,
      departed: this.departedWorker,
    });
  }

  /** Keeps how the incarnation ended whose place another one has taken. */
  private recordReplacement(
    {key, crashedAtMs}: WorkerDriver,
    hasSameId: boolean,
  ): void {
    this.crash = undefined;
    if (crashedAtMs === undefined) return;
    this.crash = {worker: key, atMs: crashedAtMs, hasSameId};
    this.log.logEvent('workerCrashed', {
      worker: key,
      ms: Math.round(this.ctx.clock.nowMs() - crashedAtMs),
    });
  }

  /**
   * The crash that ended the worker's predecessor. A later incarnation with the same id may
   * have runs of the earlier one, so its first inventory has to come with it.
   */
  private crashToReport(
    nowMs: number,
    hasInventory: boolean,
  ): WorkerCrash | undefined {
    const {crash} = this;
    if (!crash || (crash.hasSameId && !hasInventory)) return undefined;
    return {worker: crash.worker, sinceMs: Math.max(0, nowMs - crash.atMs)};
  }

  private recordDeparture(driver: WorkerDriver, reason: string): void {
    if (this.driver !== driver) return;
    this.crash = undefined;
    this.log.logEvent('workerLeft', {worker: driver.key, reason});
    this.departedWorker = driver.key;
    if (this.storedDeparture !== driver.key)
      void this.storeDeparture(driver, DEPARTURE_WRITE_TIMEOUT_MS);
    this.discardDriver(driver, reason);
  }

  /**
   * Stores that a worker has terminated, and the ends that it listed. There may be no leader
   * at present, and this process may end with its instance before there is one.
   */
  private async storeDeparture(
    {key: worker, unacknowledgedEnds: ends}: WorkerDriver,
    timeoutMs: number,
  ): Promise<void> {
    const value = encodeDeparture({
      writtenWallMs: this.ctx.clock.wallMs(),
      ends,
    });
    const result = await this.ctx.store.transact(
      {
        expect: [],
        put: [{key: rowKeys.departure(worker), value}],
        remove: [],
      },
      timeoutMs,
    );
    if (result.type === 'committed') this.storedDeparture = worker;
    this.log.logEvent('departureStored', {
      worker,
      result: result.type,
      ends: ends.length,
    });
  }

  private discardDriver(driver: WorkerDriver, reason: string): void {
    driver.close();
    this.driver = undefined;
    this.reportLostWorker(driver, reason);
  }

  private reportLostWorker(
    {key: worker, unacknowledgedEnds: ends}: WorkerDriver,
    reason: string,
  ): void {
    this.lostWorker.record({worker, reason, ends});
    this.report(this.leaderAddress);
  }

  /** Records that ends up to `upTo` are durable. */
  private acknowledge({worker, upTo}: AcknowledgeOrder): void {
    if (worker === this.driver?.key) this.driver.acknowledge(upTo);
    this.lostWorker.acknowledge(worker, upTo);
  }

  private tick(): void {
    this.loopDelay.recordTick();
    this.links.update();
    const nowMs = this.ctx.clock.nowMs();
    if (this.driver?.isReachable) this.reachableAtMs = nowMs;
    this.driver?.stopRunsIfDue();
    const {openAddresses} = this.links;
    for (const address of openAddresses) this.sendIfDue(address, nowMs);
    this.leaderSearch.tick(openAddresses.length > 0);
    if (this.driver?.takeLeaseExpiry()) {
      this.log.logEvent('leasesLapsed', {worker: this.driver.key});
      this.logConclusions(this.driver, RunProof.LEASES_EXPIRED);
      this.reportLostWorker(this.driver, 'all leases ran out');
    }
  }

  /** Schedules a report to the leader. Changes in the same turn share one report. */
  private scheduleReport(): void {
    if (this.isReportPending) return;
    this.isReportPending = true;
    setImmediate(() => {
      this.isReportPending = false;
      this.report(this.leaderAddress);
    });
  }

  private sendIfDue(address: string, nowMs: number): void {
    if (address === this.leaderAddress) {
      if (this.reportSchedule.isDue(address, nowMs)) this.report(address);
    } else if (this.probeSchedule.isDue(address, nowMs)) this.probe(address);
  }

  /** Asks a gate which gate leads, and keeps its link alive. */
  private probe(address: string): void {
    const sendTime = this.recordSend(address, this.probeSchedule);
    const {epoch} = this;
    const agent = this.options.name;
    this.links.send(address, {
      type: 'probe',
      agent,
      sentAtMs: sendTime.nowMs,
      epoch,
      storeAgeMs: this.storeContact.ageMs(sendTime.nowMs),
    });
  }

  /** Records the sending of a message. Answers name it by its time, so no other has it. */
  private recordSend(address: string, schedule: ReportSchedule): ClockReading {
    const {nowMs, wallMs} = readClocks(this.ctx.clock);
    const uniqueMs = Math.max(nowMs, this.lastSentAtMs + MIN_SEND_DISTANCE_MS);
    this.lastSentAtMs = uniqueMs;
    const sendTime = {nowMs: uniqueMs, wallMs};
    this.reportSendTimes.set(sendTime.nowMs, sendTime);
    schedule.recordSent(address, sendTime.nowMs);
    return sendTime;
  }

  private report(address: string | undefined): void {
    if (address === undefined) return;
    const sendTime = this.recordSend(address, this.reportSchedule);
    const inventory = this.driver?.isReachable
      ? this.driver.inventory()
      : undefined;
    if (this.driver && inventory)
      this.lostWorker.recordReachable(this.driver.key);
    else if (this.driver?.mayHaveRuns) this.lostWorker.retract(this.driver.key);
    const lost = this.lostWorker.current;
    const hasNoRuns = !inventory && this.hasNoRuns(sendTime.nowMs);
    this.links.send(address, {
      type: 'report',
      agent: this.options.name,
      sentAtMs: sendTime.nowMs,
      epoch: this.epoch,
      storeAgeMs: this.storeContact.ageMs(sendTime.nowMs),
      inventory,
      refusals: this.driver?.takeRefusals() ?? [],
      lost,
      hasNoRuns,
      crash: this.crashToReport(sendTime.nowMs, inventory !== undefined),
    });
    const isDriverLost = !this.driver || lost?.worker === this.driver.key;
    if (hasNoRuns || (lost && isDriverLost)) this.bindToLoss(sendTime.nowMs);
  }

  /**
   * Prevents starts that were ordered before this report, which says that the runs on the
   * worker are over. The refusals of withdrawn starts are left to the next report, since the
   * leader places a lost run elsewhere at once, but a refused one after a delay.
   */
  private bindToLoss(reportSentAtMs: number): void {
    this.startBarrier.raise(reportSentAtMs);
    this.driver?.withdrawStarts();
  }

  /**
   * Whether all leases have expired on whichever incarnation there was, also those that an
   * earlier process of this agent requested.
   */
  private hasNoRuns(nowMs: number): boolean {
    const silentMs = nowMs - this.reachableAtMs;
    return silentMs > silenceTimeoutMs(this.options.lease);
  }

  private onMessage(address: string, message: GateJobMessage): void {
    if (message.type === 'orders') return this.onOrders(address, message);
    const sentAt = this.reportSendTimes.get(message.sentAtMs);
    this.pruneSendTimes(message.sentAtMs);
    if (message.gates) this.directory.addAddresses(message.gates);
    this.recordEvacuations(message, sentAt);
    this.storeContact.record(message.storeAgeMs, this.ctx.clock.nowMs());
    if (message.epoch < this.epoch) return;
    this.recordLeader(message.epoch, message.leaderAddress);
    if (message.leads) this.onLeaderAnswer(address, message, sentAt);
    else if (this.leaderAddress === address) this.leaderAddress = undefined;
  }

  /** Records what any gate, whether it leads or not, knows of evacuations. */
  private recordEvacuations(
    {evacuations}: GateAnswer,
    sentAt: ClockReading | undefined,
  ): void {
    if (!evacuations || !this.evacuations.record(evacuations, sentAt)) return;
    const {version, ageMs} = evacuations;
    const dataCentres = this.evacuations.known.join(' ');
    this.log.logEvent('evacuationsKnown', {
      dataCentres,
      version,
      ageMs: Math.round(ageMs),
    });
  }

  /** Records the leader of an epoch as a gate or the store names it. */
  private recordLeader(epoch: number, address: string | undefined): void {
    if (epoch > this.epoch) this.leaderAddress = undefined;
    this.epoch = epoch;
    if (this.directory.leaderAddress === address) return;
    this.directory.leaderAddress = address;
    this.links.update();
  }

  private onLeaderAnswer(
    address: string,
    answer: GateAnswer,
    sentAt: ClockReading | undefined,
  ): void {
    if (this.leaderAddress !== address) {
      this.leaderAddress = address;
      this.log.logEvent('leaderFound', {gate: address, epoch: this.epoch});
      this.report(address);
    }
    this.startBarrier.recordAnswer(answer.sentAtMs);
    if (!answer.extendsLeases) return;
    this.leaderSearch.recordLeader();
    if (sentAt) this.contact.record(sentAt);
  }

  private onLinkOpen(address: string): void {
    if (address === this.directory.leaderAddress) this.report(address);
    else this.probe(address);
  }

  private onOrders(address: string, message: GateOrders): void {
    if (message.epoch < this.epoch) {
      this.log.logEvent('ordersIgnored', {
        epoch: message.epoch,
        known: this.epoch,
      });
      return;
    }
    // Orders may arrive before any gate has named their sender as the leader.
    if (message.epoch > this.epoch) this.recordLeader(message.epoch, address);
    const {driver} = this;
    for (const order of message.orders) {
      if (order.type === 'acknowledge') {
        this.acknowledge(order);
        continue;
      }
      if (order.worker !== driver?.key) {
        this.log.logEvent('orderForOtherWorker', {worker: order.worker});
        continue;
      }
      if (order.type === 'start') this.startRun(driver, order);
      else void driver.stop(order);
    }
  }

  private startRun(driver: WorkerDriver, order: StartOrder): void {
    if (!this.startBarrier.isRaised) return void driver.start(order);
    const {task, run, worker} = order;
    this.ctx.metrics.increment('starts_ordered_before_loss');
    this.log.logEvent('startOrderedBeforeLoss', {task, run, worker});
    driver.refuseOutdated(order);
  }

  private onLinkClosed(address: string): void {
    this.reportSchedule.forget(address);
    this.probeSchedule.forget(address);
    if (this.leaderAddress === address) this.leaderAddress = undefined;
  }

  /** Removes send times that are too old to be answered on any link. */
  private pruneSendTimes(upToMs: number): void {
    for (const sentAtMs of this.reportSendTimes.keys())
      if (sentAtMs <= upToMs - SEND_TIME_RETENTION_MS)
        this.reportSendTimes.delete(sentAtMs);
  }

  private onLeaderRow(row: LeaderRow): void {
    if (row.epoch < this.epoch) return;
    this.recordLeader(row.epoch, leaderAddressOf(row));
    this.log.logEvent('leaderRead', {epoch: row.epoch, gate: row.address});
  }
}

/** Maximum age difference of reports awaiting answers on different links, in ms. */
const SEND_TIME_RETENTION_MS = 5000;
/** Minimum difference between the send times of two messages, in ms. */
const MIN_SEND_DISTANCE_MS = 0.001;
