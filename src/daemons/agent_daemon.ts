/** The agent: one small process that runs next to each backend server. */
import {type AddressInfo} from 'node:net';
import {fastify, type FastifyInstance} from 'fastify';
import * as z from 'zod';
import {type Kernel} from '../core/kernel.js';
import {BackendState} from '../core/shared_types.js';
import {checkValue, requireValid} from '../protocol/document_check.js';
import {type AgentSettings} from '../protocol/settings.js';
import {AgentConfigTask} from './agent_config_task.js';
import {AgentLinks, type AgentSend} from './agent_links.js';
import {type Daemon, type DaemonAddresses} from './daemon.js';
import {ExecutorTask} from './executor_task.js';
import {GangTask} from './gang_task.js';
import {HttpDrain} from './http_drain.js';
import {installErrorHandlers} from './http_errors.js';
import {type ProcessContext, makeProcessContext} from './process_context.js';
import {TimelineTask} from './timeline_task.js';
import {sleep} from '../plugins/sleep.js';

const TICK_INTERVAL_MS = 100;
const DRAIN_POLL_INTERVAL_MS = 50;

const announcementSchema = z.strictObject({
  service: z.string().min(1).max(63),
  address: z
    .string()
    .regex(/^http:\/\/[0-9.:]+$/, 'an address such as "http://127.0.0.1:8000"'),
  slots: z.number().int().min(0).max(10_000),
  state: z.enum([BackendState.SERVING, BackendState.LEAVING]),
});

export class AgentDaemon implements Daemon {
  private readonly ctx: ProcessContext;
  private readonly links: AgentLinks;
  private readonly config: AgentConfigTask;
  private readonly executor: ExecutorTask;
  private readonly gangs: GangTask;
  private readonly http: FastifyInstance = fastify({
    return503OnClosing: false,
  });
  private readonly httpDrain: HttpDrain;
  private ticker: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: AgentSettings,
    kernel: Kernel,
  ) {
    this.ctx = makeProcessContext(settings);
    this.httpDrain = new HttpDrain(this.http, this.ctx.clock);
    const send = {post: (message: AgentSend) => this.links.post(message)};
    this.config = new AgentConfigTask(this.ctx, send);
    this.executor = new ExecutorTask(this.ctx, kernel, settings, send);
    this.gangs = new GangTask(this.ctx, kernel, settings, send);
    this.links = new AgentLinks(this.ctx, settings, {
      versions: () => this.config.follower.versions,
      announcement: () => this.executor.executor.currentAnnouncement,
      load: () => this.executor.executor.load,
    });
    const timeline = new TimelineTask(this.ctx, send);
    for (const task of [this.config, this.executor, this.gangs, timeline])
      this.links.subscribe(task);
  }

  async start(): Promise<DaemonAddresses> {
    installErrorHandlers(this.http);
    this.http.put('/v1/announcement', async (req, res) => {
      this.onAnnouncement(req.body);
      return res.code(204).send();
    });
    this.http.get('/healthz', async () => ({ok: true}));
    this.http.get('/metrics', async (req, res) =>
      res.type('text/plain').send(this.formatMetrics()),
    );
    await this.http.listen({
      host: '127.0.0.1',
      port: this.settings.announcePort,
    });
    await this.gangs.stopEarlierTasks();
    this.ticker = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    const {port} = this.http.server.address() as AddressInfo;
    this.ctx.logs
      .create('agent')
      .info(`Listening for announcements on port ${port}.`);
    return {http: `http://127.0.0.1:${port}`};
  }

  /** Rejects new work, waits up to `stopGraceMs` for running work to end, then closes. */
  async stop(): Promise<void> {
    this.executor.post({type: 'drain'});
    this.gangs.post({type: 'drain'});
    this.ctx.timeline.add('agent', 'graceful stop');
    const stopDeadlineMs =
      this.ctx.clock.nowMs() + this.settings.times.stopGraceMs;
    while (!this.isIdle() && this.ctx.clock.nowMs() < stopDeadlineMs)
      await sleep(DRAIN_POLL_INTERVAL_MS);
    // Leaves time to send the last results before the links are closed.
    await sleep(DRAIN_POLL_INTERVAL_MS);
    clearInterval(this.ticker);
    if (this.isIdle())
      this.links.post({type: 'toAllGates', body: {type: 'farewell'}});
    this.links.close();
    await this.executor.close();
    await this.gangs.close();
    await this.httpDrain.close();
  }

  private isIdle(): boolean {
    return (
      this.executor.executor.isIdle && !this.gangs.shareManager.hasAllocations
    );
  }

  private tick(): void {
    // The links come first: after a pause of the process, links that timed out must be
    // closed before messages buffered in their sockets are handled.
    this.links.tick();
    this.config.post({type: 'tick'});
    this.executor.post({type: 'tick'});
    this.gangs.post({type: 'tick'});
  }

  private onAnnouncement(body: unknown): void {
    const {address, ...announcement} = requireValid(
      checkValue(body, announcementSchema),
      'the announcement',
    );
    this.executor.post({type: 'announce', announcement, address});
  }

  private formatMetrics(): string {
    return `${this.ctx.metrics.formatPrometheus()}lagoonshunt_link_bytes_sent ${this.links.bytesSent()}\n`;
  }
}
