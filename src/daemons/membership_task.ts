/**
 * Publishes this gate in a row with a heartbeat counter, and reads the other gates' rows.
 */
import {type ProcessRef} from '../core/ids.js';
import {Task, type Mailbox} from '../core/task.js';
import {type TableService} from '../ports/table_service.js';
import {checkValue} from '../protocol/document_check.js';
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
const TERMINATED_AFTER_HEARTBEATS = 5;
/** Heartbeat intervals without a change of its row after which a gate counts as late. */
const LATE_AFTER_HEARTBEATS = 2.5;
const CALL_TIMEOUT_MS = 2000;

interface ObservedGate {
  row: GateRow;
  changedAtMs: number;
}

export class MembershipTask extends Task<GateLinkEvent> {
  private readonly observedGates = new Map<string, ObservedGate>();
  private heartbeatCount = 0;
  private rowVersion = 0;
  private isExchanging = false;
  private lastExchangeMs = -Infinity;
  private lastSentGates = '';
  private hasReadRows = false;

  constructor(
    private readonly ctx: ProcessContext,
    private readonly settings: GateSettings,
    private readonly tables: TableService,
    private readonly links: Mailbox<GateSend>,
    private readonly address: () => GateAddress,
  ) {
    super();
  }

  /** Gates whose rows are up to date, including this gate. */
  gates(): readonly GateAddress[] {
    const nowMs = this.ctx.clock.nowMs();
    const limitMs = TERMINATED_AFTER_HEARTBEATS * this.settings.times.gateRowMs;
    const others = [...this.observedGates.values()]
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
  get hasReadGates(): boolean {
    return this.hasReadRows;
  }

  /** True if the row of the given gate, with the same incarnation, changed recently. */
  hasRecentHeartbeat(gate: ProcessRef): boolean {
    const observed = this.observedGates.get(gate.id);
    if (!observed || observed.row.stopped) return false;
    if (observed.row.incarnation !== gate.incarnation) return false;
    const limitMs = LATE_AFTER_HEARTBEATS * this.settings.times.gateRowMs;
    return this.ctx.clock.nowMs() - observed.changedAtMs <= limitMs;
  }

  /** Last known address of a gate, even if it is no longer alive. */
  find(id: string): GateAddress | undefined {
    const observed = this.observedGates.get(id);
    return observed && addressOf(observed.row);
  }

  /**
   * Marks the row as stopped, so that other gates need not wait for missed heartbeats.
   */
  async markStopped(): Promise<void> {
    await this.writeRow(true).catch(() => undefined);
  }

  protected receive(event: GateLinkEvent): void {
    if (event.type !== 'tick' || this.isExchanging) return;
    const nowMs = this.ctx.clock.nowMs();
    if (nowMs - this.lastExchangeMs < this.settings.times.gateRowMs) return;
    this.lastExchangeMs = nowMs;
    this.isExchanging = true;
    void this.exchangeRows().finally(() => {
      this.isExchanging = false;
    });
  }

  private async exchangeRows(): Promise<void> {
    try {
      await this.writeRow(false);
      await this.readRows();
    } catch {
      // The last known rows remain in use while the table service is unavailable.
    }
  }

  private async writeRow(stopped: boolean): Promise<void> {
    const value: GateRow = {
      ...this.address(),
      beat: ++this.heartbeatCount,
      stopped,
    };
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
      if (checked.ok) this.observe(checked.value);
    }
    this.hasReadRows = true;
    this.sendGatesToAgents();
  }

  private observe(row: GateRow): void {
    const observed = this.observedGates.get(row.id);
    if (
      observed &&
      observed.row.incarnation === row.incarnation &&
      observed.row.beat === row.beat
    )
      return;
    this.observedGates.set(row.id, {row, changedAtMs: this.ctx.clock.nowMs()});
  }

  private sendGatesToAgents(): void {
    const gates = this.gates();
    const text = JSON.stringify(gates);
    if (text === this.lastSentGates) return;
    this.lastSentGates = text;
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
