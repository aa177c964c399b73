/**
 * Decides to which gates an agent keeps links: the leader, and a few standby gates through
 * which it learns of a change of the leader. The standby gates are picked by rendezvous
 * hashing, so each gate serves about the same number of agents, and the number of links of
 * an agent does not grow with the number of gates.
 */
import {rendezvousHash} from '../core/rendezvous.js';

/** Time for which other gates are preferred to one whose link failed, in ms. */
const FAILURE_PENALTY_MS = 15_000; // long enough to try some tens of other gates
/** Time for which a gate may be out of reach before its address is dropped, in ms. */
const ADDRESS_EXPIRY_MS = 30_000; // the store or another gate names it again if it lives
/** Maximum number of known addresses. */
const MAX_ADDRESSES = 2000;

interface KnownGate {
  readonly address: string;
  readonly weight: number;
  readonly isSeed: boolean;
  /** When the link failed first since it was last open; undefined if it did not fail. */
  failingSinceMs: number | undefined;
  failedAtMs: number;
}

export class GateDirectory {
  private readonly gates = new Map<string, KnownGate>();
  /** Link address of the leader; undefined if unknown. */
  leaderAddress: string | undefined;

  /**
   * @param agent Name of the agent.
   * @param seeds Addresses that are never dropped.
   * @param standbyLinks Number of links beside the one to the leader.
   */
  constructor(
    private readonly agent: string,
    seeds: readonly string[],
    private readonly standbyLinks: number,
  ) {
    for (const address of seeds) this.addGate(address, true);
  }

  addAddresses(addresses: readonly string[]): void {
    for (const address of addresses) this.addGate(address, false);
  }

  recordOpen(address: string): void {
    const gate = this.gates.get(address);
    if (gate) gate.failingSinceMs = undefined;
  }

  /** Records that a link could not be opened, or was closed by the other end. */
  recordFailure(address: string, nowMs: number): void {
    const gate = this.gates.get(address);
    if (!gate) return;
    gate.failingSinceMs ??= nowMs;
    gate.failedAtMs = nowMs;
    if (!gate.isSeed && nowMs - gate.failingSinceMs > ADDRESS_EXPIRY_MS)
      this.gates.delete(address);
  }

  /** Addresses to which links should be open, the leader's first. */
  selectLinks(nowMs: number): string[] {
    const {leaderAddress} = this;
    const standby = [...this.gates.values()]
      .filter(g => g.address !== leaderAddress)
      .sort(
        (a, b) =>
          Number(isPenalized(a, nowMs)) - Number(isPenalized(b, nowMs)) ||
          b.weight - a.weight,
      )
      .slice(0, this.standbyLinks)
      .map(g => g.address);
    return leaderAddress === undefined ? standby : [leaderAddress, ...standby];
  }

  private addGate(address: string, isSeed: boolean): void {
    if (this.gates.has(address) || this.gates.size >= MAX_ADDRESSES) return;
    this.gates.set(address, {
      address,
      weight: rendezvousHash(this.agent, address),
      isSeed,
      failingSinceMs: undefined,
      failedAtMs: -Infinity,
    });
  }
}

function isPenalized(gate: KnownGate, nowMs: number): boolean {
  return (
    gate.failingSinceMs !== undefined &&
    nowMs - gate.failedAtMs < FAILURE_PENALTY_MS
  );
}
