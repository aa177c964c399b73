/**
 * Runs the request router and carries out its effects on agents, the table
 * service and request records.
 */
import {type ProcessRef} from '../core/ids.js';
import {type Settlement} from '../core/outcome.js';
import {
  type ClaimReply,
  type ClaimRow,
  ClaimState,
  type ClaimWrite,
  type RouterEffect,
  type RouterInput,
  type SubmitInput,
} from '../core/request_messages.js';
import {RequestRouter} from '../core/request_router.js';
import {Task, type Mailbox} from '../core/task.js';
import {type Row, type TableService} from '../ports/table_service.js';
import {checkValue} from '../protocol/document_check.js';
import {type AgentMessage} from '../protocol/messages.js';
import {claimRowSchema} from '../protocol/rows.js';
import {type GateSettings} from '../protocol/settings.js';
import {
  decodeSettlement,
  encodeSettlement,
} from '../protocol/settlement_codec.js';
import {type GateLinkEvent, type GateSend} from './gate_events.js';
import {type ProcessContext} from './process_context.js';
import {type RecordStore} from './record_store.js';

/** Longest wait for the write of a claim before its outcome is `unknown`, in ms. */
const CLAIM_TIMEOUT_MS = 3000;
/**
 * Time for which writing the end of a claim is retried while the table service is
 * unavailable.
 */
const RECORD_END_TIMEOUT_MS = 15 * 60_000;

export interface RequestBody {
  readonly contentType: string;
  readonly bytes: Uint8Array;
}

export type RouterMessage =
  | GateLinkEvent
  | {
      readonly type: 'submit';
      readonly input: SubmitInput;
      readonly body: RequestBody;
    }
  | {readonly type: 'cancel'; readonly req: string}
  | {
      readonly type: 'claimReply';
      readonly req: string;
      readonly reply: ClaimReply;
    };

interface DecodedClaim {
  readonly row: ClaimRow;
  readonly closedWallMs: number | undefined;
}

interface PendingRequest {
  readonly input: SubmitInput;
  readonly body: RequestBody;
  readonly acceptedMs: number;
}

export class RouterTask extends Task<RouterMessage> {
  readonly router: RequestRouter;
  private readonly pendingRequests = new Map<string, PendingRequest>();

  constructor(
    private readonly ctx: ProcessContext,
    settings: GateSettings,
    private readonly tables: TableService,
    private readonly records: RecordStore,
    private readonly links: Mailbox<GateSend>,
  ) {
    super();
    this.router = new RequestRouter({
      dataCentre: settings.place.dataCentre,
      queuePerService: settings.limits.queuePerService,
      retryRatio: settings.limits.retryRatio,
      seed: settings.seed,
    });
  }

  /** Number of requests that have not ended. */
  get pendingCount(): number {
    return this.pendingRequests.size;
  }

  protected receive(message: RouterMessage): void {
    switch (message.type) {
      case 'submit':
        this.pendingRequests.set(message.input.req, {
          input: message.input,
          body: message.body,
          acceptedMs: this.ctx.clock.nowMs(),
        });
        this.ctx.timeline.add(
          'router',
          `accepted ${message.input.kind}`,
          message.input.req,
        );
        return this.handleInput(message.input);
      case 'cancel':
      case 'claimReply':
      case 'tick':
        return this.handleInput(message);
      case 'agentUp':
        return this.handleInput(message);
      case 'agentDown':
        return this.handleInput({type: 'agentDown', agent: message.agent});
      case 'agentMessage':
        return this.onAgentMessage(message.agent, message.body);
      default:
        return;
    }
  }

  private onAgentMessage(agent: ProcessRef, body: AgentMessage): void {
    switch (body.type) {
      case 'heartbeat':
        return this.handleInput({type: 'load', agent, load: body.load});
      case 'announce':
        return this.handleInput({
          type: 'announce',
          agent,
          announcement: body.announcement,
          load: body.load,
        });
      case 'farewell':
        return this.handleInput({type: 'farewell', agent});
      case 'result':
        return this.handleInput({
          type: 'result',
          agent,
          run: body.req,
          end: body.end,
          answer: body.answer,
          load: body.load,
        });
      case 'refused':
        this.ctx.metrics.increment(`refused_${body.reason}`);
        return this.handleInput({
          type: 'refused',
          agent,
          run: body.req,
          attempt: body.attempt,
          reason: body.reason,
          load: body.load,
        });
      case 'trace':
        return this.handleInput({
          type: 'trace',
          agent,
          run: body.req,
          attempt: body.attempt,
          trace: body.trace,
        });
      default:
        return;
    }
  }

  private handleInput(input: RouterInput): void {
    for (const effect of this.router.handle(input, this.ctx.clock.nowMs()))
      this.perform(effect);
  }

