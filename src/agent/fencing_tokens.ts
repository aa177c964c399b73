/**
 * Fencing tokens of an agent's calls to its worker. A call names the worker by its id, which
 * a later incarnation may reuse, and an unanswered call may still be carried out after
 * newer ones. So the token rises not only with the epoch, but also after each silence of the worker:
 * once a call with the new token is answered, no earlier call has any effect.
 */
import {type Clock} from '../core/clock.js';

/** Number of generations within an epoch. */
const GENERATIONS = 2 ** 35; // 2^18 epochs below the largest safe integer
/** Resolution of the wall clock from which generations start, in ms. */
const GENERATION_MS = 100; // a worker falls silent at most that often

export class FencingTokens {
  /** Starts at the wall clock, so that it exceeds those of earlier processes. */
  private generation: number;
  private rejectedStep = 1;

  constructor(private readonly clock: Clock) {
    this.generation = this.clockGeneration;
  }

  /** Token of calls that carry out orders of a leadership epoch. */
  at(epoch: number): number {
    return epoch * GENERATIONS + this.generation;
  }

  /** Makes every token higher than all that were used before. */
  raise(): void {
    this.generation = Math.max(this.generation + 1, this.clockGeneration);
  }

  /** Records that the worker has seen a higher token, as of a process with a later clock. */
  recordRejected(): void {
    const raised = this.generation + this.rejectedStep;
    this.generation = Math.min(raised, GENERATIONS - 1);
    this.rejectedStep *= 2;
  }

  private get clockGeneration(): number {
    return Math.floor(this.clock.wallMs() / GENERATION_MS);
  }
}
