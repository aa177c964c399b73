/** Client of the worker's task API over HTTP on loopback. */
import {Pool} from 'undici';
import * as z from 'zod';
import {type Kernel, type Plugin} from '../core/kernel.js';
import {
  type TaskReport,
  TaskState,
  type TaskSpec,
  GANG_WORKER,
  GangWorker,
  type GangWorkerOptions,
} from '../ports/gang_worker.js';

const MAX_CONNECTIONS = 64;
/** Timeout of a call. A long poll has it in addition to its wait time. */
const CALL_TIMEOUT_MS = 2000;

const taskReportSchema = z.object({
  state: z.enum(Object.values(TaskState) as [TaskState, ...TaskState[]]),
  answer: z
    .object({
      status: z.number(),
      contentType: z.string(),
      bodyBase64: z.string(),
    })
    .optional(),
});

export class HttpGangWorker extends GangWorker {
  private readonly http: Pool;

  constructor(options: GangWorkerOptions) {
    super();
    this.http = new Pool(options.address, {connections: MAX_CONNECTIONS});
  }

  start(spec: TaskSpec): Promise<TaskReport> {
    const {task, body, ...rest} = spec;
    const payload = {...rest, bodyBase64: Buffer.from(body).toString('base64')};
    return this.call('PUT', `/tasks/${encodeURIComponent(task)}`, payload);
  }

  renew(task: string, leaseMs: number): Promise<TaskReport> {
    return this.call('POST', `/tasks/${encodeURIComponent(task)}/lease`, {
      leaseMs,
    });
  }

  stop(task: string, checkpoint: boolean): Promise<TaskReport> {
    return this.call('POST', `/tasks/${encodeURIComponent(task)}/stop`, {
      checkpoint,
    });
  }

  wait(task: string, waitMs: number): Promise<TaskReport> {
    const path = `/tasks/${encodeURIComponent(task)}?wait=${waitMs}`;
    return this.call('GET', path, undefined, waitMs + CALL_TIMEOUT_MS);
  }

  async stopAll(): Promise<void> {
    await this.call('POST', '/stop-all', {});
  }

  async close(): Promise<void> {
    await this.http.destroy();
  }

  private async call(
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    payload?: object,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<TaskReport> {
    const res = await this.http.request({
      method,
      path,
      body: payload && JSON.stringify(payload),
      headers: payload ? {'content-type': 'application/json'} : {},
      signal: AbortSignal.timeout(timeoutMs),
    });
    const report = taskReportSchema.parse(await res.body.json());
    if (!report.answer) return {state: report.state};
    const {status, contentType, bodyBase64} = report.answer;
    return {
      state: report.state,
      answer: {status, contentType, body: Buffer.from(bodyBase64, 'base64')},
    };
  }
}

export const httpGangWorkerPlugin: Plugin = {
  register(kernel: Kernel) {
    kernel.provide(GANG_WORKER, 'http', options => new HttpGangWorker(options));
  },
};
