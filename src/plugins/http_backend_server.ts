/** Calls the backend server over HTTP on loopback. */
import {Pool} from 'undici';
import {type Kernel, type Plugin} from '../core/kernel.js';
import {type Answer} from '../core/outcome.js';
import {RunEnd} from '../core/shared_types.js';
import {
  BACKEND_SERVER,
  type BackendCall,
  type BackendCallResult,
  BackendServer,
  type BackendServerOptions,
} from '../ports/backend_server.js';

const MAX_CONNECTIONS = 64;
const CONNECT_TIMEOUT_MS = 1000;
/** Error codes of a failed connection attempt: nothing was sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

class AnswerTooLargeError extends Error {}

export class HttpBackendServer extends BackendServer {
  private readonly http: Pool;

  constructor(private readonly options: BackendServerOptions) {
    super();
    this.http = new Pool(options.address, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      // Disabled, since the agent aborts the whole call at its deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async call(
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<BackendCallResult> {
    try {
      const answer = await this.send(call, signal);
      return {end: RunEnd.ANSWERED, answer};
    } catch (err) {
      return {end: toRunEnd(err, signal)};
    }
  }

  async close(): Promise<void> {
    await this.http.destroy();
  }

  private async send(call: BackendCall, signal: AbortSignal): Promise<Answer> {
    const res = await this.http.request({
      method: 'POST',
      path: `/${encodeURIComponent(call.kind)}`,
      headers: {
        'content-type': call.contentType,
        'x-workspace': call.workspace,
        'x-request-id': call.run,
        'x-deadline-ms': String(Math.ceil(call.remainingMs)),
      },
      body: call.body,
      idempotent: false,
      signal,
    });
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of res.body) {
      size += (chunk as Buffer).length;
      if (size > this.options.maxAnswerBytes) throw new AnswerTooLargeError();
      chunks.push(chunk as Buffer);
    }
    const contentType = String(
      res.headers['content-type'] ?? 'application/octet-stream',
    );
    return {status: res.statusCode, contentType, body: Buffer.concat(chunks)};
  }
}

function toRunEnd(err: unknown, signal: AbortSignal): RunEnd | 'unreachable' {
  if (err instanceof AnswerTooLargeError) return RunEnd.TOO_LARGE;
  if (signal.aborted) return RunEnd.CANCELLED;
  const code = (err as {code?: string}).code ?? '';
  return UNSENT_CODES.has(code) ? 'unreachable' : RunEnd.BROKEN;
}

export const httpBackendServerPlugin: Plugin = {
  register(kernel: Kernel) {
    kernel.provide(
      BACKEND_SERVER,
      'http',
      options => new HttpBackendServer(options),
    );
  },
};
