/** Agent: renews the leases of its worker's runs, reports them and executes orders. */
import {type Clock} from '../core/clock.js';
import {readClocks, type ClockReading} from '../core/clock_reading.js';
import {HybridClock} from '../core/hybrid_clock.js';
import {decodeGateRow} from '../jobs/job_rows.js';
import {type WorkerReport} from '../jobs/worker_pool.js';
import {type EventLog, type ComponentLog} from '../plugins/event_log.js';
import {LoopDelayMonitor} from '../plugins/loop_delay_monitor.js';
import {type Metrics} from '../plugins/metrics.js';
import {type StateStore} from '../ports/state_store.js';
import {type TaskWorker} from '../ports/task_worker.js';
import {
  type AgentReport,
  type GateJobMessage,
  type LostWorker,
} from '../protocol/job_messages.js';
import {GateLinks} from './gate_links.js';
import {LeaseRenewer, type LeaseTimes} from './lease_renewer.js';
import {ReportSchedule} from './report_schedule.js';
import {WorkerDriver} from './worker_driver.js';

/** Maximum interval between reports to one gate, in ms. */
const REPORT_INTERVAL_MS = 500;
const TICK_INTERVAL_MS = 100;
/** Time without a known leader after which gates are looked up in the store, in ms. */
const GATE_SEARCH_DELAY_MS = 1000;
const GATE_SEARCH_TIMEOUT_MS = 1500;

export interface JobAgentOptions {
  readonly name: string;
  readonly seedGates: readonly string[];
  readonly lease: LeaseTimes;
  /** Time without a received message after which a link is closed, in ms. */
  readonly linkTimeoutMs: number;
  /** Maximum number of gates to which the agent keeps a link. */
  readonly maxGateLinks: number;
}

export interface JobAgentContext {
  readonly store: StateStore;
  readonly worker: TaskWorker;
  readonly clock: Clock;
  readonly logs: EventLog;
  readonly metrics: Metrics;
}

