/**
 * Queue of waiting jobs. Jobs of the same workspace, class and shape share a lane:
 * if the first job of a lane cannot be placed, the others cannot either. The cost
 * of a scheduling round therefore depends on the number of lanes, not of jobs.
 */
import {type Job, classRank} from './job.js';

/** Passes of a scheduling round: the first without borrowing, the second with it. */
export const SCHEDULING_PASSES = 2;
const NEVER_FAILED = -1;

/** Jobs that are equivalent for placement, oldest first. */
export interface Lane {
  readonly key: string;
  readonly workspace: string;
  readonly rank: number;
  readonly jobs: Job[];
  /** Capacity version at which the first job could not be placed, by pass. */
  readonly failedAtVersion: number[];
}

export class JobQueue {
  private readonly lanes = new Map<string, Lane>();
  private count = 0;

  get size(): number {
    return this.count;
  }

  push(job: Job): void {
    const lane = this.laneOf(job);
    const at = lane.jobs.findIndex(
      other => other.spec.acceptedMs > job.spec.acceptedMs,
    );
    if (at < 0) lane.jobs.push(job);
    else lane.jobs.splice(at, 0, job);
    lane.failedAtVersion.fill(NEVER_FAILED);
    this.count++;
  }

  remove(job: Job): void {
    const lane = this.lanes.get(job.lane);
    const at = lane?.jobs.indexOf(job) ?? -1;
    if (at < 0) return;
    lane!.jobs.splice(at, 1);
    this.count--;
    if (lane!.jobs.length === 0) this.lanes.delete(job.lane);
  }

  /**
   * Returns the lanes in the order in which they are scheduled: by class, then by
   * the workspace's usage ratio, then by the age of the first job.
   */
  inServiceOrder(usageRatio: (workspace: string) => number): Lane[] {
    const ratios = new Map<string, number>();
    for (const {workspace} of this.lanes.values()) {
      if (!ratios.has(workspace)) ratios.set(workspace, usageRatio(workspace));
    }
    return [...this.lanes.values()].sort(
      (a, b) =>
        a.rank - b.rank ||
        ratios.get(a.workspace)! - ratios.get(b.workspace)! ||
        a.jobs[0].spec.acceptedMs - b.jobs[0].spec.acceptedMs,
    );
  }

  some(predicate: (lane: Lane) => boolean): boolean {
    for (const lane of this.lanes.values()) if (predicate(lane)) return true;
    return false;
  }

  allLanes(): Iterable<Lane> {
    return this.lanes.values();
  }

  private laneOf(job: Job): Lane {
    let lane = this.lanes.get(job.lane);
    if (!lane) {
      lane = {
        key: job.lane,
        workspace: job.spec.workspace,
        rank: classRank(job.spec.class),
        jobs: [],
        failedAtVersion: new Array<number>(SCHEDULING_PASSES).fill(
          NEVER_FAILED,
        ),
      };
      this.lanes.set(job.lane, lane);
    }
    return lane;
  }
}
