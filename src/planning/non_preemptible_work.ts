/** Index of the accelerators held by non-preemptible work, by worker and by workspace. */
import {getOrAdd} from '../core/fair_queue.js';
import {type AcceleratorMask} from './buddy_pool.js';
import {type Job, JobPhase} from './job.js';

export class NonPreemptibleWork {
  private readonly byWorkspace = new Map<
    string,
    Map<string, AcceleratorMask>
  >();
  private readonly byWorker = new Map<string, AcceleratorMask>();
  readonly jobs: readonly Job[];

  constructor(jobs: Iterable<Job>) {
    this.jobs = [...jobs].filter(isAllocatedNonPreemptible);
    for (const job of this.jobs) this.add(job);
  }

  /** Accelerators of a worker that non-preemptible work holds. */
  heldOn(worker: string): AcceleratorMask {
    return this.byWorker.get(worker) ?? 0;
  }

  /** Accelerators of a worker that non-preemptible work of one workspace holds. */
  heldBy(workspace: string, worker: string): AcceleratorMask {
    return this.byWorkspace.get(workspace)?.get(worker) ?? 0;
  }

  /** Workers on which a workspace has non-preemptible work. */
  workersOf(workspace: string): Iterable<string> {
    return this.byWorkspace.get(workspace)?.keys() ?? [];
  }

  private add(job: Job): void {
    const workspaceMasks = getOrAdd(
      this.byWorkspace,
      job.spec.workspace,
      () => new Map<string, AcceleratorMask>(),
    );
    for (const {worker, mask} of job.blocks) {
      workspaceMasks.set(worker, (workspaceMasks.get(worker) ?? 0) | mask);
      this.byWorker.set(worker, this.heldOn(worker) | mask);
    }
  }
}

/** True for a non-preemptible job that holds or claims accelerators. */
function isAllocatedNonPreemptible(job: Job): boolean {
  return !job.spec.preemptible && job.phase !== JobPhase.QUEUED;
}
