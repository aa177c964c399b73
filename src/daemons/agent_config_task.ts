/**
 * Keeps the newest configuration tables at an agent and offers them to gates with older
 * versions.
 */
import {
  AdoptionResult,
  ConfigFollower,
  type TableDelta,
} from '../core/config_follower.js';
import {type ProcessRef} from '../core/ids.js';
import {Task, type Mailbox} from '../core/task.js';
import {type TableName, type Versions} from '../core/tables.js';
import {type GateMessage} from '../protocol/messages.js';
import {type AgentLinkEvent, type AgentSend} from './agent_links.js';
import {type ProcessContext} from './process_context.js';

export class AgentConfigTask extends Task<AgentLinkEvent> {
  readonly follower = new ConfigFollower();

  constructor(
    private readonly ctx: ProcessContext,
    private readonly links: Mailbox<AgentSend>,
  ) {
    super();
  }

  protected receive(event: AgentLinkEvent): void {
    if (event.type === 'gateUp')
      return this.offerNewer(event.gate, event.versions);
    if (event.type === 'gateMessage')
      this.onGateMessage(event.gate, event.body);
  }

  private onGateMessage(gate: ProcessRef, body: GateMessage): void {
    if (body.type === 'heartbeat') return this.offerNewer(gate, body.versions);
    if (body.type === 'tableWant') return this.offer(gate, body.table);
    if (body.type === 'tableDelta') this.onDelta(body as TableDelta);
  }

  private onDelta(delta: TableDelta): void {
    // A delta that does not follow the local version is dropped. The versions in the next
    // heartbeat make the gate send the whole table.
    if (this.follower.adoptDelta(delta) !== AdoptionResult.ADOPTED) return;
    this.ctx.timeline.add(
      'config',
      `version ${delta.to} of ${delta.table} in force`,
    );
  }

  private offerNewer(gate: ProcessRef, versions: Versions): void {
    for (const table of this.follower.tablesNewerThan(versions))
      this.offer(gate, table);
  }

  private offer(gate: ProcessRef, table: TableName): void {
    const {to, upserts} = this.follower.wholeTable(table);
    this.links.post({
      type: 'toGate',
      gate: gate.id,
      body: {type: 'tableOffer', table, version: to, rows: upserts as never[]},
    });
  }
}
