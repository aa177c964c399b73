/** Index of the work that can't be preempted: which accelerators it holds, by workspace. */
import {getOrAdd} from '../core/fair_queue.js';
import {type Mask} from './buddy_pool.js';
import {type Job, JobPhase} from './job.js';

export class NonPreemptibleWork {
  private readonly byWorkspace = new Map<string, Map<string, Mask>>();
  private readonly byWorker = new Map<string, Mask>();
  readonly jobs: readonly Job[];

  constructor(jobs: Iterable<Job>) {
    this.jobs = [...jobs].filter(isAllocatedNonPreemptible);
    for (const job of this.jobs) this.add(job);
  }

  /** Accelerators of a worker that fixed work holds. */
  heldOn(worker: string): Mask {
    return this.byWorker.get(worker) ?? 0;
  }

  /** Accelerators of a worker that fixed work of one workspace holds. */
  heldBy(workspace: string, worker: string): Mask {
    return this.byWorkspace.get(workspace)?.get(worker) ?? 0;
  }

  /** Workers on which a workspace has fixed work. */
  workersOf(workspace: string): Iterable<string> {
    return this.byWorkspace.get(workspace)?.keys() ?? [];
  }

  private add(job: Job): void {
    const workspaceMasks = getOrAdd(
      this.byWorkspace,
      job.spec.workspace,
      () => new Map<string, Mask>(),
    );
    for (const {worker, mask} of job.blocks) {
      workspaceMasks.set(worker, (workspaceMasks.get(worker) ?? 0) | mask);
      this.byWorker.set(worker, this.heldOn(worker) | mask);
    }
  }
}

/** True for work that holds accelerators and can't be preempted. */
function isAllocatedNonPreemptible(job: Job): boolean {
  return !job.spec.preemptible && job.phase !== JobPhase.QUEUED;
}
