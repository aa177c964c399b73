/** The gate: the process that callers and operators send their requests to. */
import {type AddressInfo} from 'node:net';
import {fastify, type FastifyInstance} from 'fastify';
import {type Kernel} from '../core/kernel.js';
import {type ProcessRef} from '../core/ids.js';
import {type TimelineEvent, mergeTimelines} from '../core/timeline.js';
import {TABLE_SERVICE, type TableService} from '../ports/table_service.js';
import {type GateAddress} from '../protocol/messages.js';
import {type GateSettings} from '../protocol/settings.js';
import {rejectLargeBodies} from './body_limit.js';
import {CallerApi, isCallerRequest} from './caller_api.js';
import {ConfigTask} from './config_task.js';
import {type Daemon, type DaemonAddresses} from './daemon.js';
import {GangService} from './gang_service.js';
import {type GateSend} from './gate_events.js';
import {GateLinks} from './gate_links.js';
import {HttpDrain} from './http_drain.js';
import {installErrorHandlers} from './http_errors.js';
import {MembershipTask} from './membership_task.js';
import {OperatorApi} from './operator_api.js';
import {PoolsTask} from './pools_task.js';
import {type ProcessContext, makeProcessContext} from './process_context.js';
import {RecordStore} from './record_store.js';
import {RequestService} from './request_service.js';
import {RouterTask} from './router_task.js';
import {TimelineCollector} from './timeline_collector.js';
import {sleep} from '../plugins/sleep.js';

const TICK_INTERVAL_MS = 100;
const DRAIN_POLL_INTERVAL_MS = 50;
/**
 * Time for the load balancer to notice that the gate is not ready, before the gate
 * rejects requests, in ms.
 */
const NOT_READY_DELAY_MS = 300;
/** Time without a caller's request after which a stopping gate closes, in ms. */
const QUIET_PERIOD_MS = 1000;
const MAX_HEADER_BYTES = 16 * 1024;

