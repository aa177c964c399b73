/**
 * Accepts requests, looks up their outcomes at this or another gate, and cancels them.
 */
import {randomBytes} from 'node:crypto';
import {request} from 'undici';
import {type Clock} from '../core/clock.js';
import {
  BadRequestError,
  LagoonError,
  NotFoundError,
  TooLargeError,
} from '../core/errors.js';
import {makeRequestId, parseRequestId} from '../core/ids.js';
import {type Mailbox} from '../core/task.js';
import {Outcome, type Settlement} from '../core/outcome.js';
import {type Route} from '../core/tables.js';
import {type GateAddress} from '../protocol/messages.js';
import {type GateSettings} from '../protocol/settings.js';
import {FORWARDED_HEADER} from './caller_api.js';
import {type ConfigTask} from './config_task.js';
import {type GangService} from './gang_service.js';
import {type RecordStore, type RequestRecord} from './records.js';
import {type RouterMessage} from './router_task.js';

const UNIQUE_BYTES = 8;
const FORWARD_TIMEOUT_MS = 5000;

export interface Submission {
  readonly kind: string;
  readonly workspace: string;
  readonly key?: string;
  readonly payloadHash: string;
  readonly deadlineMs?: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A caller's call to read or cancel a request. */
export interface LookUp {
  readonly id: string;
  readonly workspace: string;
  readonly waitMs: number;
  readonly authorization: string;
  /** True if another gate forwarded the call. */
  readonly forwarded: boolean;
}

export interface RequestServiceParts {
  readonly gate: string;
  /** Start time of this incarnation of the gate. */
  readonly startedWallMs: number;
  readonly clock: Clock;
  readonly settings: GateSettings;
  readonly config: ConfigTask;
  readonly router: Mailbox<RouterMessage>;
  readonly gangs: GangService;
  readonly records: RecordStore;
  /** Address of a gate by its id. */
  findGate(id: string): GateAddress | undefined;
}

export class RequestService {
  private draining = false;

  constructor(private readonly parts: RequestServiceParts) {}

  /** Rejects new requests from now on. */
  drain(): void {
    this.draining = true;
  }

  /** Accepts a request and returns its id. */
  async submit(submission: Submission): Promise<string> {
    const route = this.routeOf(submission);
    if (this.draining) {
      throw new LagoonError(
        'this gate is stopping; send the request again to reach another gate',
        {props: {status: 503, retryAfterS: 1}},
      );
    }
    const deadlineMs = Math.min(
      route.deadlineMs,
      submission.deadlineMs ?? route.deadlineMs,
    );
    if (route.shape)
      return this.parts.gangs.submit(submission, route, deadlineMs);
    return this.submitPlain(submission, route, deadlineMs);
  }

  /** Waits for the end of a request that this gate accepted. */
  async wait(
    id: string,
    workspace: string,
    waitMs: number,
  ): Promise<Settlement | undefined> {
    return this.parts.records.wait(this.requireOwn(id, workspace), waitMs);
  }

  async lookUp(question: LookUp): Promise<Settlement | undefined> {
    const record = this.parts.records.get(question.id);
    if (record)
      return this.parts.records.wait(
        this.requireOwn(question.id, question.workspace),
        question.waitMs,
      );
    if (this.parts.gangs.isGang(question.id))
      return this.parts.gangs.lookUp(question);
    return this.askOtherGate(question, 'GET');
  }

  async cancel(question: LookUp): Promise<Settlement | undefined> {
    const record = this.parts.records.get(question.id);
    if (this.parts.gangs.isGang(question.id))
      return this.parts.gangs.cancel(question);
    if (!record) return this.askOtherGate(question, 'DELETE');
    this.requireOwn(question.id, question.workspace);
    this.parts.router.post({type: 'cancel', req: question.id});
    return record.settlement;
  }

