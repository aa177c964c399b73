/**
 * Publishes this gate in a row with a heartbeat counter, and reads the other gates' rows.
 */
import {type ProcessRef} from '../core/ids.js';
import {Task, type Mailbox} from '../core/task.js';
import {type TableService} from '../ports/table_service.js';
import {checkValue} from '../protocol/check.js';
import {type GateAddress} from '../protocol/messages.js';
import {type GateRow, gateRowSchema} from '../protocol/rows.js';
import {type GateSettings} from '../protocol/settings.js';
import {type GateLinkEvent, type GateSend} from './gate_events.js';
import {type ProcessContext} from './process_context.js';

const ROW_PREFIX = 'gate/';
/**
 * Heartbeat intervals without a change of its row after which a gate counts as
 * terminated.
 */
const MISSED_BEATS = 5;
/** Heartbeat intervals without a change of its row after which a gate counts as late. */
const LATE_BEATS = 2.5;
const CALL_TIMEOUT_MS = 2000;

interface SeenGate {
  row: GateRow;
  changedAtMs: number;
}

export class MembershipTask extends Task<GateLinkEvent> {
  private readonly seen = new Map<string, SeenGate>();
  private beat = 0;
  private rowVersion = 0;
  private busy = false;
  private lastRunMs = -Infinity;
  private listed = '';
  private hasRead = false;

  constructor(
    private readonly ctx: ProcessContext,
    private readonly settings: GateSettings,
    private readonly tables: TableService,
    private readonly links: Mailbox<GateSend>,
    private readonly address: () => GateAddress,
  ) {
    super();
  }

  /** Gates whose rows are current, including this gate. */
  gates(): readonly GateAddress[] {
    const nowMs = this.ctx.clock.nowMs();
    const limitMs = MISSED_BEATS * this.settings.times.gateRowMs;
    const others = [...this.seen.values()]
      .filter(
        s =>
          s.row.id !== this.ctx.ref.id &&
          !s.row.stopped &&
          nowMs - s.changedAtMs <= limitMs,
      )
      .map(({row}) => addressOf(row));
    return [this.address(), ...others].sort((a, b) => a.id.localeCompare(b.id));
  }

  /** True once the gate rows have been read for the first time. */
  get isReady(): boolean {
    return this.hasRead;
  }

  /** True if the row of this gate, with the same incarnation, changed recently. */
  isBeating(gate: ProcessRef): boolean {
    const seen = this.seen.get(gate.id);
    if (!seen || seen.row.stopped) return false;
    if (seen.row.incarnation !== gate.incarnation) return false;
    const limitMs = LATE_BEATS * this.settings.times.gateRowMs;
    return this.ctx.clock.nowMs() - seen.changedAtMs <= limitMs;
  }

  /** Last known address of a gate, even if it is no longer alive. */
  find(id: string): GateAddress | undefined {
    const seen = this.seen.get(id);
    return seen && addressOf(seen.row);
  }

  /**
   * Marks the row as stopped, so that other gates need not wait for missed heartbeats.
   */
  async announceStop(): Promise<void> {
    await this.writeRow(true).catch(() => undefined);
  }

  protected receive(event: GateLinkEvent): void {
    if (event.type !== 'tick' || this.busy) return;
    const nowMs = this.ctx.clock.nowMs();
    if (nowMs - this.lastRunMs < this.settings.times.gateRowMs) return;
    this.lastRunMs = nowMs;
    this.busy = true;
    void this.exchange().finally(() => {
      this.busy = false;
    });
  }

  private async exchange(): Promise<void> {
    try {
      await this.writeRow(false);
      await this.readRows();
    } catch {
      // The last known rows remain in use while the table service is unavailable.
    }
  }

  private async writeRow(stopped: boolean): Promise<void> {
    const value: GateRow = {...this.address(), beat: ++this.beat, stopped};
    const key = ROW_PREFIX + this.ctx.ref.id;
    const write = (expectVersion: number) =>
      this.tables.write({key, expectVersion, value}, CALL_TIMEOUT_MS);
    let reply = await write(this.rowVersion);
    if (reply.type === 'conflict') reply = await write(reply.row?.version ?? 0);
    if (reply.type === 'committed') this.rowVersion = reply.version;
  }

  private async readRows(): Promise<void> {
    const rows = await this.tables.scan(ROW_PREFIX, CALL_TIMEOUT_MS);
    for (const {value} of rows) {
      const checked = checkValue(value, gateRowSchema);
      if (checked.ok) this.see(checked.value);
    }
    this.hasRead = true;
    this.tellAgents();
  }

  private see(row: GateRow): void {
    const seen = this.seen.get(row.id);
    if (
      seen &&
      seen.row.incarnation === row.incarnation &&
      seen.row.beat === row.beat
    )
      return;
    this.seen.set(row.id, {row, changedAtMs: this.ctx.clock.nowMs()});
  }

  private tellAgents(): void {
    const gates = this.gates();
    const text = JSON.stringify(gates);
    if (text === this.listed) return;
    this.listed = text;
    this.links.post({
      type: 'toAllAgents',
      body: {type: 'gates', gates: [...gates]},
    });
  }
}

function addressOf(row: GateRow): GateAddress {
  const {id, incarnation, link, http, place} = row;
  return {id, incarnation, link, http, place};
}