export class JobAgent {
  private readonly links: GateLinks;
  private readonly lease: LeaseRenewer;
  private readonly log: ComponentLog;
  private readonly loopDelay: LoopDelayMonitor;
  /** Clock readings at the sending of recent reports, by `sentAtMs`. */
  private readonly reportSendTimes = new Map<number, ClockReading>();
  private driver: WorkerDriver | undefined;
  /**
   * The most recently lost worker. It is included in every report until a worker is
   * reachable again, because a leader may terminate before it records the loss.
   */
  private lost: LostWorker | undefined;
  private epoch = 0;
  /** Link address of the leader; undefined if unknown. */
  private leaderAddress: string | undefined;
  private readonly reportSchedule = new ReportSchedule(REPORT_INTERVAL_MS);
  private isReportPending = false;
  private searchedAtMs: number;
  private isSearching = false;
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
    this.lease = new LeaseRenewer(options.lease);
    this.searchedAtMs = clock.nowMs() - GATE_SEARCH_DELAY_MS;
    this.links = new GateLinks(
      options.maxGateLinks,
      clock,
      {
        clock,
        hybridClock: new HybridClock(clock),
        timeoutMs: options.linkTimeoutMs,
      },
      logs.forComponent('links'),
      {
        onOpen: address => this.report(address),
        onMessage: (address, message) => this.onMessage(address, message),
        onClosed: address => this.onLinkClosed(address),
      },
    );
  }

  start(): void {
    this.links.addAddresses(this.options.seedGates);
    this.links.tick();
    this.ticker = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  /** Records a heartbeat of the worker; returns false if an older incarnation sent it. */
  recordHeartbeat(report: WorkerReport): boolean {
    const {driver} = this;
    const isSame = driver?.id === report.id && driver.bornMs === report.bornMs;
    if (driver && !isSame && report.bornMs < driver.bornMs) return false;
    if (!driver || !isSame) this.startDriver(report);
    // A heartbeat without a change is covered by the periodic reports.
    else if (!driver.update(report)) return true;
    this.scheduleReport();
    return true;
  }

  /** Records that the worker reported its own termination. */
  recordWorkerExit(workerId: string): void {
    const {driver} = this;
    if (driver?.id !== workerId) return;
    this.log.logEvent('workerLeft', {worker: driver.key});
    this.discardDriver(driver, 'the worker left');
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
    this.driver?.close();
    this.lease.resetClock();
    const {worker, clock, logs, metrics} = this.ctx;
    const driver: WorkerDriver = new WorkerDriver(this.options.name, report, {
      worker,
      clock,
      metrics,
      log: logs.forComponent('worker'),
      lease: this.lease,
      epoch: () => this.epoch,
      onStatusChange: () => this.scheduleReport(),
      onOtherIncarnation: () => this.onOtherIncarnation(driver),
    });
    this.driver = driver;
    this.log.logEvent('workerFound', {worker: driver.key, epoch: this.epoch});
  }

  /** Drops the terminated incarnation; the next one will send a heartbeat. */
  private onOtherIncarnation(driver: WorkerDriver): void {
    if (this.driver !== driver) return;
    this.log.logEvent('workerReplaced', {worker: driver.key});
    this.discardDriver(driver, 'another incarnation answered');
  }

  private discardDriver(driver: WorkerDriver, reason: string): void {
    driver.close();
    this.driver = undefined;
    this.reportLostWorker({worker: driver.key, reason});
  }

  private reportLostWorker(lost: LostWorker): void {
    this.lost = lost;
    this.report(this.leaderAddress);
  }

  private tick(): void {
    this.loopDelay.recordTick();
    this.links.tick();
    const nowMs = this.ctx.clock.nowMs();
    for (const address of this.links.openAddresses)
      if (this.reportSchedule.isDue(address, nowMs)) this.report(address);
    if (!this.leaderAddress) this.searchGates(nowMs);
    else this.searchedAtMs = nowMs;
    if (this.driver?.takeLeaseExpiry()) {
      this.log.logEvent('leasesLapsed', {worker: this.driver.key});
      this.reportLostWorker({
        worker: this.driver.key,
        reason: 'all leases ran out',
      });
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

  private report(address: string | undefined): void {
    if (address === undefined) return;
    const sendTime = readClocks(this.ctx.clock);
    this.reportSendTimes.set(sendTime.nowMs, sendTime);
    this.reportSchedule.recordSent(address, sendTime.nowMs);
    const isLeader = address === this.leaderAddress;
    const inventory = this.driver?.isReachable
      ? this.driver.inventory()
      : undefined;
    if (inventory) this.lost = undefined;
    const report: AgentReport = {
      type: 'report',
      agent: this.options.name,
      sentAtMs: sendTime.nowMs,
      epoch: this.epoch,
      inventory,
      refusals: isLeader ? (this.driver?.takeRefusals() ?? []) : [],
      lost: this.lost,
    };
    this.links.send(address, report);
  }

  private onMessage(address: string, message: GateJobMessage): void {
    if (message.type === 'orders') return this.onOrders(message);
    const sentAt = this.reportSendTimes.get(message.sentAtMs);
    this.pruneSendTimes(message.sentAtMs);
    this.links.addAddresses(message.gates);
    if (message.epoch < this.epoch) return;
    const isNewEpoch = message.epoch > this.epoch;
    this.epoch = message.epoch;
    if (isNewEpoch && !message.leads) this.leaderAddress = undefined;
    if (!message.leads) {
      if (this.leaderAddress === address) this.leaderAddress = undefined;
      return;
    }
    if (this.leaderAddress !== address) {
      this.leaderAddress = address;
      this.log.logEvent('leaderFound', {gate: address, epoch: this.epoch});
      this.report(address);
    }
    if (sentAt && message.extendsLeases) this.lease.recordContact(sentAt);
  }

  private onOrders(message: Extract<GateJobMessage, {type: 'orders'}>): void {
    if (message.epoch < this.epoch) {
      this.log.logEvent('ordersIgnored', {
        epoch: message.epoch,
        known: this.epoch,
      });
      return;
    }
    this.epoch = message.epoch;
    const {driver} = this;
    for (const order of message.orders) {
      if (order.worker !== driver?.key) {
        this.log.logEvent('orderForOtherWorker', {worker: order.worker});
        continue;
      }
      if (order.type === 'start') void driver.start(order);
      else if (order.type === 'stop') void driver.stop(order);
      else driver.acknowledge(order.upTo);
    }
  }

  private onLinkClosed(address: string): void {
    this.reportSchedule.forget(address);
    if (this.leaderAddress === address) this.leaderAddress = undefined;
  }

  /** Removes send times that are too old to be answered on any link. */
  private pruneSendTimes(upToMs: number): void {
    for (const sentAtMs of this.reportSendTimes.keys())
      if (sentAtMs <= upToMs - SEND_TIME_RETENTION_MS)
        this.reportSendTimes.delete(sentAtMs);
  }

  /** Looks up gates in the store, since the leader may be a gate unknown to the agent. */
  private searchGates(nowMs: number): void {
    if (this.isSearching || nowMs - this.searchedAtMs < GATE_SEARCH_DELAY_MS)
      return;
    this.searchedAtMs = nowMs;
    this.isSearching = true;
    void this.readGates().finally(() => (this.isSearching = false));
  }

  private async readGates(): Promise<void> {
    try {
      const {rows} = await this.ctx.store.read('gate/', GATE_SEARCH_TIMEOUT_MS);
      for (const row of rows)
        if (row.value)
          this.links.addAddresses([decodeGateRow(row.value).address]);
    } catch (err) {
      this.log.logEvent('gatesNotRead', {reason: (err as Error).message});
    }
  }
}

/** Maximum age difference of reports awaiting answers on different links, in ms. */
const SEND_TIME_RETENTION_MS = 5000;