  private perform(effect: RouterEffect): void {
    switch (effect.type) {
      case 'dispatch':
        return this.dispatch(effect);
      case 'ask':
        return this.links.post({
          type: 'toAgent',
          agent: effect.agent,
          body: {type: effect.ask, req: effect.run, attempt: effect.attempt},
        });
      case 'ack':
        return this.links.post({
          type: 'toAgent',
          agent: effect.agent,
          body: {type: 'ack', req: effect.run},
        });
      case 'claim':
        void this.writeClaim(effect.req, effect.write);
        return;
      case 'recordEnd':
        void this.recordEnd(effect.write);
        return;
      case 'settle':
        return this.settle(effect.req, effect.settlement);
    }
  }

  private dispatch(effect: Extract<RouterEffect, {type: 'dispatch'}>): void {
    const {input, body} = this.pendingRequests.get(effect.req)!;
    this.ctx.timeline.add(
      'router',
      `attempt ${effect.attempt} sent to ${effect.agent.id}`,
      effect.run,
    );
    this.links.post({
      type: 'toAgent',
      agent: effect.agent,
      body: {
        type: 'dispatch',
        req: effect.run,
        attempt: effect.attempt,
        kind: input.kind,
        workspace: input.workspace,
        service: input.service,
        contentType: body.contentType,
        body: body.bytes,
        remainingMs: effect.remainingMs,
      },
    });
  }

  private settle(req: string, settlement: Settlement): void {
    const pending = this.pendingRequests.get(req);
    if (pending) {
      this.pendingRequests.delete(req);
      this.ctx.metrics.recordDuration(
        'request',
        this.ctx.clock.nowMs() - pending.acceptedMs,
      );
    }
    this.ctx.metrics.increment(`outcome_${settlement.outcome}`);
    this.ctx.timeline.add('router', `settled ${settlement.outcome}`, req);
    this.records.settle(req, settlement);
  }

  private async writeClaim(req: string, write: ClaimWrite): Promise<void> {
    this.post({type: 'claimReply', req, reply: await this.commitClaim(write)});
  }

  private async commitClaim(write: ClaimWrite): Promise<ClaimReply> {
    try {
      const reply = await this.tables.write(
        {...write, value: this.encodeClaim(write.row)},
        CLAIM_TIMEOUT_MS,
      );
      if (reply.type === 'committed') return reply;
      if (reply.type === 'fenced') return {type: 'unavailable'};
      return this.makeConflictReply(reply.row);
    } catch {
      return {type: 'unavailable'};
    }
  }

  private makeConflictReply(row: Row | undefined): ClaimReply {
    if (!row) return {type: 'conflict', version: 0};
    const {row: claim, closedWallMs} = decodeClaim(row.value);
    const closedAgoMs =
      closedWallMs === undefined
        ? undefined
        : this.ctx.clock.wallMs() - closedWallMs;
    return {type: 'conflict', version: row.version, row: claim, closedAgoMs};
  }

  private encodeClaim(row: ClaimRow): unknown {
    const closedWallMs =
      row.state === ClaimState.CLOSED ? this.ctx.clock.wallMs() : undefined;
    const settlement = row.settlement && encodeSettlement(row.settlement);
    return {...row, closedWallMs, settlement};
  }

  /** Writes the end of a claim. Retries for `RECORD_END_TIMEOUT_MS` during an outage. */
  private async recordEnd(write: ClaimWrite): Promise<void> {
    try {
      const reply = await this.tables.write(
        {...write, value: this.encodeClaim(write.row)},
        RECORD_END_TIMEOUT_MS,
      );
      if (reply.type === 'conflict')
        await this.recordEndAfterConflict(
          write,
          reply.row?.version ?? 0,
          reply.row?.value,
        );
    } catch {
      this.ctx.timeline.add(
        'router',
        'end of claim not recorded',
        write.row.run,
      );
    }
  }

  /**
   * Writes the end again after a conflict with another gate that follows the same run.
   * Replaces the end in the row unless that is `done`.
   */
  private async recordEndAfterConflict(
    write: ClaimWrite,
    version: number,
    value: unknown,
  ): Promise<void> {
    const row = value === undefined ? undefined : decodeClaim(value).row;
    const sameRun = row?.run === write.row.run && row.hash === write.row.hash;
    if (!sameRun || row.settlement?.outcome === 'done') return;
    await this.tables.write(
      {...write, expectVersion: version, value: this.encodeClaim(write.row)},
      RECORD_END_TIMEOUT_MS,
    );
  }
}

function decodeClaim(value: unknown): DecodedClaim {
  const checked = checkValue(value, claimRowSchema);
  if (!checked.ok) throw new TypeError('the claim row is corrupted');
  const {settlement, closedWallMs, ...rest} = checked.value;
  const row = {...rest, settlement: settlement && decodeSettlement(settlement)};
  return {row, closedWallMs};
}
