/** HTTP API for callers: submit a request, get its outcome, cancel it. */
import {createHash} from 'node:crypto';
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
import {Outcome, type Settlement} from '../core/outcome.js';
import {type GateSettings} from '../protocol/settings.js';
import {type RequestService} from './request_service.js';
import {TokenTable, bearerToken} from './tokens.js';

/** Prefix of the paths for callers. */
const REQUESTS_PATH = '/v1/requests';
const OUTCOME_HEADER = 'x-lagoonshunt-outcome';
const DEFAULT_RETRY_AFTER_S = 1;
/** Longest time that one HTTP call may wait for the outcome of a request, in ms. */
const MAX_WAIT_MS = 10 * 60_000;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

interface KindParams {
  readonly kind: string;
}
interface IdParams {
  readonly id: string;
}
interface WaitQuery {
  readonly wait?: string;
}

export class CallerApi {
  private readonly tokens: TokenTable<GateSettings['workspaceTokens'][number]>;

  constructor(
    settings: GateSettings,
    private readonly requestService: RequestService,
  ) {
    this.tokens = new TokenTable(settings.workspaceTokens);
  }

  register(http: FastifyInstance): void {
    http.post<{Params: KindParams; Querystring: WaitQuery}>(
      `${REQUESTS_PATH}/:kind`,
      (req, res) => this.submit(req, res),
    );
    http.get<{Params: IdParams; Querystring: WaitQuery}>(
      `${REQUESTS_PATH}/:id`,
      (req, res) => this.read(req, res),
    );
    http.delete<{Params: IdParams}>(`${REQUESTS_PATH}/:id`, (req, res) =>
      this.cancel(req, res),
    );
  }

  private async submit(
    req: FastifyRequest<{Params: KindParams; Querystring: WaitQuery}>,
    res: FastifyReply,
  ): Promise<FastifyReply> {
    const workspace = this.authorize(req);
    const body = (req.body as Buffer | undefined) ?? Buffer.alloc(0);
    const id = await this.requestService.submit({
      kind: req.params.kind,
      workspace,
      key: parseIdempotencyKey(header(req, 'idempotency-key')),
      payloadHash: createHash('sha256').update(body).digest('hex'),
      deadlineMs: parseMs('X-Deadline-Ms', header(req, 'x-deadline-ms')),
      contentType: header(req, 'content-type') ?? 'application/octet-stream',
      body,
    });
    const settlement = await this.requestService.wait(
      id,
      workspace,
      parseWait(req.query.wait),
    );
    return sendOutcome(res, id, settlement);
  }

  private async read(
    req: FastifyRequest<{Params: IdParams; Querystring: WaitQuery}>,
    res: FastifyReply,
  ): Promise<FastifyReply> {
    const workspace = this.authorize(req);
    const waitMs = parseMs('wait', req.query.wait) ?? 0;
    const settlement = await this.requestService.lookUp({
      id: req.params.id,
      workspace,
      waitMs,
      authorization: req.headers.authorization!,
      forwarded: isForwarded(req),
    });
    return sendOutcome(res, req.params.id, settlement);
  }

  private async cancel(
    req: FastifyRequest<{Params: IdParams}>,
    res: FastifyReply,
  ): Promise<FastifyReply> {
    const workspace = this.authorize(req);
    const settlement = await this.requestService.cancel({
      id: req.params.id,
      workspace,
      waitMs: 0,
      authorization: req.headers.authorization!,
      forwarded: isForwarded(req),
    });
    return sendOutcome(res, req.params.id, settlement);
  }

  /**
   * Returns the workspace of the caller's token. `X-Workspace`, if sent, must match it.
   */
  private authorize(req: FastifyRequest): string {
    const token = bearerToken(req.headers.authorization);
    const entry = token ? this.tokens.find(token) : undefined;
    if (!entry)
      throw new UnauthorizedError(
        'expected "Authorization: Bearer" with the token of a workspace, found no valid token; ask an operator for one',
      );
    const requestedWorkspace = header(req, 'x-workspace');
    if (
      requestedWorkspace !== undefined &&
      requestedWorkspace !== entry.workspace
    ) {
      throw new NotFoundError(
        `workspace "${requestedWorkspace}" was not found for this token; send X-Workspace: ${entry.workspace} or use the other token`,
      );
    }
    return entry.workspace;
  }
}

export function isCallerRequest(req: FastifyRequest): boolean {
  return req.url.startsWith(REQUESTS_PATH);
}

/** Header that marks a call forwarded by another gate. */
export const FORWARDED_HEADER = 'x-lagoonshunt-forwarded';

function isForwarded(req: FastifyRequest): boolean {
  return header(req, FORWARDED_HEADER) !== undefined;
}

function header(req: FastifyRequest, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseIdempotencyKey(text: string | undefined): string | undefined {
  if (text === undefined || IDEMPOTENCY_KEY_PATTERN.test(text)) return text;
  throw new BadRequestError(
    'expected an Idempotency-Key of 1 to 128 printable characters without spaces; shorten or encode it',
  );
}

function parseMs(name: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const value = Number(text);
  if (/^\d+$/.test(text) && value > 0 && value <= Number.MAX_SAFE_INTEGER)
    return value;
  if (name === 'wait' && text === '0') return 0;
  throw new BadRequestError(
    `expected ${name} in whole milliseconds above 0, found "${text}"; correct the value`,
  );
}

function parseWait(text: string | undefined): number {
  return Math.min(MAX_WAIT_MS, parseMs('wait', text) ?? MAX_WAIT_MS);
}

/** Sends the outcome of a request, or 202 while it is pending. */
function sendOutcome(
  res: FastifyReply,
  id: string,
  settlement: Settlement | undefined,
): FastifyReply {
  res.header('location', `/v1/requests/${id}`);
  res.header(OUTCOME_HEADER, settlement?.outcome ?? Outcome.PENDING);
  if (!settlement) return res.code(202).send({id, outcome: Outcome.PENDING});
  if (settlement.answer) {
    return res
      .code(settlement.answer.status)
      .type(settlement.answer.contentType)
      .send(Buffer.from(settlement.answer.body));
  }
  if (isRetryable(settlement))
    res.header('retry-after', String(DEFAULT_RETRY_AFTER_S));
  return res
    .code(httpStatusOf(settlement))
    .send({id, outcome: settlement.outcome, reason: settlement.reason});
}

function isRetryable(settlement: Settlement): boolean {
  return settlement.outcome === Outcome.NOT_RUN && !settlement.permanent;
}

function httpStatusOf(settlement: Settlement): number {
  switch (settlement.outcome) {
    case Outcome.NOT_RUN:
      return settlement.permanent ? 422 : 503;
    case Outcome.CANCELLED:
      return 409;
    case Outcome.UNKNOWN:
      return 504;
    default:
      return 502;
  }
}
