/** Sends this agent's timeline events to a gate that requests them. */
import {Task, type Mailbox} from '../core/task.js';
import {type AgentLinkEvent, type AgentSend} from './agent_links.js';
import {type ProcessContext} from './process_context.js';

export class TimelineTask extends Task<AgentLinkEvent> {
  constructor(
    private readonly ctx: ProcessContext,
    private readonly links: Mailbox<AgentSend>,
  ) {
    super();
  }

  protected receive(event: AgentLinkEvent): void {
    if (event.type !== 'gateMessage' || event.body.type !== 'timelineWant')
      return;
    const {call, limit, subject} = event.body;
    const events = this.ctx.timeline.list(limit, subject);
    this.links.post({
      type: 'toGate',
      gate: event.gate.id,
      body: {type: 'timeline', call, events},
    });
  }
}
