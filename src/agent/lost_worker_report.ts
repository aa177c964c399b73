/**
 * The most recently lost worker, as it is reported to the leader: until another worker is
 * reachable and the ends that the lost one listed are acknowledged. A leader may terminate
 * before it records them, and nobody else may know of them.
 */
import {type LostWorker} from '../protocol/job_messages.js';

export class LostWorkerReport {
  private lost: LostWorker | undefined;

  get current(): LostWorker | undefined {
    return this.lost;
  }

  record(lost: LostWorker): void {
    this.lost = lost;
  }

  /** Records that a worker is reachable. Its own ends are in its inventory. */
  recordReachable(worker: string): void {
    const {lost} = this;
    const hasOtherEnds = lost?.worker !== worker && !!lost?.ends?.length;
    if (!hasOtherEnds) this.lost = undefined;
  }

  /** Withdraws the loss of a worker that has answered since, so it may have new runs. */
  retract(worker: string): void {
    if (this.lost?.worker === worker) this.lost = undefined;
  }

  /** Records that the ends of a worker up to `upTo` are durable. */
  acknowledge(worker: string, upTo: number): void {
    const {lost} = this;
    if (lost?.worker !== worker) return;
    this.lost = {...lost, ends: lost.ends?.filter(e => e.number > upTo)};
  }
}
