/** Backend server over HTTP on loopback. */
import {Pool} from 'undici';
import {type Kernel, type Plugin} from '../core/kernel.js';
import {type Answer} from '../core/outcome.js';
import {RunEnd} from '../core/vocabulary.js';
import {
  BACKEND_SERVER,
  type BackendCall,
  type BackendEnd,
  BackendServer,
  type BackendServerOptions,
} from '../ports/backend_server.js';

const MAX_CONNECTIONS = 64;
const CONNECT_TIMEOUT_MS = 1000;
/** Error codes that prove that no connection was made. */
const NOT_CONNECTED = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

class AnswerTooLarge extends Error {}

export class HttpBackendServer extends BackendServer {
  private readonly http: Pool;

  constructor(private readonly options: BackendServerOptions) {
    super();
    this.http = new Pool(options.address, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      // The agent bounds the whole call by its deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async call(call: BackendCall, signal: AbortSignal): Promise<BackendEnd> {
    try {
      const answer = await this.send(call, signal);
      return {end: RunEnd.ANSWERED, answer};
    } catch (err) {
      return {end: endOfError(err, signal)};
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
      if (size > this.options.maxAnswerBytes) throw new AnswerTooLarge();
      chunks.push(chunk as Buffer);
    }
    const contentType = String(
      res.headers['content-type'] ?? 'application/octet-stream',
    );
    return {status: res.statusCode, contentType, body: Buffer.concat(chunks)};
  }
}

function endOfError(err: unknown, signal: AbortSignal): RunEnd | 'unreachable' {
  if (err instanceof AnswerTooLarge) return RunEnd.TOO_LARGE;
  if (signal.aborted) return RunEnd.CANCELLED;
  const code = (err as {code?: string}).code ?? '';
  return NOT_CONNECTED.has(code) ? 'unreachable' : RunEnd.BROKEN;
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