export class GateDaemon implements Daemon {
  private readonly ctx: ProcessContext;
  private readonly tables: TableService;
  private readonly records: RecordStore;
  private readonly links: GateLinks;
  private readonly config: ConfigTask;
  private readonly membership: MembershipTask;
  private readonly router: RouterTask;
  private readonly pools: PoolsTask;
  private readonly requests: RequestService;
  private readonly timelineCollector: TimelineCollector;
  private readonly http: FastifyInstance;
  private readonly httpDrain: HttpDrain;
  private readonly startedWallMs: number;
  private httpPort = 0;
  private linkPort = 0;
  private isStopping = false;
  private ticker: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: GateSettings,
    kernel: Kernel,
  ) {
    this.ctx = makeProcessContext(settings);
    this.startedWallMs = this.ctx.clock.wallMs();
    this.tables = kernel.make(TABLE_SERVICE, 'http', {
      address: settings.tableService,
      process: this.ctx.ref.incarnation,
      readsPerS: settings.limits.tableReadsPerS,
      writesPerS: settings.limits.tableWritesPerS,
      seed: settings.seed,
    });
    this.records = new RecordStore(settings.limits.recordsPerGate);
    const send = {post: (message: GateSend) => this.links.post(message)};
    this.config = new ConfigTask(this.ctx, settings, this.tables, send);
    this.membership = new MembershipTask(
      this.ctx,
      settings,
      this.tables,
      send,
      () => this.address(),
    );
    this.router = new RouterTask(
      this.ctx,
      settings,
      this.tables,
      this.records,
      send,
    );
    this.pools = this.makePools(send);
    this.timelineCollector = new TimelineCollector(this.ctx, send);
    this.links = new GateLinks(this.ctx, settings, {
      versions: () => this.config.follower.versions,
      gates: () => this.membership.gates(),
      ownAddress: () => this.address(),
    });
    for (const task of [
      this.config,
      this.membership,
      this.router,
      this.pools,
      this.timelineCollector,
    ])
      this.links.subscribe(task);
    this.config.onChange(table => {
      if (table === 'pools') this.pools.post({type: 'poolsChanged'});
    });
    this.requests = this.makeRequests();
    this.http = fastify({
      bodyLimit: settings.limits.bodyBytes,
      http: {maxHeaderSize: MAX_HEADER_BYTES},
      return503OnClosing: false,
    });
    this.httpDrain = new HttpDrain(this.http, this.ctx.clock, isCallerRequest);
  }

  async start(): Promise<DaemonAddresses> {
    this.linkPort = await this.links.waitUntilListening();
    this.registerHttp();
    await this.http.listen({
      host: this.settings.host,
      port: this.settings.httpPort,
    });
    this.httpPort = (this.http.server.address() as AddressInfo).port;
    this.ticker = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    const {http, link} = this.address();
    this.ctx.logs
      .create('gate')
      .info(`Listening for callers at ${http} and for agents at ${link}.`);
    return {http, link};
  }

  /**
   * Reports not ready, releases its pools, waits up to `stopGraceMs` until requests in
   * flight are answered and no more arrive, then closes.
   */
  async stop(): Promise<void> {
    this.isStopping = true;
    this.httpDrain.start();
    this.ctx.timeline.add('gate', 'graceful stop');
    await sleep(NOT_READY_DELAY_MS);
    await this.membership.markStopped();
    await this.pools.release();
    const stopDeadlineMs =
      this.ctx.clock.nowMs() + this.settings.times.stopGraceMs;
    while (!(await this.isIdle()) && this.ctx.clock.nowMs() < stopDeadlineMs)
      await sleep(DRAIN_POLL_INTERVAL_MS);
    this.requests.drain();
    await this.httpDrain.close();
    clearInterval(this.ticker);
    this.links.close();
    await this.tables.close();
  }

  private async isIdle(): Promise<boolean> {
    const isQuiet = await this.httpDrain.isQuiet(QUIET_PERIOD_MS);
    return isQuiet && this.router.pendingCount === 0;
  }

  private registerHttp(): void {
    installErrorHandlers(this.http);
    this.http.removeAllContentTypeParsers();
    this.http.addContentTypeParser(
      '*',
      {parseAs: 'buffer'},
      (req, body, done) => done(null, body),
    );
    rejectLargeBodies(this.http, this.settings.limits.bodyBytes);
    new CallerApi(this.settings, this.requests).register(this.http);
    new OperatorApi(this.settings, this.config, {
      status: () => this.status(),
      isReady: () => this.isReady(),
      metrics: () => this.formatMetrics(),
      timeline: (...query) => this.collectTimeline(...query),
    }).register(this.http);
  }

  private tick(): void {
    // The links come first: after a pause of the process, links that timed out must be
    // closed before messages buffered in their sockets are handled.
    this.links.tick();
    for (const task of [this.config, this.membership, this.router, this.pools])
      task.post({type: 'tick'});
  }

  private isReady(): boolean {
    return !this.isStopping && this.config.follower.versions.routes > 0;
  }

  private address(): GateAddress {
    const {host, place} = this.settings;
    return {
      ...this.ctx.ref,
      link: `ws://${host}:${this.linkPort}`,
      http: `http://${host}:${this.httpPort}`,
      place,
    };
  }

  private status() {
    return {
      gate: this.ctx.ref,
      place: this.settings.place,
      ready: this.isReady(),
      versions: this.config.follower.versions,
      gates: this.membership.gates(),
      connectedGates: this.links.connectedGates(),
      agents: [...this.router.router.directory.all()].map(view => ({
        agent: view.ref,
        place: view.place,
        announcement: view.announcement,
        outstanding: view.outstanding,
        ejected: view.ejectedUntilMs > this.ctx.clock.nowMs(),
      })),
      agentVersions: this.config.versionsOfAgents(),
      queues: this.router.router.queueLengths(),
      pending: this.router.pendingCount,
      pools: this.pools.status(),
      tableService: this.tables.counts(),
    };
  }

  private formatMetrics(): string {
    const {reads, writes, failures} = this.tables.counts();
    const lines = [
      `lagoonshunt_link_bytes_sent ${this.links.bytesSent()}`,
      `lagoonshunt_table_reads ${reads}`,
      `lagoonshunt_table_writes ${writes}`,
      `lagoonshunt_table_failures ${failures}`,
      `lagoonshunt_pending_requests ${this.router.pendingCount}`,
    ];
    return `${this.ctx.metrics.formatPrometheus()}${lines.join('\n')}\n`;
  }

  private async collectTimeline(
    limit: number,
    subject: string | undefined,
    localOnly: boolean,
    authorization: string,
  ): Promise<TimelineEvent[]> {
    const local = await this.timelineCollector.collectLocal(
      this.links.connectedAgents(),
      limit,
      subject,
    );
    if (localOnly) return local;
    const remote = await this.timelineCollector.collectRemote(
      this.membership.gates(),
      limit,
      subject,
      authorization,
    );
    return mergeTimelines([local, ...remote]).slice(-limit);
  }

  private makePools(links: {post(message: GateSend): void}): PoolsTask {
    return new PoolsTask({
      ctx: this.ctx,
      settings: this.settings,
      tables: this.tables,
      config: this.config,
      records: this.records,
      links,
      gates: () => this.membership.gates(),
      hasReadGates: () => this.membership.hasReadGates,
      hasRecentHeartbeat: (gate: ProcessRef) =>
        this.membership.hasRecentHeartbeat(gate),
      connectedGates: () => this.links.connectedGates(),
    });
  }

  private makeRequests(): RequestService {
    const gangs = new GangService({
      clock: this.ctx.clock,
      tables: this.tables,
      records: this.records,
      poolOwners: this.pools,
      explainUnplaceable: (route, workspace) =>
        this.pools.explainUnplaceable(route, workspace),
    });
    return new RequestService({
      gate: this.ctx.ref.id,
      startedWallMs: this.startedWallMs,
      clock: this.ctx.clock,
      settings: this.settings,
      config: this.config,
      router: this.router,
      gangs,
      records: this.records,
      findGate: id => this.membership.find(id),
    });
  }
}
