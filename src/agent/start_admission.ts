/** Check of start orders against the newest heartbeat of the worker. */
import {type StartOrder} from '../jobs/engine_messages.js';
import {fits} from '../jobs/job.js';
import {type WorkerReport} from '../jobs/worker_pool.js';

/**
 * Whether the worker has less capacity than the leader counted on. The leader may have
 * filled the difference, and a worker need not reject a start that exceeds its capacity.
 */
export function hasShrunkSince(
  order: StartOrder,
  report: Pick<WorkerReport, 'capacity'>,
): boolean {
  return (
    order.workerCapacity !== undefined &&
    !fits(order.workerCapacity, report.capacity)
  );
}
