/**
 * Runs the gang share manager of an agent and carries out its effects on gates and the
 * worker.
 */
import {
  GangShareManager,
  type GangShareEffect,
  type GangShareInput,
} from '../core/gang_share_manager.js';
import {type ProcessRef} from '../core/ids.js';
import {type Kernel} from '../core/kernel.js';
import {Task, type Mailbox} from '../core/task.js';
import {ShareState} from '../core/shared_types.js';
import {
  type TaskReport,
  TaskState,
  GANG_WORKER,
  type GangWorker,
} from '../ports/gang_worker.js';
import {type GateMessage} from '../protocol/messages.js';
import {type AgentSettings} from '../protocol/settings.js';
import {type AgentLinkEvent, type AgentSend} from './agent_links.js';
import {type ProcessContext} from './process_context.js';
import {sleep} from '../plugins/sleep.js';

const TASK_WAIT_MS = 10_000;
const RETRY_DELAY_MS = 200;

type StartOrder = Extract<GateMessage, {type: 'start'}>;

export type GangMessage =
  | AgentLinkEvent
  | {readonly type: 'drain'}
  | {readonly type: 'input'; readonly input: GangShareInput};

export class GangTask extends Task<GangMessage> {
  readonly shareManager: GangShareManager;
  private readonly worker: GangWorker;
  /** Start orders by gang, until their tasks are sent to the worker. */
  private readonly startOrders = new Map<string, StartOrder>();
  private readonly watchedTasks = new Set<string>();

  constructor(
    private readonly ctx: ProcessContext,
    kernel: Kernel,
    private readonly settings: AgentSettings,
    private readonly links: Mailbox<AgentSend>,
  ) {
    super();
    this.worker = kernel.make(GANG_WORKER, 'http', {address: settings.worker});
    this.shareManager = new GangShareManager({
      agent: ctx.ref.id,
      incarnation: ctx.ref.incarnation,
      accelerators: settings.accelerators,
      taskLeaseMs: settings.times.taskLeaseMs,
    });
  }

  /** Stops tasks that an earlier incarnation of this agent left running. */
  async stopEarlierTasks(): Promise<void> {
    try {
      await this.worker.stopAll();
    } catch {
      this.ctx.logs
        .create('gangs')
        .warn(
          'The worker did not answer; tasks of an earlier agent run until their leases expire.',
        );
    }
  }

  async close(): Promise<void> {
    this.watchedTasks.clear();
    await this.worker.close();
  }

  protected receive(message: GangMessage): void {
    switch (message.type) {
      case 'input':
        return this.handleInput(message.input);
      case 'drain':
        return this.handleInput({type: 'drain'});
      case 'tick':
        return this.handleInput({type: 'tick'});
      case 'gateMessage':
        return this.onGateMessage(message.gate, message.body);
      default:
        return;
    }
  }

  private onGateMessage(gate: ProcessRef, body: GateMessage): void {
    switch (body.type) {
      case 'fence':
      case 'reserve':
      case 'stop':
      case 'confirm':
        return this.handleInput({...body, gate: gate.id});
      case 'start': {
        this.startOrders.set(body.gang, body);
        const {type, pool, epoch, gang, attempt} = body;
        return this.handleInput({
          type,
          gate: gate.id,
          pool,
          epoch,
          gang,
          attempt,
        });
      }
      default:
        return;
    }
  }

  private handleInput(input: GangShareInput): void {
    for (const effect of this.shareManager.handle(
      input,
      this.ctx.clock.nowMs(),
    ))
      this.perform(effect);
  }

  private perform(effect: GangShareEffect): void {
    switch (effect.type) {
      case 'startTask':
        void this.startTask(effect);
        return;
      case 'renewTask':
        void this.renewTask(effect.gang, effect.attempt);
        return;
      case 'stopTask':
        void this.stopTask(effect.gang, effect.attempt, effect.checkpoint);
        return;
      default: {
        const {gate, ...body} = effect;
        return this.links.post({type: 'toGate', gate, body});
      }
    }
  }

  private async startTask(
    effect: Extract<GangShareEffect, {type: 'startTask'}>,
  ): Promise<void> {
    const {gang, attempt, accelerators, rank, size} = effect;
    const order = this.startOrders.get(gang)!;
    this.startOrders.delete(gang);
    const task = taskId(gang, attempt);
    this.watchedTasks.add(task);
    this.ctx.timeline.add('gangs', `starts rank ${rank} of ${size}`, gang);
    const {kind, workspace, contentType, body} = order;
    const leaseMs = this.settings.times.taskLeaseMs;
    const startedMs = this.ctx.clock.nowMs();
    while (
      this.watchedTasks.has(task) &&
      this.ctx.clock.nowMs() - startedMs < leaseMs
    ) {
      try {
        await this.worker.start({
          task,
          kind,
          workspace,
          contentType,
          body,
          accelerators,
          rank,
          size,
          leaseMs,
        });
        return await this.waitForEnd(gang, attempt);
      } catch {
        await sleep(RETRY_DELAY_MS);
      }
    }
    this.reportEnd(gang, attempt, {state: TaskState.FAILED});
  }

  /** Waits for the end of a task. Retries when a call to the worker fails. */
  private async waitForEnd(gang: string, attempt: number): Promise<void> {
    const task = taskId(gang, attempt);
    while (this.watchedTasks.has(task)) {
      try {
        const report = await this.worker.wait(task, TASK_WAIT_MS);
        if (report.state !== TaskState.RUNNING)
          return this.reportEnd(gang, attempt, report);
      } catch {
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  private async renewTask(gang: string, attempt: number): Promise<void> {
    const requestedAtMs = this.ctx.clock.nowMs();
    try {
      const report = await this.worker.renew(
        taskId(gang, attempt),
        this.settings.times.taskLeaseMs,
      );
      if (report.state === TaskState.RUNNING)
        this.post({
          type: 'input',
          input: {type: 'renewed', gang, attempt, requestedAtMs},
        });
    } catch {
      // The next confirmation from the pool owner renews the lease again. Without one,
      // the worker stops the task when the lease expires.
    }
  }

  private async stopTask(
    gang: string,
    attempt: number,
    checkpoint: boolean,
  ): Promise<void> {
    try {
      const report = await this.worker.stop(taskId(gang, attempt), checkpoint);
      if (report.state !== TaskState.RUNNING)
        this.reportEnd(gang, attempt, report);
    } catch {
      // The lease is no longer renewed, so the worker stops the task when it expires.
    }
  }

  private reportEnd(gang: string, attempt: number, report: TaskReport): void {
    if (!this.watchedTasks.delete(taskId(gang, attempt))) return;
    const state = shareStateOf(report.state);
    this.ctx.timeline.add('gangs', `task ${state}`, gang);
    this.post({
      type: 'input',
      input: {type: 'taskEnded', gang, attempt, state, answer: report.answer},
    });
  }
}

function taskId(gang: string, attempt: number): string {
  return `${gang}.${attempt}`;
}

function shareStateOf(state: TaskState): ShareState {
  switch (state) {
    case TaskState.DONE:
      return ShareState.DONE;
    case TaskState.FAILED:
      return ShareState.FAILED;
    default:
      return ShareState.STOPPED;
  }
}
