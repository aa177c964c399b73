/** Data centres in which operators ask that nothing more be started. */
import {type ClockReading, maxElapsedMs} from '../core/clock_reading.js';

export const NO_EVACUATIONS: ReadonlySet<string> = new Set();

/** What a gate knows of the evacuations, as it tells agents. */
export interface EvacuationNotice {
  /** Version of the operators' table up to which the gate's copy is complete. */
  readonly version: number;
  readonly dataCentres: readonly string[];
  /** Upper bound of the time since the copy was read, in ms. */
  readonly ageMs: number;
}

/** Why a start is not sent to a worker. */
export const EvacuationBar = {
  EVACUATED: 'evacuated',
  /** No notice is recent enough to rule out a later request. */
  UNKNOWN: 'evacuationsUnknown',
} as const;
export type EvacuationBar = (typeof EvacuationBar)[keyof typeof EvacuationBar];

/** The newest of the notices that an agent has received from any gate. */
export class EvacuationKnowledge {
  private version = -1;
  private dataCentres = NO_EVACUATIONS;
  /** A notice was true at most `ageMs` before `at`. */
  private freshest: {readonly at: ClockReading; readonly ageMs: number} | null =
    null;

  /**
   * Creates knowledge for a deployment.
   *
   * @param maxAgeMs Age of a notice from which nothing may be started; undefined where the
   *     deployment sets no bound on evacuations.
   */
  constructor(private readonly maxAgeMs: number | undefined) {}

  /**
   * Records a notice.
   *
   * @param requestedAt When the message was sent that the notice answers; undefined for an
   *     announcement, which answers none and may have been held up.
   * @returns Whether the list of data centres has changed.
   */
  record(
    notice: EvacuationNotice,
    requestedAt: ClockReading | undefined,
  ): boolean {
    if (requestedAt) this.recordAge(requestedAt, notice.ageMs);
    if (notice.version < this.version) return false;
    this.version = notice.version;
    const before = this.dataCentres;
    this.dataCentres = new Set(notice.dataCentres);
    return !isEqual(before, this.dataCentres);
  }

  /** The evacuated data centres that are known of. */
  get known(): readonly string[] {
    return [...this.dataCentres];
  }

  /** Why nothing may be started in a data centre; undefined if it may. */
  barFor(dataCentre: string, now: ClockReading): EvacuationBar | undefined {
    if (this.dataCentres.has(dataCentre)) return EvacuationBar.EVACUATED;
    if (this.maxAgeMs === undefined) return undefined;
    return this.ageMs(now) > this.maxAgeMs ? EvacuationBar.UNKNOWN : undefined;
  }

  /** Upper bound of the age of the freshest notice, in ms; infinite before the first. */
  ageMs(now: ClockReading): number {
    const {freshest} = this;
    if (!freshest) return Infinity;
    return freshest.ageMs + maxElapsedMs(freshest.at, now);
  }

  private recordAge(at: ClockReading, ageMs: number): void {
    const {freshest} = this;
    const isFresher =
      !freshest || at.nowMs - ageMs >= freshest.at.nowMs - freshest.ageMs;
    if (isFresher) this.freshest = {at, ageMs};
  }
}

/** Time for a start call and its checks within the bound on evacuations, in ms. */
const START_CALL_MARGIN_MS = 1000; // a call takes up to 0.6 s

/**
 * Age of a notice from which an agent starts nothing, in ms. A bound that leaves no time for a
 * start call is halved, since a gate reads the table only twice a second.
 */
export function maxNoticeAgeMs(evacuationMs: number): number {
  return Math.max(evacuationMs - START_CALL_MARGIN_MS, evacuationMs / 2);
}

export function isEqual(
  a: ReadonlySet<string>,
  b: ReadonlySet<string>,
): boolean {
  return a.size === b.size && [...a].every(item => b.has(item));
}
