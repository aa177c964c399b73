/** Collects timeline events of this gate, its agents and the other gates. */
import {randomBytes} from 'node:crypto';
import {request} from 'undici';
import {type ProcessRef} from '../core/ids.js';
import {Task, type Mailbox} from '../core/task.js';
import {type TimelineEvent, mergeTimelines} from '../core/timeline.js';
import {type GateAddress} from '../protocol/messages.js';
import {type GateLinkEvent, type GateSend} from './gate_events.js';
import {type ProcessContext} from './process_context.js';

/**
 * Longest wait for the events of the agents, in ms. Calls to other gates wait twice as
 * long.
 */
const COLLECT_TIMEOUT_MS = 1500;
const CALL_ID_BYTES = 6;

interface PendingCollection {
  readonly lists: TimelineEvent[][];
  readonly pendingAgents: Set<string>;
  readonly done: () => void;
}

export class TimelineCollector extends Task<GateLinkEvent> {
  private readonly collections = new Map<string, PendingCollection>();

  constructor(
    private readonly ctx: ProcessContext,
    private readonly links: Mailbox<GateSend>,
  ) {
    super();
  }

  /** Events of this gate and of the agents that reply in time. */
  async collectLocal(
    agents: readonly ProcessRef[],
    limit: number,
    subject?: string,
  ): Promise<TimelineEvent[]> {
    const call = randomBytes(CALL_ID_BYTES).toString('hex');
    const lists: TimelineEvent[][] = [this.ctx.timeline.list(limit, subject)];
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, COLLECT_TIMEOUT_MS);
      const done = () => {
        clearTimeout(timer);
        resolve();
      };
      if (agents.length === 0) return done();
      this.collections.set(call, {
        lists,
        pendingAgents: new Set(agents.map(a => a.id)),
        done,
      });
      this.links.post({
        type: 'toAllAgents',
        body: {type: 'timelineWant', call, limit, subject},
      });
    });
    this.collections.delete(call);
    return mergeTimelines(lists).slice(-limit);
  }

  /** Events of other gates and their agents. */
  async collectRemote(
    gates: readonly GateAddress[],
    limit: number,
    subject: string | undefined,
    authorization: string,
  ): Promise<TimelineEvent[][]> {
    const query = new URLSearchParams({
      limit: String(limit),
      local: '1',
      ...(subject ? {subject} : {}),
    });
    const responses = gates
      .filter(g => g.id !== this.ctx.ref.id)
      .map(g => fetchEvents(`${g.http}/v1/timeline?${query}`, authorization));
    return Promise.all(responses);
  }

  protected receive(event: GateLinkEvent): void {
    if (event.type !== 'agentMessage' || event.body.type !== 'timeline') return;
    const collection = this.collections.get(event.body.call);
    if (!collection?.pendingAgents.delete(event.agent.id)) return;
    collection.lists.push(event.body.events);
    if (collection.pendingAgents.size === 0) collection.done();
  }
}

async function fetchEvents(
  url: string,
  authorization: string,
): Promise<TimelineEvent[]> {
  try {
    const res = await request(url, {
      headers: {authorization},
      signal: AbortSignal.timeout(2 * COLLECT_TIMEOUT_MS),
    });
    const body = (await res.body.json()) as {events?: TimelineEvent[]};
    return body.events ?? [];
  } catch {
    return [];
  }
}