  private submitPlain(
    submission: Submission,
    route: Route,
    deadlineMs: number,
  ): string {
    const req = this.newId();
    this.parts.records.add(req, submission.workspace);
    const key = route.idempotent ? undefined : submission.key;
    const claim = key && {
      key: `claim/${submission.workspace}/${submission.kind}/${key}`,
      hash: submission.payloadHash,
    };
    this.parts.router.post({
      type: 'submit',
      input: {
        type: 'submit',
        req,
        kind: submission.kind,
        workspace: submission.workspace,
        service: route.service,
        class: route.class,
        idempotent: route.idempotent,
        remainingMs: deadlineMs,
        claim: claim || undefined,
      },
      body: {contentType: submission.contentType, bytes: submission.body},
    });
    return req;
  }

  private newId(): string {
    const unique = randomBytes(UNIQUE_BYTES).toString('hex');
    return makeRequestId({
      acceptedWallMs: this.parts.clock.wallMs(),
      gate: this.parts.gate,
      unique,
    });
  }

  private routeOf(submission: Submission): Route {
    const route = this.parts.config.follower.route(submission.kind);
    if (!route) {
      throw new BadRequestError(
        `no route for kind "${submission.kind}"; correct the kind, or ask an operator to add a route`,
        {props: {status: 404}},
      );
    }
    const limit = route.shape
      ? this.parts.settings.limits.gangBodyBytes
      : this.parts.settings.limits.bodyBytes;
    if (submission.body.length > limit)
      throw tooLarge(submission.body.length, limit);
    return route;
  }

  private requireOwn(id: string, workspace: string): RequestRecord {
    const record = this.parts.records.get(id);
    if (!record || record.workspace !== workspace) throw notFound(id);
    return record;
  }

  /** Outcome of a request that an earlier incarnation of this gate accepted. */
  private ownMissing(id: string, acceptedWallMs: number): Settlement {
    if (acceptedWallMs >= this.parts.startedWallMs) throw notFound(id);
    return {
      outcome: Outcome.UNKNOWN,
      reason: 'the gate that accepted it was restarted, so it may have run',
    };
  }

  /** Forwards a call to the gate that accepted the request. */
  private async askOtherGate(
    question: LookUp,
    method: 'GET' | 'DELETE',
  ): Promise<Settlement | undefined> {
    const parsed = parseRequestId(question.id);
    if (!parsed) throw notFound(question.id);
    if (parsed.gate === this.parts.gate)
      return this.ownMissing(question.id, parsed.acceptedWallMs);
    const address = question.forwarded
      ? undefined
      : this.parts.findGate(parsed.gate);
    if (!address) throw notFound(question.id);
    try {
      const res = await request(
        `${address.http}/v1/requests/${question.id}?wait=${question.waitMs}`,
        {
          method,
          headers: {
            authorization: question.authorization,
            [FORWARDED_HEADER]: '1',
          },
          signal: AbortSignal.timeout(question.waitMs + FORWARD_TIMEOUT_MS),
        },
      );
      return await settlementOf(question.id, res);
    } catch (err) {
      if (err instanceof LagoonError) throw err;
      return {
        outcome: Outcome.UNKNOWN,
        reason: `gate ${address.id}, which accepted it, can not be reached; ask again later`,
      };
    }
  }
}

type ForwardedResponse = Awaited<ReturnType<typeof request>>;

async function settlementOf(
  id: string,
  res: ForwardedResponse,
): Promise<Settlement | undefined> {
  const outcome = res.headers['x-lagoonshunt-outcome'] as Outcome | undefined;
  const body = Buffer.from(await res.body.arrayBuffer());
  if (!outcome) throw notFound(id);
  if (outcome === Outcome.PENDING) return undefined;
  if (outcome === Outcome.DONE) {
    return {
      outcome,
      answer: {
        status: res.statusCode,
        contentType: String(res.headers['content-type']),
        body,
      },
    };
  }
  const {reason} = JSON.parse(body.toString()) as {reason?: string};
  return {outcome, reason, permanent: res.statusCode === 422};
}

function notFound(id: string): Error {
  return new NotFoundError(
    `request "${id}" was not found; check the id and the token that it was submitted with`,
  );
}

function tooLarge(size: number, limit: number): Error {
  return new TooLargeError(
    `the body of ${size} bytes is larger than the limit of ${limit}; send a smaller body or raise the limit in the settings`,
  );
}
