/** Client of a gate's operator API. */
import {request} from 'undici';
import {parse} from 'jsonc-parser';
import {LagoonError} from '../core/errors.js';
import {type TimelineEvent} from '../core/timeline.js';

const CALL_TIMEOUT_MS = 15_000;

interface Reply {
  readonly status: number;
  readonly etag: string | undefined;
  readonly body: unknown;
}

export class OperatorClient {
  constructor(
    private readonly gate: string,
    private readonly token: string,
  ) {}

  async getTable(table: string): Promise<string> {
    const {body, etag} = await this.call('GET', `/v1/tables/${table}`);
    return `// version ${etag}\n${formatJson(body)}`;
  }

  /** Replaces a table with the given text, JSON with comments. */
  async putTable(
    table: string,
    text: string,
    ifMatch?: string,
  ): Promise<string> {
    const version =
      ifMatch ?? (await this.call('GET', `/v1/tables/${table}`)).etag;
    const document: unknown = parse(text);
    const {body} = await this.call(
      'PUT',
      `/v1/tables/${table}`,
      JSON.stringify(document),
      {'if-match': version ?? '0'},
    );
    return formatJson(body);
  }

  async status(): Promise<string> {
    return formatJson((await this.call('GET', '/v1/status')).body);
  }

  async timeline(limit: string, subject?: string): Promise<string> {
    const query = new URLSearchParams({limit, ...(subject ? {subject} : {})});
    const {body} = await this.call('GET', `/v1/timeline?${query}`);
    return (body as {events: TimelineEvent[]}).events
      .map(formatEvent)
      .join('\n');
  }

  private async call(
    method: 'GET' | 'PUT',
    path: string,
    body?: string,
    headers: Record<string, string> = {},
  ): Promise<Reply> {
    const res = await request(this.gate + path, {
      method,
      body,
      headers: {
        authorization: `Bearer ${this.token}`,
        ...(body ? {'content-type': 'application/json'} : {}),
        ...headers,
      },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const reply: Reply = {
      status: res.statusCode,
      etag: res.headers.etag as string | undefined,
      body: await res.body.json(),
    };
    if (reply.status >= 400)
      throw new LagoonError(
        (reply.body as {message?: string}).message ??
          `the gate answered with status ${reply.status}; check the log of the gate`,
      );
    return reply;
  }
}

function formatJson(value: unknown): string {
  return JSON.stringify(value, null, 2);
}

function formatEvent(event: TimelineEvent): string {
  const time = new Date(event.stamp.wallMs).toISOString().slice(11, 23);
  return `${time} ${event.process.padEnd(16)} ${event.part.padEnd(10)} ${event.event} ${event.subject ?? ''}`.trimEnd();
}
