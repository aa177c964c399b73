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
import {type RecordStore, type RequestRecord} from './record_store.js';
import {type RouterMessage} from './router_task.js';

const ID_RANDOM_BYTES = 8;
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

/** A caller's HTTP call to read or cancel a request. */
export interface RequestLookup {
  readonly id: string;
  readonly workspace: string;
  readonly waitMs: number;
  readonly authorization: string;
  /** True if another gate forwarded the call. */
  readonly forwarded: boolean;
}

export interface RequestServiceDependencies {
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
  private isDraining = false;

  constructor(private readonly deps: RequestServiceDependencies) {}

  /** Rejects new requests from now on. */
  drain(): void {
    this.isDraining = true;
  }

  /** Accepts a request and returns its id. */
  async submit(submission: Submission): Promise<string> {
    const route = this.routeOf(submission);
    if (this.isDraining) {
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
      return this.deps.gangs.submit(submission, route, deadlineMs);
    return this.submitSingle(submission, route, deadlineMs);
  }

  /** Waits for the end of a request that this gate accepted. */
  async wait(
    id: string,
    workspace: string,
    waitMs: number,
  ): Promise<Settlement | undefined> {
    return this.deps.records.wait(this.requireRecord(id, workspace), waitMs);
  }

  async lookUp(lookup: RequestLookup): Promise<Settlement | undefined> {
    const record = this.deps.records.get(lookup.id);
    if (record)
      return this.deps.records.wait(
        this.requireRecord(lookup.id, lookup.workspace),
        lookup.waitMs,
      );
    if (this.deps.gangs.isGangId(lookup.id))
      return this.deps.gangs.lookUp(lookup);
    return this.forwardToGate(lookup, 'GET');
  }

  async cancel(lookup: RequestLookup): Promise<Settlement | undefined> {
    const record = this.deps.records.get(lookup.id);
    if (this.deps.gangs.isGangId(lookup.id))
      return this.deps.gangs.cancel(lookup);
    if (!record) return this.forwardToGate(lookup, 'DELETE');
    this.requireRecord(lookup.id, lookup.workspace);
    this.deps.router.post({type: 'cancel', req: lookup.id});
    return record.settlement;
  }

  private submitSingle(
    submission: Submission,
    route: Route,
    deadlineMs: number,
  ): string {
    const req = this.makeId();
    this.deps.records.add(req, submission.workspace);
    const key = route.idempotent ? undefined : submission.key;
    const claim = key && {
      key: `claim/${submission.workspace}/${submission.kind}/${key}`,
      hash: submission.payloadHash,
    };
    this.deps.router.post({
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

  private makeId(): string {
    const unique = randomBytes(ID_RANDOM_BYTES).toString('hex');
    return makeRequestId({
      acceptedWallMs: this.deps.clock.wallMs(),
      gate: this.deps.gate,
      unique,
    });
  }

  private routeOf(submission: Submission): Route {
    const route = this.deps.config.follower.route(submission.kind);
    if (!route) {
      throw new BadRequestError(
        `no route for kind "${submission.kind}"; correct the kind, or ask an operator to add a route`,
        {props: {status: 404}},
      );
    }
    const limit = route.shape
      ? this.deps.settings.limits.gangBodyBytes
      : this.deps.settings.limits.bodyBytes;
    if (submission.body.length > limit)
      throw tooLarge(submission.body.length, limit);
    return route;
  }

  private requireRecord(id: string, workspace: string): RequestRecord {
    const record = this.deps.records.get(id);
    if (!record || record.workspace !== workspace) throw notFound(id);
    return record;
  }

  /** Outcome of a request that an earlier incarnation of this gate accepted. */
  private outcomeBeforeRestart(id: string, acceptedWallMs: number): Settlement {
    if (acceptedWallMs >= this.deps.startedWallMs) throw notFound(id);
    return {
      outcome: Outcome.UNKNOWN,
      reason: 'the gate that accepted it was restarted, so it may have run',
    };
  }

  /** Forwards a call to the gate that accepted the request. */
  private async forwardToGate(
    lookup: RequestLookup,
    method: 'GET' | 'DELETE',
  ): Promise<Settlement | undefined> {
    const parsed = parseRequestId(lookup.id);
    if (!parsed) throw notFound(lookup.id);
    if (parsed.gate === this.deps.gate)
      return this.outcomeBeforeRestart(lookup.id, parsed.acceptedWallMs);
    const address = lookup.forwarded
      ? undefined
      : this.deps.findGate(parsed.gate);
    if (!address) throw notFound(lookup.id);
    try {
      const res = await request(
        `${address.http}/v1/requests/${lookup.id}?wait=${lookup.waitMs}`,
        {
          method,
          headers: {
            authorization: lookup.authorization,
            [FORWARDED_HEADER]: '1',
          },
          signal: AbortSignal.timeout(lookup.waitMs + FORWARD_TIMEOUT_MS),
        },
      );
      return await parseForwardedResponse(lookup.id, res);
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

async function parseForwardedResponse(
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
