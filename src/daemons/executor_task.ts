/**
 * Runs the request executor and carries out its effects on gates and the backend server.
 */
import {type ProcessRef} from '../core/ids.js';
import {type Kernel} from '../core/kernel.js';
import {
  type ExecutorEffect,
  type ExecutorInput,
  RequestExecutor,
} from '../core/request_executor.js';
import {Task, type Mailbox} from '../core/task.js';
import {type Announcement} from '../core/shared_types.js';
import {BACKEND_SERVER, type BackendServer} from '../ports/backend_server.js';
import {type AgentMessage, type GateMessage} from '../protocol/messages.js';
import {type AgentSettings} from '../protocol/settings.js';
import {type AgentLinkEvent, type AgentSend} from './agent_links.js';
import {type ProcessContext} from './process_context.js';

const MAX_EXECUTOR_RECORDS = 50_000;
const MAX_BUFFERED_ANSWER_BYTES = 64 * 1024 * 1024;

type Dispatch = Extract<GateMessage, {type: 'dispatch'}>;

export type ExecutorMessage =
  | AgentLinkEvent
  | {
      readonly type: 'announce';
      readonly announcement: Announcement;
      readonly address: string;
    }
  | {readonly type: 'drain'}
  | {readonly type: 'input'; readonly input: ExecutorInput};

export class ExecutorTask extends Task<ExecutorMessage> {
  readonly executor: RequestExecutor;
  private readonly dispatches = new Map<string, Dispatch>();
  private readonly backendCalls = new Map<string, AbortController>();
  private backend:
    {readonly address: string; readonly server: BackendServer} | undefined;

  constructor(
    private readonly ctx: ProcessContext,
    private readonly kernel: Kernel,
    private readonly settings: AgentSettings,
    private readonly links: Mailbox<AgentSend>,
  ) {
    super();
    this.executor = new RequestExecutor({
      announcementMs: settings.times.announcementMs,
      maxRecords: MAX_EXECUTOR_RECORDS,
      maxAnswerBytes: MAX_BUFFERED_ANSWER_BYTES,
    });
  }

  async close(): Promise<void> {
    for (const call of this.backendCalls.values()) call.abort();
    await this.backend?.server.close();
  }

  protected receive(message: ExecutorMessage): void {
    switch (message.type) {
      case 'input':
        return this.handleInput(message.input);
      case 'announce':
        this.setBackend(message.address);
        return this.handleInput({
          type: 'announce',
          announcement: message.announcement,
        });
      case 'drain':
        return this.performAll(this.executor.drain(this.ctx.clock.nowMs()));
      case 'tick':
        return this.handleInput({type: 'tick'});
      case 'gateUp':
        return this.handleInput({type: 'gateUp', gate: message.gate.id});
      case 'gateMessage':
        return this.onGateMessage(message.gate, message.body);
      default:
        return;
    }
  }

  private onGateMessage(gate: ProcessRef, body: GateMessage): void {
    switch (body.type) {
      case 'dispatch':
        if (!this.dispatches.has(body.req)) this.dispatches.set(body.req, body);
        return this.handleInput({
          type: 'dispatch',
          gate: gate.id,
          run: body.req,
          attempt: body.attempt,
          service: body.service,
          remainingMs: body.remainingMs,
        });
      case 'seal':
      case 'inquire':
      case 'cancel':
        return this.handleInput({
          type: body.type,
          gate: gate.id,
          run: body.req,
          attempt: body.attempt,
        });
      case 'ack':
        return this.handleInput({type: 'ack', gate: gate.id, run: body.req});
      default:
        return;
    }
  }

  private handleInput(input: ExecutorInput): void {
    this.performAll(
      this.executor.handle(
        input,
        this.ctx.clock.nowMs(),
        this.ctx.clock.wallMs(),
      ),
    );
  }

  private performAll(effects: readonly ExecutorEffect[]): void {
    for (const effect of effects) this.perform(effect);
  }

  private perform(effect: ExecutorEffect): void {
    switch (effect.type) {
      case 'call':
        void this.callBackend(effect.run, effect.remainingMs);
        return;
      case 'abort':
        this.backendCalls.get(effect.run)?.abort();
        return;
      case 'dropBody':
        this.dispatches.delete(effect.run);
        return;
      case 'announce':
        this.ctx.timeline.add(
          'executor',
          `backend server is ${effect.announcement.state}`,
        );
        return this.links.post({
          type: 'toAllGates',
          body: {
            type: 'announce',
            announcement: effect.announcement,
            load: this.executor.load,
          },
        });
      default:
        return this.links.post({
          type: 'toGate',
          gate: effect.gate,
          body: this.messageFor(effect),
        });
    }
  }

  private messageFor(
    effect: Extract<ExecutorEffect, {type: 'refused' | 'trace' | 'result'}>,
  ): AgentMessage {
    const {load} = this.executor;
    const {run: req, attempt} = effect;
    switch (effect.type) {
      case 'refused':
        return {type: 'refused', req, attempt, reason: effect.reason, load};
      case 'trace':
        return {type: 'trace', req, attempt, trace: effect.trace};
      case 'result':
        return {
          type: 'result',
          req,
          attempt,
          end: effect.end,
          answer: effect.answer,
          load,
        };
    }
  }

  private async callBackend(run: string, remainingMs: number): Promise<void> {
    const dispatch = this.dispatches.get(run)!;
    const abort = new AbortController();
    this.backendCalls.set(run, abort);
    this.ctx.timeline.add('executor', 'started at the backend server', run);
    const startedMs = this.ctx.clock.nowMs();
    const {kind, workspace, contentType, body} = dispatch;
    const ended = await this.backend!.server.call(
      {run, kind, workspace, contentType, body, remainingMs},
      abort.signal,
    );
    this.ctx.metrics.recordDuration(
      'backend_call',
      this.ctx.clock.nowMs() - startedMs,
    );
    this.backendCalls.delete(run);
    this.ctx.timeline.add('executor', `backend server ${ended.end}`, run);
    this.post({
      type: 'input',
      input: {type: 'ended', run, end: ended.end, answer: ended.answer},
    });
  }

  private setBackend(address: string): void {
    if (this.backend?.address === address) return;
    const previous = this.backend?.server;
    const server = this.kernel.make(BACKEND_SERVER, 'http', {
      address,
      maxAnswerBytes: this.settings.limits.answerBytes,
    });
    this.backend = {address, server};
    // Calls in flight to the previous address are allowed to finish.
    if (previous && this.backendCalls.size === 0) void previous.close();
  }
}
