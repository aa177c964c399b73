/** HTTP API for operators: tables, status, timeline, metrics and health. */
import {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {
  BadRequestError,
  NotFoundError,
  UnauthorizedError,
} from '../core/errors.js';
import {TABLE_NAMES, type TableName} from '../core/tables.js';
import {type TimelineEvent} from '../core/timeline.js';
import {type GateSettings} from '../protocol/settings.js';
import {type ConfigTask, parseIfMatch} from './config_task.js';
import {bearerToken, equalSecrets} from './tokens.js';

const DEFAULT_TIMELINE_EVENTS = 500;

interface TableParams {
  readonly table: string;
}
interface TimelineQuery {
  readonly limit?: string;
  readonly subject?: string;
  /**
   * Set if another gate sends the call: returns only events of this gate and its agents.
   */
  readonly local?: string;
}

/** State of other tasks that the API returns. */
export interface OperatorSources {
  status(): unknown;
  isReady(): boolean;
  metrics(): string;
  timeline(
    limit: number,
    subject: string | undefined,
    localOnly: boolean,
    authorization: string,
  ): Promise<TimelineEvent[]>;
}

export class OperatorApi {
  constructor(
    private readonly settings: GateSettings,
    private readonly config: ConfigTask,
    private readonly sources: OperatorSources,
  ) {}

  register(http: FastifyInstance): void {
    http.get<{Params: TableParams}>('/v1/tables/:table', (req, res) =>
      this.readTable(req, res),
    );
    http.put<{Params: TableParams}>('/v1/tables/:table', (req, res) =>
      this.editTable(req, res),
    );
    http.get('/v1/status', async req => {
      this.authorize(req);
      return this.sources.status();
    });
    http.get<{Querystring: TimelineQuery}>('/v1/timeline', async req => {
      this.authorize(req);
      const limit = parseLimit(req.query.limit);
      return {
        events: await this.sources.timeline(
          limit,
          req.query.subject,
          req.query.local !== undefined,
          req.headers.authorization!,
        ),
      };
    });
    http.get('/metrics', async (req, res) => {
      this.authorize(req);
      return res.type('text/plain').send(this.sources.metrics());
    });
    http.get('/healthz', async () => ({ok: true}));
    http.get('/readyz', async (req, res) =>
      res
        .code(this.sources.isReady() ? 200 : 503)
        .send({ready: this.sources.isReady()}),
    );
  }

  private async readTable(
    req: FastifyRequest<{Params: TableParams}>,
    res: FastifyReply,
  ): Promise<FastifyReply> {
    this.authorize(req);
    const table = parseTable(req.params.table);
    const {follower} = this.config;
    return res
      .header('etag', `"${follower.versions[table]}"`)
      .send({[table]: follower.rowsOf(table)});
  }

  private async editTable(
    req: FastifyRequest<{Params: TableParams}>,
    res: FastifyReply,
  ): Promise<FastifyReply> {
    this.authorize(req);
    const table = parseTable(req.params.table);
    const expected = parseIfMatch(req.headers['if-match']);
    const version = await this.config.edit(
      table,
      expected,
      parseJson(req.body),
    );
    return res.header('etag', `"${version}"`).send({table, version});
  }

  private authorize(req: FastifyRequest): void {
    const presentedToken = bearerToken(req.headers.authorization) ?? '';
    const matches = this.settings.operatorTokens.map(token =>
      equalSecrets(token, presentedToken),
    );
    if (!matches.includes(true)) {
      throw new UnauthorizedError(
        'expected "Authorization: Bearer" with the token of an operator, found no valid token; see operatorTokens in the settings',
      );
    }
  }
}

function parseTable(name: string): TableName {
  const table = TABLE_NAMES.find(t => t === name);
  if (!table)
    throw new NotFoundError(
      `no table "${name}"; the tables are ${TABLE_NAMES.join(' and ')}`,
    );
  return table;
}

function parseLimit(text: string | undefined): number {
  if (text === undefined) return DEFAULT_TIMELINE_EVENTS;
  const limit = Number(text);
  if (Number.isInteger(limit) && limit > 0) return limit;
  throw new BadRequestError(
    `expected limit as a whole number above 0, found "${text}"; correct the value`,
  );
}

function parseJson(body: unknown): unknown {
  try {
    return JSON.parse(String(body));
  } catch (err) {
    throw new BadRequestError(
      'expected a JSON document; correct its syntax (lagoonshunt check FILE prints the line)',
      {cause: err},
    );
  }
}
